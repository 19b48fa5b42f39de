"""Buys and gives back instances, for the deployments whose duty is held here."""

import math
from collections.abc import Iterable, Mapping
from datetime import timedelta

from loguru import logger

from fireflyhitch_fleet.duties import DutyManager
from fireflyhitch_fleet.needs import DeploymentNeed, VersionNeed
from fireflyhitch_fleet.offers import Offers
from fireflyhitch_fleet.planner import (
    Bounds,
    Placement,
    Plan,
    PlanRequest,
    plan_version,
)
from fireflyhitch_fleet.purchases import Purchases
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import DeploymentId, DutyId, InstanceId
from fireflyhitch_model.instances import Instance
from fireflyhitch_model.invariants import Invariant, invariant
from fireflyhitch_model.states import InstanceRole, InstanceState, Step
from fireflyhitch_platform.services import (
    Cloud,
    InstanceList,
    InstanceOrder,
    WeightStore,
)

DUTY_PREFIX = 'capacity/'
SECONDS_PER_HOUR = 3600.0
# A plan with less has to stand for so long before anything is stopped, so that
# a dip in the load does not cost loads of weights.
SETTLE_SECONDS = 300.0


class CapacityManager:
    """Plans and buys under the lease; ``step`` is called every ten seconds or so.

    Without the store or the cloud nothing is started or stopped: what serves
    goes on serving.
    """

    def __init__(
        self,
        duties: DutyManager,
        cloud: Cloud,
        instances: InstanceList,
        weights: WeightStore,
        clock: Clock,
    ) -> None:
        """Make a keeper that has bought nothing."""
        self._duties = duties
        self._cloud = cloud
        self._instances = instances
        self._weights = weights
        self._clock = clock
        self._offers = Offers(clock)
        self._purchases = Purchases(clock)
        self._surplus: dict[tuple[DeploymentId, str], float] = {}

    def list_duties(self, deployments: Iterable[DeploymentId]) -> tuple[DutyId, ...]:
        """Return the duties for the duty keeper."""
        return tuple(make_duty_id(deployment) for deployment in deployments)

    def find_start_time(self, deployment: DeploymentId) -> timedelta:
        """Return how long a start takes, as measured, with the wait for weights."""
        return timedelta(seconds=self._purchases.find_start_seconds(deployment))

    def step(self, needs: Iterable[DeploymentNeed]) -> dict[DeploymentId, list[Plan]]:
        """Plan and act for the deployments whose duty is held.

        :returns: the plans, for the status page.
        """
        held = [need for need in needs if self._holds(need.deployment.name)]
        if not held:
            return {}
        try:
            listing = self._instances.read().instances
            notices = {notice.instance_id for notice in self._cloud.read_notices()}
            self._offers.set_prices(self._cloud.read_prices())
        except PlatformError as error:
            logger.bind(step=error.step.value).warning('capacity not planned')
            return {}
        instances = [one for one in listing if one.role is InstanceRole.BACKEND]
        self._purchases.see(instances)
        staying = [one for one in instances if _stays(one, notices)]
        return {need.deployment.name: self._tend(need, staying) for need in held}

    def _holds(self, deployment: DeploymentId) -> bool:
        return self._duties.holds(make_duty_id(deployment)) is not None

    def _tend(self, need: DeploymentNeed, instances: list[Instance]) -> list[Plan]:
        plans = []
        for version in need.versions:
            plan = self._plan(need, version, instances)
            plans.append(plan)
            try:
                self._start(need, plan)
                self._stop(need, version, plan, instances)
            except PlatformError as error:
                logger.bind(step=error.step.value).warning('plan not carried out')
        self._retire(need, instances)
        return plans

    def _retire(self, need: DeploymentNeed, instances: list[Instance]) -> None:
        """Give back what runs in versions that nobody needs any more."""
        name = need.deployment.name
        needed = {version.version for version in need.versions}
        for one in instances:
            server = one.server
            if server is None or server.deployment != name or server.version in needed:
                self._surplus.pop((name, one.instance_id), None)
            elif self._has_settled(name, one.instance_id) and self._holds(name):
                self._give_back(one.instance_id)

    def _plan(
        self, need: DeploymentNeed, version: VersionNeed, instances: list[Instance]
    ) -> Plan:
        deployment = need.deployment
        running = self._purchases.count_pending(deployment.name, version.version)
        for one in instances:
            if _runs(one, deployment.name, version):
                place = Placement(one.failure_domain, one.machine_class)
                running[place] = running.get(place, 0) + 1
        ahead = self._purchases.find_start_seconds(deployment.name)
        wanted = need.count_servers(version, ahead)
        capacity = deployment.capacity
        bounds = Bounds(
            survive_domain_loss=capacity.survive_domain_loss,
            min_servers=capacity.min_servers if version.traffic_fraction >= 1 else 1,
            max_servers=capacity.max_servers,
            max_on_demand=capacity.max_on_demand,
        )
        markets = self._offers.list_markets(deployment, running)
        order = PlanRequest(
            version.version, wanted, running, version.scale_in_protected
        )
        return plan_version(order, markets, bounds, ahead / SECONDS_PER_HOUR)

    def _start(self, need: DeploymentNeed, plan: Plan) -> None:
        name = need.deployment.name
        for place, count in plan.starts.items():
            for _ in range(count):
                # Each start may take long; the lease can have run out since.
                fencing = self._duties.holds(make_duty_id(name))
                if fencing is None:
                    return
                order_id = self._purchases.find_order_id(
                    name, plan.version, place, fencing
                )
                wait = self._weights.reserve(name, plan.version)
                order = InstanceOrder(order_id, name, plan.version, *place)
                started = self._cloud.start(order)
                if started is None:
                    self._offers.note_refusal(place)
                    break
                self._purchases.note_start(order, started, wait.total_seconds())

    def _stop(
        self,
        need: DeploymentNeed,
        version: VersionNeed,
        plan: Plan,
        instances: list[Instance],
    ) -> None:
        key = (need.deployment.name, plan.version)
        if not plan.stops:
            self._surplus.pop(key, None)
            return
        if not self._has_settled(*key):
            return
        invariant(
            not version.scale_in_protected,
            Invariant.MOVE_ENDS,
            f"{plan.version} is a move's way back",
            step=Step.PLAN,
        )
        for chosen in _choose_stops(plan.stops, need, version, instances):
            if not self._holds(need.deployment.name):
                return
            self._give_back(chosen)

    def _has_settled(self, deployment: DeploymentId, name: str) -> bool:
        now = self._clock.monotonic()
        since = self._surplus.setdefault((deployment, name), now)
        return now - since >= SETTLE_SECONDS

    def _give_back(self, instance: InstanceId) -> None:
        try:
            self._cloud.stop(instance)
        except PlatformError as error:
            logger.bind(step=error.step.value, peer=instance).warning('not stopped')


def make_duty_id(deployment: DeploymentId) -> DutyId:
    """Return the duty whose holder buys a deployment's instances."""
    return DutyId(f'{DUTY_PREFIX}{deployment}')


def _stays(instance: Instance, notices: set[InstanceId]) -> bool:
    if instance.state is not InstanceState.LIVE:
        return False
    return instance.instance_id not in notices


def _runs(instance: Instance, deployment: DeploymentId, version: VersionNeed) -> bool:
    server = instance.server
    if server is None:
        return False
    return (server.deployment, server.version) == (deployment, version.version)


def _choose_stops(
    stops: Mapping[Placement, int],
    need: DeploymentNeed,
    version: VersionNeed,
    instances: list[Instance],
) -> list[InstanceId]:
    chosen = []
    left = dict(stops)
    for one in sorted(instances, key=_order_by_age):
        place = Placement(one.failure_domain, one.machine_class)
        if _runs(one, need.deployment.name, version) and left.get(place, 0) > 0:
            left[place] -= 1
            chosen.append(one.instance_id)
    return chosen


def _order_by_age(instance: Instance) -> tuple[float, str]:
    price = instance.server.price if instance.server else math.inf
    return (-price, instance.instance_id)
