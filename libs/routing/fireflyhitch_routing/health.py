"""Ejection of failing backend servers, and their slow start afterwards."""

import random
from dataclasses import dataclass

from fireflyhitch_routing.choices import ResultStatus

FAILURES_TO_EJECT = 3
# A failure before execution is clearer evidence, so two are enough.
REFUSALS_TO_EJECT = 2
FAILURE_SHARE_TO_EJECT = 0.5
FAILURE_SHARE_WEIGHT = 0.1
FIRST_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 60.0
SLOW_START_SECONDS = 10.0
JITTER = 0.3


@dataclass(slots=True)
class ServerHealth:
    """Health of one server, from this daemon's own calls; not thread-safe.

    :param started: monotonic seconds at which the slow start begins. The allowed calls
        in flight grow with the time since then, so that a server with cold caches and
        no learned latency, or one that has just returned, is not overloaded.
    """

    started: float
    consecutive_failures: int = 0
    consecutive_refusals: int = 0
    failure_share: float = 0
    ejected_until: float = float('-inf')
    ejections: int = 0
    last_failure: float = float('-inf')

    def record(self, status: ResultStatus, now: float, rng: random.Random) -> None:
        """Record the result of an attempt; eject the server if it fails too often."""
        if status is ResultStatus.CANCELLED:
            return
        if status is ResultStatus.SUCCEEDED:
            self._record_success()
            return
        self.last_failure = now
        self.failure_share += FAILURE_SHARE_WEIGHT * (1 - self.failure_share)
        self.consecutive_failures += 1
        if status is ResultStatus.REFUSED:
            self.consecutive_refusals += 1
        if self._should_eject() and now >= self.ejected_until:
            self.eject(now, rng)

    def eject(self, now: float, rng: random.Random) -> None:
        """Eject the server, for longer each time; a slow start follows."""
        seconds = FIRST_EJECTION_SECONDS * 2**self.ejections
        seconds = min(seconds, MAX_EJECTION_SECONDS)
        # Jitter: daemons that ejected it at the same time return at different times.
        seconds *= 1 + JITTER * rng.random()
        self.ejections += 1
        self.ejected_until = now + seconds
        self.started = self.ejected_until
        self.consecutive_failures = 0
        self.consecutive_refusals = 0
        self.failure_share = 0

    def is_ejected(self, now: float) -> bool:
        """Return whether the server is ejected."""
        return now < self.ejected_until

    def max_in_flight(self, capacity: int, now: float) -> float:
        """Return how many calls the server may have in flight during its slow start."""
        age = now - self.started
        if age >= SLOW_START_SECONDS:
            return float('inf')
        return max(1.0, capacity * age / SLOW_START_SECONDS)

    def _record_success(self) -> None:
        self.consecutive_failures = 0
        self.consecutive_refusals = 0
        self.failure_share *= 1 - FAILURE_SHARE_WEIGHT
        if self.failure_share < FAILURE_SHARE_WEIGHT:
            self.ejections = 0

    def _should_eject(self) -> bool:
        return (
            self.consecutive_failures >= FAILURES_TO_EJECT
            or self.consecutive_refusals >= REFUSALS_TO_EJECT
            or self.failure_share >= FAILURE_SHARE_TO_EJECT
        )
