"""A whole site on loopback: stand-ins, backend servers and daemons."""

import hashlib
from dataclasses import dataclass
from typing import Any

from fireflyhitch_bench.processes import Process, ProcessGroup
from fireflyhitch_bench.thin_platform import serve_platform
from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.ids import (
    BackendServerId,
    CustomerId,
    DeploymentId,
    FailureDomainId,
    InstanceId,
    VersionId,
)
from fireflyhitch_model.instances import Instance, InstanceListing
from fireflyhitch_model.states import InstanceRole, InstanceState, MachineClass
from fireflyhitch_settings.schema import (
    Configuration,
    Customer,
    ModelDeployment,
    ServiceDeployment,
)

API_KEY = 'key-of-the-first-customer'
ADMIN_TOKEN = 'operators-token'
PEER_KEY = 'key-of-the-peers'
VERSION = VersionId('v1')


@dataclass(frozen=True, slots=True)
class SitePlan:
    """What a site consists of."""

    failure_domains: tuple[FailureDomainId, ...]
    model: DeploymentId
    service: DeploymentId
    engines: int = 5
    services: int = 4
    daemons: int = 8


@dataclass(slots=True)
class Site:
    """A running site."""

    plan: SitePlan
    engines: list[Process]
    services: list[Process]
    daemons: list[Process]

    @property
    def entries(self) -> list[str]:
        """Return the callers' addresses of the daemons."""
        return [daemon.ready['callers'] for daemon in self.daemons]

    def describe(self) -> dict[str, Any]:
        """Return what a caller or operator needs to use the site."""
        return {
            'entries': [f'http://{entry}' for entry in self.entries],
            'admin': [f'http://{daemon.ready["admin"]}' for daemon in self.daemons],
            'api_key': API_KEY,
            'model': self.plan.model,
            'booking_path': f'/services/{self.plan.service}/bookings',
            'runs_url': f'http://{self.services[0].ready["address"]}/runs',
            'pids': [daemon.pid for daemon in self.daemons],
        }


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


def start_site(group: ProcessGroup, plan: SitePlan) -> Site:
    """Start all processes of a site and return when callers can be served."""
    engines = [
        group.start(f'engine-{number}', 'fireflyhitch_standins.engine_server')
        for number in range(plan.engines)
    ]
    services = [
        group.start(f'service-{number}', 'fireflyhitch_standins.service_server')
        for number in range(plan.services)
    ]
    listing = InstanceListing(
        tuple(
            _list_server(plan, process, number, deployment)
            for deployment, processes in (
                (plan.model, engines),
                (plan.service, services),
            )
            for number, process in enumerate(processes)
        )
    )
    platform = serve_platform(listing, make_configuration(plan))
    host, port = platform.bind_addr[:2]
    address = f'http://{host}:{port}'
    daemons = [
        _start_daemon(group, plan, number, address) for number in range(plan.daemons)
    ]
    return Site(plan, engines, services, daemons)


def make_configuration(plan: SitePlan) -> Configuration:
    """Return the configuration that a site starts with."""
    common: dict[str, Any] = {
        'failure_domains': plan.failure_domains,
        'version': VERSION,
    }
    key_hash = hashlib.sha256(API_KEY.encode()).hexdigest()
    return Configuration(
        deployments=(
            ModelDeployment(name=plan.model, **common),
            ServiceDeployment(name=plan.service, **common),
        ),
        customers=(Customer(customer_id=CustomerId('first'), api_key_sha256=key_hash),),
    )


def _list_server(
    plan: SitePlan, process: Process, number: int, deployment: DeploymentId
) -> Instance:
    domain = plan.failure_domains[number % len(plan.failure_domains)]
    instance = InstanceId(f'{deployment}-{number}')
    server = BackendServer(
        server_id=BackendServerId(f'{deployment}-{number}'),
        instance=instance,
        deployment=deployment,
        version=VERSION,
        failure_domain=domain,
        address=process.ready['address'],
        machine_class=MachineClass.RECLAIMABLE,
        price=1.0,
        capacity=16,
    )
    return Instance(
        instance,
        InstanceRole.BACKEND,
        InstanceState.LIVE,
        domain,
        server.address,
        server.machine_class,
        server=server,
    )


def _start_daemon(
    group: ProcessGroup, plan: SitePlan, number: int, platform: str
) -> Process:
    name = f'entry-{number}'
    settings = {
        'daemon_id': name,
        'instance_id': name,
        'failure_domain': plan.failure_domains[number % len(plan.failure_domains)],
        'admin_token_sha256': hashlib.sha256(ADMIN_TOKEN.encode()).hexdigest(),
        'peer_key': PEER_KEY,
        'platform': {
            'key_value': platform,
            'instance_list': f'{platform}/instances',
            'cloud': platform,
        },
    }
    path = group.write(f'{name}.json', settings)
    return group.start(name, 'fireflyhitch_daemon.main', [str(path)])
