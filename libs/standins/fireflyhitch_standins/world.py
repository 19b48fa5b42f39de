"""A simulated platform and its backend servers in one process."""

import threading
from collections import Counter
from datetime import timedelta

from pydantic import BaseModel, ConfigDict

from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import (
    BackendServerId,
    DeploymentId,
    FailureDomainId,
    InstanceId,
    VersionId,
)
from fireflyhitch_model.instances import Instance
from fireflyhitch_model.states import FencingSupport, MachineClass
from fireflyhitch_platform.services import InstanceOrder, Price
from fireflyhitch_standins.cloud import MemoryCloud
from fireflyhitch_standins.engine_server import EngineServer
from fireflyhitch_standins.engine_settings import EngineSettings
from fireflyhitch_standins.instance_list import MemoryInstanceList
from fireflyhitch_standins.service_server import ServiceServer, ServiceSettings
from fireflyhitch_standins.weights import MemoryWeightStore


class _Settings(BaseModel):
    model_config = ConfigDict(extra='forbid')


class DeploymentServers(_Settings):
    """Server settings of a deployment, by version.

    :param engines: engine settings of a model deployment; missing versions use the
        first entry.
    :param services: settings of a plain service.
    :param capacity: concurrent calls per server.
    """

    engines: dict[VersionId, EngineSettings] = {}
    services: dict[VersionId, ServiceSettings] = {}
    fencing: FencingSupport = FencingSupport.ENFORCED
    capacity: int = 8


class InitialServers(_Settings):
    """Servers that are started with the platform."""

    deployment: DeploymentId
    version: VersionId
    failure_domain: FailureDomainId
    machine_class: MachineClass = MachineClass.RECLAIMABLE
    count: int = 1


class WorldSettings(_Settings):
    """Contents and delays of the simulated platform; times in seconds."""

    deployments: dict[DeploymentId, DeploymentServers] = {}
    initial: tuple[InitialServers, ...] = ()
    entries: tuple[Instance, ...] = ()
    prices: tuple[Price, ...] = ()
    list_lag_seconds: float = 0.5
    start_seconds: float = 1
    weight_interval_seconds: float = 0.2


Server = EngineServer | ServiceServer


class World:
    """Cloud, instance list, weight store and the instances' servers."""

    def __init__(self, settings: WorldSettings, clock: Clock) -> None:
        self.settings = settings
        self.servers: dict[InstanceId, Server] = {}
        self.instance_list = MemoryInstanceList(
            clock, timedelta(seconds=settings.list_lag_seconds)
        )
        self.weights = MemoryWeightStore(
            clock, timedelta(seconds=settings.weight_interval_seconds)
        )
        self.cloud = MemoryCloud(clock, self._launch, self._halt, settings.prices)
        self.cloud.on_change = self.instance_list.record
        self._lock = threading.Lock()
        self._services: list[ServiceServer] = []

    def start(self) -> None:
        """Start the initial servers and list them immediately."""
        for entry in self.settings.entries:
            self.cloud.add(entry)
        for initial in self.settings.initial:
            for serial in range(initial.count):
                self.cloud.start(_make_order(initial, serial))
        self.instance_list.skip_lag()
        self.cloud.start_duration = timedelta(seconds=self.settings.start_seconds)

    def stop(self) -> None:
        """Stop all servers."""
        for instance in tuple(self.servers):
            self._halt(instance)

    def count_runs(self) -> Counter[str]:
        """Return run counts by idempotency key, including stopped servers."""
        counted: Counter[str] = Counter()
        with self._lock:
            for service in self._services:
                counted.update(service.runs)
        return counted

    def _launch(self, order: InstanceOrder, instance: InstanceId) -> BackendServer:
        settings = self.settings.deployments[order.deployment]
        server = _make_server(settings, order)
        server.start()
        with self._lock:
            self.servers[instance] = server
            if isinstance(server, ServiceServer):
                self._services.append(server)
        return BackendServer(
            BackendServerId(f'{instance}/{order.deployment}'),
            instance,
            order.deployment,
            order.version,
            order.failure_domain,
            server.address,
            order.machine_class,
            self._find_price(order),
            settings.capacity,
            fencing=settings.fencing,
        )

    def _halt(self, instance: InstanceId) -> None:
        with self._lock:
            server = self.servers.pop(instance, None)
        if server is not None:
            # Stopping joins threads and must not block the cloud's caller.
            threading.Thread(target=server.stop, daemon=True).start()

    def _find_price(self, order: InstanceOrder) -> float:
        place = (order.failure_domain, order.machine_class)
        for entry in self.cloud.prices:
            if (entry.failure_domain, entry.machine_class) == place:
                return entry.price
        return 1


def _make_server(settings: DeploymentServers, order: InstanceOrder) -> Server:
    service = settings.services.get(order.version)
    if service is None and settings.services:
        service = next(iter(settings.services.values()))
    if service is not None:
        return ServiceServer(order.deployment, order.version, service)
    engine = settings.engines.get(order.version)
    if engine is None:
        engine = next(iter(settings.engines.values()), EngineSettings())
    versions = {
        version: held.model_copy(update={'version': version})
        for version, held in settings.engines.items()
    }
    engine = engine.model_copy(update={'version': order.version})
    return EngineServer(engine, versions=versions)


def _make_order(initial: InitialServers, serial: int) -> InstanceOrder:
    order_id = f'{initial.deployment}/{initial.version}/{initial.failure_domain}'
    return InstanceOrder(
        f'{order_id}/{initial.machine_class.value}/{serial}',
        initial.deployment,
        initial.version,
        initial.failure_domain,
        initial.machine_class,
    )
