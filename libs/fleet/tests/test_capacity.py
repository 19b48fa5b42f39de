"""Tests of starting and stopping instances under the duty's lease."""

from datetime import timedelta

import pytest

from fireflyhitch_fleet.capacity import CapacityManager, make_duty_id
from fireflyhitch_fleet.needs import Demand, DeploymentNeed, VersionNeed
from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.instances import Instance, InstanceListing, ReclaimNotice
from fireflyhitch_model.states import InstanceRole, InstanceState, MachineClass, Step
from fireflyhitch_platform.services import Price
from fireflyhitch_settings.schema import CapacityPlan, ModelDeployment

NAME = 'answers'
DOMAINS = ('gent', 'brugge', 'kortrijk')
CHEAP = MachineClass.RECLAIMABLE


class FakeCloud:
    """A cloud, its instance list and a weight store; starts take no time."""

    def __init__(self):
        self.instances = {}
        self.orders = {}
        self.notices = ()
        self.refusing = set()
        self.lost_responses = 0
        self.down = False

    def read(self):
        return InstanceListing(tuple(self.instances.values()))

    def read_notices(self):
        if self.down:
            raise PlatformError('down', step=Step.CLOUD)
        return self.notices

    def read_prices(self):
        return tuple(
            Price(domain, machine_class, price)
            for domain in DOMAINS
            for machine_class, price in ((CHEAP, 1), (MachineClass.ON_DEMAND, 3))
        )

    def reserve(self, deployment, version):
        return timedelta(seconds=5)

    def start(self, order):
        if (order.failure_domain, order.machine_class) in self.refusing:
            return None
        instance_id = self.orders.get(order.order_id)
        if instance_id is None:
            instance_id = f'i{len(self.orders)}'
            self.orders[order.order_id] = instance_id
            self.instances[instance_id] = make_instance(instance_id, order)
        if self.lost_responses:
            self.lost_responses -= 1
            raise PlatformError('no answer', step=Step.CLOUD)
        return instance_id

    def stop(self, instance):
        self.instances.pop(instance, None)

    def reclaim(self, domain, clock):
        self.notices = tuple(
            ReclaimNotice(one.instance_id, clock.now())
            for one in self.instances.values()
            if one.failure_domain == domain
        )

    def count(self, **wanted):
        return sum(
            all(getattr(one, name) == value for name, value in wanted.items())
            for one in self.instances.values()
        )


def make_instance(instance_id, order):
    server = BackendServer(
        server_id=f's-{instance_id}',
        instance=instance_id,
        deployment=order.deployment,
        version=order.version,
        failure_domain=order.failure_domain,
        address='127.0.0.1:1',
        machine_class=order.machine_class,
        price=1,
        capacity=8,
    )
    return Instance(
        instance_id,
        InstanceRole.BACKEND,
        InstanceState.LIVE,
        order.failure_domain,
        '127.0.0.1:1',
        order.machine_class,
        server=server,
    )


def make_need(calls=28, growth=0.0, versions=None):
    deployment = ModelDeployment(
        name=NAME,
        failure_domains=DOMAINS,
        version='v1',
        capacity=CapacityPlan(calls_per_server=8, survive_domain_loss=0.6),
    )
    wanted = versions or (VersionNeed('v1', 1),)
    return DeploymentNeed(deployment, wanted, Demand(calls, growth))


@pytest.fixture
def cloud():
    return FakeCloud()


@pytest.fixture
def manager(managers, cloud, clock):
    duties = managers[0]
    duties.set_duties([make_duty_id(NAME)])
    duties.step()
    return CapacityManager(duties, cloud, cloud, cloud, clock)


class TestCapacity:
    """Which instances are started and stopped."""

    def test_capacity_suffices_after_a_domain_loss(self, manager, cloud):
        manager.step([make_need(calls=28)])
        counts = [cloud.count(failure_domain=domain) for domain in DOMAINS]
        assert sum(counts) == 5
        assert sum(counts) - max(counts) >= 3

    def test_growth_is_extrapolated_over_the_start_time(self, manager, cloud):
        manager.step([make_need(calls=28, growth=0.1)])
        assert cloud.count() > 5

    def test_reclaimed_instances_are_replaced_in_other_domains(
        self, manager, cloud, clock
    ):
        """All instances of Gent get reclaim notices; the cloud refuses starts there.

        Instances with a notice count as lost at once: replacements are started in
        the other failure domains while they still run.
        """
        manager.step([make_need()])
        cloud.reclaim('gent', clock)
        cloud.refusing = {('gent', CHEAP), ('gent', MachineClass.ON_DEMAND)}
        for _ in range(5):
            clock.advance(timedelta(seconds=2))
            manager._duties.step()
            manager.step([make_need()])
        gone = {notice.instance_id for notice in cloud.notices}
        assert len(cloud.instances) - len(gone) >= 5

    def test_lost_response_to_a_start_adds_no_second_instance(
        self, manager, cloud, clock
    ):
        """The cloud starts an instance, but the response is lost.

        The retry uses the same order id, and the cloud returns the instance that
        it has already started.
        """
        cloud.lost_responses = 1
        manager.step([make_need()])
        clock.advance(timedelta(seconds=2))
        cloud.instances.clear()
        manager.step([make_need()])
        assert len(cloud.orders) == 5

    def test_nothing_is_done_without_the_lease(self, manager, cloud, clock):
        """The holder was paused past its lease.

        It starts and stops nothing, regardless of the plan.
        """
        clock.advance(timedelta(seconds=10))
        assert not manager.step([make_need()])
        assert not cloud.orders

    def test_nothing_is_done_while_the_cloud_is_unavailable(self, manager, cloud):
        manager.step([make_need()])
        cloud.down = True
        assert not manager.step([make_need(calls=80)])
        assert cloud.count() == 5

    def test_only_a_lasting_surplus_is_stopped(self, manager, cloud, clock):
        manager.step([make_need(calls=50)])
        count_before = cloud.count()
        counts_over_time = []
        for _ in range(320):
            clock.advance(timedelta(seconds=1))
            manager._duties.step()
            manager.step([make_need(calls=12)])
            counts_over_time.append(cloud.count())
        assert counts_over_time[200] == count_before
        assert counts_over_time[-1] < count_before

    def test_unneeded_version_is_stopped(self, manager, cloud, clock):
        """The move is done and the old version is no longer needed.

        Its instances are kept as long as any surplus, then stopped.
        """
        manager.step([make_need()])
        need = make_need(versions=(VersionNeed('v2', 1),))
        for _ in range(310):
            clock.advance(timedelta(seconds=1))
            manager._duties.step()
            manager.step([need])
        versions = {one.server.version for one in cloud.instances.values()}
        assert versions == {'v2'}

    def test_old_version_is_kept_for_a_rollback(self, manager, cloud, clock):
        """The new version serves most of the traffic and the old one is idle.

        The old version's instances are kept until the move is done.
        """
        manager.step([make_need(calls=50)])
        versions = (
            VersionNeed('v1', 0.1, scale_in_protected=True),
            VersionNeed('v2', 1),
        )
        count_before = cloud.count()
        for _ in range(320):
            clock.advance(timedelta(seconds=1))
            manager._duties.step()
            manager.step([make_need(calls=50, versions=versions)])
        assert cloud.count() >= 2 * count_before - 1
