"""Tests of orders across a change of the duty's holder."""

from datetime import timedelta

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fireflyhitch_fleet.duties import DutyManager
from fireflyhitch_fleet.orders import DesiredState, EngineReconciler, OrderResult
from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.errors import PeerError
from fireflyhitch_model.peers import Daemon
from fireflyhitch_model.states import FencingSupport, MachineClass, Step
from fireflyhitch_platform.services import EngineAction, EngineOrder, EngineState
from fireflyhitch_standins.faults import Fault
from fireflyhitch_standins.keyvalue import MemoryKeyValueStore

DUTY = 'capacity/answers'
ORDER_SECONDS = 3
LEASE_SECONDS = 9


class FakeEngines:
    """One engine; with enforcement it refuses old fencing numbers."""

    def __init__(self, enforced):
        self.enforced = enforced
        self.fencing = 0
        self.version = 'v1'
        self.taken = []
        self.lost = False

    def read_state(self, server):
        return EngineState(self.version, (), 'mixed', self.fencing, ready=True)

    def give_order(self, server, order):
        taken = self.receive(order)
        if self.lost:
            raise PeerError('no answer', step=Step.ORDER, peer=server)
        return taken

    def receive(self, order):
        if self.enforced and order.fencing < self.fencing:
            return False
        self.fencing = max(self.fencing, order.fencing)
        self.version = order.argument
        self.taken.append(order.fencing)
        return True


def make_server(fencing):
    return BackendServer(
        server_id='s1',
        instance='i1',
        deployment='answers',
        version='v1',
        failure_domain='gent',
        address='127.0.0.1:1',
        machine_class=MachineClass.RECLAIMABLE,
        price=1,
        capacity=8,
        fencing=fencing,
    )


def load(version):
    return DesiredState(EngineAction.LOAD_VERSION, version)


class Desk:
    """A daemon with its keeper and desk."""

    def __init__(self, number, store, clock, engines, live):
        self.duties = DutyManager(store, clock, f'd{number}', live)
        self.duties.set_duties([DUTY])
        self.desk = EngineReconciler(engines, self.duties, clock)

    def reconcile(self, wish, fencing=FencingSupport.ENFORCED):
        return self.desk.reconcile(DUTY, make_server(fencing), wish)


class Arrangement:
    """Two daemons in two failure domains, one engine."""

    def __init__(self, enforced):
        self.clock = ManualClock()
        self.store = MemoryKeyValueStore(self.clock)
        self.engines = FakeEngines(enforced)
        daemons = (Daemon('d0', 'gent', '', ''), Daemon('d1', 'brugge', '', ''))

        def list_live():
            return daemons

        self.desks = [
            Desk(number, self.store, self.clock, self.engines, list_live)
            for number in range(2)
        ]

    def advance(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))

    def change_holder(self):
        """Pause the first holder until the second has the duty."""
        first, second = self.desks
        first.duties.step()
        fencing = first.duties.holds(DUTY)
        self.advance(LEASE_SECONDS + 0.1)
        second.duties.step()
        return fencing


class TestOrders:
    """Orders under a duty's lease."""

    def test_order_takes_effect_under_the_lease(self):
        arrangement = Arrangement(enforced=True)
        desk = arrangement.desks[0]
        assert desk.reconcile(load('v2')) is OrderResult.NOT_HELD
        desk.duties.step()
        assert desk.reconcile(load('v2')) is OrderResult.IN_EFFECT
        assert arrangement.engines.taken == [desk.duties.holds(DUTY)]

    def test_paused_holder_gives_no_order_when_it_wakes(self):
        """The holder is paused past its lease; its successor loads v3.

        When the first wakes it asks its own clock before it sends, and gives
        no order; the engine keeps the successor's version.
        """
        arrangement = Arrangement(enforced=True)
        first, second = arrangement.desks
        arrangement.change_holder()
        assert second.reconcile(load('v3')) is OrderResult.IN_EFFECT
        assert first.reconcile(load('v2')) is OrderResult.NOT_HELD
        assert arrangement.engines.version == 'v3'

    def test_late_order_is_refused_by_an_enforcing_engine(self):
        """An order of the first holder arrives after the successor's.

        The engine has seen a greater fencing number and refuses it.
        """
        arrangement = Arrangement(enforced=True)
        fencing = arrangement.change_holder()
        arrangement.desks[1].reconcile(load('v3'))
        late = EngineOrder(EngineAction.LOAD_VERSION, 'v2', fencing)
        assert not arrangement.engines.receive(late)
        assert arrangement.engines.version == 'v3'

    def test_successor_waits_before_engines_that_ignore_numbers(self):
        """An order of the first holder is on its way to an engine that obeys all.

        The successor gives its own only when that order has arrived or was
        given up; it reads the engine anew, sees v2, and sets it right.
        """
        arrangement = Arrangement(enforced=False)
        second = arrangement.desks[1]
        fencing = arrangement.change_holder()
        ignored = FencingSupport.IGNORED
        assert second.reconcile(load('v3'), ignored) is OrderResult.TOO_EARLY
        arrangement.engines.receive(
            EngineOrder(EngineAction.LOAD_VERSION, 'v2', fencing)
        )
        for _ in range(LEASE_SECONDS + ORDER_SECONDS):
            arrangement.advance(1)
            second.duties.step()
        assert second.reconcile(load('v3'), ignored) is OrderResult.IN_EFFECT
        assert arrangement.engines.version == 'v3'

    def test_lost_answer_is_settled_by_reading_the_engine(self):
        """The engine took the order, but the answer was lost.

        The result is unknown; the next attempt reads what the engine holds
        and finds it in effect without a second order.
        """
        arrangement = Arrangement(enforced=True)
        desk = arrangement.desks[0]
        desk.duties.step()
        arrangement.engines.lost = True
        assert desk.reconcile(load('v2')) is OrderResult.UNKNOWN
        assert desk.reconcile(load('v2')) is OrderResult.IN_EFFECT
        assert len(arrangement.engines.taken) == 1

    def test_no_order_in_the_last_seconds_of_a_lease(self):
        arrangement = Arrangement(enforced=True)
        desk = arrangement.desks[0]
        desk.duties.step()
        arrangement.advance(5)
        assert desk.duties.holds(DUTY) is not None
        assert desk.reconcile(load('v2')) is OrderResult.NOT_HELD

    @pytest.mark.parametrize('enforced', [True, False])
    def test_restarted_engine_is_brought_back(self, enforced):
        """The engine restarts and forgets version and fencing number.

        The holder's next round reads it and orders anew.
        """
        arrangement = Arrangement(enforced)
        desk = arrangement.desks[0]
        desk.duties.step()
        desk.reconcile(load('v2'))
        arrangement.engines.version = 'v1'
        arrangement.engines.fencing = 0
        assert desk.reconcile(load('v2')) is OrderResult.IN_EFFECT


class OrderMachine(RuleBasedStateMachine):
    """Pauses, outages and late orders in any order.

    An engine never takes an order of an earlier holder after one of a later.
    Orders on their way arrive within the order's timeout or not at all.
    """

    enforced = True

    def __init__(self):
        super().__init__()
        self.arrangement = Arrangement(self.enforced)
        self.sent = []
        engines = self.arrangement.engines
        self.deliver = engines.receive
        engines.give_order = self.hold_back

    def hold_back(self, server, order):
        """Keep an order on its way, as a slow network does."""
        self.sent.append((self.arrangement.clock.monotonic(), order))
        raise PeerError('no answer', step=Step.ORDER, peer=server)

    @rule(number=st.integers(0, 1))
    def step(self, number):
        self.arrangement.desks[number].duties.step()

    @rule(seconds=st.sampled_from((0.5, 1.0, 3.0, 9.5)))
    def pass_time(self, seconds):
        self.arrangement.advance(seconds)
        now = self.arrangement.clock.monotonic()
        self.sent = [
            (at, order) for at, order in self.sent if now - at <= ORDER_SECONDS
        ]

    @rule(number=st.integers(0, 1), version=st.sampled_from(('v2', 'v3')))
    def order(self, number, version):
        support = FencingSupport.ENFORCED
        if not self.enforced:
            support = FencingSupport.IGNORED
        self.arrangement.desks[number].reconcile(load(version), support)

    @precondition(lambda machine: machine.sent)
    @rule(position=st.integers(0, 9))
    def arrive(self, position):
        _, order = self.sent.pop(position % len(self.sent))
        self.deliver(order)

    @rule(out=st.booleans())
    def turn_store(self, out):
        self.arrangement.store.faults.lift()
        if out:
            self.arrangement.store.faults.stand('*', Fault.LOST_ANSWER)

    @invariant()
    def holders_take_turns(self):
        taken = self.arrangement.engines.taken
        assert taken == sorted(taken)
        held = [desk.duties.holds(DUTY) for desk in self.arrangement.desks]
        assert held.count(None) >= 1


class IgnoringMachine(OrderMachine):
    """The same with an engine that obeys any fencing number."""

    enforced = False


BOUNDED = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)
TestEnforcedOrders = OrderMachine.TestCase
TestEnforcedOrders.settings = BOUNDED
TestIgnoredOrders = IgnoringMachine.TestCase
TestIgnoredOrders.settings = BOUNDED
