"""The backend servers known to this daemon, with their load and statistics."""

from collections import OrderedDict
from collections.abc import Callable, Container, Iterable, Mapping
from dataclasses import dataclass, field, replace
from statistics import median_high
from typing import NamedTuple

from cachetools import LRUCache
from loguru import logger

from fireflyhitch_model.hashing import rank_by_hash
from fireflyhitch_model.identity import identify_process
from fireflyhitch_model.ids import (
    BackendServerId,
    DeploymentId,
    FailureDomainId,
    ProcessId,
)
from fireflyhitch_model.records import immutable
from fireflyhitch_routing.time_factors import TimeFactor
from fireflyhitch_serving.connection_pools import ConnectionPool
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.health import ServerHealth
from fireflyhitch_serving.messages import PromptPart, ReportedLoad
from fireflyhitch_serving.server_statistics import (
    AnswerCounts,
    ServerStatistics,
    find_failure_rate,
    find_mean_relative_latency,
    find_slowness,
    is_failing,
)

# Prompt parts remembered for each server; an engine's cache holds some hundreds.
MAX_CACHED_PARTS = 2048
# Lifetime of a peer's in-flight counts. Peers send them several times a second, and a
# peer that is gone has nothing in flight.
PEER_WORK_SECONDS = 2.0
# A server's own report of its load is used for this long, also if the server is draining
# or has returned.
LOAD_REPORT_TTL_SECONDS = 0.5
# Statistics change with the peers' reports, not with each request.
EVALUATION_INTERVAL_SECONDS = 0.4
# A prompt part maps to this many servers by rendezvous hashing. If daemons chose among
# all servers, each would pick one that is idle in its outdated state, and shared parts
# would be prefilled there once more. More servers are ranked, since the first ones may
# be leaving or excluded.
AFFINITY_SERVERS = 2
MAX_RANKED = 8
# Leaving processes remembered, also after their entries are gone.
MAX_LEAVING = 4096


@immutable
class ServerEntry:
    """A server as the platform lists it.

    :param slots: requests that it processes concurrently.
    :param ready: whether it may get requests; a leaving server may not.
    :param cold_seconds: remaining time for which it is slow after its start.
    :param born: start time in milliseconds since 1970; identifies the process.
    :param reclaimable: whether the platform may reclaim it.
    :param leaves_seconds: until it is gone, where that is known.
    """

    server_id: BackendServerId
    service: DeploymentId
    address: Address
    failure_domain: FailureDomainId
    version: str
    slots: int
    ready: bool
    cold_seconds: float = 0
    born: int = 0
    reclaimable: bool = False
    leaves_seconds: float | None = None


class InFlight(NamedTuple):
    """Work that a daemon has in flight at a server.

    :param requests: requests without a complete response.
    :param prompt_tokens: of requests without a first token yet, less the tokens that
        the server probably has cached.
    """

    requests: int = 0
    prompt_tokens: int = 0


@dataclass(slots=True)
class _PeerWork:
    work: InFlight
    at: float


@dataclass(slots=True)
class ServerRecord:
    """A server with its load and statistics.

    :param evidence: statistics of its answers to all daemons.
    :param slowness: time that a request takes there as a multiple of the expected one.
    :param failing: whether it fails much more often than others.
    :param cold_until: monotonic seconds until which it is cold.
    :param evacuated: whether operators evacuate its failure domain.
    :param leaving: whether it has said in a response that it leaves.
    :param rests_until: monotonic seconds until which it wants no requests from here.
    :param load_malformed: whether its last load report could not be read in full.
    :param time_factor: how long work takes there at this moment.
    """

    server: ServerEntry
    pool: ConnectionPool
    health: ServerHealth
    requests: int = 0
    prompt_tokens: int = 0
    load: ReportedLoad | None = None
    load_malformed: bool = False
    time_factor: TimeFactor = field(default_factory=TimeFactor)
    load_received_at: float = 0
    peers: dict[str, _PeerWork] = field(default_factory=dict)
    evidence: ServerStatistics = field(default_factory=ServerStatistics)
    slowness: float = 1
    failing: bool = False
    evacuated: bool = False
    leaving: bool = False
    rests_until: float = float('-inf')
    cold_until: float = float('-inf')
    parts: OrderedDict[str, float] = field(default_factory=OrderedDict)
    process: ProcessId = field(init=False)

    def __post_init__(self) -> None:
        """Set the id of the server's process."""
        self.process = identify_process(self.server.server_id, self.server.born)

    @property
    def accepts_requests(self) -> bool:
        """Return whether new requests may be sent to it."""
        return self.server.ready and not (self.evacuated or self.leaving)

    def rests(self, now: float) -> bool:
        """Return whether it has asked this daemon for rest until later than now."""
        return now < self.rests_until

    def rest(self, seconds: float, now: float) -> None:
        """Send it no requests for some seconds, or for longer if it asked for that."""
        self.rests_until = max(self.rests_until, now + seconds)
        logger.bind(server=self.server.server_id, seconds=seconds).info('server rests')

    def is_cold(self, now: float) -> bool:
        """Return whether it is still slow after its start."""
        return now < self.cold_until

    @property
    def own(self) -> InFlight:
        """Return the work that this daemon has in flight there."""
        return InFlight(self.requests, self.prompt_tokens)

    def total(self, now: float) -> InFlight:
        """Return the known work of all daemons in flight there."""
        requests = self.requests
        tokens = self.prompt_tokens
        for reported in self.peers.values():
            if now - reported.at < PEER_WORK_SECONDS:
                requests += reported.work.requests
                tokens += reported.work.prompt_tokens
        return InFlight(requests, tokens)

    def update_peer(self, peer: str, work: InFlight, now: float) -> None:
        """Replace a peer's work in flight; a peer without any is removed."""
        if any(work):
            self.peers[peer] = _PeerWork(work, now)
        else:
            self.peers.pop(peer, None)

    def update_load(self, load: ReportedLoad, now: float) -> None:
        """Set the load that the server reported."""
        self.load = load
        self.load_received_at = now
        if load.time_factor is not None:
            self.time_factor.record(load.time_factor, now)

    def find_fresh_load(self, now: float) -> ReportedLoad | None:
        """Return the load that the server last reported, ``None`` if it is too old."""
        if now - self.load_received_at < LOAD_REPORT_TTL_SECONDS:
            return self.load
        return None

    def set_load_malformed(self, *, malformed: bool) -> None:
        """Set whether its last load report could not be read in full."""
        if malformed == self.load_malformed:
            return
        self.load_malformed = malformed
        log = logger.bind(server=self.server.server_id)
        if malformed:
            log.warning('load report malformed')
        else:
            log.info('load report readable again')

    def set_failing(self, *, failing: bool, counts: AnswerCounts) -> None:
        """Set whether it fails much more often than others."""
        if failing == self.failing:
            return
        self.failing = failing
        logger.bind(
            server=self.server.server_id,
            answers=round(counts.answers, 1),
            failed=round(counts.failed, 1),
            failing=failing,
        ).info('server judged')

    def add_cached_parts(self, parts: Iterable[PromptPart], now: float) -> None:
        """Record that a prompt's parts are, or will soon be, in its cache."""
        self.add_cached_part_ids((part.part_id for part in parts), now)

    def add_cached_part_ids(self, part_ids: Iterable[str], now: float) -> None:
        """Record parts as cached, by their ids."""
        for part_id in part_ids:
            self.add_cached_part(part_id, now)

    def add_cached_part(self, part_id: str, now: float) -> None:
        """Record one part as cached."""
        self.parts[part_id] = now
        self.parts.move_to_end(part_id)
        if len(self.parts) > MAX_CACHED_PARTS:
            self.parts.popitem(last=False)


class ServerRegistry:
    """All known servers, updated from the platform's list."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._records: dict[BackendServerId, ServerRecord] = {}
        self._by_service: dict[DeploymentId, list[ServerRecord]] = {}
        self._evacuated: set[FailureDomainId] = set()
        self._leaving: LRUCache[ProcessId, bool] = LRUCache(MAX_LEAVING)
        self._listeners: list[Callable[[], None]] = []
        self._evaluated_at: dict[DeploymentId, float] = {}
        self._median_rates: dict[DeploymentId, float] = {}
        self._ranked: LRUCache[tuple[DeploymentId, str], list[BackendServerId]] = (
            LRUCache(MAX_CACHED_PARTS)
        )

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a function whenever servers may take requests that they did not take."""
        self._listeners.append(listener)

    def announce_change(self) -> None:
        """Tell the listeners that servers, or what is known of their load, changed."""
        for listener in self._listeners:
            listener()

    def find(self, server_id: BackendServerId) -> ServerRecord | None:
        """Return a server's record."""
        return self._records.get(server_id)

    def find_by_service(self, service: DeploymentId) -> list[ServerRecord]:
        """Return the servers of a service, leaving ones included."""
        return self._by_service.get(service, [])

    def evaluate(self, service: DeploymentId, now: float) -> None:
        """Update which servers of a service are slow or failing, if that is due."""
        if (
            now - self._evaluated_at.get(service, float('-inf'))
            < EVALUATION_INTERVAL_SECONDS
        ):
            return
        self._evaluated_at[service] = now
        records = self.find_by_service(service)
        if not records:
            return
        self._median_rates[service] = median_high(
            [record.health.rate for record in records]
        )
        counts = [record.evidence.sum_all(now) for record in records]
        median_rate = median_high(
            [find_failure_rate(server_counts) for server_counts in counts]
        )
        median_latency = median_high(
            [find_mean_relative_latency(server_counts) for server_counts in counts]
        )
        for record, server_counts in zip(records, counts, strict=True):
            record.slowness = find_slowness(
                find_mean_relative_latency(server_counts),
                median_latency,
                states_factor=record.time_factor.is_stated,
            )
            record.set_failing(
                failing=is_failing(server_counts, median_rate), counts=server_counts
            )

    def find_median_failure_rate(self, service: DeploymentId) -> float:
        """Return the median failure rate of a service at the last evaluation."""
        return self._median_rates.get(service, 0)

    def find_affinity_servers(
        self, service: DeploymentId, part_id: str, eligible: Container[BackendServerId]
    ) -> list[BackendServerId]:
        """Return the servers that all daemons prefer for a prompt part.

        :param eligible: the servers to choose from.
        """
        key = (service, part_id)
        ranked = self._ranked.get(key)
        if ranked is None:
            server_ids = (
                record.server.server_id for record in self.find_by_service(service)
            )
            ranked = rank_by_hash(part_id, server_ids)[:MAX_RANKED]
            self._ranked[key] = ranked
        return [server for server in ranked if server in eligible][:AFFINITY_SERVERS]

    def all(self) -> Mapping[BackendServerId, ServerRecord]:
        """Return all records."""
        return self._records

    def put(self, server: ServerEntry) -> bool:
        """Add or update a server as it is listed now.

        A new start time or address is another process: the statistics and connections
        of the old one are dropped.

        :returns: whether this changes which servers may get requests.
        """
        current = self._records.get(server.server_id)
        if current is not None and _is_same_process(current.server, server):
            changed = current.server.ready != server.ready
            current.server = server
            if changed:
                self.announce_change()
            return changed
        if current is not None:
            current.pool.close()
        record = ServerRecord(
            server,
            ConnectionPool(),
            ServerHealth(),
            evacuated=server.failure_domain in self._evacuated,
        )
        record.leaving = record.process in self._leaving
        self._records[server.server_id] = record
        self._index()
        return True

    def mark_leaving(self, process: ProcessId) -> None:
        """Send no new requests to a server process that says that it leaves.

        It leaves for good, so no later entry takes this back.
        """
        self._leaving[process] = True
        for record in self._records.values():
            if record.process == process:
                record.leaving = True

    def remove(self, server_id: BackendServerId) -> ServerRecord | None:
        """Remove a server that is gone."""
        record = self._records.pop(server_id, None)
        if record is None:
            return None
        record.pool.close()
        # Requests still being prepared for it see that it is leaving.
        record.server = _as_leaving(record.server)
        self._index()
        return record

    @property
    def evacuated_domains(self) -> frozenset[FailureDomainId]:
        """Return the failure domains whose servers get no new requests."""
        return frozenset(self._evacuated)

    def set_evacuated(
        self, domain: FailureDomainId, *, evacuated: bool
    ) -> list[ServerRecord]:
        """Evacuate a failure domain, or end its evacuation.

        Requests that its servers are processing are left alone.

        :returns: the servers for which this is a change.
        """
        if evacuated:
            self._evacuated.add(domain)
        else:
            self._evacuated.discard(domain)
        changed = [
            record
            for record in self._records.values()
            if record.server.failure_domain == domain and record.evacuated != evacuated
        ]
        for record in changed:
            record.evacuated = evacuated
        self.announce_change()
        return changed

    def _index(self) -> None:
        self._by_service = {}
        self._ranked.clear()
        for record in self._records.values():
            service = record.server.service
            self._by_service.setdefault(service, []).append(record)
        self.announce_change()


def _is_same_process(old: ServerEntry, new: ServerEntry) -> bool:
    return (old.born, old.address, old.service, old.version) == (
        new.born,
        new.address,
        new.service,
        new.version,
    )


def _as_leaving(server: ServerEntry) -> ServerEntry:
    return replace(
        server,
        ready=False,
        cold_seconds=0,
        reclaimable=False,
        leaves_seconds=None,
    )
