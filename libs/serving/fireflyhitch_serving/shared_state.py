"""Builds the state that this daemon sends to peers, and applies the states it receives.

With few daemons each sends its complete state to all others. With many, each sends it
to the hub of its failure domain, which broadcasts the merged state of that domain and
of the others; the leader also receives each daemon's state, for its counts.
"""

from collections.abc import Callable, Mapping

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.hashing import rank_by_hash
from fireflyhitch_model.ids import (
    ABSENT,
    BackendServerId,
    FailureDomainId,
    Revision,
    StoreEra,
)
from fireflyhitch_model.records import immutable
from fireflyhitch_routing.announcements import AnnouncementTables
from fireflyhitch_routing.crashes import CrashTracker
from fireflyhitch_routing.service_demand import ServiceDemands
from fireflyhitch_routing.time_factors import TimeFactorReports
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.dependencies import RecentPromptParts
from fireflyhitch_serving.hubs import HubTracker
from fireflyhitch_serving.moves import MoveTracker
from fireflyhitch_serving.own_contribution import OwnContribution
from fireflyhitch_serving.peer_state import Member, PeerState
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.quotas import Quotas, QuotaSlack, find_slack_fraction
from fireflyhitch_serving.retry_budget import RetryBudget
from fireflyhitch_serving.server_statistics import (
    MIN_REPORTED_ANSWERS,
    AnswerCounts,
    AnswersByServer,
)
from fireflyhitch_serving.servers import InFlight, ServerRegistry
from fireflyhitch_serving.store_eras import ERA, EraTracker, ReportedRevisions
from fireflyhitch_serving.store_health import StoreHealth
from fireflyhitch_serving.summaries import (
    DomainSummary,
    SummaryTable,
    decode_summaries,
)
from fireflyhitch_serving.usage import UsageTracker

ASSISTING_DOMAINS = 2


@immutable
class SharedComponents:
    """The components whose state daemons share.

    :param stopping: returns whether this daemon is about to stop.
    :param reaches_servers: returns whether this daemon reaches any server.
    :param newest: returns the revision of the newest change received, by key prefix.
    :param eras: the store's, as known here.
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
    announcements: AnnouncementTables
    demands: ServiceDemands
    fresh_parts: RecentPromptParts
    health: StoreHealth
    stopping: Callable[[], bool]
    reaches_servers: Callable[[], bool]
    newest: Callable[[], Mapping[str, Revision]]
    eras: EraTracker


class SharedState:
    """Builds this daemon's state, and merges the states of others."""

    def __init__(self, daemon: str, process: str, components: SharedComponents) -> None:
        """Create the state of a daemon that has sent and received nothing."""
        self._daemon = daemon
        self._process = process
        self._components = components
        self._sequence = 0
        self._own_contribution = OwnContribution(daemon)
        self._uses_direct_state = True
        # By source: the servers at which it had requests in its last state.
        self._busy_servers: dict[str, frozenset[BackendServerId]] = {}
        self._tolerance = QuotaSlack()
        components.peers.hub_members = components.hubs.find_members
        components.peers.find_hub_wall_clock = self._find_hub_wall_clock
        components.health.is_settled_for_peers = self.is_store_settled_for_peers

    def set_quota_slack(self, tolerance: QuotaSlack) -> None:
        """Set by how much the platform lets customers exceed their limits."""
        self._tolerance = tolerance
        self._apply_slack()

    def build_peer_state(self) -> PeerState:
        """Return this daemon's current state."""
        components = self._components
        self._update_daemon_count()
        now = components.clock.monotonic()
        self._sequence += 1
        state = PeerState(
            daemon=self._daemon,
            process=self._process,
            failure_domain=components.peers.own_domain,
            sequence=self._sequence,
            wall=components.peers.read_local_wall_clock(),
            work={
                server_id: record.own
                for server_id, record in components.servers.all().items()
                if record.requests
            },
            customers=components.quotas.build_reports(now),
            usage=components.usage.local_counts(components.peers.wall()),
            fresh_parts=components.fresh_parts.take(),
            evidence=components.moves.evidence(),
            hears_store=components.health.answers,
            store_settled=components.health.is_stable(),
            stopping=components.stopping(),
            reaches_servers=components.reaches_servers(),
            newest=components.eras.report(components.newest()),
            answers=self._collect_answers(),
            crashes=components.crashes.build_reports(now, include_received=False),
            announcements=components.announcements.build_reports(
                now, include_received=False
            ),
            time_factors=self._collect_time_factors(),
            demand=components.demands.build_report(now),
        )
        self._own_contribution.remember(state)
        return state

    def apply_peer_state(self, state: PeerState) -> None:
        """Apply another daemon's state."""
        components = self._components
        self._record_era(state.newest, f'peer {state.daemon}')
        components.usage.merge_counts(state.process, state.usage)
        components.moves.update_peer_evidence(state.process, state.evidence)
        now = components.clock.monotonic()
        components.crashes.apply_reports(state.crashes, now)
        components.announcements.apply_reports(state.announcements, now)
        is_local = state.failure_domain == components.peers.own_domain
        if components.peers.uses_summaries() and not (
            is_local and self._uses_direct_state
        ):
            # A summary contains it, and it must not count twice.
            return
        self._apply_work(state.daemon, state.work, state.fresh_parts)
        self._apply_answers(state.daemon, state.answers)
        self._apply_time_factors(state.time_factors)
        components.demands.apply_report(state.daemon, state.demand, now)
        for customer, report in state.customers.items():
            components.quotas.apply_report(
                state.process, customer, report, now, same_domain=is_local
            )

    def apply_summaries(self, data: bytes) -> bool:
        """Apply a datagram of summaries; return ``False`` for one of another kind."""
        summaries = decode_summaries(data)
        if summaries is None:
            return False
        for summary in summaries:
            self._record_era(summary.newest, f'hub {summary.relay}')
            now = self._components.clock.monotonic()
            self._components.crashes.apply_reports(summary.crashes, now)
            self._components.announcements.apply_reports(summary.announcements, now)
            if summary.domain == self._components.peers.own_domain:
                self._apply_local_summary(summary)
            elif self._components.summaries.receive(summary):
                self._apply_summary(summary)
        return True

    def find_unresponsive_domains(self) -> frozenset[FailureDomainId]:
        """Return the failure domains that are probably cut off from here."""
        if self._components.peers.uses_summaries():
            return self._components.summaries.find_unresponsive_domains()
        return self._components.peers.find_unresponsive_domains()

    def find_reaching_peers(self) -> dict[str, Address]:
        """Return the other daemons that reach servers, and their addresses."""
        peers = self._components.peers
        daemons: dict[str, PeerState | Member] = {}
        for summary in self._live_summaries():
            daemons.update(summary.members)
        daemons.update(peers.responsive_states())
        daemons.pop(self._daemon, None)
        return {
            name: address
            for name, daemon in daemons.items()
            if daemon.reaches_servers
            and not daemon.stopping
            and (address := peers.find_address(name)) is not None
        }

    def has_heard_from_all(self) -> bool:
        """Return whether all other daemons are responsive, by their own messages."""
        peers = self._components.peers
        return len(peers.responsive_states()) >= peers.count_daemons() - 1

    def is_store_settled_for_peers(self) -> bool:
        """Return whether another daemon has reached the store without interruption.

        One that has not heard of the store's newest era cannot know.
        """
        return any(
            reporter.store_settled and self._components.eras.is_current(reporter.newest)
            for reporter in self._list_reporters()
        )

    def _live_summaries(self) -> list[DomainSummary]:
        """Return the summaries of other failure domains, and that of this domain's hub."""
        live = list(self._components.summaries.live().values())
        hub_summary = self._components.hubs.current()
        return live if hub_summary is None else [hub_summary, *live]

    def find_relays_without_store(self) -> list[str]:
        """Return the relays of failure domains that this one sends store changes to.

        No daemon there can reach the store. Two domains send to each, so that a lost
        message does no harm.
        """
        own = self._components.peers.own_domain
        live = self._components.summaries.live()
        candidates = [
            own,
            *(domain for domain, summary in live.items() if summary.store_settled),
        ]
        return [
            summary.relay
            for domain, summary in live.items()
            if not summary.store_settled
            and own in rank_by_hash(domain, candidates)[:ASSISTING_DOMAINS]
        ]

    def find_newest_revision(self, prefix: str) -> Revision:
        """Return the newest change below a prefix that any other daemon has received."""
        reported = (
            self._components.eras.find_reported(reporter.newest, prefix)
            for reporter in self._list_reporters()
        )
        return max(reported, default=ABSENT)

    def _list_reporters(self) -> list[PeerState | DomainSummary]:
        """Return the responsive daemons' states and the domains' summaries."""
        states = self._components.peers.responsive_states().values()
        return [*states, *self._live_summaries()]

    def sum_demand(self) -> float:
        """Return the units per second that customers demand at all daemons."""
        return self._components.quotas.sum_demand(self._components.clock.monotonic())

    def _record_era(self, reported: ReportedRevisions, source: str) -> None:
        era = reported.get(ERA)
        if era is not None:
            self._components.eras.record(StoreEra(era), source)

    def _find_hub_wall_clock(self) -> float | None:
        return (
            None if self._uses_direct_state else self._components.hubs.find_wall_clock()
        )

    def _apply_local_summary(self, summary: DomainSummary) -> None:
        """Apply the hub's summary, without this daemon's own contribution."""
        components = self._components
        components.summaries.record_relay_message()
        known = components.hubs.current()
        if not components.hubs.receive(summary) or self._uses_direct_state:
            return
        if known is not None and known.process != summary.process:
            components.quotas.forget_process(known.source)
        self._apply_summary(self._own_contribution.subtract_from(summary))

    def _apply_summary(self, summary: DomainSummary) -> None:
        """Apply the state of a domain's daemons, this one excluded."""
        components = self._components
        self._apply_work(summary.domain, summary.work, summary.fresh_parts)
        self._apply_answers(summary.domain, summary.answers)
        self._apply_time_factors(summary.time_factors)
        now = components.clock.monotonic()
        components.demands.apply_report(summary.domain, summary.demand, now)
        for customer, report in summary.customers.items():
            components.quotas.apply_report(summary.source, customer, report, now)
        for process, evidence in summary.evidence.items():
            if process != self._process:
                components.moves.update_peer_evidence(process, evidence)

    def _update_state_source(self) -> None:
        """Update whether same-domain state comes from its daemons or from the hub.

        The hub and its successor receive all daemons' states, and so does the leader.
        """
        direct = (
            not self._components.peers.uses_summaries() or self._receives_all_members()
        )
        if direct != self._uses_direct_state:
            self._uses_direct_state = direct
            for record in self._components.servers.all().values():
                # State from the previous source would count twice until it expires.
                record.peers.clear()
                record.evidence.peers.clear()
            self._components.demands.forget_sources()

    def _receives_all_members(self) -> bool:
        """Return whether each member of the hub's summary also sends to this daemon."""
        hubs = self._components.hubs
        members = hubs.find_members()
        if not members or hubs.is_hub():
            return True
        return members.keys() <= self._components.peers.responsive_local_states().keys()

    def _apply_work(
        self,
        source: str,
        work: Mapping[BackendServerId, InFlight],
        fresh_parts: Mapping[BackendServerId, list[str]],
    ) -> None:
        now = self._components.clock.monotonic()
        servers = self._components.servers
        ended = self._busy_servers.get(source, frozenset()) - work.keys()
        self._busy_servers[source] = frozenset(work)
        for server_id in (*ended, *work):
            record = servers.find(server_id)
            if record is not None:
                record.update_peer(source, work.get(server_id, InFlight()), now)
        for reader_id, parts in fresh_parts.items():
            reader = servers.find(reader_id)
            if reader is not None:
                reader.add_cached_part_ids(parts, now)
        servers.announce_change()

    def _collect_answers(self) -> dict[BackendServerId, AnswerCounts]:
        now = self._components.clock.monotonic()
        local_answers = {
            server_id: record.evidence.read_local(now).quantize()
            for server_id, record in self._components.servers.all().items()
            if record.evidence.has_local_answers
        }
        return {
            server_id: counts
            for server_id, counts in local_answers.items()
            if counts.answers >= MIN_REPORTED_ANSWERS
        }

    def _apply_answers(self, source: str, answers: AnswersByServer) -> None:
        now = self._components.clock.monotonic()
        for server_id, counts in answers.items():
            record = self._components.servers.find(server_id)
            if record is not None:
                record.evidence.update_peer(source, counts, now)

    def _collect_time_factors(self) -> TimeFactorReports:
        now = self._components.clock.monotonic()
        reports = {
            server_id: record.time_factor.build_report(now)
            for server_id, record in self._components.servers.all().items()
        }
        return {server: report for server, report in reports.items() if report}

    def _apply_time_factors(self, reports: TimeFactorReports) -> None:
        now = self._components.clock.monotonic()
        for server_id, report in reports.items():
            record = self._components.servers.find(server_id)
            if record is not None:
                record.time_factor.apply_report(report, now)

    def _update_daemon_count(self) -> None:
        self._update_state_source()
        peers = self._components.peers
        daemons = peers.count_daemons()
        self._components.budget.update_daemons(
            daemons, self._components.clock.monotonic()
        )
        self._components.quotas.update_daemon_counts(
            daemons, self._count_responsive(), peers.propagation_seconds()
        )
        self._apply_slack()

    def _apply_slack(self) -> None:
        used = find_slack_fraction(self._components.peers.propagation_seconds())
        self._components.quotas.slack = QuotaSlack(
            self._tolerance.units * used,
            # The other half covers bursts that begin in one window and end in the next.
            self._tolerance.rate_fraction * used / 2,
            self._tolerance.window,
        )

    def _count_responsive(self) -> int:
        responsive = {self._daemon, *self._components.peers.responsive_states()}
        for summary in self._live_summaries():
            responsive.update(summary.members)
        return len(responsive)
