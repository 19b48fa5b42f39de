"""Readiness of this daemon for the platform's load balancer."""

from collections.abc import Callable

from fireflyhitch_recovery.drain import Drain

# Near its stream limit a daemon reports not ready, so that its open streams keep
# their token rate; calls that still arrive are accepted up to the limit.
MAX_READY_FRACTION = 0.9


class Health:
    """Determines whether this daemon is ready for callers."""

    def __init__(
        self,
        drain: Drain,
        is_configured: Callable[[], bool],
        count_open: Callable[[], int],
        max_streams: int,
    ) -> None:
        self._drain = drain
        self._is_configured = is_configured
        self._count_open = count_open
        self._max_streams = max_streams

    def find_unready_reason(self) -> str | None:
        """Return why the daemon is not ready, or ``None`` if it is."""
        if not self._drain.ready:
            return 'draining'
        if not self._is_configured():
            return 'no configuration'
        if self._count_open() >= self._max_streams * MAX_READY_FRACTION:
            return 'nearly as many streams as can be carried well'
        return None
