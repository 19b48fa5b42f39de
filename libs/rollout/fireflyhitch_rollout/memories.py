"""What the old version's calls met lately, as the measure for the new one.

Memories fade by calls: when one holds more than its depth, it is halved.
"""

from collections.abc import Mapping

LONG_DEPTH = 800
SHORT_DEPTH = 30
PRIOR_CALLS = 20.0
SHORT_PRIOR_CALLS = 8.0
PRIOR_FAILURES = 0.003
SLOW_PART = 0.1
# The least latencies of the old version before slowness is judged.
LEAST_COMPARED = 30
# What the new version may be worse by without being called worse.
FAILURE_TOLERANCE = 0.004
SLOW_TOLERANCE = 0.02
# A version that is slower by this many buckets, 21%, is not called slow: what
# of it lies above the limit is at most the part that the limit was set by.
SLACK_BUCKETS = 2


class _Rate:
    """Calls and those that failed, fading."""

    def __init__(self, depth: int) -> None:
        self._depth = depth
        self._calls = 0.0
        self._failures = 0.0

    def add(self, calls: int, failures: int) -> None:
        self._calls += calls
        self._failures += failures
        while self._calls > self._depth:
            self._calls /= 2
            self._failures /= 2

    def find(self, prior: float, weight: float = PRIOR_CALLS) -> float:
        """Return the part that failed, drawn towards a prior."""
        return (self._failures + prior * weight) / (self._calls + weight)


class FailureMemory:
    """How many of the old version's calls failed."""

    def __init__(self) -> None:
        """Make an empty memory."""
        self._long = _Rate(LONG_DEPTH)

    def add(self, calls: int, failures: int) -> None:
        """Take in what the old version's calls met."""
        self._long.add(calls, failures)

    def find_rate(self) -> float:
        """Return the usual part of calls that failed."""
        return self._long.find(PRIOR_FAILURES)

    def expect(self, prior: float) -> float:
        """Return the part of calls that a good version usually may fail.

        :param prior: the rate of like calls in all failure domains.
        """
        return self._long.find(prior) + FAILURE_TOLERANCE


class ShockMeter:
    """What part of the old version's latest calls were bad, of all kinds.

    A reclaim wave or a shock to the network makes both versions fail or be
    slow. Only the calls of the last seconds show it, and in one group of calls
    there are too few of these; so all groups count together.
    """

    def __init__(self) -> None:
        """Make a meter that has seen nothing."""
        self._short = _Rate(SHORT_DEPTH)

    def add(self, calls: int, bad: int) -> None:
        """Take in the old version's calls."""
        self._short.add(calls, bad)

    def expect(self, usual: float) -> float:
        """Return the part that is bad now, or the usual one if that is more."""
        return max(usual, self._short.find(usual, SHORT_PRIOR_CALLS))


class _Histogram:
    """Latencies by bucket, fading."""

    def __init__(self, depth: int) -> None:
        self.total = 0.0
        self.counts: dict[int, float] = {}
        self._depth = depth

    def add(self, latencies: Mapping[int, int]) -> None:
        for bucket, count in latencies.items():
            self.counts[bucket] = self.counts.get(bucket, 0) + count
            self.total += count
        while self.total > self._depth:
            self.total /= 2
            for kept in self.counts:
                self.counts[kept] /= 2

    def find_above(self, limit: int, prior: float) -> float:
        """Return the part above a bucket, drawn towards a prior."""
        above = sum(count for bucket, count in self.counts.items() if bucket > limit)
        return (above + prior * PRIOR_CALLS) / (self.total + PRIOR_CALLS)


class LatencyMemory:
    """How long the old version's calls took."""

    def __init__(self) -> None:
        """Make an empty memory."""
        self._long = _Histogram(LONG_DEPTH)

    def add(self, latencies: Mapping[int, int]) -> None:
        """Take in what the old version's calls took."""
        if latencies:
            self._long.add(latencies)

    def find_limit(self) -> int | None:
        """Return the bucket above which a call is slow; ``None`` if unknown."""
        if self._long.total < LEAST_COMPARED:
            return None
        above = 0.0
        for bucket in sorted(self._long.counts, reverse=True):
            above += self._long.counts[bucket]
            if above > SLOW_PART * self._long.total:
                return bucket + SLACK_BUCKETS
        return None

    def expect(self, limit: int) -> float:
        """Return the part of calls that a good version may answer slowly."""
        return self._long.find_above(limit - SLACK_BUCKETS, SLOW_PART) + SLOW_TOLERANCE
