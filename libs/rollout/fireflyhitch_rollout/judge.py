"""The sequential test of a new version against the old one.

For each group of calls a Shiryaev-Roberts statistic is kept: after each batch
``R = (R + 1) * L``, where ``L`` is the likelihood ratio of "the new version is
worse" against "it is as the old one was in the same period". Its mean after
``N`` updates is at most ``N`` if the version is good, so that a good version
reaches ``THRESHOLD`` within ``N`` updates with a probability of at most
``N / THRESHOLD``, whenever one looks. Unlike a test that adds up all evidence,
it forgets a good past, and so finds a fault that comes late as fast.
"""

import math
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from fireflyhitch_model.ids import FailureDomainId, VersionId
from fireflyhitch_rollout.memories import FailureMemory, LatencyMemory, ShockMeter
from fireflyhitch_rollout.tallies import CellKey, LoadBand, Signal, Tally

# A move makes some 10,000 updates over all groups, by the moves benchmark; so
# at most 1 good version in 1,000 is taken back by chance.
THRESHOLD = 1e7
# Worse means that this part of the calls that would be good turns bad.
ALTERNATIVES = (0.04, 0.12, 0.35, 0.8)
LARGEST_LOG = 600.0
NEARLY_ALL = 0.95
# Routes with less than this part of the calls cannot hold up a move.
MINOR_ROUTE = 0.1
# As many failures as the threshold takes where every call fails.
LEAST_ROUTE_CALLS = 5
ANY_ROUTE = '*'
LATENCIES = (Signal.FIRST_TOKEN, Signal.BETWEEN_TOKENS)
_Kind = tuple[str, LoadBand]


@dataclass(frozen=True, slots=True)
class Verdict:
    """A fault that the evidence shows.

    :param evidence: the statistic that passed the threshold, for people.
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

    def update(self, logs: list[float]) -> float:
        for place, log in enumerate(logs):
            ratio = math.exp(min(log, LARGEST_LOG))
            self.values[place] = (self.values[place] + 1) * ratio
        return sum(self.values) / len(self.values)


class Judge:
    """Weighs the batches of one move."""

    def __init__(self, old: VersionId, new: VersionId) -> None:
        """Make a judge without evidence."""
        self.updates = 0
        self._old = old
        self._new = new
        self._verdict: Verdict | None = None
        self._cells: dict[tuple[str, LoadBand, FailureDomainId], FailureMemory] = {}
        self._pools: dict[_Kind, FailureMemory] = {}
        self._latencies: dict[tuple[Signal, _Kind], LatencyMemory] = {}
        self._shocks: dict[tuple[Signal, FailureDomainId | None], ShockMeter] = {}
        self._statistics: dict[_Group, _Statistic] = {}
        self._old_loaded = 0
        self._old_calls: Counter[str] = Counter()
        self._new_calls: Counter[tuple[str, LoadBand]] = Counter()
        self._new_failures: Counter[str] = Counter()

    def weigh(self, cells: Mapping[CellKey, Tally]) -> Verdict | None:
        """Take in a batch of paired counts.

        :returns: the fault shown, now or earlier.
        """
        for key, tally in cells.items():
            if key.version == self._old:
                self._remember(key, tally)
        logs: dict[_Group, list[float]] = {}
        for key, tally in cells.items():
            if key.version == self._new:
                self._count(key, tally)
                self._compare(key, tally, logs)
        for group, group_logs in logs.items():
            self._update(group, group_logs)
        return self._verdict

    def count_calls(self, route: str, least_band: LoadBand = LoadBand.IDLE) -> int:
        """Return how many calls of a route the new version had at some load."""
        return sum(
            count
            for (other, band), count in self._new_calls.items()
            if other == route and band >= least_band
        )

    def count_new(self) -> int:
        """Return how many calls the new version had."""
        return self._new_calls.total()

    def find_routes(self) -> list[str]:
        """Return the routes that have more than a minor part of the calls."""
        least = MINOR_ROUTE * self._old_calls.total()
        return sorted(
            route for route, calls in self._old_calls.items() if calls >= least
        )

    def has_enough(self, min_calls: int) -> bool:
        """Tell whether each route that is not minor was tried, also under load.

        :param min_calls: calls of the new version that are needed in all.
        """
        routes = self.find_routes()
        loaded = sum(self.count_calls(route, LoadBand.USUAL) for route in routes)
        if not routes or self.count_new() < min_calls:
            return False
        if loaded < min(LEAST_ROUTE_CALLS, self.count_usual()):
            return False
        return all(self.count_calls(route) >= LEAST_ROUTE_CALLS for route in routes)

    def count_usual(self) -> int:
        """Return how many of the old version's calls met usual load or more."""
        return self._old_loaded

    def describe(self) -> tuple[str, ...]:
        """Return a line for each route, for people."""
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

    def _remember(self, key: CellKey, tally: Tally) -> None:
        self._old_calls[key.route] += tally.calls
        if key.band >= LoadBand.USUAL:
            self._old_loaded += tally.calls
        kind = (key.route, key.band)
        cell = (key.route, key.band, key.failure_domain)
        for failures in (
            self._cells.setdefault(cell, FailureMemory()),
            self._pools.setdefault(kind, FailureMemory()),
        ):
            failures.add(tally.calls, tally.failures)
        for domain in (key.failure_domain, None):
            shocks = self._shocks.setdefault((Signal.FAILURE, domain), ShockMeter())
            shocks.add(tally.calls, tally.failures)
        for signal in LATENCIES:
            latencies = tally.find_latencies(signal)
            slowness = self._latencies.setdefault((signal, kind), LatencyMemory())
            limit = slowness.find_limit()
            slowness.add(latencies)
            if limit is not None:
                shocks = self._shocks.setdefault((signal, None), ShockMeter())
                shocks.add(*_count_slow(latencies, limit))

    def _count(self, key: CellKey, tally: Tally) -> None:
        self._new_calls[key.route, key.band] += tally.calls
        self._new_failures[key.route] += tally.failures

    def _compare(
        self, key: CellKey, tally: Tally, logs: dict[_Group, list[float]]
    ) -> None:
        kind = (key.route, key.band)
        pool = self._pools.get(kind, FailureMemory())
        cell = self._cells.get((*kind, key.failure_domain), FailureMemory())
        expected = cell.expect(pool.find_rate())
        for domain in (key.failure_domain, None):
            expected = self._expect(Signal.FAILURE, domain, expected)
        ratios = _weigh_counts(tally.failures, tally.calls, expected)
        _add_logs(logs, Signal.FAILURE, key, ratios)
        if key.band is LoadBand.OVERFULL:
            # This band has no upper limit: how long calls wait there says how
            # overloaded the server was, not how good its version is.
            return
        for signal in LATENCIES:
            memory = self._latencies.get((signal, kind), LatencyMemory())
            limit = memory.find_limit()
            if limit is None:
                continue
            latencies = tally.find_latencies(signal)
            total, slow = _count_slow(latencies, limit)
            expected = self._expect(signal, None, memory.expect(limit))
            ratios = _weigh_counts(slow, total, expected)
            _add_logs(logs, signal, key, ratios)

    def _expect(
        self, signal: Signal, domain: FailureDomainId | None, usual: float
    ) -> float:
        shocks = self._shocks.get((signal, domain))
        return usual if shocks is None else shocks.expect(usual)

    def _update(self, group: _Group, logs: list[float]) -> None:
        self.updates += 1
        statistic = self._statistics.setdefault(group, _Statistic())
        reached = statistic.update(logs)
        if reached < THRESHOLD or self._verdict is not None:
            return
        load = f' at {group.band.name.lower()} load' if group.band is not None else ''
        text = (
            f'{group.signal.value} on {group.route}{load}: likelihood ratio '
            f'{reached:.1e} after {self.count_new()} calls'
        )
        self._verdict = Verdict(group.signal, group.route, text)


def _count_slow(latencies: Mapping[int, int], limit: int) -> tuple[int, int]:
    """Return all calls, and those above a bucket."""
    slow = sum(count for bucket, count in latencies.items() if bucket > limit)
    return sum(latencies.values()), slow


def _add_logs(
    logs: dict[_Group, list[float]], signal: Signal, key: CellKey, ratios: list[float]
) -> None:
    if not any(ratios):
        return
    for group in _list_groups(signal, key):
        kept = logs.get(group)
        if kept is None:
            logs[group] = list(ratios)
            continue
        for place, ratio in enumerate(ratios):
            kept[place] += ratio


def _list_groups(signal: Signal, key: CellKey) -> Iterator[_Group]:
    # A fault on one route, or only under load, drowns in the sum over all;
    # a fault everywhere shows soonest in the sum.
    yield _Group(signal, key.route, key.band)
    yield _Group(signal, key.route, None)
    yield _Group(signal, ANY_ROUTE, None)


def _weigh_counts(bad: int, calls: int, expected: float) -> list[float]:
    """Return the logarithm of the likelihood ratio for each alternative."""
    base = min(expected, NEARLY_ALL)
    ratios = []
    for part in ALTERNATIVES:
        worse = base + part * (1 - base)
        good = (calls - bad) * math.log((1 - worse) / (1 - base))
        ratios.append(bad * math.log(worse / base) + good)
    return ratios
