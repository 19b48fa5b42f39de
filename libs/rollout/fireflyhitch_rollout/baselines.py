"""What the old version's calls met lately, as the measure for the new one.

Memories fade by calls: when one holds more than its depth, it is halved.
"""

from collections.abc import Mapping

LONG_WINDOW_CALLS = 800
SHORT_WINDOW_CALLS = 30
PRIOR_CALLS = 20.0
SHORT_PRIOR_CALLS = 8.0
PRIOR_FAILURES = 0.003
SLOW_FRACTION = 0.1
# The least latencies of the old version before slowness is judged.
MIN_LATENCIES = 30
# What the new version may be worse by without being called worse.
FAILURE_TOLERANCE = 0.004
SLOW_TOLERANCE = 0.02
# A version that is slower by this many buckets, 21%, is not called slow: what
# of it lies above the limit is at most the part that the limit was set by.
TOLERANCE_BUCKETS = 2


class _DecayingRate:
    """Calls and those that failed, fading."""

    def __init__(self, window: int) -> None:
        self._window = window
        self._calls = 0.0
        self._failures = 0.0

    def add(self, calls: int, failures: int) -> None:
        self._calls += calls
        self._failures += failures
        while self._calls > self._window:
            self._calls /= 2
            self._failures /= 2

    def estimate(self, prior: float, weight: float = PRIOR_CALLS) -> float:
        """Return the part that failed, drawn towards a prior."""
        return (self._failures + prior * weight) / (self._calls + weight)


class FailureBaseline:
    """How many of the old version's calls failed."""

    def __init__(self) -> None:
        """Make an empty memory."""
        self._long_term = _DecayingRate(LONG_WINDOW_CALLS)

    def add(self, calls: int, failures: int) -> None:
        """Take in what the old version's calls met."""
        self._long_term.add(calls, failures)

    def find_rate(self) -> float:
        """Return the usual part of calls that failed."""
        return self._long_term.estimate(PRIOR_FAILURES)

    def find_expected(self, prior: float) -> float:
        """Return the part of calls that a good version usually may fail.

        :param prior: the rate of like calls in all failure domains.
        """
        return self._long_term.estimate(prior) + FAILURE_TOLERANCE


class RecentRate:
    """What part of the old version's latest calls were bad, of all kinds.

    A reclaim wave or a shock to the network makes both versions fail or be
    slow. Only the calls of the last seconds show it, and in one group of calls
    there are too few of these; so all groups count together.
    """

    def __init__(self) -> None:
        """Make a meter that has seen nothing."""
        self._short_term = _DecayingRate(SHORT_WINDOW_CALLS)

    def add(self, calls: int, bad: int) -> None:
        """Take in the old version's calls."""
        self._short_term.add(calls, bad)

    def find_expected(self, usual: float) -> float:
        """Return the part that is bad now, or the usual one if that is more."""
        return max(usual, self._short_term.estimate(usual, SHORT_PRIOR_CALLS))


class _DecayingHistogram:
    """Latencies by bucket, fading."""

    def __init__(self, window: int) -> None:
        self.total = 0.0
        self.counts: dict[int, float] = {}
        self._window = window

    def add(self, latencies: Mapping[int, int]) -> None:
        for bucket, count in latencies.items():
            self.counts[bucket] = self.counts.get(bucket, 0) + count
            self.total += count
        while self.total > self._window:
            self.total /= 2
            for kept in self.counts:
                self.counts[kept] /= 2

    def estimate_above(self, limit: int, prior: float) -> float:
        """Return the part above a bucket, drawn towards a prior."""
        above = sum(count for bucket, count in self.counts.items() if bucket > limit)
        return (above + prior * PRIOR_CALLS) / (self.total + PRIOR_CALLS)


class LatencyBaseline:
    """How long the old version's calls took."""

    def __init__(self) -> None:
        """Make an empty memory."""
        self._long_term = _DecayingHistogram(LONG_WINDOW_CALLS)

    def add(self, latencies: Mapping[int, int]) -> None:
        """Take in what the old version's calls took."""
        if latencies:
            self._long_term.add(latencies)

    def find_limit(self) -> int | None:
        """Return the bucket above which a call is slow; ``None`` if unknown."""
        if self._long_term.total < MIN_LATENCIES:
            return None
        above = 0.0
        for bucket in sorted(self._long_term.counts, reverse=True):
            above += self._long_term.counts[bucket]
            if above > SLOW_FRACTION * self._long_term.total:
                return bucket + TOLERANCE_BUCKETS
        return None

    def find_expected(self, limit: int) -> float:
        """Return the part of calls that a good version may answer slowly."""
        return (
            self._long_term.estimate_above(limit - TOLERANCE_BUCKETS, SLOW_FRACTION)
            + SLOW_TOLERANCE
        )
