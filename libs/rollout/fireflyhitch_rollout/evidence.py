"""Collects call results, exchanges them between daemons and evaluates them."""

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
from fireflyhitch_rollout.call_counts import (
    AggregationLevel,
    BatchMessage,
    CallCounts,
    CellKey,
    EvidenceMessage,
    add_cells,
    find_band,
    find_bucket,
    make_batch,
    parse_batch,
)
from fireflyhitch_rollout.sequential_test import SequentialTest, Verdict

# Number of messages that repeat each batch; it is lost only if all of them are.
SENDS_PER_BATCH = 3
SEND_INTERVAL_SECONDS = 1.0
AGGREGATORS_PER_DOMAIN = 2
DEDUPLICATION_WINDOW = 64
# Calls that fail together in one crash count as one failure.
FAILURE_DEDUPLICATION_SECONDS = 0.4
# A new server is slow until its prefix cache is warm, which is not a fault. The
# cache fills with calls, of which each daemon sees only its part.
WARMUP_CALLS = 60
MIN_WARMUP_CALLS = 3


@dataclass(frozen=True, slots=True)
class Trial:
    """The two versions of a deployment that are compared."""

    old: VersionId
    new: VersionId


class EvidenceCollector:
    """Collects one record per call; ``step`` sends and evaluates them.

    Each daemon sends its counts to the aggregators of its failure domain, and the
    first aggregator sends the domain's total to those of other domains. Therefore a
    daemon's traffic does not grow with the number of daemons in other domains.
    """

    def __init__(
        self, local_daemon: Daemon, messenger: PeerMessenger, clock: Clock
    ) -> None:
        """Create a collector without trials."""
        self._local_daemon = local_daemon
        self._messenger = messenger
        self._clock = clock
        self._lock = Lock()
        self._trials: dict[DeploymentId, Trial] = {}
        self._tests: dict[DeploymentId, SequentialTest] = {}
        self._unprocessed: dict[CellKey, CallCounts] = {}
        self._received: dict[CellKey, CallCounts] = {}
        self._domain_counts: dict[CellKey, CallCounts] = {}
        self._unsent: dict[CellKey, CallCounts] = {}
        self._send_after = 0.0
        self._sequence = 0
        self._own_batches: deque[BatchMessage] = deque(maxlen=SENDS_PER_BATCH)
        self._domain_batches: deque[BatchMessage] = deque(maxlen=SENDS_PER_BATCH)
        self._seen: dict[tuple[DaemonId, int], deque[int]] = {}
        self._leaving: frozenset[BackendServerId] = frozenset()
        self._served: Counter[BackendServerId] = Counter()
        self._warmup = WARMUP_CALLS
        self._last_failed: dict[BackendServerId, float] = {}
        self._holders: frozenset[DaemonId] = frozenset()
        messenger.handle(EvidenceMessage, self._receive_batches)

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
        """Count a call that completed or failed at a backend server.

        Cancelled calls and calls that this daemon rejected are not recorded.

        :param first_token: seconds to the first token or byte, if one arrived.
        :param between_tokens: mean seconds between tokens, if there were several.
        :param load: the server's calls in progress as a fraction of its capacity.
        """
        if call.deployment not in self._trials:
            return
        now = self._clock.monotonic()
        with self._lock:
            if self._is_excluded(server.server_id, ok, now):
                return
            key = CellKey(
                call.deployment,
                server.version,
                call.route,
                find_band(load),
                server.failure_domain,
            )
            counts = self._unprocessed.get(key)
            if counts is None:
                counts = CallCounts()
                self._unprocessed[key] = counts
            _count_call(
                counts, ok, self._is_warm(server.server_id), first_token, between_tokens
            )

    def set_trials(self, trials: Mapping[DeploymentId, Trial]) -> None:
        """Set the compared versions; other deployments are not recorded."""
        with self._lock:
            for deployment, trial in trials.items():
                if self._trials.get(deployment) != trial:
                    self._tests[deployment] = SequentialTest(trial.old, trial.new)
            self._trials = dict(trials)
            for removed in self._tests.keys() - trials.keys():
                self._tests.pop(removed)

    def mark_leaving(self, servers: Iterable[BackendServerId]) -> None:
        """Set the leaving servers, whose failures are not counted."""
        self._leaving = frozenset(servers)

    def set_holders(self, holders: Iterable[DaemonId]) -> None:
        """Set the holders of move duties, which receive all evidence."""
        self._holders = frozenset(holders)

    def step(self) -> dict[DeploymentId, Verdict]:
        """Send and evaluate new counts; return the faults that they show."""
        with self._lock:
            own = self._unprocessed
            received = self._received
            self._unprocessed = {}
            self._received = {}
            tests = dict(self._tests)
        add_cells(self._unsent, own)
        self._send_when_due()
        add_cells(received, own)
        verdicts: dict[DeploymentId, Verdict] = {}
        for deployment, test in tests.items():
            cells = {
                key: counts
                for key, counts in received.items()
                if key.deployment == deployment
            }
            verdict = test.add_batch(cells)
            if verdict is not None:
                verdicts[deployment] = verdict
        return verdicts

    def find_test(self, deployment: DeploymentId) -> SequentialTest | None:
        """Return the test of a deployment on trial."""
        return self._tests.get(deployment)

    def _is_excluded(self, server: BackendServerId, ok: bool, now: float) -> bool:
        if ok:
            return False
        if server in self._leaving:
            return True
        last = self._last_failed.get(server)
        if last is not None and now - last < FAILURE_DEDUPLICATION_SECONDS:
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
        self._send_after = now + SEND_INTERVAL_SECONDS
        own = self._unsent
        self._unsent = {}
        with self._lock:
            domain = self._domain_counts
            self._domain_counts = {}
        self._send(own, domain)

    def _send(
        self, own: dict[CellKey, CallCounts], domain: dict[CellKey, CallCounts]
    ) -> None:
        if not self._trials:
            return
        self._sequence += 1
        members = self._list_members()
        daemons = sum(len(inside) for inside in members.values())
        self._warmup = max(WARMUP_CALLS // max(daemons, 1), MIN_WARMUP_CALLS)
        local_daemon = self._local_daemon
        local_receivers = self._choose_receivers(members, local_daemon.failure_domain)
        others = local_receivers - {local_daemon.daemon_id}
        if others:
            self._own_batches.append(make_batch(self._sequence, own))
            self._send_batches(others, AggregationLevel.DAEMON, self._own_batches)
        aggregators = _choose_aggregators(local_daemon.failure_domain, members)
        if not aggregators or aggregators[0] != local_daemon.daemon_id:
            return
        add_cells(domain, own)
        self._domain_batches.append(make_batch(self._sequence, domain))
        for other in members.keys() - {local_daemon.failure_domain}:
            remote_receivers = self._choose_receivers(members, other)
            self._send_batches(
                remote_receivers, AggregationLevel.FAILURE_DOMAIN, self._domain_batches
            )

    def _send_batches(
        self,
        targets: set[DaemonId],
        level: AggregationLevel,
        batches: deque[BatchMessage],
    ) -> None:
        if not any(batch.cells for batch in batches):
            return
        filled = tuple(batch for batch in batches if batch.cells)
        message = EvidenceMessage(level=level, batches=filled)
        for target in sorted(targets):
            self._messenger.tell(target, message)

    def _list_members(self) -> dict[FailureDomainId, list[DaemonId]]:
        members: dict[FailureDomainId, list[DaemonId]] = {}
        for daemon in self._messenger.live():
            members.setdefault(daemon.failure_domain, []).append(daemon.daemon_id)
        return members

    def _choose_receivers(
        self,
        members: dict[FailureDomainId, list[DaemonId]],
        domain: FailureDomainId,
    ) -> set[DaemonId]:
        inside = members.get(domain, [])
        chosen = set(_choose_aggregators(domain, members))
        return chosen.union(self._holders.intersection(inside))

    def _receive_batches(self, sender: DaemonId, message: EvidenceMessage) -> None:
        with self._lock:
            seen = self._seen.setdefault(
                (sender, message.level), deque(maxlen=DEDUPLICATION_WINDOW)
            )
            for batch in message.batches:
                if batch.sequence in seen:
                    continue
                seen.append(batch.sequence)
                cells = parse_batch(batch)
                add_cells(self._received, cells)
                if message.level == AggregationLevel.DAEMON:
                    add_cells(self._domain_counts, cells)


def _choose_aggregators(
    domain: FailureDomainId, members: dict[FailureDomainId, list[DaemonId]]
) -> list[DaemonId]:
    return rank_by_hash(f'evidence {domain}', members.get(domain, []))[
        :AGGREGATORS_PER_DOMAIN
    ]


def _count_call(
    counts: CallCounts,
    ok: bool,
    warm: bool,
    first_token: float | None,
    between_tokens: float | None,
) -> None:
    counts.calls += 1
    if not ok:
        counts.failures += 1
        return
    if warm and first_token is not None:
        _count_latency(counts.first_token, first_token)
    if warm and between_tokens is not None:
        _count_latency(counts.between_tokens, between_tokens)


def _count_latency(counts: dict[int, int], seconds: float) -> None:
    bucket = find_bucket(seconds)
    counts[bucket] = counts.get(bucket, 0) + 1
