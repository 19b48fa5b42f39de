"""Baselines from the old version's recent calls, for comparing the new one.

Baselines decay with calls: all counts are halved when they exceed the window.
"""

from collections.abc import Mapping

LONG_WINDOW_CALLS = 800
SHORT_WINDOW_CALLS = 30
PRIOR_CALLS = 20.0
SHORT_PRIOR_CALLS = 8.0
PRIOR_FAILURES = 0.003
SLOW_FRACTION = 0.1
# Latencies of the old version needed before slowness is tested.
MIN_LATENCIES = 30
# Difference to the old version that does not count as worse.
FAILURE_TOLERANCE = 0.004
SLOW_TOLERANCE = 0.02
# A version slower by this many buckets, 21%, does not count as slow: at most the
# fraction of its calls that defined the limit lies above it.
TOLERANCE_BUCKETS = 2


class _DecayingRate:
    """Failure rate over a decaying window of calls."""

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
        """Return the failure rate, shrunk towards a prior."""
        return (self._failures + prior * weight) / (self._calls + weight)


class FailureBaseline:
    """The failure rate of the old version."""

    def __init__(self) -> None:
        """Create an empty baseline."""
        self._long_term = _DecayingRate(LONG_WINDOW_CALLS)

    def add(self, calls: int, failures: int) -> None:
        """Add calls of the old version."""
        self._long_term.add(calls, failures)

    def find_rate(self) -> float:
        """Return the usual failure rate."""
        return self._long_term.estimate(PRIOR_FAILURES)

    def find_expected(self, prior: float) -> float:
        """Return the failure rate that a good version may have.

        :param prior: failure rate of similar calls in all failure domains.
        """
        return self._long_term.estimate(prior) + FAILURE_TOLERANCE


class RecentRate:
    """The rate of bad calls among the old version's latest calls of all kinds.

    Reclaim waves and network disturbances make both versions fail or slow down.
    Only calls of the last seconds show this, and one group has too few of them,
    so all groups are counted together.
    """

    def __init__(self) -> None:
        """Create a rate without calls."""
        self._short_term = _DecayingRate(SHORT_WINDOW_CALLS)

    def add(self, calls: int, bad: int) -> None:
        """Add calls of the old version."""
        self._short_term.add(calls, bad)

    def find_expected(self, usual: float) -> float:
        """Return the current bad rate, or the usual rate if that is higher."""
        return max(usual, self._short_term.estimate(usual, SHORT_PRIOR_CALLS))


class _DecayingHistogram:
    """Latency histogram over a decaying window of calls."""

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
        """Return the fraction above a bucket, shrunk towards a prior."""
        above = sum(count for bucket, count in self.counts.items() if bucket > limit)
        return (above + prior * PRIOR_CALLS) / (self.total + PRIOR_CALLS)


class LatencyBaseline:
    """The latencies of the old version."""

    def __init__(self) -> None:
        """Create an empty baseline."""
        self._long_term = _DecayingHistogram(LONG_WINDOW_CALLS)

    def add(self, latencies: Mapping[int, int]) -> None:
        """Add latencies of the old version."""
        if latencies:
            self._long_term.add(latencies)

    def find_limit(self) -> int | None:
        """Return the bucket above which a call is slow, if there is enough data."""
        if self._long_term.total < MIN_LATENCIES:
            return None
        above = 0.0
        for bucket in sorted(self._long_term.counts, reverse=True):
            above += self._long_term.counts[bucket]
            if above > SLOW_FRACTION * self._long_term.total:
                return bucket + TOLERANCE_BUCKETS
        return None

    def find_expected(self, limit: int) -> float:
        """Return the fraction of slow calls that a good version may have."""
        return (
            self._long_term.estimate_above(limit - TOLERANCE_BUCKETS, SLOW_FRACTION)
            + SLOW_TOLERANCE
        )
