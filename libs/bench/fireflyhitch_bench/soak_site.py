"""The site of the fault soak: real daemons as processes, and stand-ins around them."""

import os
import signal
import socket
import subprocess  # noqa: S404
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO

from fireflyhitch_bench.loopback_proxy import LoopbackProxy
from fireflyhitch_bench.soak_servers import Runs, SoakServer
from fireflyhitch_serving.connections import Address
from fireflyhitch_standins.users_store import UsersDuties, UsersStore

ROOT = Path(__file__).resolve().parents[3]
PROGRAM = ROOT / 'platform' / 'fireflyhitchd.py'
HOST = '127.0.0.1'
KEY = 'key-of-bakery'
SERVERS = 4
DOMAINS = ('gent', 'brugge')
GRACE_SECONDS = 4
LEAST_DRAIN_SECONDS = 2.0
NODE_FILE = """
node_name = "{name}"
role = "daemon"
ip = "127.0.0.1"
zone = "{domain}"
internal_ports = [{peer_port},{peer_port}]
seeds = []
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu_share = 1.0
memory_mb = 300
[bounds]
grace_s = {grace}
drain_ms = 2000
budget_ratio = 0.2
budget_slack = 54
usage_window_s = 2
usage_late_s = 30
[platform]
address = "{store}"
ttl_min_ms = 1000
[cloud]
address = "{duties}"
duties = ["usage"]
"""


def find_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


@dataclass(slots=True)
class DaemonProcess:
    """A daemon, its link to the store, and its present process.

    :param started: how often it was started; tells its processes apart.
    """

    name: str
    front: Address
    node_file: Path
    proxy: LoopbackProxy
    started: int = 0
    process: subprocess.Popen[bytes] | None = None
    log: IO[bytes] | None = None

    def start(self) -> None:
        """Start it, if it does not run."""
        if self.runs:
            return
        self.started += 1
        environment = {**os.environ, 'FIREFLYHITCH_NODE_FILE': str(self.node_file)}
        if self.log is None:
            self.log = self.node_file.with_suffix('.log').open('ab')
        self.process = subprocess.Popen(  # noqa: S603
            [sys.executable, str(PROGRAM)],
            env=environment,
            stdout=self.log,
            stderr=self.log,
        )

    @property
    def runs(self) -> bool:
        """Tell whether its process has not ended."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to its own process only."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


@dataclass(slots=True)
class SoakSite:
    """Everything that one run of the soak uses."""

    folder: Path
    store: UsersStore = field(default_factory=UsersStore)
    duties: UsersDuties = field(default_factory=UsersDuties)
    runs: Runs = field(default_factory=Runs)
    daemons: list[DaemonProcess] = field(default_factory=list)
    servers: dict[str, SoakServer] = field(default_factory=dict)
    addresses: dict[str, Address] = field(default_factory=dict)
    version: int = 0

    async def start(self, daemons: int) -> None:
        """Start stand-ins, servers and daemons."""
        self.store.start()
        self.duties.start()
        self.change_configuration()
        for number in range(SERVERS):
            await self._add_server(f'i-{number}')
        for number in range(daemons):
            await self._add_daemon(number)

    def stop(self) -> None:
        """End what was started, by its ids."""
        for daemon in self.daemons:
            daemon.send_signal(signal.SIGCONT)
            daemon.send_signal(signal.SIGKILL)
            if daemon.process is not None:
                daemon.process.wait()
            if daemon.log is not None:
                daemon.log.close()
            daemon.proxy.stop()
        for server in self.servers.values():
            server.stop()
        self.store.stop()
        self.duties.stop()

    def change_configuration(self) -> int:
        """Put the next configuration in force: its route takes the former one's place."""
        self.version += 1
        self.store.put('op/config', _render_configuration(self.version))
        return self.version

    def list_server(self, name: str, state: str = 'ready') -> None:
        """Write a server's entry."""
        entry = {
            'service': 'planning',
            'address': str(self.addresses[name]),
            'zone': DOMAINS[0],
            'version': 'v1',
            'slots': 64,
            'state': state,
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': 1,
        }
        self.store.put(f'servers/{name}', entry)

    async def _add_server(self, name: str) -> None:
        self.servers[name] = SoakServer(name, self.runs)
        self.addresses[name] = await self.servers[name].start()
        self.list_server(name)

    async def _add_daemon(self, number: int) -> None:
        proxy = LoopbackProxy(Address.parse(self.store.address))
        store = await proxy.start()
        name = f'd{number}'
        front = Address(HOST, find_port())
        path = self.folder / f'{name}.toml'
        path.write_text(
            NODE_FILE.format(
                name=name,
                domain=DOMAINS[number % len(DOMAINS)],
                front=front.port,
                ready=find_port(),
                peer_port=find_port(),
                grace=GRACE_SECONDS,
                store=store,
                duties=self.duties.address,
            )
        )
        daemon = DaemonProcess(name, front, path, proxy)
        self.daemons.append(daemon)
        daemon.start()


def _render_configuration(version: int) -> dict[str, object]:
    route = {
        'host': 'shop.example',
        'timeout_ms': 3000,
        'latency_target_ms': 500,
        'priority': 1,
        'service': 'planning',
        'public': False,
        'sticky': False,
        'resumable': False,
    }
    kinds = (('read', 'idempotent', 2), ('book', 'non_idempotent', 1))
    routes = [
        {**route, 'name': name, 'prefix': f'/{name}/', 'kind': kind, 'attempts': most}
        for name, kind, most in kinds
    ]
    newest = f'v{version}'
    routes.append(
        {**routes[0], 'name': newest, 'prefix': f'/{newest}/'},
    )
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': 'planning', 'health_path': '/health', 'max_connections': 100}
        ],
        'limits': {
            'header_bytes': 2000,
            'body_bytes': 5000,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'bakery', 'api_keys': [KEY], 'rate_per_s': 0}],
    }
