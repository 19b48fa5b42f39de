"""A whole site on loopback: the platform's stand-ins, servers and daemons."""

import hashlib
import json
from collections.abc import Sequence
from dataclasses import dataclass, field
from time import monotonic, sleep
from typing import Any

import urllib3
from pydantic import TypeAdapter

from fireflyhitch_bench.processes import Process, ProcessGroup
from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.ids import (
    BackendServerId,
    CustomerId,
    DeploymentId,
    FailureDomainId,
    InstanceId,
    VersionId,
)
from fireflyhitch_model.instances import Instance
from fireflyhitch_model.states import InstanceRole, InstanceState, MachineClass
from fireflyhitch_settings.schema import (
    CapacityPlan,
    Configuration,
    Customer,
    CustomerLimits,
    LatencyTarget,
    ModelDeployment,
    ServiceDeployment,
)
from fireflyhitch_standins.engine_settings import EngineSettings
from fireflyhitch_standins.service_server import ServiceSettings
from fireflyhitch_standins.world import (
    DeploymentServers,
    InitialServers,
    WorldSettings,
)

API_KEY = 'key-of-the-first-customer'
ADMIN_TOKEN = 'operators-token'
PEER_KEY = 'key-of-the-peers'
VERSION = VersionId('v1')
NEW_VERSION = VersionId('v2')
TIMEOUT = 20.0
# Of an engine that is a process of its own, for runs with many streams.
ENGINE_CAPACITY = 160

_INSTANCE = TypeAdapter(Instance)


@dataclass(frozen=True, slots=True)
class SitePlan:
    """What a site consists of."""

    failure_domains: tuple[FailureDomainId, ...]
    model: DeploymentId
    service: DeploymentId
    engines: int = 5
    services: int = 4
    daemons: int = 8
    customers: int = 5
    engine: EngineSettings = field(default_factory=EngineSettings)
    new_engine: EngineSettings = field(default_factory=EngineSettings)
    new_service: ServiceSettings = field(default_factory=ServiceSettings)
    max_streams: int | None = None
    latency: LatencyTarget = field(default_factory=LatencyTarget)

    def place(self, number: int) -> FailureDomainId:
        """Return the failure domain of the n-th of some processes."""
        return self.failure_domains[number % len(self.failure_domains)]


BRANDVEILIG = SitePlan(
    tuple(map(FailureDomainId, ('gent', 'brugge', 'kortrijk', 'aalst'))),
    DeploymentId('inspection-assistant'),
    DeploymentId('rounds'),
)
ZAPESTNICE = SitePlan(
    tuple(map(FailureDomainId, ('bezigrad', 'moste', 'kranj', 'domzale'))),
    DeploymentId('wristband-assistant'),
    DeploymentId('print-orders'),
)


@dataclass(slots=True)
class Site:
    """A running site."""

    plan: SitePlan
    group: ProcessGroup
    platform: Process
    store: Process
    daemons: list[Process] = field(default_factory=list)
    http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(timeout=TIMEOUT, retries=False)
    )

    @property
    def entries(self) -> list[str]:
        """Return the callers' addresses of the daemons."""
        return [daemon.ready['callers'] for daemon in self.daemons]

    def describe(self) -> dict[str, Any]:
        """Return what a caller or operator needs to use the site."""
        return {
            'entries': [f'http://{entry}' for entry in self.entries],
            'admin': [f'http://{daemon.ready["admin"]}' for daemon in self.daemons],
            'admin_token': ADMIN_TOKEN,
            'api_key': API_KEY,
            'model': self.plan.model,
            'booking_path': f'/services/{self.plan.service}/bookings',
            'runs_url': f'http://{self.platform.ready["address"]}/standin/runs',
            'pids': [daemon.pid for daemon in self.daemons],
        }

    def start_daemon(self, number: int) -> Process:
        """Start one more daemon."""
        name = f'entry-{number}'
        domain = self.plan.place(number)
        path = self.group.write(f'{name}.json', self._make_settings(name, domain))
        return self.group.start(name, 'fireflyhitch_daemon.main', [str(path)])

    def list_daemon(self, daemon: Process, number: int) -> None:
        """Have the instance list name a daemon's instance."""
        entry = Instance(
            InstanceId(daemon.name),
            InstanceRole.ENTRY,
            InstanceState.LIVE,
            self.plan.place(number),
            daemon.ready['peers'],
            MachineClass.RECLAIMABLE,
        )
        self.call_platform(
            'PUT', '/standin/instances', _INSTANCE.dump_python(entry, mode='json')
        )

    def list_engine(self, engine: Process, number: int, capacity: int) -> None:
        """Have the instance list name an engine that runs as its own process."""
        instance = InstanceId(engine.name)
        domain = self.plan.place(number)
        server = BackendServer(
            BackendServerId(engine.name),
            instance,
            self.plan.model,
            VERSION,
            domain,
            engine.ready['address'],
            MachineClass.RECLAIMABLE,
            1.0,
            capacity,
        )
        listed = Instance(
            instance,
            InstanceRole.BACKEND,
            InstanceState.LIVE,
            domain,
            server.address,
            server.machine_class,
            server=server,
        )
        self.call_platform(
            'PUT', '/standin/instances', _INSTANCE.dump_python(listed, mode='json')
        )

    def call_platform(self, method: str, path: str, body: Any = None) -> Any:
        """Call the platform's stand-in."""
        return self._call(self.platform.ready['address'], method, path, body)

    def set_store_faults(self, body: Any) -> Any:
        """Set the key-value stand-in's faults."""
        return self._call(self.store.ready['address'], 'PUT', '/standin/faults', body)

    def call_admin(self, number: int, method: str, path: str, body: Any = None) -> Any:
        """Call a daemon's admin interface."""
        return self._call(self.daemons[number].ready['admin'], method, path, body)

    def _call(self, address: str, method: str, path: str, body: Any) -> Any:
        answer = self.http.request(
            method,
            f'http://{address}{path}',
            json=body,
            headers={'Authorization': f'Bearer {ADMIN_TOKEN}'},
        )
        if answer.status >= 400:
            raise RuntimeError(f'{method} {path}: {answer.status} {answer.data!r}')
        return json.loads(answer.data) if answer.data else None

    def _make_settings(self, name: str, domain: FailureDomainId) -> dict[str, Any]:
        platform = f'http://{self.platform.ready["address"]}'
        limits = {}
        if self.plan.max_streams is not None:
            limits['max_streams'] = self.plan.max_streams
        return {
            'daemon_id': name,
            'instance_id': name,
            'failure_domain': domain,
            'admin_token_sha256': _hash(ADMIN_TOKEN),
            'peer_key': PEER_KEY,
            'limits': limits,
            'platform': {
                'key_value': f'http://{self.store.ready["address"]}',
                'instance_list': f'{platform}/instances',
                'cloud': f'{platform}/cloud',
                'weight_store': f'{platform}/weights',
            },
        }


def start_site(
    group: ProcessGroup, plan: SitePlan, engines: Sequence[Process] = ()
) -> Site:
    """Start all processes of a site and return when callers can be served.

    :param engines: started already, one process each; used beside the plan's.
    """
    world = group.write('world.json', _make_world(plan).model_dump(mode='json'))
    module = 'fireflyhitch_standins.platform_server'
    platform = group.start('platform', module, ['--world', str(world)])
    store = group.start('store', 'fireflyhitch_standins.etcd_main')
    site = Site(plan, group, platform, store)
    for place, engine in enumerate(engines):
        site.list_engine(engine, place, ENGINE_CAPACITY)
    site.daemons = [site.start_daemon(number) for number in range(plan.daemons)]
    for number, daemon in enumerate(site.daemons):
        site.list_daemon(daemon, number)
    configuration = make_configuration(plan).model_dump(mode='json')
    put_configuration(site, configuration, 0, 'first')
    wait_until_ready(site)
    return site


def put_configuration(
    site: Site, configuration: Any, expected: int, change: str
) -> int:
    """Have a configuration accepted; return its revision."""
    proposal = {
        'expected_revision': expected,
        'change_id': change,
        'configuration': configuration,
    }
    answer = site.call_admin(0, 'PUT', '/admin/configuration', proposal)
    revision: int = answer['revision']
    return revision


def wait_until_ready(site: Site, seconds: float = TIMEOUT) -> None:
    """Wait until all daemons are ready and know a server of each deployment.

    :raises RuntimeError: if one is not by then.
    """
    ends = monotonic() + seconds
    waiting = list(range(len(site.daemons)))
    while waiting:
        if monotonic() > ends:
            raise RuntimeError(f'not ready: {waiting}')
        waiting = [number for number in waiting if not _is_ready(site, number)]
        sleep(0.05)


def make_configuration(plan: SitePlan) -> Configuration:
    """Return the configuration that a site starts with."""
    common: dict[str, Any] = {
        'failure_domains': plan.failure_domains,
        'version': VERSION,
    }
    customers = [API_KEY, *(f'key-{number}' for number in range(1, plan.customers))]
    limits = CustomerLimits(
        requests_per_second=2000, tokens_per_second=2e6, concurrent_requests=4000
    )
    return Configuration(
        deployments=(
            ModelDeployment(
                name=plan.model,
                latency=plan.latency,
                capacity=CapacityPlan(min_servers=plan.engines),
                **common,
            ),
            ServiceDeployment(
                name=plan.service,
                capacity=CapacityPlan(min_servers=plan.services),
                **common,
            ),
        ),
        customers=tuple(
            Customer(
                customer_id=CustomerId(f'customer-{number}'),
                api_key_sha256=_hash(key),
                limits=limits,
            )
            for number, key in enumerate(customers)
        ),
    )


def _is_ready(site: Site, number: int) -> bool:
    entry = site.entries[number]
    ready = site.http.request('GET', f'http://{entry}/readyz')
    if ready.status != 200:
        return False
    status = site.call_admin(number, 'GET', '/admin/status')
    known = {server['deployment'] for server in status['backend_servers']}
    return known >= {site.plan.model, site.plan.service}


def _make_world(plan: SitePlan) -> WorldSettings:
    return WorldSettings(
        deployments={
            plan.model: DeploymentServers(
                engines={VERSION: plan.engine, NEW_VERSION: plan.new_engine},
                capacity=16,
            ),
            plan.service: DeploymentServers(
                services={VERSION: ServiceSettings(), NEW_VERSION: plan.new_service}
            ),
        },
        initial=tuple(
            InitialServers(
                deployment=deployment,
                version=VERSION,
                failure_domain=domain,
                count=len(range(place, count, len(plan.failure_domains))),
            )
            for deployment, count in (
                (plan.model, plan.engines),
                (plan.service, plan.services),
            )
            for place, domain in enumerate(plan.failure_domains)
            if place < count
        ),
    )


def _hash(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()
