"""The backend servers that this daemon knows, and what it learned of each."""

from collections import OrderedDict
from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass, field
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
from fireflyhitch_serving.connections import Address, ConnectionPool
from fireflyhitch_serving.health import ServerHealth
from fireflyhitch_serving.messages import PromptPart, ReportedLoad
from fireflyhitch_serving.server_statistics import (
    AnswerCounts,
    ServerStatistics,
    find_failure_rate,
    find_lateness,
    find_slowness,
    is_failing,
)

# Prompt parts remembered for each server; an engine's cache holds some hundreds.
MOST_PARTS = 2048
# A note of what a peer has in flight counts for this long; peers tell each other
# several times a second, and a peer that is gone has nothing in flight.
PEER_NOTE_SECONDS = 2.0
# What is known of all servers changes with the peers' news, not with each request.
JUDGED_SECONDS = 0.4
# A prompt's parts belong to so many servers by hash: choosing among all servers, each
# daemon sends to the one that was idle by its late news, and reads shared parts once
# more there. Some more are ranked, as the first ones may be leaving or left out.
AGREED_SERVERS = 2
MOST_RANKED = 8


@immutable
class ServerEntry:
    """A server as the platform lists it.

    :param slots: requests that it works on at once.
    :param ready: whether it may be given work; a leaving one may not.
    :param cold_seconds: for how much longer it is slow after its start.
    :param born: milliseconds since 1970 of its start; tells two starts apart.
    :param reclaimable: whether the platform may take it away.
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
    """Work that a daemon has at a server.

    :param requests: without a whole answer yet.
    :param prompt_tokens: of those whose first token has not come, less what the
        server is thought to have cached.
    """

    requests: int = 0
    prompt_tokens: int = 0


@dataclass(slots=True)
class _PeerNote:
    work: InFlight
    at: float


@dataclass(slots=True)
class ServerRecord:
    """A server, the work that it has, and how its answers have been.

    :param evidence: how it has answered all daemons.
    :param slowness: how many times as long as at others a request takes, by that.
    :param failing: whether it fails much more than others do.
    """

    server: ServerEntry
    pool: ConnectionPool
    health: ServerHealth
    requests: int = 0
    prompt_tokens: int = 0
    load: ReportedLoad | None = None
    load_received_at: float = 0
    peers: dict[str, _PeerNote] = field(default_factory=dict)
    evidence: ServerStatistics = field(default_factory=ServerStatistics)
    slowness: float = 1
    failing: bool = False
    parts: OrderedDict[str, float] = field(default_factory=OrderedDict)
    process: ProcessId = field(init=False)

    def __post_init__(self) -> None:
        """Name the server's process."""
        self.process = identify_process(self.server.server_id, self.server.born)

    @property
    def own(self) -> InFlight:
        """Return what this daemon has in flight there."""
        return InFlight(self.requests, self.prompt_tokens)

    def total(self, now: float) -> InFlight:
        """Return what all daemons are known to have in flight there."""
        requests = self.requests
        tokens = self.prompt_tokens
        for note in self.peers.values():
            if now - note.at < PEER_NOTE_SECONDS:
                requests += note.work.requests
                tokens += note.work.prompt_tokens
        return InFlight(requests, tokens)

    def update_peer(self, peer: str, work: InFlight, now: float) -> None:
        """Take in what a peer has in flight there; nothing is kept of one that has none."""
        if any(work):
            self.peers[peer] = _PeerNote(work, now)
        else:
            self.peers.pop(peer, None)

    def update_load(self, load: ReportedLoad, now: float) -> None:
        """Take in the server's own account."""
        self.load = load
        self.load_received_at = now

    def mark(self, *, failing: bool, by: AnswerCounts) -> None:
        """Note whether it fails much more than others do."""
        if failing == self.failing:
            return
        self.failing = failing
        logger.bind(
            server=self.server.server_id,
            answers=round(by.answers, 1),
            failed=round(by.failed, 1),
            failing=failing,
        ).info('server judged')

    def add_cached_parts(self, parts: Iterable[PromptPart], now: float) -> None:
        """Note that a prompt's parts are, or will soon be, in its cache."""
        self.add_cached_part_ids((part.part_id for part in parts), now)

    def add_cached_part_ids(self, part_ids: Iterable[str], now: float) -> None:
        """Note parts by their ids."""
        for part_id in part_ids:
            self.add_cached_part(part_id, now)

    def add_cached_part(self, part_id: str, now: float) -> None:
        """Note one part as cached."""
        self.parts[part_id] = now
        self.parts.move_to_end(part_id)
        if len(self.parts) > MOST_PARTS:
            self.parts.popitem(last=False)


class ServerRegistry:
    """All servers; changed by the platform's list, read by choices."""

    def __init__(self) -> None:
        """Make a book without servers."""
        self._records: dict[BackendServerId, ServerRecord] = {}
        self._by_service: dict[DeploymentId, list[ServerRecord]] = {}
        self._judged_at: dict[DeploymentId, float] = {}
        self._usual_rates: dict[DeploymentId, float] = {}
        self._ranked: LRUCache[tuple[DeploymentId, str], list[BackendServerId]] = (
            LRUCache(MOST_PARTS)
        )

    def find(self, server_id: BackendServerId) -> ServerRecord | None:
        """Return a server's record."""
        return self._records.get(server_id)

    def find_by_service(self, service: DeploymentId) -> list[ServerRecord]:
        """Return the servers of a service, those that are leaving included."""
        return self._by_service.get(service, [])

    def evaluate(self, service: DeploymentId, now: float) -> None:
        """Work out which servers of a service are slow or failing, now and again."""
        if now - self._judged_at.get(service, float('-inf')) < JUDGED_SECONDS:
            return
        self._judged_at[service] = now
        records = self.find_by_service(service)
        if not records:
            return
        self._usual_rates[service] = median_high(
            [record.health.rate for record in records]
        )
        counts = [record.evidence.sum_all(now) for record in records]
        usual_rate = median_high([find_failure_rate(found) for found in counts])
        usual_lateness = median_high([find_lateness(found) for found in counts])
        for record, found in zip(records, counts, strict=True):
            record.slowness = find_slowness(find_lateness(found), usual_lateness)
            record.mark(failing=is_failing(found, usual_rate), by=found)

    def find_median_failure_rate(self, service: DeploymentId) -> float:
        """Return the median rate of a service's servers, as judged last."""
        return self._usual_rates.get(service, 0)

    def find_affinity_servers(
        self, service: DeploymentId, part_id: str, among: Container[BackendServerId]
    ) -> list[BackendServerId]:
        """Return the servers that all daemons would choose among for a prompt's part.

        :param among: those that may be chosen.
        """
        key = (service, part_id)
        ranked = self._ranked.get(key)
        if ranked is None:
            listed = (
                record.server.server_id for record in self.find_by_service(service)
            )
            ranked = rank_by_hash(part_id, listed)[:MOST_RANKED]
            self._ranked[key] = ranked
        return [server for server in ranked if server in among][:AGREED_SERVERS]

    def all(self) -> Mapping[BackendServerId, ServerRecord]:
        """Return all records."""
        return self._records

    def put(self, server: ServerEntry) -> bool:
        """Take in a server as it is listed now.

        A new start or address is another process: what was learned of the old
        one is forgotten with its connections.

        :returns: whether this changes who may be given work.
        """
        known = self._records.get(server.server_id)
        if known is not None and _is_same(known.server, server):
            changed = known.server.ready != server.ready
            known.server = server
            return changed
        if known is not None:
            known.pool.close()
        self._records[server.server_id] = ServerRecord(
            server, ConnectionPool(), ServerHealth()
        )
        self._index()
        return True

    def remove(self, server_id: BackendServerId) -> ServerRecord | None:
        """Forget a server that is gone."""
        record = self._records.pop(server_id, None)
        if record is None:
            return None
        record.pool.close()
        # Requests still being prepared for it see that it has left.
        record.server = _as_leaving(record.server)
        self._index()
        return record

    def _index(self) -> None:
        self._by_service = {}
        self._ranked.clear()
        for record in self._records.values():
            service = record.server.service
            self._by_service.setdefault(service, []).append(record)


def _is_same(old: ServerEntry, new: ServerEntry) -> bool:
    return (old.born, old.address, old.service, old.version) == (
        new.born,
        new.address,
        new.service,
        new.version,
    )


def _as_leaving(server: ServerEntry) -> ServerEntry:
    return ServerEntry(
        server.server_id,
        server.service,
        server.address,
        server.failure_domain,
        server.version,
        server.slots,
        ready=False,
        born=server.born,
    )
