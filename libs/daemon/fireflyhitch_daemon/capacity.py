"""Capacity planning at this daemon: instances to start and versions to load."""

import threading
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from loguru import logger

from fireflyhitch_daemon.directory import Directory
from fireflyhitch_daemon.engine_reports import EngineReports
from fireflyhitch_fleet.capacity import CapacityManager, make_duty_id
from fireflyhitch_fleet.needs import Demand, DeploymentNeed
from fireflyhitch_fleet.orders import DesiredState, EngineReconciler, OrderResult
from fireflyhitch_membership.network import PeerNetwork
from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import DeploymentId, InstanceId
from fireflyhitch_model.instances import ReclaimNotice
from fireflyhitch_model.states import Step
from fireflyhitch_platform.services import (
    Cloud,
    EngineAction,
    InstanceOrder,
    Price,
)
from fireflyhitch_rollout.moves import MoveManager
from fireflyhitch_rollout.supplies import Supply
from fireflyhitch_settings.schema import Configuration, Deployment, ModelDeployment

# Upper bound on the time until every reachable daemon has a leaving mark.
MARK_PROPAGATION = timedelta(seconds=5)


class DrainingCloud:
    """A cloud client that drains instances before it stops them.

    Stopping an instance at once would cut off the answers in progress at its
    server. The first call to ``stop`` broadcasts a leaving mark; a later call
    stops the instance once its answers have had time to complete.

    :param drain_time: the maximum duration of an answer.
    """

    def __init__(
        self,
        cloud: Cloud,
        network: PeerNetwork,
        directory: Directory,
        clock: Clock,
        drain_time: timedelta,
    ) -> None:
        self._cloud = cloud
        self._network = network
        self._directory = directory
        self._clock = clock
        self._drain_seconds = (drain_time + MARK_PROPAGATION).total_seconds()
        self._lock = threading.Lock()
        self._leaving: dict[InstanceId, float] = {}

    def read_notices(self) -> tuple[ReclaimNotice, ...]:
        """Return the reclaim notices in force."""
        return self._cloud.read_notices()

    def read_prices(self) -> tuple[Price, ...]:
        """Return the current prices."""
        return self._cloud.read_prices()

    def start(self, order: InstanceOrder) -> InstanceId | None:
        """Start an instance."""
        return self._cloud.start(order)

    def stop(self, instance: InstanceId) -> None:
        """Drain an instance; stop it when called again after the drain time."""
        now = self._clock.monotonic()
        with self._lock:
            since = self._leaving.setdefault(instance, now)
        server = self._directory.find(instance)
        if server is not None:
            self._network.mark_leaving(instance, server.incarnation)
            self._directory.remove((instance,))
        if now - since >= self._drain_seconds:
            self._cloud.stop(instance)


@dataclass(frozen=True, slots=True)
class CapacityDependencies:
    """What ``CapacityDuty`` depends on."""

    manager: CapacityManager
    reconciler: EngineReconciler
    moves: MoveManager
    directory: Directory
    reports: EngineReports


class CapacityDuty:
    """Plans for the deployments whose duty this daemon holds."""

    def __init__(self, deps: CapacityDependencies) -> None:
        self._deps = deps

    def step(self, configuration: Configuration | None) -> None:
        """Start and stop instances and order loads; called every ten seconds."""
        if configuration is None:
            return
        needs = [self._build_need(one) for one in configuration.deployments]
        plans = self._deps.manager.step(needs)
        for deployment in configuration.deployments:
            if deployment.name in plans and isinstance(deployment, ModelDeployment):
                self._reconcile(deployment.name)

    def update_supplies(self, configuration: Configuration | None) -> None:
        """Report the available and the needed servers to the version moves."""
        if configuration is None:
            return
        servers = self._deps.directory.list_servers()
        self._deps.moves.update_supplies(
            {
                deployment.name: self._find_supply(deployment, servers)
                for deployment in configuration.deployments
            }
        )

    def _build_need(self, deployment: Deployment) -> DeploymentNeed:
        demand = Demand(self._deps.reports.sum_load(deployment.name))
        versions = self._deps.moves.list_needs(deployment.name)
        return DeploymentNeed(deployment, versions, demand)

    def _find_supply(
        self, deployment: Deployment, servers: Iterable[BackendServer]
    ) -> Supply:
        matching = tuple(one for one in servers if one.deployment == deployment.name)
        need = self._build_need(deployment)
        start_time = self._deps.manager.find_start_time(deployment.name)
        needed = max(
            need.count_servers(version, start_time.total_seconds())
            for version in need.versions
        )
        return Supply(matching, needed, start_time)

    def _reconcile(self, deployment: DeploymentId) -> None:
        """Have engines load the version they are listed with if they lack it."""
        duty = make_duty_id(deployment)
        for server in self._deps.directory.list_servers():
            if server.deployment != deployment:
                continue
            desired = DesiredState(EngineAction.LOAD_VERSION, server.version)
            result = self._deps.reconciler.reconcile(duty, server, desired)
            if result is not OrderResult.IN_EFFECT:
                logger.bind(
                    step=Step.ORDER.value, peer=server.server_id, result=result.value
                ).info('engine has not loaded its version yet')
