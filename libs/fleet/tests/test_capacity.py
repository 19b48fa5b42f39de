"""Tests of buying and giving back instances under the duty's lease."""

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
    """A cloud, its instance list and a weight store in one; starts are at once."""

    def __init__(self):
        self.instances = {}
        self.orders = {}
        self.notices = ()
        self.refusing = set()
        self.lose_answers = 0
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
        if self.lose_answers:
            self.lose_answers -= 1
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
def keeper(keepers, cloud, clock):
    duties = keepers[0]
    duties.set_duties([make_duty_id(NAME)])
    duties.step()
    return CapacityManager(duties, cloud, cloud, cloud, clock)


class TestCapacity:
    """What is bought and given back."""

    def test_load_is_carried_and_a_domain_can_be_lost(self, keeper, cloud):
        keeper.step([make_need(calls=28)])
        counts = [cloud.count(failure_domain=domain) for domain in DOMAINS]
        assert sum(counts) == 5
        assert sum(counts) - max(counts) >= 3

    def test_growth_is_met_for_the_time_a_start_takes(self, keeper, cloud):
        keeper.step([make_need(calls=28, growth=0.1)])
        assert cloud.count() > 5

    def test_reclaimed_instances_are_replaced_elsewhere(self, keeper, cloud, clock):
        """A wave announces all instances of Gent, and the cloud refuses there.

        The noticed ones count as gone at once; replacements are started in the
        other failure domains, although the old ones still run.
        """
        keeper.step([make_need()])
        cloud.reclaim('gent', clock)
        cloud.refusing = {('gent', CHEAP), ('gent', MachineClass.ON_DEMAND)}
        for _ in range(5):
            clock.advance(timedelta(seconds=2))
            keeper._duties.step()
            keeper.step([make_need()])
        gone = {notice.instance_id for notice in cloud.notices}
        assert len(cloud.instances) - len(gone) >= 5

    def test_lost_answer_to_a_start_buys_no_second_instance(self, keeper, cloud, clock):
        """The cloud started an instance, but its answer was lost.

        The next try names the same order, and the cloud answers with the
        instance that it has started already.
        """
        cloud.lose_answers = 1
        keeper.step([make_need()])
        clock.advance(timedelta(seconds=2))
        cloud.instances.clear()
        keeper.step([make_need()])
        assert len(cloud.orders) == 5

    def test_nothing_is_done_without_the_lease(self, keeper, cloud, clock):
        """The holder was paused past its lease.

        It neither starts nor stops, whatever the plan would be.
        """
        clock.advance(timedelta(seconds=10))
        assert not keeper.step([make_need()])
        assert not cloud.orders

    def test_nothing_is_done_while_the_cloud_is_out(self, keeper, cloud):
        keeper.step([make_need()])
        cloud.down = True
        assert not keeper.step([make_need(calls=80)])
        assert cloud.count() == 5

    def test_surplus_goes_only_when_it_lasts(self, keeper, cloud, clock):
        keeper.step([make_need(calls=50)])
        bought = cloud.count()
        seen = []
        for _ in range(320):
            clock.advance(timedelta(seconds=1))
            keeper._duties.step()
            keeper.step([make_need(calls=12)])
            seen.append(cloud.count())
        assert seen[200] == bought
        assert seen[-1] < bought

    def test_version_that_nobody_needs_is_retired(self, keeper, cloud, clock):
        """The move is done and the old version is no longer asked for.

        Its instances are kept for the time that any surplus is, then given back.
        """
        keeper.step([make_need()])
        need = make_need(versions=(VersionNeed('v2', 1),))
        for _ in range(310):
            clock.advance(timedelta(seconds=1))
            keeper._duties.step()
            keeper.step([need])
        versions = {one.server.version for one in cloud.instances.values()}
        assert versions == {'v2'}

    def test_way_back_of_a_move_is_kept(self, keeper, cloud, clock):
        """The new version has most of the traffic and the old one idles.

        The old version's instances stay until the move is done.
        """
        keeper.step([make_need(calls=50)])
        versions = (
            VersionNeed('v1', 0.1, scale_in_protected=True),
            VersionNeed('v2', 1),
        )
        bought = cloud.count()
        for _ in range(320):
            clock.advance(timedelta(seconds=1))
            keeper._duties.step()
            keeper.step([make_need(calls=50, versions=versions)])
        assert cloud.count() >= 2 * bought - 1
