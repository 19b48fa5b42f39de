"""Starts and stops instances for the deployments whose duty is held locally."""

import math
from collections.abc import Iterable, Mapping
from datetime import timedelta

from loguru import logger

from fireflyhitch_fleet.duties import DutyManager
from fireflyhitch_fleet.market_tracker import MarketTracker
from fireflyhitch_fleet.needs import DeploymentNeed, VersionNeed
from fireflyhitch_fleet.pending_starts import PendingStarts
from fireflyhitch_fleet.planner import (
    Bounds,
    Placement,
    Plan,
    PlanRequest,
    plan_version,
)
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
# Instances are stopped only after being surplus for this long, so that a dip in the
# load does not cause weights to be loaded again.
SURPLUS_SECONDS = 300.0


class CapacityManager:
    """Plans and orders instances under a lease; call ``step`` about every 10 s.

    While the store or the cloud is unavailable, nothing is started or stopped, and
    running instances continue to serve.
    """

    def __init__(
        self,
        duties: DutyManager,
        cloud: Cloud,
        instances: InstanceList,
        weights: WeightStore,
        clock: Clock,
    ) -> None:
        """Create a manager without pending starts."""
        self._duties = duties
        self._cloud = cloud
        self._instances = instances
        self._weights = weights
        self._clock = clock
        self._market_tracker = MarketTracker(clock)
        self._pending_starts = PendingStarts(clock)
        self._surplus_since: dict[tuple[DeploymentId, str], float] = {}

    def list_duties(self, deployments: Iterable[DeploymentId]) -> tuple[DutyId, ...]:
        """Return the capacity duties of deployments."""
        return tuple(make_duty_id(deployment) for deployment in deployments)

    def find_start_time(self, deployment: DeploymentId) -> timedelta:
        """Return the measured start time, including the wait for weights."""
        return timedelta(seconds=self._pending_starts.find_start_seconds(deployment))

    def step(self, needs: Iterable[DeploymentNeed]) -> dict[DeploymentId, list[Plan]]:
        """Plan and apply plans for the deployments whose duty is held.

        :returns: the plans by deployment, for the status page.
        """
        held = [need for need in needs if self._holds(need.deployment.name)]
        if not held:
            return {}
        try:
            listing = self._instances.read().instances
            notices = {notice.instance_id for notice in self._cloud.read_notices()}
            self._market_tracker.set_prices(self._cloud.read_prices())
        except PlatformError as error:
            logger.bind(step=error.step.value).warning('capacity not planned')
            return {}
        instances = [
            instance for instance in listing if instance.role is InstanceRole.BACKEND
        ]
        self._pending_starts.remove_listed(instances)
        staying = [instance for instance in instances if _is_staying(instance, notices)]
        return {need.deployment.name: self._reconcile(need, staying) for need in held}

    def _holds(self, deployment: DeploymentId) -> bool:
        return self._duties.holds(make_duty_id(deployment)) is not None

    def _reconcile(self, need: DeploymentNeed, instances: list[Instance]) -> list[Plan]:
        plans = []
        for version in need.versions:
            plan = self._plan(need, version, instances)
            plans.append(plan)
            try:
                self._start(need, plan)
                self._stop(need, version, plan, instances)
            except PlatformError as error:
                logger.bind(step=error.step.value).warning('plan not applied')
        self._stop_unneeded(need, instances)
        return plans

    def _stop_unneeded(self, need: DeploymentNeed, instances: list[Instance]) -> None:
        """Stop instances of versions that are no longer needed."""
        name = need.deployment.name
        needed = {version.version for version in need.versions}
        for instance in instances:
            server = instance.server
            if server is None or server.deployment != name or server.version in needed:
                self._surplus_since.pop((name, instance.instance_id), None)
            elif self._is_lasting_surplus(name, instance.instance_id) and self._holds(
                name
            ):
                self._stop_instance(instance.instance_id)

    def _plan(
        self, need: DeploymentNeed, version: VersionNeed, instances: list[Instance]
    ) -> Plan:
        deployment = need.deployment
        running = self._pending_starts.count_pending(deployment.name, version.version)
        for instance in instances:
            if _runs_version(instance, deployment.name, version):
                placement = Placement(instance.failure_domain, instance.machine_class)
                running[placement] = running.get(placement, 0) + 1
        start_seconds = self._pending_starts.find_start_seconds(deployment.name)
        wanted = need.count_servers(version, start_seconds)
        capacity = deployment.capacity
        bounds = Bounds(
            survive_domain_loss=capacity.survive_domain_loss,
            min_servers=capacity.min_servers if version.traffic_fraction >= 1 else 1,
            max_servers=capacity.max_servers,
            max_on_demand=capacity.max_on_demand,
        )
        markets = self._market_tracker.list_markets(deployment, running)
        request = PlanRequest(
            version.version, wanted, running, version.scale_in_protected
        )
        return plan_version(request, markets, bounds, start_seconds / SECONDS_PER_HOUR)

    def _start(self, need: DeploymentNeed, plan: Plan) -> None:
        name = need.deployment.name
        for placement, count in plan.starts.items():
            for _ in range(count):
                # A start may take long, and the lease may have expired meanwhile.
                fencing = self._duties.holds(make_duty_id(name))
                if fencing is None:
                    return
                order_id = self._pending_starts.find_order_id(
                    name, plan.version, placement, fencing
                )
                wait = self._weights.reserve(name, plan.version)
                order = InstanceOrder(order_id, name, plan.version, *placement)
                started = self._cloud.start(order)
                if started is None:
                    self._market_tracker.record_refusal(placement)
                    break
                self._pending_starts.record_start(order, started, wait.total_seconds())

    def _stop(
        self,
        need: DeploymentNeed,
        version: VersionNeed,
        plan: Plan,
        instances: list[Instance],
    ) -> None:
        key = (need.deployment.name, plan.version)
        if not plan.stops:
            self._surplus_since.pop(key, None)
            return
        if not self._is_lasting_surplus(*key):
            return
        invariant(
            not version.scale_in_protected,
            Invariant.MOVE_ENDS,
            f"{plan.version} is needed for a move's rollback",
            step=Step.PLAN,
        )
        for instance_id in _choose_stops(plan.stops, need, version, instances):
            if not self._holds(need.deployment.name):
                return
            self._stop_instance(instance_id)

    def _is_lasting_surplus(self, deployment: DeploymentId, name: str) -> bool:
        now = self._clock.monotonic()
        since = self._surplus_since.setdefault((deployment, name), now)
        return now - since >= SURPLUS_SECONDS

    def _stop_instance(self, instance: InstanceId) -> None:
        try:
            self._cloud.stop(instance)
        except PlatformError as error:
            logger.bind(step=error.step.value, peer=instance).warning(
                'instance not stopped'
            )


def make_duty_id(deployment: DeploymentId) -> DutyId:
    """Return the id of the duty whose holder orders a deployment's instances."""
    return DutyId(f'{DUTY_PREFIX}{deployment}')


def _is_staying(instance: Instance, notices: set[InstanceId]) -> bool:
    if instance.state is not InstanceState.LIVE:
        return False
    return instance.instance_id not in notices


def _runs_version(
    instance: Instance, deployment: DeploymentId, version: VersionNeed
) -> bool:
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
    instances_to_stop = []
    remaining = dict(stops)
    for instance in sorted(instances, key=_rank_for_stop):
        placement = Placement(instance.failure_domain, instance.machine_class)
        if (
            _runs_version(instance, need.deployment.name, version)
            and remaining.get(placement, 0) > 0
        ):
            remaining[placement] -= 1
            instances_to_stop.append(instance.instance_id)
    return instances_to_stop


def _rank_for_stop(instance: Instance) -> tuple[float, str]:
    price = instance.server.price if instance.server else math.inf
    return (-price, instance.instance_id)
