"""Tests of failure domains' summaries, with messages that are handed over directly."""

import random
from dataclasses import dataclass, field, replace
from datetime import timedelta

from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.ids import BackendServerId, CustomerId, FailureDomainId
from fireflyhitch_serving.catalog import Customer, Quota
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.peer_news import PeerNews
from fireflyhitch_serving.peers import MOST_DIRECT, PeerBook
from fireflyhitch_serving.quotas import Quotas, QuotaSlack
from fireflyhitch_serving.servers import InFlight
from fireflyhitch_serving.summaries import (
    SUSPECT_SECONDS,
    DomainSummary,
    SummaryBook,
    read_summaries,
    render_summaries,
)
from fireflyhitch_serving.summary_relay import SummaryRelay

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
        [],
        {},
        {},
        {},
        {},
        {},
        True,
    )


@dataclass(eq=False)
class Daemon:
    """One daemon's books and its relay."""

    name: str
    domain: FailureDomainId
    clock: ManualClock
    sent: list[tuple[bytes, list[str]]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Make the books."""
        self.peers = PeerBook(self.name, self.domain, self.clock, float)
        self.quotas = Quotas(QuotaSlack(), find_quota=find_quota)
        self.book = SummaryBook(self.clock, self.quotas.forget_process)
        self.sequence = 0
        self.relay = SummaryRelay(
            self.name,
            self.peers,
            self.book,
            self.quotas,
            self.clock.monotonic,
            self.note_sent,
            random.Random(1),  # noqa: S311
        )

    def note_sent(self, data: bytes, names: list[str]) -> None:
        """Keep what it sends until it is delivered."""
        self.sent.append((data, names))

    def make_news(self) -> PeerNews:
        """Return its state; it has one request in flight at the server."""
        self.sequence += 1
        news = PeerNews(
            self.name,
            f'{self.name}/1',
            self.domain,
            self.sequence,
            0,
            {SERVER: InFlight(1, 50)},
            self.quotas.notes(self.clock.monotonic()),
            {},
            {SERVER: ['p1']},
            {},
            {},
        )
        self.peers.own_news = news
        return news

    def take_news(self, news: PeerNews) -> None:
        """Take in a neighbour's state."""
        if self.peers.take(news):
            now = self.clock.monotonic()
            for customer, note in news.customers.items():
                self.quotas.take_note(news.process, customer, note, now, near=True)

    def take_data(self, data: bytes) -> None:
        """Take in summaries."""
        self.book.note_relayed()
        for summary in read_summaries(data) or ():
            if self.book.take(summary):
                now = self.clock.monotonic()
                for customer, note in summary.customers.items():
                    self.quotas.take_note(summary.source, customer, note, now)


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

    def turn(self, without: frozenset[str] = NOBODY) -> None:
        """Have all tell their neighbours, and the relays tell each other, once."""
        living = [d for name, d in self.daemons.items() if name not in without]
        news = [daemon.make_news() for daemon in living]
        for daemon in living:
            for told in news:
                if told.failure_domain == daemon.domain and told.daemon != daemon.name:
                    daemon.take_news(told)
        for step in (SummaryRelay.tell_others, SummaryRelay.tell_neighbours):
            for daemon in living:
                if daemon.relay.relays():
                    step(daemon.relay)
            self._deliver(without)
        self.clock.advance(timedelta(seconds=0.3))

    def _deliver(self, without: frozenset[str]) -> None:
        for daemon in self.daemons.values():
            sent = list(daemon.sent)
            daemon.sent.clear()
            for data, names in sent:
                for name in names:
                    if name not in without:
                        self.daemons[name].take_data(data)


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

    def test_a_daemon_sends_little_however_many_there_are(self) -> None:
        fleet = Fleet()
        fleet.turn()
        relays = [d for d in fleet.daemons.values() if d.relay.relays()]
        assert len(relays) == len(DOMAINS)
        relays[0].relay.tell_others()
        _, names = relays[0].sent[-1]
        assert len(names) <= 3 * (len(DOMAINS) - 1)

    def test_what_a_customer_took_anywhere_is_known_everywhere(self) -> None:
        fleet = Fleet()
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
            note = daemon.quotas.domain_notes(daemon.clock.monotonic()).get(BAKERY)
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
        assert seen.work[SERVER].requests == NEAR_EACH - 1

    def test_the_end_of_the_own_relay_is_no_cut_of_all_domains(self) -> None:
        # No summary comes any more, and none of the own relay either: it has ended.
        # Taking all other domains for cut off would load the own servers alone.
        clock = ManualClock()
        book = SummaryBook(clock, lambda source: None)
        for domain in ('b', 'c'):
            book.take(make_summary(domain, f'{domain}0', 1))
        book.note_relayed()
        clock.advance(timedelta(seconds=SUSPECT_SECONDS + 0.5))
        assert not book.find_silent_domains()
        book.note_relayed()
        assert book.find_silent_domains() == {'b', 'c'}

    def test_an_old_or_repeated_summary_changes_nothing(self) -> None:
        book = SummaryBook(ManualClock(), lambda source: None)
        assert book.take(make_summary('b', 'b0', 5))
        assert not book.take(make_summary('b', 'b0', 5))
        assert not book.take(make_summary('b', 'b0', 4))


class TestMessages:
    def test_a_summary_is_read_as_it_was_written(self) -> None:
        summary = replace(
            make_summary('b', 'b0', 5), work={SERVER: InFlight(3, 4)}, daemons=['b0']
        )
        assert read_summaries(render_summaries([summary])) == [summary]
        assert read_summaries(b'\x01') is None
