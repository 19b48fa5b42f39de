"""Whether the platform's balancer should send callers here."""

from collections.abc import Callable

from fireflyhitch_recovery.drain import Drain

# Near its limit a daemon asks for no more callers, so that the streams it has
# keep their pace; what still arrives is taken up to the limit.
MAX_READY_FRACTION = 0.9


class Health:
    """What keeps a daemon from being ready, if anything."""

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
