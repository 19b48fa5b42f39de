"""Drain state: whether this daemon accepts requests, and when it may stop."""

from datetime import timedelta
from enum import Enum
from threading import Lock

from fireflyhitch_model.clock import Clock


class DrainState(Enum):
    """Phase of a daemon's shutdown."""

    SERVING = 'serving'
    DRAINING = 'draining'
    STOPPED = 'stopped'


class Drain:
    """Drain of a daemon before it stops.

    The state only advances, and the earliest deadline applies. A graceful stop
    has no deadline and waits until no request is left. A reclaim has one, and
    requests that cannot finish by then are handed over.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = Lock()
        self._state = DrainState.SERVING
        self._deadline: float | None = None

    @property
    def state(self) -> DrainState:
        """Current phase."""
        return self._state

    @property
    def ready(self) -> bool:
        """Whether the platform's load balancer may send new requests."""
        return self._state is DrainState.SERVING

    def start(self, time_left: timedelta | None = None) -> bool:
        """Stop accepting new requests.

        :param time_left: time until the machine is reclaimed, if it is.
        :returns: whether this changed the drain: a first start, or an earlier
            deadline.
        """
        with self._lock:
            first = self._state is DrainState.SERVING
            if first:
                self._state = DrainState.DRAINING
            if time_left is None:
                return first
            deadline = self._clock.monotonic() + time_left.total_seconds()
            if self._deadline is not None and self._deadline <= deadline:
                return first
            self._deadline = deadline
            return True

    def read_time_left(self) -> timedelta | None:
        """Return the time until the machine is reclaimed, or ``None``."""
        with self._lock:
            if self._deadline is None:
                return None
            left = max(0, self._deadline - self._clock.monotonic())
        return timedelta(seconds=left)

    def stop_if_done(self, in_progress: int) -> bool:
        """Return whether the process may exit now.

        :param in_progress: number of requests that this daemon still answers.
        """
        with self._lock:
            if self._state is DrainState.DRAINING and not in_progress:
                self._state = DrainState.STOPPED
            return self._state is DrainState.STOPPED
