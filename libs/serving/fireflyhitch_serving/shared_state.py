"""What this daemon tells the others of itself, and what it takes in from them.

With few daemons each tells all others its whole state. With many, each tells the hub of
its failure domain, which tells the state of all of that domain and of the others; only
counts go to the leader as well.
"""

import time
from collections.abc import Callable, Mapping

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.hashing import rank_by_hash
from fireflyhitch_model.ids import (
    ABSENT,
    BackendServerId,
    FailureDomainId,
    Revision,
)
from fireflyhitch_model.records import immutable
from fireflyhitch_routing.crashes import CrashTracker
from fireflyhitch_routing.server_limits import ServerLimits
from fireflyhitch_serving.dependencies import RecentPromptParts
from fireflyhitch_serving.hubs import HubTracker
from fireflyhitch_serving.moves import MoveTracker
from fireflyhitch_serving.own_contribution import OwnPart
from fireflyhitch_serving.peer_state import PeerState
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.quotas import Quotas, QuotaSlack, find_slack_fraction
from fireflyhitch_serving.retry_budget import RetryBudget
from fireflyhitch_serving.server_statistics import (
    MIN_REPORTED_ANSWERS,
    AnswerCounts,
    AnswersByServer,
)
from fireflyhitch_serving.servers import InFlight, ServerRegistry
from fireflyhitch_serving.store_health import StoreHealth
from fireflyhitch_serving.summaries import (
    DomainSummary,
    SummaryTable,
    read_summaries,
)
from fireflyhitch_serving.usage import UsageTracker

HELPING_DOMAINS = 2


@immutable
class SharedComponents:
    """What daemons tell each other of.

    :param stopping: whether this daemon is about to go.
    :param newest: revision of the newest change that it knows, by prefix of the keys.
    """

    clock: Clock
    peers: PeerRegistry
    hubs: HubTracker
    summaries: SummaryTable
    servers: ServerRegistry
    quotas: Quotas
    usage: UsageTracker
    budget: RetryBudget
    moves: MoveTracker
    crashes: CrashTracker
    limits: ServerLimits
    fresh_parts: RecentPromptParts
    health: StoreHealth
    stopping: Callable[[], bool]
    newest: Callable[[], Mapping[str, Revision]]


class SharedState:
    """Makes this daemon's news, and joins those of the others."""

    def __init__(self, daemon: str, process: str, parts: SharedComponents) -> None:
        """Make a state that was told to nobody."""
        self._daemon = daemon
        self._process = process
        self._parts = parts
        self._sequence = 0
        self._own_part = OwnPart(daemon)
        self._hears_directly = True
        # By teller: the servers that it had work at when it was last heard.
        self._worked: dict[str, frozenset[BackendServerId]] = {}
        self._tolerated = QuotaSlack()
        parts.peers.hub_members = parts.hubs.find_members
        parts.peers.find_hub_wall = self._find_hub_wall
        parts.health.others_settled = self.is_store_settled_elsewhere

    def set_quota_slack(self, tolerated: QuotaSlack) -> None:
        """Take in what the platform tolerates above customers' limits."""
        self._tolerated = tolerated
        self._apply_slack()

    def build_peer_state(self) -> PeerState:
        """Return this daemon's present state."""
        parts = self._parts
        self._note_daemons()
        now = parts.clock.monotonic()
        self._sequence += 1
        news = PeerState(
            daemon=self._daemon,
            process=self._process,
            failure_domain=parts.peers.own_domain,
            sequence=self._sequence,
            wall=time.time(),
            work={
                server_id: record.own
                for server_id, record in parts.servers.all().items()
                if record.requests
            },
            customers=parts.quotas.build_reports(now),
            usage=parts.usage.local_counts(parts.peers.wall()),
            fresh_parts=parts.fresh_parts.take(),
            evidence=parts.moves.evidence(),
            hears_store=parts.health.answers,
            store_settled=parts.health.vouches(),
            stopping=parts.stopping(),
            newest=parts.newest(),
            answers=self._read_answers(),
            crashes=parts.crashes.tell(now, heard=False),
            limits=parts.limits.tell(now, heard=False),
        )
        self._own_part.note_told(news)
        return news

    def apply_peer_state(self, news: PeerState) -> None:
        """Take in a daemon's state."""
        parts = self._parts
        parts.usage.merge_counts(news.process, news.usage)
        parts.moves.update_peer_evidence(news.process, news.evidence)
        now = parts.clock.monotonic()
        parts.crashes.take(news.crashes, now)
        parts.limits.take(news.limits, now)
        near = news.failure_domain == parts.peers.own_domain
        if parts.peers.uses_summaries() and not (near and self._hears_directly):
            # It is in a summary, and must not count twice.
            return
        self._take_work(news.daemon, news.work, news.fresh_parts)
        self._take_answers(news.daemon, news.answers)
        for customer, note in news.customers.items():
            parts.quotas.apply_report(news.process, customer, note, now, near=near)

    def apply_summaries(self, data: bytes) -> bool:
        """Take in a datagram with summaries; tell whether it was one."""
        summaries = read_summaries(data)
        if summaries is None:
            return False
        for summary in summaries:
            now = self._parts.clock.monotonic()
            self._parts.crashes.take(summary.crashes, now)
            self._parts.limits.take(summary.limits, now)
            if summary.domain == self._parts.peers.own_domain:
                self._take_near_summary(summary)
            elif self._parts.summaries.take(summary):
                self._take_summary(summary)
        return True

    def find_unresponsive_domains(self) -> frozenset[FailureDomainId]:
        """Return the failure domains that are probably cut off from here."""
        if self._parts.peers.uses_summaries():
            return self._parts.summaries.find_unresponsive_domains()
        return self._parts.peers.find_unresponsive_domains()

    def has_heard_from_all(self) -> bool:
        """Tell whether every daemon there is has been heard itself just now."""
        peers = self._parts.peers
        return len(peers.heard()) >= peers.count_daemons() - 1

    def is_store_settled_elsewhere(self) -> bool:
        """Tell whether another daemon has heard the store without a break."""
        near = self._parts.peers.heard().values()
        return any(news.store_settled for news in near) or any(
            summary.store_settled for summary in self._live_summaries()
        )

    def _live_summaries(self) -> list[DomainSummary]:
        """Return what is told of other failure domains, and by the own one's hub."""
        live = list(self._parts.summaries.live().values())
        near = self._parts.hubs.current()
        return live if near is None else [near, *live]

    def find_relays_without_store(self) -> list[str]:
        """Return the relays of failure domains that this one helps with the store.

        Nobody hears it there. Two others help, so that no message lost is missed.
        """
        own = self._parts.peers.own_domain
        live = self._parts.summaries.live()
        able = [own, *(name for name, found in live.items() if found.store_settled)]
        return [
            summary.relay
            for domain, summary in live.items()
            if not summary.store_settled
            and own in rank_by_hash(domain, able)[:HELPING_DOMAINS]
        ]

    def find_newest(self, prefix: str) -> Revision:
        """Return the newest change below a prefix that any other daemon knows."""
        near = [news.newest for news in self._parts.peers.heard().values()]
        far = [summary.newest for summary in self._live_summaries()]
        told = (newest.get(prefix, ABSENT) for newest in (*near, *far))
        return max(told, default=ABSENT)

    def sum_demand(self) -> float:
        """Return units a second that customers ask of all daemons."""
        return self._parts.quotas.sum_demand(self._parts.clock.monotonic())

    def _find_hub_wall(self) -> float | None:
        return None if self._hears_directly else self._parts.hubs.find_wall()

    def _take_near_summary(self, summary: DomainSummary) -> None:
        """Take in what the hub has joined, but for this daemon's own part."""
        parts = self._parts
        parts.summaries.note_relayed()
        known = parts.hubs.current()
        if not parts.hubs.take(summary) or self._hears_directly:
            return
        if known is not None and known.process != summary.process:
            parts.quotas.forget_process(known.source)
        self._take_summary(self._own_part.subtract(summary))

    def _take_summary(self, summary: DomainSummary) -> None:
        """Take in what the daemons of a domain have, but for this one."""
        parts = self._parts
        self._take_work(summary.domain, summary.work, summary.fresh_parts)
        self._take_answers(summary.domain, summary.answers)
        now = parts.clock.monotonic()
        for customer, note in summary.customers.items():
            parts.quotas.apply_report(summary.source, customer, note, now)
        for process, evidence in summary.evidence.items():
            if process != self._process:
                parts.moves.update_peer_evidence(process, evidence)

    def _note_way(self) -> None:
        """Note whether the neighbours' work is known from themselves or from the hub.

        The hub and its successor hear all of them, and the leader does too.
        """
        direct = not self._parts.peers.uses_summaries() or self._hears_neighbours()
        if direct != self._hears_directly:
            self._hears_directly = direct
            for record in self._parts.servers.all().values():
                # What came the other way would count twice until it is too old.
                record.peers.clear()
                record.evidence.peers.clear()

    def _hears_neighbours(self) -> bool:
        """Tell whether all that a hub would tell is heard from the daemons themselves."""
        hubs = self._parts.hubs
        told = hubs.find_members()
        if not told or hubs.acts():
            return True
        return told.keys() <= self._parts.peers.heard_near().keys()

    def _take_work(
        self,
        teller: str,
        work: Mapping[BackendServerId, InFlight],
        fresh_parts: Mapping[BackendServerId, list[str]],
    ) -> None:
        now = self._parts.clock.monotonic()
        servers = self._parts.servers
        ended = self._worked.get(teller, frozenset()) - work.keys()
        self._worked[teller] = frozenset(work)
        for server_id in (*ended, *work):
            record = servers.find(server_id)
            if record is not None:
                record.update_peer(teller, work.get(server_id, InFlight()), now)
        for where, parts in fresh_parts.items():
            reader = servers.find(where)
            if reader is not None:
                reader.add_cached_part_ids(parts, now)

    def _read_answers(self) -> dict[BackendServerId, AnswerCounts]:
        now = self._parts.clock.monotonic()
        seen = {
            server_id: record.evidence.read_local(now)
            for server_id, record in self._parts.servers.all().items()
            if record.evidence.has_local_answers
        }
        return {
            server_id: counts
            for server_id, counts in seen.items()
            if counts.answers >= MIN_REPORTED_ANSWERS
        }

    def _take_answers(self, teller: str, answers: AnswersByServer) -> None:
        now = self._parts.clock.monotonic()
        for server_id, counts in answers.items():
            record = self._parts.servers.find(server_id)
            if record is not None:
                record.evidence.update_peer(teller, counts, now)

    def _note_daemons(self) -> None:
        self._note_way()
        peers = self._parts.peers
        daemons = peers.count_daemons()
        self._parts.budget.daemons = daemons
        self._parts.quotas.update_daemon_counts(
            daemons, self._count_heard(), peers.propagation_seconds()
        )
        self._apply_slack()

    def _apply_slack(self) -> None:
        used = find_slack_fraction(self._parts.peers.propagation_seconds())
        self._parts.quotas.slack = QuotaSlack(
            self._tolerated.units * used,
            # The other half covers bursts that begin in one window and end in the next.
            self._tolerated.rate_fraction * used / 2,
            self._tolerated.window,
        )

    def _count_heard(self) -> int:
        heard = {self._daemon, *self._parts.peers.heard()}
        for summary in self._live_summaries():
            heard.update(summary.members)
        return len(heard)
