"""A state machine over moves: faults, operators and time in any order."""

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

SHORT_PACE = replace(
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
    """Three daemons; the checks hold after every rule.

    - A daemon's share is never above what the store's records have allowed.
    - A version that a daemon has withdrawn gets no share there again.
    - After the date no daemon gives a share to a move that is not done.
    - The store's record goes forward only, within one move.
    """

    make_site = None

    def __init__(self):
        super().__init__()
        logger.disable('fireflyhitch')
        logger.disable('fireflyhitch_rollout')
        logger.disable('fireflyhitch_fleet')
        self.violations = count_violations()
        self.site = self.make_site()
        self.withdrawn = set()
        self.best = None
        self.allowed = {}
        for node in self.site.nodes:
            node.keeper.policy = SHORT_PACE

    def teardown(self):
        logger.enable('fireflyhitch_rollout')
        logger.enable('fireflyhitch_fleet')

    @rule(seconds=st.sampled_from((4, 20, 40)), nodes=st.sampled_from((3, 3, 2, 1)))
    def run(self, seconds, nodes):
        """Let some daemons run; the others are paused meanwhile."""
        for _ in range(seconds // 2):
            self.site.step(2, calls=3, nodes=self.site.nodes[:nodes])
            self.check_shares(self.site.nodes[:nodes])

    @rule(version=st.sampled_from(('v2', 'v2', 'v3')), minutes=st.sampled_from((2, 6)))
    def name_move(self, version, minutes):
        self.site.move(version, minutes)

    @rule(ahead=st.integers(1, 2))
    def race(self, ahead):
        """One operator's change reaches only some of the daemons."""
        self.site.configure(nodes=self.site.nodes[:ahead], move=None)

    @rule(rate=st.sampled_from((0, 0, 0.4, 1)))
    def turn_bad(self, rate):
        self.site.fault_rate = rate

    @rule(fault=st.sampled_from((Fault.NONE, Fault.LOST_ANSWER, Fault.LOST_REQUEST)))
    def turn_store(self, fault):
        self.site.store.faults.lift()
        self.site.store.faults.stand('*', fault)

    @rule(cut=st.booleans())
    def partition(self, cut):
        self.site.network.cut.clear()
        if cut:
            for other in ('d1', 'd2'):
                self.site.network.separate('d0', other)

    @rule(new=st.sampled_from((0, 1, 5)))
    def reclaim(self, new):
        self.site.supply(5, new)

    @invariant()
    def record_goes_forward(self):
        record = self.read_record()
        if record is None:
            return
        place = (record.started, STATE_RANK[record.state], record.step)
        assert self.best is None or place >= self.best
        self.best = place

    @invariant()
    def program_kept_its_promises(self):
        assert count_violations() == self.violations

    def check_shares(self, nodes):
        self.note_allowed()
        now = self.site.clock.now()
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

    def note_allowed(self):
        """Note the greatest share of a version that the store has had.

        A daemon that is cut off keeps the share it knew, so that an earlier
        and greater one, of a burst, is allowed as well.
        """
        record = self.read_record()
        if record is not None:
            share = find_share(record, 5, SHORT_PACE)
            known = self.allowed.get(record.to_version, 0)
            self.allowed[record.to_version] = max(known, share)

    def read_record(self):
        values, _ = self.site.store.dump()
        stored = values.get('moves/answers')
        return MoveRecord.model_validate_json(stored.value) if stored else None


class TestAnyOrder:
    """Promises that hold whatever happens in whatever order."""

    def test_promises_hold(self, site_type):
        """Pauses, partitions, outages and operators come in any order.

        Shares only move as the store's record allows, withdrawn versions stay
        withdrawn, and each move ends by its date at each running daemon.
        """
        MoveMachine.make_site = site_type
        run_state_machine_as_test(MoveMachine, settings=BOUNDED)

    def test_move_ends_done_or_undone(self, site_type):
        site = site_type()
        site.move(minutes=2)
        site.run(180)
        assert MoveState(site.states().pop()) in {MoveState.DONE, MoveState.ROLLED_BACK}
