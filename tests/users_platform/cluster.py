"""Runs daemons with stand-ins for the users' platform, in one process."""

import asyncio
import contextvars
import gc
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Any

from partition import DAEMON, Partition
from scene import ReceivedResponse, exchange

from fireflyhitch_serving.connections import Address
from fireflyhitch_standins.ports import find_free_port
from fireflyhitch_standins.scripted_server import ReceivedRequest, ScriptedServer
from fireflyhitch_standins.users_formats import (
    Node,
    render_call,
    render_configuration,
    render_node_file,
    render_route,
    render_server_entry,
    render_signed_response,
)
from fireflyhitch_standins.users_store import UsersDuties, UsersStore
from fireflyhitch_users_platform.program import Program

KEY = 'key-of-bakery'


def make_configuration(version: int = 4, **changes: Any) -> dict[str, Any]:
    """Return a configuration in the operators' format."""
    routes = (
        render_route('r-read', prefix='read'),
        render_route('r-book', 'non_idempotent', attempts=1, prefix='book'),
    )
    return {**render_configuration(version, KEY, routes), **changes}


def answer_signed(body: bytes = b'done', status: int = 200) -> Callable[..., Any]:
    """Return a server script that responds as the platform's servers do."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        request_id = request.find('request-id')
        writer.write(render_signed_response(request_id, 's.1', body, status))

    return script


class Cluster:
    """A store, a server for the duties' calls, backend servers and daemons."""

    def __init__(self, folder: Path) -> None:
        self.store = UsersStore()
        self.duties = UsersDuties()
        self.programs: dict[str, Program] = {}
        self.partition = Partition()
        # Of daemons that do not reach the store directly.
        self.store_addresses: dict[str, str] = {}
        self._folder = folder
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._is_first_start = True
        self._ports: dict[str, tuple[int, int, int]] = {}
        self._servers: list[ScriptedServer] = []

    async def __aenter__(self) -> 'Cluster':
        self.store.start()
        self.duties.start()
        self.partition.install()
        return self

    async def __aexit__(self, *details: object) -> None:
        for task in self._tasks.values():
            task.cancel()
        for server in self._servers:
            server.stop()
        self.store.stop()
        self.duties.stop()

    def write_node_file(
        self, name: str, grace: float = 8, extra: str = '', domain: str = 'gent'
    ) -> Path:
        """Write a daemon's settings file."""
        if name not in self._ports:
            self._ports[name] = (
                find_free_port(),
                find_free_port(),
                find_free_port(),
            )
        front, ready, peer_port = self._ports[name]
        path = self._folder / f'{name}.toml'
        node = Node(
            name,
            front,
            ready,
            peer_port,
            self.store_addresses.get(name, self.store.address),
            self.duties.address,
            domain,
            grace,
            first_start=self._is_first_start,
        )
        path.write_text(render_node_file(node) + extra)
        return path

    def start(self, name: str, grace: float = 8, domain: str = 'gent') -> Program:
        """Start a daemon in this process."""
        program = Program(self.write_node_file(name, grace, domain=domain))
        self.programs[name] = program
        context = contextvars.copy_context()
        context.run(DAEMON.set, name)
        self._tasks[name] = asyncio.create_task(
            program.run(_NullLineBuffer()),  # type: ignore[arg-type]
            context=context,
        )
        return program

    async def start_serving(self, *daemons: str) -> ScriptedServer:
        """Start daemons with one healthy server, and wait until they are ready."""
        self.store.put('op/config', make_configuration())
        server = await self.add_server('i-1', answer_signed())
        for daemon in daemons:
            self.start(daemon)
        await self.wait_ready(*daemons)
        return server

    def kill(self, name: str) -> None:
        """Stop a daemon abruptly, as if it were killed."""
        self._is_first_start = False
        self._tasks.pop(name).cancel()
        self.programs.pop(name).cancel_tasks()

    async def join(self, name: str) -> None:
        """Wait until a daemon has shut down."""
        self._is_first_start = False
        await self._tasks.pop(name)
        self.programs.pop(name).cancel_tasks()

    def address(self, name: str) -> Address:
        """Return the address at which a daemon accepts callers."""
        return Address('127.0.0.1', self._ports[name][0])

    async def add_server(
        self, name: str, script: Callable[..., Any], **changes: Any
    ) -> ScriptedServer:
        """Start a server and register it in the store."""
        server = ScriptedServer(name, script)
        self._servers.append(server)
        address = await server.start()
        self.partition.server_ports.add(address.port)
        self.register_server(name, address, **changes)
        return server

    def list_request_lines(self) -> list[str]:
        """Return the request lines that all servers have received."""
        seen = (request for server in self._servers for request in server.seen)
        return [request.head.partition('\r\n')[0] for request in seen]

    async def wait_for_request(self) -> None:
        """Wait until the first server has received a request."""
        await self._servers[0].arrived.wait()

    def register_server(self, name: str, address: Address, **changes: Any) -> None:
        """Write a server's entry to the store."""
        self.store.put(f'servers/{name}', render_server_entry(address, **changes))

    async def send_request(
        self, daemon: str, path: str = '/read/1', method: str = 'GET', **more: Any
    ) -> ReceivedResponse:
        """Send a request to a daemon and return the response."""
        request = render_call(
            path,
            more.get('key', KEY),
            more.get('request_id', 'r1'),
            method=method,
            more=more.get('headers'),
            body=more.get('body', b''),
        )
        return await exchange(Address('127.0.0.1', self._ports[daemon][0]), request)

    async def is_ready(self, daemon: str) -> bool:
        """Query a daemon's readiness as the load balancer does."""
        address = Address('127.0.0.1', self._ports[daemon][1])
        request = b'GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n'
        return (await exchange(address, request)).status == 200

    async def wait_ready(self, *daemons: str) -> None:
        """Wait until daemons listen and have what they need to serve."""
        for daemon in daemons:
            await wait_for(partial(self._is_serving, daemon))

    def _is_serving(self, daemon: str) -> bool:
        task = self._tasks[daemon]
        if task.done():
            # Raises what ended it.
            task.result()
        store_state = self.programs[daemon].store_state
        return (
            store_state.find_unready_reason() is None
            and self.programs[daemon].listening
        )


def run_scenario(folder: Path, script: Callable[[Cluster], Awaitable[None]]) -> None:
    """Run a scenario on a new cluster, in an event loop of its own."""

    async def run() -> None:
        async with asyncio.timeout(60), Cluster(folder) as cluster:
            await script(cluster)

    with freeze_heap():
        asyncio.run(run())


@contextmanager
def freeze_heap() -> Iterator[None]:
    """Keep what exists from garbage collection, as a daemon's process does at its start.

    Otherwise a collection of all that earlier tests have left stops the event loop, and
    so all daemons, for some tenths of a second.
    """
    gc.collect()
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()


class _NullLineBuffer:
    def flush(self, seconds: float) -> None:
        """Do nothing."""


async def wait_for(condition: Callable[[], Any]) -> None:
    """Poll until a condition holds."""
    while not condition():
        await asyncio.sleep(0.02)
