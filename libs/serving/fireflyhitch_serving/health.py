"""Ejects servers from load balancing based on the results of their requests.

Only requests count: a server may report that it is healthy and fail, or the reverse.
"""

from dataclasses import dataclass
from enum import Enum

# Weight of the newest answer in the failure rate; about the last six answers count.
NEWEST_WEIGHT = 0.16
# A server is ejected when its failure rate exceeds the service's median by this much;
# with about six answers in the rate, a smaller margin would eject good servers by
# chance.
EXCESS_FAILURE_RATE = 0.45
# A server is ejected after this many broken answers in a row. A single refused
# connection is enough, since nothing listens there.
MAX_CONSECUTIVE_BROKEN = 3
FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 8.0


class Ending(Enum):
    """How an attempt ended, for the failure statistics of its server."""

    GOOD = 'good'
    FAILED = 'failed'
    BROKEN = 'broken'
    UNREACHED = 'unreached'
    REFUSED = 'refused'
    CANCELLED = 'cancelled'


@dataclass(slots=True)
class ServerHealth:
    """Failure statistics and ejection state of one server.

    :param rate: weighted fraction of the latest answers that failed.
    :param ejected_until: monotonic seconds until which it gets no requests.
    """

    rate: float = 0
    answers: int = 0
    consecutive_broken: int = 0
    ejected_until: float = 0
    ejections: int = 0

    def is_ejected(self, now: float) -> bool:
        """Return whether the server is ejected now."""
        return now < self.ejected_until

    def record(self, ending: Ending, median_rate: float, now: float) -> bool:
        """Record the result of an attempt.

        :param median_rate: median failure rate of the service's servers.
        :returns: whether this ejects the server.
        """
        if ending in {Ending.CANCELLED, Ending.REFUSED}:
            return False
        if ending is Ending.GOOD:
            self._count(0)
            self.consecutive_broken = 0
            self.ejections = (
                0 if self.rate < EXCESS_FAILURE_RATE / 2 else self.ejections
            )
            return False
        self._count(1)
        self.consecutive_broken += ending is not Ending.FAILED
        if self.is_ejected(now) or not self._should_eject(ending, median_rate):
            return False
        self._eject(now)
        return True

    def _count(self, failed: int) -> None:
        self.answers += 1
        self.rate += (failed - self.rate) * NEWEST_WEIGHT

    def _should_eject(self, ending: Ending, median_rate: float) -> bool:
        if ending is Ending.UNREACHED:
            return True
        if self.consecutive_broken >= MAX_CONSECUTIVE_BROKEN:
            return True
        return self.rate > median_rate + EXCESS_FAILURE_RATE

    def _eject(self, now: float) -> None:
        seconds = FIRST_EJECTION_SECONDS * 2**self.ejections
        self.ejections += 1
        self.ejected_until = now + min(seconds, MAX_EJECTION_SECONDS)
        self.consecutive_broken = 0
        # After the ejection the server is on probation: new failures outweigh the old
        # ones.
        self.rate /= 2
