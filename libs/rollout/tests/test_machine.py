"""Stateful test of moves: faults, operator changes and time in any order."""

from dataclasses import replace
from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from loguru import logger

from fireflyhitch_model.invariants import count_violations
from fireflyhitch_rollout.records import STATE_RANK, MoveRecord, MoveState
from fireflyhitch_rollout.schedule import MovePolicy, find_share
from fireflyhitch_standins.faults import Fault

SHORT_POLICY = replace(
    MovePolicy(),
    burst_period=timedelta(seconds=40),
    burst_fraction=0.1,
    base_share=0.05,
    min_calls=5,
    step_calls=3,
)
BOUNDED = settings(
    max_examples=15, stateful_step_count=15, derandomize=True, deadline=None
)


class MoveMachine(RuleBasedStateMachine):
    """Three daemons, checked after every rule.

    - A daemon's share never exceeds what the stored records have allowed.
    - A version that a daemon has withdrawn never gets a share there again.
    - After the deadline no daemon gives a share to a move that is not done.
    - Within one move the stored record only advances.
    """

    make_cluster = None

    def __init__(self):
        super().__init__()
        logger.disable('fireflyhitch')
        logger.disable('fireflyhitch_rollout')
        logger.disable('fireflyhitch_fleet')
        self.violations = count_violations()
        self.cluster = self.make_cluster()
        self.withdrawn = set()
        self.best = None
        self.allowed = {}
        for node in self.cluster.nodes:
            node.manager.policy = SHORT_POLICY

    def teardown(self):
        logger.enable('fireflyhitch_rollout')
        logger.enable('fireflyhitch_fleet')

    @rule(seconds=st.sampled_from((4, 20, 40)), nodes=st.sampled_from((3, 3, 2, 1)))
    def run(self, seconds, nodes):
        """Run some daemons while the others are paused."""
        for _ in range(seconds // 2):
            self.cluster.step(2, calls=3, nodes=self.cluster.nodes[:nodes])
            self.check_shares(self.cluster.nodes[:nodes])

    @rule(version=st.sampled_from(('v2', 'v2', 'v3')), minutes=st.sampled_from((2, 6)))
    def name_move(self, version, minutes):
        self.cluster.move(version, minutes)

    @rule(count=st.integers(1, 2))
    def cancel_at_some(self, count):
        """Cancel the move at only some of the daemons."""
        self.cluster.configure(nodes=self.cluster.nodes[:count], move=None)

    @rule(rate=st.sampled_from((0, 0, 0.4, 1)))
    def set_fault_rate(self, rate):
        self.cluster.fault_rate = rate

    @rule(fault=st.sampled_from((Fault.NONE, Fault.LOST_ANSWER, Fault.LOST_REQUEST)))
    def set_store_fault(self, fault):
        self.cluster.store.faults.clear_all()
        self.cluster.store.faults.set_persistent('*', fault)

    @rule(cut=st.booleans())
    def partition(self, cut):
        self.cluster.network.cut.clear()
        if cut:
            for other in ('d1', 'd2'):
                self.cluster.network.disconnect('d0', other)

    @rule(new=st.sampled_from((0, 1, 5)))
    def reclaim(self, new):
        self.cluster.supply(5, new)

    @invariant()
    def record_only_advances(self):
        record = self.read_record()
        if record is None:
            return
        progress = (record.started, STATE_RANK[record.state], record.step)
        assert self.best is None or progress >= self.best
        self.best = progress

    @invariant()
    def no_invariant_was_violated(self):
        assert count_violations() == self.violations

    def check_shares(self, nodes):
        self.update_allowed()
        now = self.cluster.clock.now()
        for node in nodes:
            shares = node.picker.find('answers')
            for version in ('v2', 'v3'):
                if node.picker.is_withdrawn('answers', version):
                    self.withdrawn.add((node, version))
            if shares.new is None:
                continue
            assert (node, shares.new) not in self.withdrawn or shares.share == 0
            assert shares.share == 0 or now < node.report.move_by
            assert shares.share <= self.allowed.get(shares.new, 0)

    def update_allowed(self):
        """Update the greatest share of a version that the store has allowed.

        A partitioned daemon keeps its last share, so an earlier and greater one,
        of a burst, is allowed as well.
        """
        record = self.read_record()
        if record is not None:
            share = find_share(record, 5, SHORT_POLICY)
            previous = self.allowed.get(record.to_version, 0)
            self.allowed[record.to_version] = max(previous, share)

    def read_record(self):
        values, _ = self.cluster.store.dump()
        stored = values.get('moves/answers')
        return MoveRecord.model_validate_json(stored.value) if stored else None


class TestAnyOrder:
    """Invariants that hold for any order of events."""

    def test_invariants_hold(self, cluster_type):
        """Pauses, partitions, outages and operator changes come in any order.

        Shares stay within what the stored record allows, withdrawn versions stay
        withdrawn, and each move ends by its deadline at each running daemon.
        """
        MoveMachine.make_cluster = cluster_type
        run_state_machine_as_test(MoveMachine, settings=BOUNDED)

    def test_move_ends_done_or_rolled_back(self, cluster_type):
        cluster = cluster_type()
        cluster.move(minutes=2)
        cluster.run(180)
        assert MoveState(cluster.states().pop()) in {
            MoveState.DONE,
            MoveState.ROLLED_BACK,
        }
