"""In-memory instance list that lags behind the cloud."""

import threading
from collections import deque
from datetime import timedelta

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.instances import InstanceListing
from fireflyhitch_model.states import Step
from fireflyhitch_standins.faulty_calls import FaultyCalls

NO_TIME = timedelta()


class MemoryInstanceList:
    """In-memory ``InstanceList``; a cloud's ``on_change`` calls ``record``."""

    def __init__(self, clock: Clock, lag: timedelta = NO_TIME) -> None:
        self.calls = FaultyCalls('instance list stand-in', Step.LIST_INSTANCES)
        self.lag = lag
        self._clock = clock
        self._lock = threading.Lock()
        self._history: deque[tuple[float, InstanceListing]] = deque()
        self._history.append((clock.monotonic(), InstanceListing()))

    def read(self) -> InstanceListing:
        """Return the list as of one lag ago."""
        return self.calls.run('read', self._find_visible)

    def record(self, listing: InstanceListing) -> None:
        """Record a change, which becomes visible one lag later."""
        with self._lock:
            if listing != self._history[-1][1]:
                self._history.append((self._clock.monotonic(), listing))

    def skip_lag(self) -> None:
        """Make the newest list visible immediately, as after a quiet period."""
        with self._lock:
            newest = self._history[-1][1]
            self._history.clear()
            self._history.append((self._clock.monotonic(), newest))

    def _find_visible(self) -> InstanceListing:
        visible = self._clock.monotonic() - self.lag.total_seconds()
        with self._lock:
            while len(self._history) > 1 and self._history[1][0] <= visible:
                self._history.popleft()
            return self._history[0][1]
