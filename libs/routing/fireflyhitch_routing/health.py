"""Which backend servers are left alone for a while, and how they come back."""

import random
from dataclasses import dataclass

from fireflyhitch_routing.choices import ResultStatus

FAILURES_TO_EJECT = 3
# A failure before execution is clear evidence, so two are enough.
REFUSALS_TO_EJECT = 2
FAILURE_SHARE_TO_EJECT = 0.5
FAILURE_SHARE_WEIGHT = 0.1
FIRST_EJECTION_SECONDS = 5.0
LONGEST_EJECTION_SECONDS = 60.0
SLOW_START_SECONDS = 10.0
JITTER = 0.3


@dataclass(slots=True)
class ServerHealth:
    """What own calls tell of one server; not thread-safe.

    :param started: monotonic seconds since when it gets work; calls in flight
        rise with the time since then, so that a server with cold caches and no
        learned latency, or one that has just come back, is not flooded.
    """

    started: float
    consecutive_failures: int = 0
    consecutive_refusals: int = 0
    failure_share: float = 0
    ejected_until: float = float('-inf')
    ejections: int = 0
    last_failure: float = float('-inf')

    def record(self, status: ResultStatus, now: float, draw: random.Random) -> None:
        """Take in an attempt's end and eject the server if it is due."""
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
        if self._is_due() and now >= self.ejected_until:
            self.eject(now, draw)

    def eject(self, now: float, draw: random.Random) -> None:
        """Leave the server alone, longer each time, then start it slowly."""
        seconds = FIRST_EJECTION_SECONDS * 2**self.ejections
        seconds = min(seconds, LONGEST_EJECTION_SECONDS)
        # Daemons that ejected it together do not come back together.
        seconds *= 1 + JITTER * draw.random()
        self.ejections += 1
        self.ejected_until = now + seconds
        self.started = self.ejected_until
        self.consecutive_failures = 0
        self.consecutive_refusals = 0
        self.failure_share = 0

    def is_ejected(self, now: float) -> bool:
        """Tell whether it is left alone now."""
        return now < self.ejected_until

    def allowed(self, capacity: int, now: float) -> float:
        """Return how many calls it may have in flight during its slow start."""
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

    def _is_due(self) -> bool:
        return (
            self.consecutive_failures >= FAILURES_TO_EJECT
            or self.consecutive_refusals >= REFUSALS_TO_EJECT
            or self.failure_share >= FAILURE_SHARE_TO_EJECT
        )
