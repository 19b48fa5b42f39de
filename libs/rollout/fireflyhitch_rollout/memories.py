"""What the old version's calls met lately, as the measure for the new one."""

from collections import Counter
from dataclasses import dataclass, field

from fireflyhitch_rollout.tallies import Signal, Tally

# A tally is halved when it holds more calls than its depth: the long one gives
# rates, the short one shows a shock that hits both versions at once.
LONG_DEPTH = 800
SHORT_DEPTH = 40
PRIOR_CALLS = 20.0
PRIOR_FAILURES = 0.003
SLOW_PART = 0.1
# The least latencies of the old version before slowness is judged.
LEAST_COMPARED = 30
# What the new version may be worse by without being called worse.
FAILURE_TOLERANCE = 0.004
SLOW_TOLERANCE = 0.04


@dataclass(slots=True)
class _Fading:
    depth: int
    calls: float = 0
    failures: float = 0
    latencies: dict[Signal, Counter[int]] = field(default_factory=dict)

    def add(self, tally: Tally) -> None:
        self.calls += tally.calls
        self.failures += tally.failures
        for signal in (Signal.FIRST_TOKEN, Signal.BETWEEN_TOKENS):
            kept = self.latencies.setdefault(signal, Counter())
            kept.update(tally.find_latencies(signal))
        while self.calls > self.depth:
            self._halve()

    def find_rate(self, prior: float) -> float:
        """Return the part that failed, drawn towards a prior."""
        return (self.failures + prior * PRIOR_CALLS) / (self.calls + PRIOR_CALLS)

    def find_slow(self, signal: Signal, limit: int, prior: float) -> float:
        """Return the part above a bucket, drawn towards a prior."""
        kept = self.latencies.get(signal, Counter())
        slow = sum(count for bucket, count in kept.items() if bucket > limit)
        return (slow + prior * PRIOR_CALLS) / (kept.total() + PRIOR_CALLS)

    def find_limit(self, signal: Signal) -> int | None:
        """Return the bucket that all but the slow part stay within."""
        kept = self.latencies.get(signal, Counter())
        total = kept.total()
        if total < LEAST_COMPARED:
            return None
        above = 0
        for bucket in sorted(kept, reverse=True):
            above += kept[bucket]
            if above > SLOW_PART * total:
                return bucket
        return None

    def _halve(self) -> None:
        self.calls /= 2
        self.failures /= 2
        for kept in self.latencies.values():
            for bucket in kept:
                kept[bucket] /= 2  # type: ignore[assignment]


class Memory:
    """The old version's calls of one kind."""

    def __init__(self) -> None:
        """Make an empty memory."""
        self._long = _Fading(LONG_DEPTH)
        self._short = _Fading(SHORT_DEPTH)

    def add(self, tally: Tally) -> None:
        """Take in what the old version's calls met."""
        self._long.add(tally)
        self._short.add(tally)

    def expect_failures(self, wider: 'Memory | None' = None) -> float:
        """Return the part of calls that a good version may fail.

        The greater of the long and the short rate counts, so that a shock to
        the whole failure domain is not laid at the new version's door.

        :param wider: the same kind of calls in all failure domains.
        """
        prior = wider.find_long_rate() if wider else PRIOR_FAILURES
        steady = self._long.find_rate(prior)
        return max(steady, self._short.find_rate(steady)) + FAILURE_TOLERANCE

    def find_long_rate(self) -> float:
        """Return the long rate of failures."""
        return self._long.find_rate(PRIOR_FAILURES)

    def find_limit(self, signal: Signal) -> int | None:
        """Return the bucket above which a call is slow; ``None`` if unknown."""
        return self._long.find_limit(signal)

    def expect_slow(self, signal: Signal, limit: int) -> float:
        """Return the part of calls that a good version may answer slowly."""
        steady = self._long.find_slow(signal, limit, SLOW_PART)
        lately = self._short.find_slow(signal, limit, steady)
        return max(steady, lately) + SLOW_TOLERANCE
