"""Tests of which calls are counted and which daemons receive the counts."""

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


class Cluster:
    """Twelve daemons in three failure domains."""

    def __init__(self):
        self.clock = ManualClock()
        self.network = MemoryPeerNetwork()
        self.collectors = []
        for number in range(12):
            local_daemon = Daemon(f'd{number}', f'domain-{number % 3}', '', '')
            messenger = self.network.join(local_daemon)
            self.collectors.append(
                EvidenceCollector(local_daemon, messenger, self.clock)
            )
        for collector in self.collectors:
            collector.set_trials({NAME: Trial('v1', 'v2')})

    def run(self, seconds=3):
        for _ in range(seconds):
            self.clock.advance(timedelta(seconds=1))
            for collector in self.collectors:
                collector.step()

    def counts(self):
        return [
            collector.find_test(NAME).count_new_calls() for collector in self.collectors
        ]


@pytest.fixture
def cluster():
    return Cluster()


class TestRecord:
    """Which calls are counted."""

    def test_calls_failed_by_one_crash_count_once(self, cluster):
        """A server crashes with eight calls in progress, which all fail at once."""
        for _ in range(8):
            cluster.collectors[0].record(CALL, make_server(), ok=False)
        cluster.run()
        assert max(cluster.counts()) == 1

    def test_failures_at_a_leaving_server_do_not_count(self, cluster):
        cluster.collectors[0].mark_leaving(['s1'])
        cluster.collectors[0].record(CALL, make_server(), ok=False)
        cluster.run()
        assert max(cluster.counts()) == 0

    def test_deployment_without_a_move_is_not_recorded(self, cluster):
        cluster.collectors[0].set_trials({})
        cluster.collectors[0].record(CALL, make_server(), ok=False)
        cluster.collectors[0].set_trials({NAME: Trial('v1', 'v2')})
        cluster.run()
        assert max(cluster.counts()) == 0


class TestDistribution:
    """Which daemons receive the counts."""

    def test_two_daemons_per_domain_get_all_counts_once(self, cluster):
        for collector in cluster.collectors:
            collector.record(CALL, make_server(), ok=True)
        cluster.run()
        counts = cluster.counts()
        assert (counts.count(1), counts.count(12)) == (6, 6)

    def test_next_message_repeats_a_lost_batch(self, cluster):
        """All links fail for a second; the next message repeats the batch."""
        for collector in cluster.collectors:
            collector.record(CALL, make_server(), ok=True)
        names = list(cluster.network.messengers)
        for one in names:
            for other in names:
                cluster.network.disconnect(one, other)
        cluster.run(1)
        cluster.network.cut.clear()
        cluster.run(3)
        assert cluster.counts().count(12) == 6

    def test_duty_holder_gets_all_counts(self, cluster):
        for collector in cluster.collectors:
            collector.set_holders(['d5'])
            collector.record(CALL, make_server(), ok=True)
        cluster.run()
        assert cluster.counts()[5] == 12
