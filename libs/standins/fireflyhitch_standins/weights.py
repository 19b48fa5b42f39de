"""In-memory weight store that spaces out loads."""

import threading
from datetime import timedelta

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import DeploymentId, VersionId
from fireflyhitch_model.states import Step
from fireflyhitch_standins.faulty_calls import FaultyCalls

NO_TIME = timedelta()


class MemoryWeightStore:
    """In-memory implementation of ``WeightStore``.

    :param interval: time between the starts of two loads.
    """

    def __init__(self, clock: Clock, interval: timedelta = NO_TIME) -> None:
        self.calls = FaultyCalls('weight store stand-in', Step.WEIGHTS)
        self.interval = interval
        self._clock = clock
        self._lock = threading.Lock()
        self._next_start = clock.monotonic()

    def reserve(self, deployment: DeploymentId, version: VersionId) -> timedelta:
        """Reserve one load and return how long to wait before it starts."""
        return self.calls.run('reserve', self._reserve)

    def _reserve(self) -> timedelta:
        with self._lock:
            now = self._clock.monotonic()
            start = max(now, self._next_start)
            self._next_start = start + self.interval.total_seconds()
            return timedelta(seconds=start - now)
