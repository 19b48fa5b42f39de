"""Tests of customers' limits, at one daemon and shared by several."""

from datetime import timedelta

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from fireflyhitch_model.calls import Call
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.errors import InvariantError, RequestError
from fireflyhitch_model.peers import Daemon
from fireflyhitch_model.states import Outcome, Priority
from fireflyhitch_routing.admission import BURST_SECONDS, Admission
from fireflyhitch_routing.shares import (
    PEER_TIMEOUT_SECONDS,
    DemandReport,
    DemandShares,
)
from fireflyhitch_settings.schema import (
    Configuration,
    Customer,
    CustomerLimits,
    ModelDeployment,
)
from fireflyhitch_standins.peers import MemoryPeerNetwork

REQUESTS = 20.0
TOKENS = 4000.0
RUNNING = 40


def make_configuration():
    limits = CustomerLimits(
        requests_per_second=REQUESTS,
        tokens_per_second=TOKENS,
        concurrent_requests=RUNNING,
    )
    return Configuration(
        deployments=(ModelDeployment(name='m', failure_domains=('d',), version='v1'),),
        customers=(
            Customer(customer_id='c1', api_key_sha256='0' * 64, limits=limits),
            Customer(customer_id='c2', api_key_sha256='1' * 64, limits=limits),
        ),
    )


def make_call(customer='c1', prompt=10, answer=10):
    return Call(
        'r', customer, 'm', 'chat', Priority.NORMAL, prompt, answer, (), 0, 1000
    )


class Fleet:
    """Daemons in one process that share the customers' limits."""

    def __init__(self, count):
        self.clock = ManualClock()
        self.network = MemoryPeerNetwork()
        self.admissions = []
        for number in range(count):
            messenger = self.network.join(Daemon(f'd{number}', 'd', '', ''))
            admission = Admission(self.clock, f'd{number}', messenger)
            admission.configure(make_configuration())
            self.admissions.append(admission)
        self.exchange(3)

    def exchange(self, times=1):
        for _ in range(times):
            for admission in self.admissions:
                admission.exchange()
            self.clock.advance(timedelta(seconds=1))

    def admit(self, number, calls, **changes):
        """Offer calls at one daemon and return how many were admitted."""
        admitted = 0
        for _ in range(calls):
            try:
                permit = self.admissions[number].admit(make_call(**changes))
            except RequestError as error:
                assert error.status == 429
                assert error.outcome is Outcome.NOT_RUN
                assert error.retry_after >= timedelta(seconds=1)
                continue
            admitted += 1
            self.admissions[number].release(permit, 20)
        return admitted


def find_retry_after(admission):
    try:
        admission.admit(make_call())
    except RequestError as error:
        return error.retry_after
    return pytest.fail('admitted')


class TestLimits:
    """One daemon alone."""

    def test_rate_limit_holds_and_retry_after_is_exact(self):
        fleet = Fleet(1)
        assert fleet.admit(0, 1000) == REQUESTS * BURST_SECONDS
        fleet.clock.advance(find_retry_after(fleet.admissions[0]))
        assert fleet.admissions[0].admit(make_call())

    def test_unused_tokens_are_returned(self):
        fleet = Fleet(1)
        admission = fleet.admissions[0]
        permit = admission.admit(make_call(answer=7980))
        with pytest.raises(RequestError):
            admission.admit(make_call(answer=7980))
        admission.release(permit, 20)
        assert admission.admit(make_call(answer=7900))

    def test_concurrency_limit_holds(self):
        fleet = Fleet(1)
        permits = []
        for _ in range(4):
            permits += [fleet.admissions[0].admit(make_call()) for _ in range(10)]
            fleet.clock.advance(timedelta(seconds=1))
        with pytest.raises(RequestError) as caught:
            fleet.admissions[0].admit(make_call())
        assert caught.value.code == 'concurrency_limit_exceeded'
        fleet.admissions[0].release(permits[0], 20)
        assert fleet.admissions[0].admit(make_call())

    def test_customers_do_not_share_a_limit(self):
        fleet = Fleet(1)
        fleet.admit(0, 1000)
        assert fleet.admit(0, 10, customer='c2') == 10

    def test_permit_can_be_released_only_once(self):
        fleet = Fleet(1)
        permit = fleet.admissions[0].admit(make_call())
        fleet.admissions[0].release(permit, 20)
        with pytest.raises(InvariantError):
            fleet.admissions[0].release(permit, 20)


class TestSharedLimits:
    """Several daemons without a coordinator."""

    def test_daemon_with_all_the_demand_gets_most_of_the_limit(self):
        fleet = Fleet(4)
        admitted = 0
        for second in range(30):
            calls = fleet.admit(0, 40)
            admitted += calls if second >= 15 else 0
            fleet.exchange()
        assert admitted == pytest.approx(15 * REQUESTS, rel=0.15)

    def test_sparse_demand_at_many_daemons_is_never_refused(self):
        """A small customer's few calls reach the daemons in turn.

        Each daemon receives one every few seconds. If shares followed recent demand
        alone, they would fall to almost nothing in between, and the customer would be
        refused far below its limit.
        """
        fleet = Fleet(8)
        for second in range(64):
            assert fleet.admit(second % 8, 1) == 1
            fleet.exchange()

    def test_partitioned_daemons_fall_back_to_equal_shares(self):
        """All links between four daemons are cut under heavy demand everywhere.

        Once the missing reports are detected, each daemon falls back to a quarter of
        the limit, so together they admit no more than the limit.
        """
        fleet = Fleet(4)
        for one in range(4):
            for other in range(one):
                fleet.network.disconnect(f'd{one}', f'd{other}')
        admitted = [0, 0, 0, 0]
        for second in range(20):
            for number in range(4):
                calls = fleet.admit(number, 40)
                admitted[number] += calls if second >= 10 else 0
            fleet.exchange()
        assert sum(admitted) <= 10 * REQUESTS * 1.05
        assert min(admitted) >= 10 * REQUESTS / 4 * 0.9

    def test_excess_during_a_partition_is_bounded(self):
        """Two daemons are partitioned while demand also appears at the second one.

        Until the peer timeout each assumes that the rest of the limit is free. Together
        they use up to one extra limit, but only until the timeout.
        """
        fleet = Fleet(2)
        for _ in range(10):
            fleet.admit(0, 40)
            fleet.exchange()
        fleet.network.disconnect('d0', 'd1')
        admitted = 0
        for _ in range(20):
            admitted += fleet.admit(0, 40) + fleet.admit(1, 40)
            fleet.exchange()
        excess = admitted - 20 * REQUESTS
        assert excess <= REQUESTS * (PEER_TIMEOUT_SECONDS + BURST_SECONDS + 1)


class SharesMachine(RuleBasedStateMachine):
    """Demand moves freely between daemons; reports arrive within an interval."""

    @initialize(count=st.integers(2, 5))
    def start(self, count):
        self.now = 0.0
        self.late = []
        self.demands = [0.0 for _ in range(count)]
        self.shares = [DemandShares() for _ in range(count)]
        # Peers are added before a daemon serves calls.
        for number, shares in enumerate(self.shares):
            others = [one for one in range(count) if one != number]
            shares.update_peers(map('d{0}'.format, others), self.now)

    @rule(number=st.integers(0, 4), demand=st.floats(0, 5))
    def move_demand(self, number, demand):
        self.demands[number % len(self.demands)] = demand

    @rule(rng=st.randoms(use_true_random=False))
    def run_interval(self, rng):
        """Each daemon, in random order, computes its shares and reports its demand.

        A report arrives at once or later, but before the next one of its sender.
        """
        self.now += 1
        numbers = list(range(len(self.shares)))
        rng.shuffle(numbers)
        for number in numbers:
            self.deliver(sender=number)
            demands = {'c1': self.demands[number]}
            self.shares[number].update(demands, self.now)
            for peer in numbers:
                if peer != number:
                    self.late.append((number, peer, DemandReport(demands=demands)))
            if rng.random() < 0.5:
                self.deliver(sender=number)
            self.sum_stays_within_the_limit()

    def deliver(self, sender):
        for number, peer, report in self.late:
            if number == sender:
                self.shares[peer].apply_report(f'd{number}', report, self.now)
        self.late = [entry for entry in self.late if entry[0] != sender]

    @invariant()
    def sum_stays_within_the_limit(self):
        total = sum(shares.share('c1') for shares in getattr(self, 'shares', []))
        assert total <= 1 + 1e-9


TestShares = SharesMachine.TestCase
TestShares.settings = settings(
    derandomize=True, max_examples=40, stateful_step_count=20, deadline=None
)
