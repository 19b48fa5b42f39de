"""Whether this daemon takes new requests, and when it may stop."""

from datetime import timedelta
from enum import Enum
from threading import Lock

from fireflyhitch_model.clock import Clock


class DrainState(Enum):
    """How far a daemon is on its way out."""

    SERVING = 'serving'
    DRAINING = 'draining'
    STOPPED = 'stopped'


class Drain:
    """A daemon's way out: it only goes forward, and the soonest end counts.

    A graceful stop has no end of its own: it waits until no request is left.
    A reclaim has one, and what cannot finish by then is handed over.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = Lock()
        self._state = DrainState.SERVING
        self._deadline: float | None = None

    @property
    def state(self) -> DrainState:
        """How far the daemon is."""
        return self._state

    @property
    def ready(self) -> bool:
        """Whether the platform's balancer may send new requests."""
        return self._state is DrainState.SERVING

    def start(self, time_left: timedelta | None = None) -> bool:
        """Stop taking new requests.

        :param time_left: until the machine is taken back, if it is.
        :returns: whether this is news: a first start, or a sooner end.
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
        """Return the time until the machine goes, or ``None`` if it stays."""
        with self._lock:
            if self._deadline is None:
                return None
            left = max(0, self._deadline - self._clock.monotonic())
        return timedelta(seconds=left)

    def stop_if_done(self, in_progress: int) -> bool:
        """Tell whether the process may end now.

        :param in_progress: requests that this daemon still answers.
        """
        with self._lock:
            if self._state is DrainState.DRAINING and not in_progress:
                self._state = DrainState.STOPPED
            return self._state is DrainState.STOPPED
