"""The product's version moves and two baselines, as the benchmark drives them."""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from fireflyhitch_bench.moves_backends import (
    DEPLOYMENT,
    DOMAINS,
    NEW,
    OLD,
    Backends,
    Case,
    Ended,
)
from fireflyhitch_fleet.duties import DutyManager
from fireflyhitch_fleet.needs import VersionNeed
from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.calls import Call
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.ids import BackendServerId, DaemonId, VersionId
from fireflyhitch_model.peers import Daemon
from fireflyhitch_rollout.evidence import EvidenceCollector
from fireflyhitch_rollout.moves import MoveManager
from fireflyhitch_rollout.records import MoveEndReason, MoveState
from fireflyhitch_rollout.shares import HASH_RANGE, VersionPicker
from fireflyhitch_rollout.supplies import Supply
from fireflyhitch_settings.schema import (
    Configuration,
    ModelDeployment,
    VersionMove,
)
from fireflyhitch_standins.faults import Fault
from fireflyhitch_standins.keyvalue import MemoryKeyValueStore
from fireflyhitch_standins.peers import MemoryPeerNetwork

DAEMONS = 2
Picked = tuple[VersionId, tuple[BackendServerId, ...]]


@dataclass(frozen=True, slots=True)
class Ending:
    """How a move ended.

    :param at: seconds since the operator's wish.
    """

    done: bool
    at: float
    reason: str


class Policy(Protocol):
    """What decides on a move in the benchmark."""

    def pick(self, daemon: int, call: Call) -> Picked:
        """Choose a version and its servers."""

    def record(self, ended: Ended) -> None:
        """Take in a call that ended."""

    def step(self, backends: Backends) -> None:
        """Decide, once a step."""

    def list_needs(self) -> Sequence[VersionNeed]:
        """Return what the fleet has to hold ready."""

    def find_ending(self) -> Ending | None:
        """Return the move's end, when it has ended."""


class _Node:
    def __init__(
        self,
        number: int,
        store: MemoryKeyValueStore,
        network: MemoryPeerNetwork,
        clock: ManualClock,
    ) -> None:
        here = Daemon(DaemonId(f'daemon-{number}'), DOMAINS[number], '', '')
        messenger = network.join(here)
        self.duties = DutyManager(store, clock, here.daemon_id, messenger.live)
        self.collector = EvidenceCollector(here, messenger, clock)
        self.picker = VersionPicker()
        self.manager = MoveManager(
            here, store, messenger, self.duties, self.collector, self.picker, clock
        )


class MoveManagerPolicy:
    """The product: two daemons, a store with outages, peers."""

    def __init__(self, case: Case, clock: ManualClock) -> None:
        """Name the move to all daemons."""
        self._case = case
        self._clock = clock
        self._store = MemoryKeyValueStore(clock)
        network = MemoryPeerNetwork()
        self._nodes = [
            _Node(number, self._store, network, clock) for number in range(DAEMONS)
        ]
        self._ready: tuple[BackendServer, ...] = ()
        self._ending: Ending | None = None
        move = VersionMove(to_version=NEW, move_by=clock.now() + case.window)
        deployment = ModelDeployment(
            name=DEPLOYMENT, failure_domains=DOMAINS, version=OLD, move=move
        )
        configuration = Configuration(deployments=(deployment,), customers=())
        for node in self._nodes:
            node.manager.configure(configuration, 1)
            node.duties.set_duties(node.manager.list_duties())

    def pick(self, daemon: int, call: Call) -> Picked:
        """Choose as the daemon does."""
        pick = self._nodes[daemon].picker.pick(call)
        return pick.version, pick.servers

    def record(self, ended: Ended) -> None:
        """Record at the daemon that gave the call out."""
        self._nodes[ended.daemon].collector.record(
            ended.call,
            ended.server,
            ok=ended.ok,
            first_token=ended.first_token,
            between_tokens=ended.between_tokens,
            load=ended.load,
        )

    def step(self, backends: Backends) -> None:
        """Let each daemon take its step."""
        now = self._clock.monotonic()
        begins, ends = self._case.outage
        self._store.faults.clear_all()
        if begins <= now < ends:
            self._store.faults.set_persistent('*', Fault.LOST_REQUEST)
        ready = backends.list_ready()
        if ready != self._ready:
            self._observe(ready)
        leaving = backends.list_leaving()
        for node in self._nodes:
            node.collector.mark_leaving(leaving)
            node.duties.step()
            node.manager.step()
        self._note_ending(now)

    def _observe(self, ready: tuple[BackendServer, ...]) -> None:
        self._ready = ready
        start_time = timedelta(seconds=self._case.start_seconds)
        supply = Supply(ready, self._case.needed, start_time)
        for node in self._nodes:
            node.manager.update_supplies({DEPLOYMENT: supply})

    def list_needs(self) -> Sequence[VersionNeed]:
        """Return what the move manager asks of the fleet."""
        return self._nodes[0].manager.list_needs(DEPLOYMENT)

    def find_ending(self) -> Ending | None:
        """Return the end, once all daemons see one."""
        return self._ending

    def _note_ending(self, now: float) -> None:
        if self._ending is not None:
            return
        shares = [node.picker.find(DEPLOYMENT) for node in self._nodes]
        if all(share is not None and share.new for share in shares):
            return
        reports = [report for node in self._nodes for report in node.manager.moves()]
        ended = [
            report
            for report in reports
            if report.state in {MoveState.DONE, MoveState.ROLLED_BACK}
        ]
        if ended:
            done = ended[0].state is MoveState.DONE
            reason = ended[0].reason or MoveEndReason.UNCONFIRMED
            self._ending = Ending(done, now, reason.name.lower())


class _Baseline:
    """What both baselines share: one share for all, all servers ready ahead."""

    def __init__(self, case: Case, clock: ManualClock) -> None:
        self.share = 0.0
        self.ending: Ending | None = None
        self.window = case.window.total_seconds()
        self.clock = clock
        self.has_new = False

    def pick(self, daemon: int, call: Call) -> Picked:
        """Choose by the request's hash."""
        if not self.has_new:
            return OLD, ()
        place = hash_text(call.request_id) / HASH_RANGE
        return (NEW if place < self.share else OLD), ()

    def list_needs(self) -> Sequence[VersionNeed]:
        """Keep both versions whole until the end."""
        if self.ending is not None:
            return (VersionNeed(NEW if self.ending.done else OLD, 1),)
        return (VersionNeed(OLD, 1, scale_in_protected=True), VersionNeed(NEW, 1))

    def find_ending(self) -> Ending | None:
        """Return the end."""
        return self.ending

    def finish(self, done: bool, reason: str) -> None:
        """End the move."""
        self.share = 1.0 if done else 0.0
        self.ending = Ending(done, self.clock.monotonic(), reason)

    def watch(self, servers: tuple[BackendServer, ...]) -> None:
        """Note whether the new version can serve."""
        self.has_new = any(server.version == NEW for server in servers)


@dataclass(slots=True)
class _Minute:
    calls: dict[VersionId, int]
    failures: dict[VersionId, int]
    latencies: dict[VersionId, list[float]]


class CanaryPolicy(_Baseline):
    """A fixed canary with thresholds, as rollout controllers ship it.

    Shares of 5, 25 and 50% for ten minutes each, then all. Each minute with at
    least 20 calls fails if more than 1% of them failed, or if the time to the
    first token at the 95th percentile is over 1.3 times the old version's; two
    failed minutes in a row take the version back.
    """

    shares = (0.05, 0.25, 0.5)
    step_seconds = 600.0

    def __init__(self, case: Case, clock: ManualClock) -> None:
        """Begin without traffic on the new version."""
        super().__init__(case, clock)
        self._began = math.inf
        self._minute = _make_minute()
        self._checked = 0.0
        self._failed = 0

    def record(self, ended: Ended) -> None:
        """Count for this minute."""
        version = ended.server.version
        self._minute.calls[version] += 1
        self._minute.failures[version] += not ended.ok
        if ended.ok and ended.first_token is not None:
            self._minute.latencies[version].append(ended.first_token)

    def step(self, backends: Backends) -> None:
        """Check each minute, and raise each ten."""
        now = self.clock.monotonic()
        self.watch(backends.list_ready())
        if self.ending is not None:
            return
        if self.has_new:
            self._began = min(self._began, now)
        stage = int(max(now - self._began, 0) / self.step_seconds)
        if now >= self.window and stage < len(self.shares):
            self.finish(done=False, reason='late')
        elif math.isfinite(self._began):
            self._check(now, stage)

    def _check(self, now: float, stage: int) -> None:
        if now - self._checked >= 60:
            self._checked = now
            self._failed = self._failed + 1 if _is_bad(self._minute) else 0
            self._minute = _make_minute()
        if self._failed >= 2:
            self.finish(done=False, reason='fault')
        elif stage >= len(self.shares):
            self.finish(done=True, reason='proven')
        else:
            self.share = self.shares[stage]


class SteppedPolicy(_Baseline):
    """A shift by the clock, which an operator looks at on the date.

    Five equal steps over 0.8 of the time. At the date the operator takes the
    version back if in the last ten minutes more than 2% of its calls failed, or
    if its mean time to the first token is over 1.5 times the old version's.
    """

    shares = (0.1, 0.25, 0.5, 0.75, 0.95)

    def __init__(self, case: Case, clock: ManualClock) -> None:
        """Begin without traffic on the new version."""
        super().__init__(case, clock)
        self._recent: deque[Ended] = deque()
        self._times: deque[float] = deque()

    def record(self, ended: Ended) -> None:
        """Keep the last ten minutes."""
        now = self.clock.monotonic()
        self._recent.append(ended)
        self._times.append(now)
        while self._times[0] < now - 600:
            self._times.popleft()
            self._recent.popleft()

    def step(self, backends: Backends) -> None:
        """Follow the clock."""
        now = self.clock.monotonic()
        self.watch(backends.list_ready())
        if self.ending is not None:
            return
        stage = int(now / (self.window * 0.8) * len(self.shares))
        self.share = self.shares[min(stage, len(self.shares) - 1)]
        if now < self.window:
            return
        if self._looks_bad():
            self.finish(done=False, reason='fault')
        else:
            self.finish(done=True, reason='proven')

    def _looks_bad(self) -> bool:
        new = [ended for ended in self._recent if ended.server.version == NEW]
        old = [ended for ended in self._recent if ended.server.version == OLD]
        failures = sum(not ended.ok for ended in new)
        if failures > 0.02 * len(new):
            return True
        return _find_mean(new) > 1.5 * _find_mean(old)


def _make_minute() -> _Minute:
    return _Minute({OLD: 0, NEW: 0}, {OLD: 0, NEW: 0}, {OLD: [], NEW: []})


def _is_bad(minute: _Minute) -> bool:
    calls = minute.calls[NEW]
    if calls < 20:
        return False
    if minute.failures[NEW] > 0.01 * calls:
        return True
    slow = _find_quantile(minute.latencies[NEW])
    return slow > 1.3 * _find_quantile(minute.latencies[OLD])


def _find_quantile(latencies: list[float]) -> float:
    if not latencies:
        return 0
    return sorted(latencies)[int(0.95 * len(latencies))]


def _find_mean(ended: list[Ended]) -> float:
    firsts = [one.first_token for one in ended if one.ok and one.first_token]
    return sum(firsts) / len(firsts) if firsts else 0
