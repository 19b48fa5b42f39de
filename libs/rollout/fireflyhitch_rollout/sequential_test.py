"""Sequential test of a new version against the old one.

For each group of calls a Shiryaev-Roberts statistic is updated with each batch:
``R = (R + 1) * L``, where ``L`` is the likelihood ratio of "the new version is
worse" to "it equals the old version in the same period". For a good version its
mean after ``N`` updates is at most ``N``, so the probability that it reaches
``THRESHOLD`` within ``N`` updates is at most ``N / THRESHOLD``, however often it
is checked. Unlike a test that accumulates all evidence, it discounts a good past
and detects a late fault as fast as an early one.
"""

import math
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from fireflyhitch_model.ids import FailureDomainId, VersionId
from fireflyhitch_rollout.baselines import FailureBaseline, LatencyBaseline, RecentRate
from fireflyhitch_rollout.call_counts import CallCounts, CellKey, LoadBand, Signal

# In the moves benchmark a move makes about 10,000 updates over all groups, so at
# most 1 good version in 1,000 is rolled back by chance.
THRESHOLD = 1e7
# Alternative hypotheses: the fraction of otherwise good calls that turn bad.
ALTERNATIVES = (0.04, 0.12, 0.35, 0.8)
MAX_LOG_RATIO = 600.0
MAX_BASE_RATE = 0.95
# Routes with a smaller fraction of the calls cannot delay a move.
MINOR_ROUTE_FRACTION = 0.1
# Number of failures that reach the threshold if every call fails.
MIN_ROUTE_CALLS = 5
ANY_ROUTE = '*'
LATENCY_SIGNALS = (Signal.FIRST_TOKEN, Signal.BETWEEN_TOKENS)
_Kind = tuple[str, LoadBand]


@dataclass(frozen=True, slots=True)
class Verdict:
    """A detected fault of the new version.

    :param evidence: human-readable value of the statistic that reached the
        threshold.
    """

    signal: Signal
    route: str
    evidence: str


class _Group(NamedTuple):
    signal: Signal
    route: str
    band: LoadBand | None


@dataclass(slots=True)
class _Statistic:
    values: list[float] = field(default_factory=lambda: [0.0 for _ in ALTERNATIVES])

    def update(self, log_ratios: list[float]) -> float:
        for index, log in enumerate(log_ratios):
            ratio = math.exp(min(log, MAX_LOG_RATIO))
            self.values[index] = (self.values[index] + 1) * ratio
        return sum(self.values) / len(self.values)


class SequentialTest:
    """Tests the batches of one move."""

    def __init__(self, old: VersionId, new: VersionId) -> None:
        """Create a test without evidence."""
        self.updates = 0
        self._old = old
        self._new = new
        self._verdict: Verdict | None = None
        self._cell_baselines: dict[
            tuple[str, LoadBand, FailureDomainId], FailureBaseline
        ] = {}
        self._pooled_baselines: dict[_Kind, FailureBaseline] = {}
        self._latency_baselines: dict[tuple[Signal, _Kind], LatencyBaseline] = {}
        self._recent_rates: dict[tuple[Signal, FailureDomainId | None], RecentRate] = {}
        self._statistics: dict[_Group, _Statistic] = {}
        self._old_calls_loaded = 0
        self._old_calls: Counter[str] = Counter()
        self._new_calls: Counter[tuple[str, LoadBand]] = Counter()
        self._new_failures: Counter[str] = Counter()

    def add_batch(self, cells: Mapping[CellKey, CallCounts]) -> Verdict | None:
        """Add a batch of paired counts.

        :returns: the fault detected now or earlier, if any.
        """
        for key, counts in cells.items():
            if key.version == self._old:
                self._add_old(key, counts)
        log_ratios: dict[_Group, list[float]] = {}
        for key, counts in cells.items():
            if key.version == self._new:
                self._add_new(key, counts)
                self._compare(key, counts, log_ratios)
        for group, group_ratios in log_ratios.items():
            self._update(group, group_ratios)
        return self._verdict

    def count_calls(self, route: str, min_band: LoadBand = LoadBand.IDLE) -> int:
        """Return the new version's calls on a route, at ``min_band`` or above."""
        return sum(
            count
            for (other, band), count in self._new_calls.items()
            if other == route and band >= min_band
        )

    def count_new_calls(self) -> int:
        """Return the number of calls of the new version."""
        return self._new_calls.total()

    def list_major_routes(self) -> list[str]:
        """Return the routes with at least ``MINOR_ROUTE_FRACTION`` of the calls."""
        min_calls = MINOR_ROUTE_FRACTION * self._old_calls.total()
        return sorted(
            route for route, calls in self._old_calls.items() if calls >= min_calls
        )

    def has_enough_calls(self, min_calls: int) -> bool:
        """Return whether all major routes were tried, some calls under load.

        :param min_calls: minimum number of calls of the new version in total.
        """
        routes = self.list_major_routes()
        loaded = sum(self.count_calls(route, LoadBand.USUAL) for route in routes)
        if not routes or self.count_new_calls() < min_calls:
            return False
        if loaded < min(MIN_ROUTE_CALLS, self.count_old_loaded()):
            return False
        return all(self.count_calls(route) >= MIN_ROUTE_CALLS for route in routes)

    def count_old_loaded(self) -> int:
        """Return the old version's calls at usual load or more."""
        return self._old_calls_loaded

    def describe(self) -> tuple[str, ...]:
        """Return a human-readable line for each route."""
        lines = [
            f'{route}: {self.count_calls(route)} calls to the new version, '
            f'{self._new_failures[route]} failed, '
            f'{self.count_calls(route, LoadBand.USUAL)} at usual load or more; '
            f'{self._old_calls[route]} to the old'
            for route in sorted(self._old_calls)
        ]
        if self._verdict is not None:
            lines.append(self._verdict.evidence)
        return tuple(lines)

    def _add_old(self, key: CellKey, counts: CallCounts) -> None:
        self._old_calls[key.route] += counts.calls
        if key.band >= LoadBand.USUAL:
            self._old_calls_loaded += counts.calls
        kind = (key.route, key.band)
        cell = (key.route, key.band, key.failure_domain)
        for failures in (
            self._cell_baselines.setdefault(cell, FailureBaseline()),
            self._pooled_baselines.setdefault(kind, FailureBaseline()),
        ):
            failures.add(counts.calls, counts.failures)
        for domain in (key.failure_domain, None):
            recent = self._recent_rates.setdefault(
                (Signal.FAILURE, domain), RecentRate()
            )
            recent.add(counts.calls, counts.failures)
        for signal in LATENCY_SIGNALS:
            latencies = counts.get_latencies(signal)
            baseline = self._latency_baselines.setdefault(
                (signal, kind), LatencyBaseline()
            )
            limit = baseline.find_limit()
            baseline.add(latencies)
            if limit is not None:
                recent = self._recent_rates.setdefault((signal, None), RecentRate())
                recent.add(*_count_slow(latencies, limit))

    def _add_new(self, key: CellKey, counts: CallCounts) -> None:
        self._new_calls[key.route, key.band] += counts.calls
        self._new_failures[key.route] += counts.failures

    def _compare(
        self, key: CellKey, counts: CallCounts, log_ratios: dict[_Group, list[float]]
    ) -> None:
        kind = (key.route, key.band)
        pooled = self._pooled_baselines.get(kind, FailureBaseline())
        cell = self._cell_baselines.get((*kind, key.failure_domain), FailureBaseline())
        expected = cell.find_expected(pooled.find_rate())
        for domain in (key.failure_domain, None):
            expected = self._find_expected(Signal.FAILURE, domain, expected)
        ratios = _find_log_ratios(counts.failures, counts.calls, expected)
        _add_log_ratios(log_ratios, Signal.FAILURE, key, ratios)
        if key.band is LoadBand.OVERFULL:
            # This band has no upper bound, so latencies in it reflect how
            # overloaded the server was rather than its version.
            return
        for signal in LATENCY_SIGNALS:
            baseline = self._latency_baselines.get((signal, kind), LatencyBaseline())
            limit = baseline.find_limit()
            if limit is None:
                continue
            latencies = counts.get_latencies(signal)
            total, slow = _count_slow(latencies, limit)
            expected = self._find_expected(signal, None, baseline.find_expected(limit))
            ratios = _find_log_ratios(slow, total, expected)
            _add_log_ratios(log_ratios, signal, key, ratios)

    def _find_expected(
        self, signal: Signal, domain: FailureDomainId | None, usual: float
    ) -> float:
        recent = self._recent_rates.get((signal, domain))
        return usual if recent is None else recent.find_expected(usual)

    def _update(self, group: _Group, log_ratios: list[float]) -> None:
        self.updates += 1
        statistic = self._statistics.setdefault(group, _Statistic())
        statistic_value = statistic.update(log_ratios)
        if statistic_value < THRESHOLD or self._verdict is not None:
            return
        load = f' at {group.band.name.lower()} load' if group.band is not None else ''
        text = (
            f'{group.signal.value} on {group.route}{load}: likelihood ratio '
            f'{statistic_value:.1e} after {self.count_new_calls()} calls'
        )
        self._verdict = Verdict(group.signal, group.route, text)


def _count_slow(latencies: Mapping[int, int], limit: int) -> tuple[int, int]:
    """Return the number of calls in total and above a bucket."""
    slow = sum(count for bucket, count in latencies.items() if bucket > limit)
    return sum(latencies.values()), slow


def _add_log_ratios(
    log_ratios: dict[_Group, list[float]],
    signal: Signal,
    key: CellKey,
    ratios: list[float],
) -> None:
    if not any(ratios):
        return
    for group in _list_groups(signal, key):
        group_ratios = log_ratios.get(group)
        if group_ratios is None:
            log_ratios[group] = list(ratios)
            continue
        for index, ratio in enumerate(ratios):
            group_ratios[index] += ratio


def _list_groups(signal: Signal, key: CellKey) -> Iterator[_Group]:
    # A fault on one route or only under load is diluted in the total, but a
    # fault everywhere is detected earliest there.
    yield _Group(signal, key.route, key.band)
    yield _Group(signal, key.route, None)
    yield _Group(signal, ANY_ROUTE, None)


def _find_log_ratios(bad: int, calls: int, expected: float) -> list[float]:
    """Return the log likelihood ratio for each alternative."""
    base_rate = min(expected, MAX_BASE_RATE)
    ratios = []
    for worse_fraction in ALTERNATIVES:
        worse_rate = base_rate + worse_fraction * (1 - base_rate)
        good_log_ratio = (calls - bad) * math.log((1 - worse_rate) / (1 - base_rate))
        ratios.append(bad * math.log(worse_rate / base_rate) + good_log_ratio)
    return ratios
