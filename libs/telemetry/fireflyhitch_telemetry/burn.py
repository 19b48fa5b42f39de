"""Error budget burn: good and bad requests against the target, by window."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime
from itertools import chain
from threading import Lock
from typing import NamedTuple

from ddsketch import LogCollapsingLowestDenseDDSketch
from ddsketch.mapping import LogarithmicMapping
from pydantic import BaseModel, ConfigDict

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import (
    CustomerId,
    DeploymentId,
    FailureDomainId,
    VersionId,
)
from fireflyhitch_telemetry.burn_windows import SlotCounts, Window

ACCURACY = 0.02
MAX_BINS = 512
# Bounds the memory: a row takes some 6 KB when all of its slots are in use.
MAX_ROWS = 2000
# Prevents a division by zero for a target of 1, which leaves no error budget.
MIN_ERROR_BUDGET = 1e-6
OTHER_CUSTOMER = CustomerId('(others)')
OTHER_ROUTE = '(others)'


class BurnTarget(BaseModel):
    """Criteria for a good request, and the required fraction of good requests.

    :param first_token_seconds: maximum time to the first token, in seconds.
    :param between_tokens_seconds: maximum mean time between tokens, in seconds.
    :param share: required fraction of good requests, 0 to 1.
    """

    model_config = ConfigDict(frozen=True, extra='ignore')

    first_token_seconds: float
    between_tokens_seconds: float | None = None
    share: float = 0.95


class WindowCounts(BaseModel):
    """Good and bad requests in one window."""

    model_config = ConfigDict(frozen=True, extra='ignore')

    good: int = 0
    bad: int = 0

    def burn_rate(self, target_share: float) -> float:
        """Return the burn rate; at 1 the error budget is used up exactly."""
        calls = self.good + self.bad
        if calls == 0:
            return 0
        return self.bad / calls / max(1 - target_share, MIN_ERROR_BUDGET)


class BurnRow(BaseModel):
    """Requests of one customer on one route, answered by one version.

    :param latencies: counts of first-token latencies by bin of the sketch.
    """

    model_config = ConfigDict(frozen=True, extra='ignore')

    customer: CustomerId
    deployment: DeploymentId
    route: str
    version: VersionId
    target: BurnTarget
    windows: dict[Window, WindowCounts] = {}
    latencies: dict[int, float] = {}

    @property
    def key(self) -> tuple[str, str, str, str]:
        """Return the key by which rows are merged."""
        return (self.customer, self.deployment, self.route, self.version)

    def latency_quantile(self, quantile: float) -> float | None:
        """Return a quantile of the time to the first token, in seconds."""
        sketch = _make_sketch(self.latencies)
        found = sketch.get_quantile_value(quantile)
        return None if found is None else float(found)


class BurnSnapshot(BaseModel):
    """Counts of one or several daemons, sent as JSON or CBOR.

    :param taken: wall clock time of the snapshot.
    :param since: the earliest start of an included daemon; windows that reach further
        back are incomplete.
    :param daemons: number of included daemons.
    :param failure_domains: failure domains with included daemons.
    :param unreached: failure domains with daemons that could not be queried.
    """

    model_config = ConfigDict(frozen=True, extra='ignore')

    taken: datetime
    since: datetime
    daemons: int = 1
    failure_domains: tuple[FailureDomainId, ...] = ()
    unreached: tuple[FailureDomainId, ...] = ()
    rows: tuple[BurnRow, ...] = ()


class _Key(NamedTuple):
    customer: CustomerId
    deployment: DeploymentId
    route: str
    version: VersionId


@dataclass(slots=True)
class _Counts:
    slots: SlotCounts = field(default_factory=SlotCounts)
    latencies: dict[int, float] = field(default_factory=dict)


class BurnRecorder:
    """Counts requests in bounded memory; ``record`` may be called from any thread."""

    def __init__(self, clock: Clock, failure_domain: FailureDomainId) -> None:
        """Create an empty recorder."""
        self._clock = clock
        self._failure_domain = failure_domain
        self._since = clock.now()
        self._lock = Lock()
        self._mapping = LogarithmicMapping(ACCURACY)
        self._targets: dict[DeploymentId, BurnTarget] = {}
        self._counts: dict[_Key, _Counts] = {}

    def set_targets(self, targets: Mapping[DeploymentId, BurnTarget]) -> None:
        """Set the target of each deployment; to be called when targets change."""
        self._targets = dict(targets)

    def record(
        self,
        customer: CustomerId,
        deployment: DeploymentId,
        route: str,
        version: VersionId,
        *,
        ok: bool,
        first_token: float | None = None,
        between_tokens: float | None = None,
    ) -> None:
        """Count one request that completed or failed.

        :param first_token: seconds from arrival to the first token or byte.
        :param between_tokens: mean seconds between tokens.
        """
        target = self._targets.get(deployment)
        if target is None:
            return
        good = ok and _is_within(target, first_token, between_tokens)
        now = self._clock.now().timestamp()
        with self._lock:
            counts = self._find(_Key(customer, deployment, route, version))
            counts.slots.add(good, now)
            if first_token is not None and first_token > 0:
                bin_index = self._mapping.key(first_token)
                counts.latencies[bin_index] = counts.latencies.get(bin_index, 0) + 1

    def snapshot(self) -> BurnSnapshot:
        """Return all counts in a form that can be merged and sent."""
        taken = self._clock.now()
        with self._lock:
            rows = tuple(
                self._make_row(key, counts, taken.timestamp())
                for key, counts in self._counts.items()
                if key.deployment in self._targets
            )
        return BurnSnapshot(
            taken=taken,
            since=self._since,
            failure_domains=(self._failure_domain,),
            rows=rows,
        )

    def _find(self, key: _Key) -> _Counts:
        counts = self._counts.get(key)
        if counts is not None:
            return counts
        if len(self._counts) >= MAX_ROWS:
            # Further keys are counted in a common row.
            key = _Key(OTHER_CUSTOMER, key.deployment, OTHER_ROUTE, key.version)
        return self._counts.setdefault(key, _Counts())

    def _make_row(self, key: _Key, counts: _Counts, now: float) -> BurnRow:
        windows = {}
        for window in Window:
            good, bad = counts.slots.total(window, now)
            windows[window] = WindowCounts(good=good, bad=bad)
        return BurnRow(
            **key._asdict(),
            target=self._targets[key.deployment],
            windows=windows,
            latencies=dict(counts.latencies),
        )


def merge_snapshots(
    snapshots: Iterable[BurnSnapshot],
    unreached: Iterable[FailureDomainId] = (),
) -> BurnSnapshot:
    """Merge snapshots of different daemons by adding their counts.

    :param unreached: failure domains with daemons that did not answer.
    :raises ValueError: if there are no snapshots.
    """
    parts = list(snapshots)
    rows: dict[tuple[str, str, str, str], BurnRow] = {}
    for row in chain.from_iterable(part.rows for part in parts):
        known = rows.get(row.key)
        rows[row.key] = row if known is None else _add_rows(known, row)
    reached = chain.from_iterable(part.failure_domains for part in parts)
    missing = chain(unreached, *(part.unreached for part in parts))
    return BurnSnapshot(
        taken=max(part.taken for part in parts),
        since=min(part.since for part in parts),
        daemons=sum(part.daemons for part in parts),
        failure_domains=tuple(sorted(set(reached))),
        unreached=tuple(sorted(set(missing))),
        rows=tuple(rows[key] for key in sorted(rows)),
    )


def _add_rows(one: BurnRow, other: BurnRow) -> BurnRow:
    windows = {
        window: WindowCounts(
            good=one.windows[window].good + other.windows[window].good,
            bad=one.windows[window].bad + other.windows[window].bad,
        )
        for window in Window
    }
    latencies = dict(one.latencies)
    for bin_index, count in other.latencies.items():
        latencies[bin_index] = latencies.get(bin_index, 0) + count
    return one.model_copy(update={'windows': windows, 'latencies': latencies})


def _make_sketch(latencies: Mapping[int, float]) -> LogCollapsingLowestDenseDDSketch:
    mapping = LogarithmicMapping(ACCURACY)
    sketch = LogCollapsingLowestDenseDDSketch(ACCURACY, MAX_BINS)
    for bin_index, count in latencies.items():
        sketch.add(mapping.value(bin_index), count)
    return sketch


def _is_within(
    target: BurnTarget, first_token: float | None, between_tokens: float | None
) -> bool:
    if first_token is not None and first_token > target.first_token_seconds:
        return False
    if between_tokens is None or target.between_tokens_seconds is None:
        return True
    return between_tokens <= target.between_tokens_seconds
