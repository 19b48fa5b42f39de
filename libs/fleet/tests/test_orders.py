"""Tests of engine orders across a change of the duty holder."""

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
    """One engine, which can enforce fencing numbers by refusing old ones."""

    def __init__(self, enforced):
        self.enforced = enforced
        self.fencing = 0
        self.version = 'v1'
        self.executed = []
        self.lost = False

    def read_state(self, server):
        return EngineState(self.version, (), 'mixed', self.fencing, ready=True)

    def send_order(self, server, order):
        executed = self.receive(order)
        if self.lost:
            raise PeerError('no answer', step=Step.ORDER, peer=server)
        return executed

    def receive(self, order):
        if self.enforced and order.fencing < self.fencing:
            return False
        self.fencing = max(self.fencing, order.fencing)
        self.version = order.argument
        self.executed.append(order.fencing)
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


class Node:
    """A daemon with its duty manager and engine reconciler."""

    def __init__(self, number, store, clock, engines, live):
        self.duties = DutyManager(store, clock, f'd{number}', live)
        self.duties.set_duties([DUTY])
        self.reconciler = EngineReconciler(engines, self.duties, clock)

    def reconcile(self, desired, fencing=FencingSupport.ENFORCED):
        return self.reconciler.reconcile(DUTY, make_server(fencing), desired)


class Cluster:
    """Two daemons in two failure domains, and one engine."""

    def __init__(self, enforced):
        self.clock = ManualClock()
        self.store = MemoryKeyValueStore(self.clock)
        self.engines = FakeEngines(enforced)
        daemons = (Daemon('d0', 'gent', '', ''), Daemon('d1', 'brugge', '', ''))

        def list_live():
            return daemons

        self.nodes = [
            Node(number, self.store, self.clock, self.engines, list_live)
            for number in range(2)
        ]

    def advance(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))

    def change_holder(self):
        """Pause the first holder until the second one has taken the duty."""
        first, second = self.nodes
        first.duties.step()
        fencing = first.duties.holds(DUTY)
        self.advance(LEASE_SECONDS + 0.1)
        second.duties.step()
        return fencing


class TestOrders:
    """Orders under a duty's lease."""

    def test_order_takes_effect_under_the_lease(self):
        cluster = Cluster(enforced=True)
        node = cluster.nodes[0]
        assert node.reconcile(load('v2')) is OrderResult.NOT_HELD
        node.duties.step()
        assert node.reconcile(load('v2')) is OrderResult.IN_EFFECT
        assert cluster.engines.executed == [node.duties.holds(DUTY)]

    def test_paused_holder_sends_no_order_on_resume(self):
        """The holder is paused past its lease; its successor loads v3.

        On resume the first holder checks its own clock and sends no order, so the
        engine keeps the successor's version.
        """
        cluster = Cluster(enforced=True)
        first, second = cluster.nodes
        cluster.change_holder()
        assert second.reconcile(load('v3')) is OrderResult.IN_EFFECT
        assert first.reconcile(load('v2')) is OrderResult.NOT_HELD
        assert cluster.engines.version == 'v3'

    def test_late_order_is_refused_by_an_enforcing_engine(self):
        """An order of the first holder arrives after the successor's.

        The engine has already received a greater fencing number and refuses it.
        """
        cluster = Cluster(enforced=True)
        fencing = cluster.change_holder()
        cluster.nodes[1].reconcile(load('v3'))
        late = EngineOrder(EngineAction.LOAD_VERSION, 'v2', fencing)
        assert not cluster.engines.receive(late)
        assert cluster.engines.version == 'v3'

    def test_successor_waits_if_the_engine_ignores_fencing(self):
        """An order of the first holder is in flight to an engine without fencing.

        The successor sends its own order only after that one has arrived or timed
        out. It then reads the engine's state, finds v2 and corrects it.
        """
        cluster = Cluster(enforced=False)
        second = cluster.nodes[1]
        fencing = cluster.change_holder()
        ignored = FencingSupport.IGNORED
        assert second.reconcile(load('v3'), ignored) is OrderResult.TOO_EARLY
        cluster.engines.receive(EngineOrder(EngineAction.LOAD_VERSION, 'v2', fencing))
        for _ in range(LEASE_SECONDS + ORDER_SECONDS):
            cluster.advance(1)
            second.duties.step()
        assert second.reconcile(load('v3'), ignored) is OrderResult.IN_EFFECT
        assert cluster.engines.version == 'v3'

    def test_lost_response_is_resolved_by_reading_the_engine(self):
        """The engine executes the order, but the response is lost.

        The result is unknown. The next attempt reads the engine's state and finds
        the order in effect, without sending a second one.
        """
        cluster = Cluster(enforced=True)
        node = cluster.nodes[0]
        node.duties.step()
        cluster.engines.lost = True
        assert node.reconcile(load('v2')) is OrderResult.UNKNOWN
        assert node.reconcile(load('v2')) is OrderResult.IN_EFFECT
        assert len(cluster.engines.executed) == 1

    def test_no_order_in_the_last_seconds_of_a_lease(self):
        cluster = Cluster(enforced=True)
        node = cluster.nodes[0]
        node.duties.step()
        cluster.advance(5)
        assert node.duties.holds(DUTY) is not None
        assert node.reconcile(load('v2')) is OrderResult.NOT_HELD

    @pytest.mark.parametrize('enforced', [True, False])
    def test_restarted_engine_is_corrected(self, enforced):
        """The engine restarts and loses its version and fencing number.

        The holder's next attempt reads its state and sends the order again.
        """
        cluster = Cluster(enforced)
        node = cluster.nodes[0]
        node.duties.step()
        node.reconcile(load('v2'))
        cluster.engines.version = 'v1'
        cluster.engines.fencing = 0
        assert node.reconcile(load('v2')) is OrderResult.IN_EFFECT


class OrderMachine(RuleBasedStateMachine):
    """Pauses, outages and late orders in any sequence.

    An engine never executes an order of an earlier holder after one of a later
    holder. Orders in flight arrive within the order timeout or not at all.
    """

    enforced = True

    def __init__(self):
        super().__init__()
        self.cluster = Cluster(self.enforced)
        self.sent = []
        engines = self.cluster.engines
        self.deliver = engines.receive
        engines.send_order = self.delay_order

    def delay_order(self, server, order):
        """Keep an order in flight, like a slow network."""
        self.sent.append((self.cluster.clock.monotonic(), order))
        raise PeerError('no answer', step=Step.ORDER, peer=server)

    @rule(number=st.integers(0, 1))
    def step(self, number):
        self.cluster.nodes[number].duties.step()

    @rule(seconds=st.sampled_from((0.5, 1.0, 3.0, 9.5)))
    def pass_time(self, seconds):
        self.cluster.advance(seconds)
        now = self.cluster.clock.monotonic()
        self.sent = [
            (at, order) for at, order in self.sent if now - at <= ORDER_SECONDS
        ]

    @rule(number=st.integers(0, 1), version=st.sampled_from(('v2', 'v3')))
    def order(self, number, version):
        support = FencingSupport.ENFORCED
        if not self.enforced:
            support = FencingSupport.IGNORED
        self.cluster.nodes[number].reconcile(load(version), support)

    @precondition(lambda machine: machine.sent)
    @rule(position=st.integers(0, 9))
    def arrive(self, position):
        _, order = self.sent.pop(position % len(self.sent))
        self.deliver(order)

    @rule(out=st.booleans())
    def set_store_fault(self, out):
        self.cluster.store.faults.clear_all()
        if out:
            self.cluster.store.faults.set_persistent('*', Fault.LOST_ANSWER)

    @invariant()
    def at_most_one_holder_acts(self):
        executed = self.cluster.engines.executed
        assert executed == sorted(executed)
        held = [node.duties.holds(DUTY) for node in self.cluster.nodes]
        assert held.count(None) >= 1


class IgnoringMachine(OrderMachine):
    """The same with an engine that ignores fencing numbers."""

    enforced = False


BOUNDED = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)
TestEnforcedOrders = OrderMachine.TestCase
TestEnforcedOrders.settings = BOUNDED
TestIgnoredOrders = IgnoringMachine.TestCase
TestIgnoredOrders.settings = BOUNDED
