"""Tests of the in-memory platform stand-ins with a manual clock."""

from datetime import timedelta

import pytest

from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.states import InstanceState, MachineClass, Outcome
from fireflyhitch_platform.services import InstanceOrder
from fireflyhitch_standins.cloud import MemoryCloud
from fireflyhitch_standins.faults import Fault
from fireflyhitch_standins.instance_list import MemoryInstanceList
from fireflyhitch_standins.weights import MemoryWeightStore

NOTICE = timedelta(seconds=5)


def launch(order, instance):
    return BackendServer(
        instance,
        instance,
        order.deployment,
        order.version,
        order.failure_domain,
        '127.0.0.1:1',
        order.machine_class,
        1,
        8,
    )


def make_order(order_id, domain='gent', machine_class=MachineClass.RECLAIMABLE):
    return InstanceOrder(order_id, 'm', 'v1', domain, machine_class)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def halted():
    return []


@pytest.fixture
def cloud(clock, halted):
    return MemoryCloud(clock, launch, halted.append)


class TestStarts:
    """Orders for instances."""

    def test_repeated_order_starts_one_instance(self, cloud):
        """The response to a start is lost, and the order is resent.

        The cloud recognises the order id, so the second call returns the instance
        that the first one started, and nothing is paid for twice.
        """
        cloud.calls.faults.queue('start', Fault.LOST_ANSWER)
        caught = pytest.raises(PlatformError, cloud.start, make_order('a'))
        assert caught.value.outcome is Outcome.UNKNOWN
        instance = cloud.start(make_order('a'))
        listed = cloud.list_instances().instances
        assert [entry.instance_id for entry in listed] == [instance]

    def test_starts_are_refused_until_accepted_again(self, cloud):
        cloud.refuse('gent', MachineClass.RECLAIMABLE, refused=True)
        assert cloud.start(make_order('a')) is None
        assert cloud.start(make_order('b', machine_class=MachineClass.ON_DEMAND))
        cloud.refuse('gent', MachineClass.RECLAIMABLE, refused=False)
        assert cloud.start(make_order('a'))

    def test_instance_is_listed_after_its_start_duration(self, cloud, clock):
        cloud.start_duration = timedelta(seconds=3)
        cloud.start(make_order('a'))
        assert not cloud.list_instances().instances
        clock.advance(timedelta(seconds=3))
        assert len(cloud.list_instances().instances) == 1


class TestReclaims:
    """Reclaim notices and their effects."""

    def test_domain_reclaim_takes_its_reclaimable_instances(self, cloud, clock, halted):
        """All reclaimable instances of a failure domain get a notice at once.

        They are listed as leaving until the notice expires and are then killed.
        On-demand instances and other failure domains stay.
        """
        first, second = (cloud.start(make_order(order)) for order in 'ab')
        cloud.start(make_order('c', machine_class=MachineClass.ON_DEMAND))
        cloud.start(make_order('d', domain='brugge'))
        assert cloud.reclaim_domain('gent', NOTICE) == (first, second)
        states = [entry.state for entry in cloud.list_instances().instances]
        assert states.count(InstanceState.LEAVING) == 2
        ends = {notice.reclaim_at for notice in cloud.read_notices()}
        assert ends == {clock.now() + NOTICE}
        clock.advance(NOTICE)
        cloud.advance()
        assert halted == [first, second]
        assert len(cloud.list_instances().instances) == 2
        assert not cloud.read_notices()

    def test_instance_can_be_killed_before_its_notice_expires(
        self, cloud, clock, halted
    ):
        instance = cloud.start(make_order('a'))
        cloud.reclaim((instance,), NOTICE)
        cloud.kill(instance)
        clock.advance(NOTICE)
        cloud.advance()
        assert halted == [instance]


class TestInstanceList:
    """The list that lags behind the cloud."""

    def test_change_is_visible_one_lag_later(self, cloud, clock):
        listed = MemoryInstanceList(clock, timedelta(seconds=2))
        cloud.on_change = listed.record
        instance = cloud.start(make_order('a'))
        listed.skip_lag()
        cloud.kill(instance)
        assert len(listed.read().instances) == 1
        clock.advance(timedelta(seconds=2))
        assert not listed.read().instances


class TestWeightStore:
    """Loads at a bounded rate."""

    def test_loads_are_spaced_out(self, clock):
        store = MemoryWeightStore(clock, timedelta(seconds=4))
        waits = [store.reserve('m', 'v1').total_seconds() for _ in range(3)]
        assert waits == [0, 4, 8]
        clock.advance(timedelta(seconds=10))
        assert store.reserve('m', 'v1').total_seconds() == 2
