"""Tests of what counts as evidence, and of who gets it."""

from datetime import timedelta

import pytest

from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.calls import Call
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.peers import Daemon
from fireflyhitch_model.states import MachineClass, Priority
from fireflyhitch_rollout.evidence import EvidenceCollector, Trial
from fireflyhitch_standins.peers import MemoryPeerNetwork

NAME = 'answers'


def make_server(version='v2', name='s1'):
    return BackendServer(
        server_id=name,
        instance=f'i-{name}',
        deployment=NAME,
        version=version,
        failure_domain='gent',
        address='127.0.0.1:1',
        machine_class=MachineClass.RECLAIMABLE,
        price=1,
        capacity=8,
    )


CALL = Call('r1', 'bakery', NAME, 'chat', Priority.NORMAL, 10, 10, (), 0, 60)


class Ring:
    """Daemons of three failure domains, four in each."""

    def __init__(self):
        self.clock = ManualClock()
        self.network = MemoryPeerNetwork()
        self.books = []
        for number in range(12):
            here = Daemon(f'd{number}', f'domain-{number % 3}', '', '')
            messenger = self.network.join(here)
            self.books.append(EvidenceCollector(here, messenger, self.clock))
        for book in self.books:
            book.watch({NAME: Trial('v1', 'v2')})

    def run(self, seconds=3):
        for _ in range(seconds):
            self.clock.advance(timedelta(seconds=1))
            for book in self.books:
                book.step()

    def counts(self):
        return [book.find_test(NAME).count_new() for book in self.books]


@pytest.fixture
def ring():
    return Ring()


class TestRecord:
    """What is counted."""

    def test_calls_broken_off_by_one_crash_count_once(self, ring):
        """A server crashes with eight calls in work, which all fail at once."""
        for _ in range(8):
            ring.books[0].record(CALL, make_server(), ok=False)
        ring.run()
        assert max(ring.counts()) == 1

    def test_failures_at_a_leaving_server_do_not_count(self, ring):
        ring.books[0].mark_leaving(['s1'])
        ring.books[0].record(CALL, make_server(), ok=False)
        ring.run()
        assert max(ring.counts()) == 0

    def test_deployment_without_a_move_is_not_recorded(self, ring):
        ring.books[0].watch({})
        ring.books[0].record(CALL, make_server(), ok=False)
        ring.books[0].watch({NAME: Trial('v1', 'v2')})
        ring.run()
        assert max(ring.counts()) == 0


class TestSpread:
    """Who gets the counts."""

    def test_two_daemons_a_domain_know_all_and_nobody_counts_twice(self, ring):
        for book in ring.books:
            book.record(CALL, make_server(), ok=True)
        ring.run()
        counts = ring.counts()
        assert (counts.count(1), counts.count(12)) == (6, 6)

    def test_lost_message_is_made_up_by_the_next(self, ring):
        """All links of one second are cut; the batch comes with the next one."""
        for book in ring.books:
            book.record(CALL, make_server(), ok=True)
        names = list(ring.network.messengers)
        for one in names:
            for other in names:
                ring.network.separate(one, other)
        ring.run(1)
        ring.network.cut.clear()
        ring.run(3)
        assert ring.counts().count(12) == 6

    def test_holder_of_the_duty_gets_all(self, ring):
        for book in ring.books:
            book.set_holders(['d5'])
            book.record(CALL, make_server(), ok=True)
        ring.run()
        assert ring.counts()[5] == 12
