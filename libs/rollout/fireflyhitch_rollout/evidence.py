"""Collects what calls met, passes it between daemons, and judges it."""

from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from threading import Lock

from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.calls import Call
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.hashing import rank_by_hash
from fireflyhitch_model.ids import (
    BackendServerId,
    DaemonId,
    DeploymentId,
    FailureDomainId,
    VersionId,
)
from fireflyhitch_model.peers import Daemon, PeerMessenger
from fireflyhitch_rollout.judge import Judge, Verdict
from fireflyhitch_rollout.tallies import (
    BatchNews,
    CellKey,
    EvidenceNews,
    Level,
    Tally,
    add_cells,
    find_band,
    find_bucket,
    make_batch,
    read_batch,
)

# Each batch goes out this often, so that it is lost only with as many messages.
SENDINGS = 3
SEND_SECONDS = 1.0
CARRIERS = 2
REMEMBERED_BATCHES = 64
# Calls that one crash breaks off together are one piece of evidence.
FAILURE_GAP_SECONDS = 0.4
# A server that has just begun has a cold prefix cache, which is no fault; it
# fills by calls, of which each daemon sees its part.
WARMUP_CALLS = 60
LEAST_WARMUP_CALLS = 3


@dataclass(frozen=True, slots=True)
class Trial:
    """The two versions that are compared for a deployment."""

    old: VersionId
    new: VersionId


class EvidenceCollector:
    """Takes one record a call; ``step`` passes them on and judges.

    Each daemon sends its counts to the carriers of its failure domain; the
    first carrier sends the domain's sum to the carriers of the others. So a
    daemon's traffic does not grow with the number of daemons elsewhere.
    """

    def __init__(self, here: Daemon, messenger: PeerMessenger, clock: Clock) -> None:
        """Make a book that watches no deployment yet."""
        self._here = here
        self._messenger = messenger
        self._clock = clock
        self._lock = Lock()
        self._trials: dict[DeploymentId, Trial] = {}
        self._judges: dict[DeploymentId, Judge] = {}
        self._fresh: dict[CellKey, Tally] = {}
        self._received: dict[CellKey, Tally] = {}
        self._domain: dict[CellKey, Tally] = {}
        self._unsent: dict[CellKey, Tally] = {}
        self._send_after = 0.0
        self._sequence = 0
        self._own_batches: deque[BatchNews] = deque(maxlen=SENDINGS)
        self._domain_batches: deque[BatchNews] = deque(maxlen=SENDINGS)
        self._seen: dict[tuple[DaemonId, int], deque[int]] = {}
        self._leaving: frozenset[BackendServerId] = frozenset()
        self._served: Counter[BackendServerId] = Counter()
        self._warmup = WARMUP_CALLS
        self._last_failed: dict[BackendServerId, float] = {}
        self._holders: frozenset[DaemonId] = frozenset()
        messenger.handle(EvidenceNews, self._take_news)

    def record(
        self,
        call: Call,
        server: BackendServer,
        *,
        ok: bool,
        first_token: float | None = None,
        between_tokens: float | None = None,
        load: float = 0,
    ) -> None:
        """Count a call that ended, or failed, at a backend server.

        Cancelled calls and refusals by this daemon itself are not recorded.

        :param first_token: seconds to the first token or byte; ``None`` if none.
        :param between_tokens: mean seconds between tokens, if there were several.
        :param load: the server's calls in work as a part of its capacity.
        """
        if call.deployment not in self._trials:
            return
        now = self._clock.monotonic()
        with self._lock:
            if self._is_excused(server.server_id, ok, now):
                return
            key = CellKey(
                call.deployment,
                server.version,
                call.route,
                find_band(load),
                server.failure_domain,
            )
            tally = self._fresh.get(key)
            if tally is None:
                tally = Tally()
                self._fresh[key] = tally
            _count(
                tally, ok, self._is_warm(server.server_id), first_token, between_tokens
            )

    def watch(self, trials: Mapping[DeploymentId, Trial]) -> None:
        """Say which deployments are on trial; the others are not recorded."""
        with self._lock:
            for deployment, trial in trials.items():
                if self._trials.get(deployment) != trial:
                    self._judges[deployment] = Judge(trial.old, trial.new)
            self._trials = dict(trials)
            for gone in self._judges.keys() - trials.keys():
                self._judges.pop(gone)

    def mark_leaving(self, servers: Iterable[BackendServerId]) -> None:
        """Leave out failures at servers that are being taken away."""
        self._leaving = frozenset(servers)

    def set_holders(self, holders: Iterable[DaemonId]) -> None:
        """Say who decides on moves, so that these daemons get all evidence."""
        self._holders = frozenset(holders)

    def step(self) -> dict[DeploymentId, Verdict]:
        """Pass on what is new and return the faults that it shows."""
        with self._lock:
            own = self._fresh
            received = self._received
            self._fresh = {}
            self._received = {}
            judges = dict(self._judges)
        add_cells(self._unsent, own)
        self._send_when_due()
        add_cells(received, own)
        verdicts: dict[DeploymentId, Verdict] = {}
        for deployment, judge in judges.items():
            cells = {
                key: tally
                for key, tally in received.items()
                if key.deployment == deployment
            }
            verdict = judge.weigh(cells)
            if verdict is not None:
                verdicts[deployment] = verdict
        return verdicts

    def find_test(self, deployment: DeploymentId) -> Judge | None:
        """Return what is known of a deployment on trial."""
        return self._judges.get(deployment)

    def _is_excused(self, server: BackendServerId, ok: bool, now: float) -> bool:
        if ok:
            return False
        if server in self._leaving:
            return True
        last = self._last_failed.get(server)
        if last is not None and now - last < FAILURE_GAP_SECONDS:
            return True
        self._last_failed[server] = now
        return False

    def _is_warm(self, server: BackendServerId) -> bool:
        self._served[server] += 1
        return self._served[server] > self._warmup

    def _send_when_due(self) -> None:
        now = self._clock.monotonic()
        if now < self._send_after:
            return
        self._send_after = now + SEND_SECONDS
        own = self._unsent
        self._unsent = {}
        with self._lock:
            domain = self._domain
            self._domain = {}
        self._send(own, domain)

    def _send(self, own: dict[CellKey, Tally], domain: dict[CellKey, Tally]) -> None:
        if not self._trials:
            return
        self._sequence += 1
        members = self._list_members()
        daemons = sum(len(inside) for inside in members.values())
        self._warmup = max(WARMUP_CALLS // max(daemons, 1), LEAST_WARMUP_CALLS)
        here = self._here
        near = self._choose_near(members, here.failure_domain)
        others = near - {here.daemon_id}
        if others:
            self._own_batches.append(make_batch(self._sequence, own))
            self._tell(others, Level.DAEMON, self._own_batches)
        carriers = _choose_carriers(here.failure_domain, members)
        if not carriers or carriers[0] != here.daemon_id:
            return
        add_cells(domain, own)
        self._domain_batches.append(make_batch(self._sequence, domain))
        for other in members.keys() - {here.failure_domain}:
            far = self._choose_near(members, other)
            self._tell(far, Level.FAILURE_DOMAIN, self._domain_batches)

    def _tell(
        self, targets: set[DaemonId], level: Level, batches: deque[BatchNews]
    ) -> None:
        if not any(batch.cells for batch in batches):
            return
        filled = tuple(batch for batch in batches if batch.cells)
        news = EvidenceNews(level=level, batches=filled)
        for target in sorted(targets):
            self._messenger.tell(target, news)

    def _list_members(self) -> dict[FailureDomainId, list[DaemonId]]:
        members: dict[FailureDomainId, list[DaemonId]] = {}
        for daemon in self._messenger.live():
            members.setdefault(daemon.failure_domain, []).append(daemon.daemon_id)
        return members

    def _choose_near(
        self,
        members: dict[FailureDomainId, list[DaemonId]],
        domain: FailureDomainId,
    ) -> set[DaemonId]:
        inside = members.get(domain, [])
        chosen = set(_choose_carriers(domain, members))
        return chosen.union(self._holders.intersection(inside))

    def _take_news(self, sender: DaemonId, news: EvidenceNews) -> None:
        with self._lock:
            seen = self._seen.setdefault(
                (sender, news.level), deque(maxlen=REMEMBERED_BATCHES)
            )
            for batch in news.batches:
                if batch.sequence in seen:
                    continue
                seen.append(batch.sequence)
                cells = read_batch(batch)
                add_cells(self._received, cells)
                if news.level == Level.DAEMON:
                    add_cells(self._domain, cells)


def _choose_carriers(
    domain: FailureDomainId, members: dict[FailureDomainId, list[DaemonId]]
) -> list[DaemonId]:
    return rank_by_hash(f'evidence {domain}', members.get(domain, []))[:CARRIERS]


def _count(
    tally: Tally,
    ok: bool,
    warm: bool,
    first_token: float | None,
    between_tokens: float | None,
) -> None:
    tally.calls += 1
    if not ok:
        tally.failures += 1
        return
    if warm and first_token is not None:
        _count_latency(tally.first_token, first_token)
    if warm and between_tokens is not None:
        _count_latency(tally.between_tokens, between_tokens)


def _count_latency(counts: dict[int, int], seconds: float) -> None:
    bucket = find_bucket(seconds)
    counts[bucket] = counts.get(bucket, 0) + 1
