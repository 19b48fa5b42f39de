"""Tests of failure domains' summaries, with messages that are handed over directly."""

import random
from dataclasses import dataclass, field, replace
from datetime import timedelta

from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.ids import (
    BackendServerId,
    CustomerId,
    DeploymentId,
    FailureDomainId,
)
from fireflyhitch_routing.crashes import CrashTracker
from fireflyhitch_routing.server_limits import ServerLimits
from fireflyhitch_serving.catalog import Customer, Quota
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.dependencies import RecentPromptParts
from fireflyhitch_serving.hubs import FIRST_SECONDS, TOLD, HubTracker
from fireflyhitch_serving.moves import MoveTracker
from fireflyhitch_serving.peer_state import Member, PeerState
from fireflyhitch_serving.peers import MOST_DIRECT, PeerRegistry
from fireflyhitch_serving.quotas import Quotas, QuotaSlack
from fireflyhitch_serving.retry_budget import RetryBounds, RetryBudget
from fireflyhitch_serving.servers import InFlight, ServerEntry, ServerRegistry
from fireflyhitch_serving.shared_state import SharedComponents, SharedState
from fireflyhitch_serving.store_health import StoreHealth
from fireflyhitch_serving.summaries import (
    SUSPECT_SECONDS,
    DomainSummary,
    SummaryTable,
    read_summaries,
    render_summaries,
)
from fireflyhitch_serving.summary_relay import RelayedTrackers, SummaryRelay
from fireflyhitch_serving.usage import UsageTracker
from fireflyhitch_serving.versions import VersionShares

BAKERY = CustomerId('bakery')
QUOTA = Quota(1000, 2000, in_tokens=True, plain_tokens=200)
SERVER = BackendServerId('i-1')
DOMAINS = tuple(FailureDomainId(name) for name in ('a', 'b', 'c', 'd'))
NEAR_EACH = 6
NOBODY: frozenset[str] = frozenset()


def find_quota(customer: CustomerId) -> Quota:
    """Return the one customer's quota."""
    return QUOTA


def make_summary(domain: str, relay: str, sequence: int) -> DomainSummary:
    return DomainSummary(
        FailureDomainId(domain),
        relay,
        f'{relay}/1',
        sequence,
        {},
        {},
        {},
        {},
        {},
        {},
        store_settled=True,
    )


@dataclass(eq=False)
class Daemon:
    """One daemon's books and its relay."""

    name: str
    domain: FailureDomainId
    clock: ManualClock
    sent: list[tuple[bytes, list[str]]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Make the books; it has one request in flight at the server."""
        self.peers = PeerRegistry(self.name, self.domain, self.clock, float)
        self.quotas = Quotas(QuotaSlack(), find_quota=find_quota)
        self.book = SummaryTable(self.clock, self.quotas.forget_process)
        self.hubs = HubTracker(self.peers, self.clock)
        self.servers = ServerRegistry()
        self.servers.put(
            ServerEntry(
                SERVER,
                DeploymentId('bookings'),
                Address('127.0.0.1', 9),
                self.domain,
                'v1',
                slots=12,
                ready=True,
            )
        )
        record = self.servers.all()[SERVER]
        record.requests = 1
        record.prompt_tokens = 50
        self.crashes = CrashTracker()
        self.limits = ServerLimits(self.name, self.peers.list_all, self.peers.wall)
        self.shared = SharedState(self.name, f'{self.name}/1', self._make_parts())
        self.relay = SummaryRelay(
            self.peers,
            self.hubs,
            self.book,
            RelayedTrackers(self.quotas, self.crashes, self.limits),
            self.clock.monotonic,
            self.record_sent,
            random.Random(1),  # noqa: S311
        )

    def _make_parts(self) -> SharedComponents:
        return SharedComponents(
            clock=self.clock,
            peers=self.peers,
            hubs=self.hubs,
            summaries=self.book,
            servers=self.servers,
            quotas=self.quotas,
            usage=UsageTracker(f'{self.name}/1', 5),
            budget=RetryBudget(RetryBounds()),
            moves=MoveTracker(VersionShares(), 0.1),
            crashes=self.crashes,
            limits=self.limits,
            fresh_parts=RecentPromptParts(),
            health=StoreHealth(self.clock),
            stopping=bool,
            newest=dict,
        )

    def record_sent(self, data: bytes, names: list[str]) -> None:
        """Keep what it sends until it is delivered."""
        self.sent.append((data, names))

    def build_peer_state(self) -> PeerState:
        """Return its state."""
        self.peers.own_news = self.shared.build_peer_state()
        return self.peers.own_news

    def apply_peer_state(self, news: PeerState) -> None:
        """Take in a neighbour's state."""
        if self.peers.take(news):
            self.shared.apply_peer_state(news)

    def count_work(self) -> InFlight:
        """Return what it knows of all daemons' work at the server."""
        return self.servers.all()[SERVER].total(self.clock.monotonic())


class Fleet:
    """Daemons of four failure domains."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.daemons = {
            f'{domain}{number}': Daemon(f'{domain}{number}', domain, self.clock)
            for domain in DOMAINS
            for number in range(NEAR_EACH)
        }
        for daemon in self.daemons.values():
            for other in self.daemons.values():
                address = Address('127.0.0.1', 1)
                daemon.peers.register(other.name, address, other.domain)
        assert len(self.daemons) > MOST_DIRECT
        self.clock.advance(timedelta(seconds=FIRST_SECONDS))

    def turn(self, without: frozenset[str] = NOBODY) -> None:
        """Have all tell the hubs, and the hubs tell each other and all, once."""
        living = [d for name, d in self.daemons.items() if name not in without]
        for daemon in living:
            news = daemon.build_peer_state()
            for told in daemon.hubs.find_told():
                if told not in without:
                    self.daemons[told].apply_peer_state(news)
        for _ in range(2):
            # What comes from another hub is passed on with the next turn.
            for hub in living:
                if hub.relay.relays():
                    hub.relay.tell()
            self._deliver(without)
        self.clock.advance(timedelta(seconds=0.3))

    def _deliver(self, without: frozenset[str]) -> None:
        for daemon in self.daemons.values():
            sent = list(daemon.sent)
            daemon.sent.clear()
            for data, names in sent:
                for name in names:
                    if name not in without:
                        self.daemons[name].shared.apply_summaries(data)


class TestSums:
    def test_each_daemon_knows_the_work_of_all_after_two_turns(self) -> None:
        # A server's queue is what all daemons sent there. With 75 of them each told a
        # far one only every 1.9 s, and a server took requests of all at once.
        fleet = Fleet()
        fleet.turn()
        fleet.turn()
        for daemon in fleet.daemons.values():
            far = daemon.book.live()
            assert far.keys() == set(DOMAINS) - {daemon.domain}
            for summary in far.values():
                assert summary.work[SERVER] == InFlight(NEAR_EACH, 50 * NEAR_EACH)
            requests = NEAR_EACH * len(DOMAINS)
            assert daemon.count_work() == InFlight(requests, 50 * requests)

    def test_a_daemon_sends_little_however_many_there_are(self) -> None:
        fleet = Fleet()
        fleet.turn()
        relays = [d for d in fleet.daemons.values() if d.relay.relays()]
        assert len(relays) == len(DOMAINS)
        relays[0].relay.tell()
        others, _ = relays[0].sent
        assert len(others[1]) <= 3 * (len(DOMAINS) - 1)
        for daemon in fleet.daemons.values():
            assert len(daemon.hubs.find_told()) == TOLD

    def test_what_a_customer_took_anywhere_is_known_everywhere(self) -> None:
        fleet = Fleet()
        for _ in range(3):
            # While they do not know each other each keeps to a small part.
            fleet.turn()
        takers = [fleet.daemons[name] for name in ('a0', 'b1', 'c2')]
        customer = Customer(BAKERY, QUOTA)
        # The first units of each set the account; what follows is added up.
        for units in (1, 400):
            for daemon in takers:
                assert (
                    daemon.quotas.take(customer, units, daemon.clock.monotonic())
                    is None
                )
            for _ in range(2):
                fleet.turn()
        for daemon in fleet.daemons.values():
            note = daemon.quotas.build_domain_reports(daemon.clock.monotonic()).get(
                BAKERY
            )
            left = note.left if note else 0
            # 1,200 of 2,000 units were taken, and 0.6 s have filled it by 600.
            assert left <= 2000 - 1200 + 600


class TestLostRelays:
    def test_another_daemon_relays_when_the_first_is_gone(self) -> None:
        # A domain's relay is killed. Its neighbours miss its news, the next by hash
        # goes on, and no work or units count twice.
        fleet = Fleet()
        for _ in range(3):
            fleet.turn()
        first = next(
            name
            for name, daemon in fleet.daemons.items()
            if daemon.domain == 'a' and daemon.relay.relays()
        )
        gone = frozenset((first,))
        for _ in range(12):
            fleet.turn(without=gone)
        seen = fleet.daemons['b0'].book.live()[FailureDomainId('a')]
        assert seen.relay != first
        requests = NEAR_EACH * len(DOMAINS) - 1
        for name, daemon in fleet.daemons.items():
            assert name in gone or daemon.count_work().requests == requests
        assert seen.work[SERVER].requests == NEAR_EACH - 1

    def test_the_end_of_the_own_relay_is_no_cut_of_all_domains(self) -> None:
        # No summary comes any more, and none of the own relay either: it has ended.
        # Taking all other domains for cut off would load the own servers alone.
        clock = ManualClock()
        book = SummaryTable(clock, lambda source: None)
        for domain in ('b', 'c'):
            book.take(make_summary(domain, f'{domain}0', 1))
        book.note_relayed()
        clock.advance(timedelta(seconds=SUSPECT_SECONDS + 0.5))
        assert not book.find_unresponsive_domains()
        book.note_relayed()
        assert book.find_unresponsive_domains() == {'b', 'c'}

    def test_an_old_or_repeated_summary_changes_nothing(self) -> None:
        book = SummaryTable(ManualClock(), lambda source: None)
        assert book.take(make_summary('b', 'b0', 5))
        assert not book.take(make_summary('b', 'b0', 5))
        assert not book.take(make_summary('b', 'b0', 4))


class TestMessages:
    def test_a_summary_is_read_as_it_was_written(self) -> None:
        summary = replace(
            make_summary('b', 'b0', 5),
            work={SERVER: InFlight(3, 4)},
            members={'b0': Member(7)},
        )
        assert read_summaries(render_summaries([summary])) == [summary]
        assert read_summaries(b'\x01') is None
