"""Daemons of the users' platform beside stand-ins of it, in one process."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any

from scene import ReceivedResponse, exchange

from fireflyhitch_serving.connections import Address
from fireflyhitch_standins.scripted_server import ScriptedServer, SeenRequest
from fireflyhitch_standins.users_formats import (
    Node,
    find_port,
    render_call,
    render_configuration,
    render_node_file,
    render_route,
    render_server,
    render_signed,
)
from fireflyhitch_standins.users_store import UsersDuties, UsersStore
from fireflyhitch_users_platform.program import Program

KEY = 'key-of-bakery'


def make_configuration(version: int = 4, **changes: Any) -> dict[str, Any]:
    """Return a configuration as the operators write it."""
    routes = (
        render_route('r-read', prefix='read'),
        render_route('r-book', 'non_idempotent', attempts=1, prefix='book'),
    )
    return {**render_configuration(version, KEY, routes), **changes}


def answer_signed(body: bytes = b'done', status: int = 200) -> Callable[..., Any]:
    """Return a script of a server that answers as the platform's do."""

    async def script(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
        request_id = request.find('request-id')
        writer.write(render_signed(request_id, 's.1', body, status))

    return script


class Site:
    """A store, a place for duties' calls, servers, and daemons."""

    def __init__(self, folder: Path) -> None:
        self.store = UsersStore()
        self.duties = UsersDuties()
        self.programs: dict[str, Program] = {}
        self._folder = folder
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._ports: dict[str, tuple[int, int, int]] = {}
        self._servers: list[ScriptedServer] = []

    async def __aenter__(self) -> 'Site':
        self.store.start()
        self.duties.start()
        return self

    async def __aexit__(self, *details: object) -> None:
        for task in self._tasks.values():
            task.cancel()
        for server in self._servers:
            server.stop()
        self.store.stop()
        self.duties.stop()

    def write_node_file(self, name: str, grace: float = 8, extra: str = '') -> Path:
        """Write a daemon's settings file."""
        front, ready, peer_port = self._ports.setdefault(
            name, (find_port(), find_port(), find_port())
        )
        path = self._folder / f'{name}.toml'
        node = Node(
            name,
            front,
            ready,
            peer_port,
            self.store.address,
            self.duties.address,
            grace=grace,
        )
        path.write_text(render_node_file(node) + extra)
        return path

    def start(self, name: str, grace: float = 8) -> Program:
        """Start a daemon in this process."""
        program = Program(self.write_node_file(name, grace))
        self.programs[name] = program
        self._tasks[name] = asyncio.create_task(program.run(_NoLines()))  # type: ignore[arg-type]
        return program

    async def start_serving(self, *daemons: str) -> ScriptedServer:
        """Start daemons with a configuration and one good server, and wait for them."""
        self.store.put('op/config', make_configuration())
        server = await self.add_server('i-1', answer_signed())
        for daemon in daemons:
            self.start(daemon)
        await self.wait_ready(*daemons)
        return server

    def kill(self, name: str) -> None:
        """Have a daemon end without a word."""
        self._tasks.pop(name).cancel()
        self.programs.pop(name).end_tasks()

    async def join(self, name: str) -> None:
        """Wait until a daemon has stopped by itself."""
        await self._tasks.pop(name)
        self.programs.pop(name).end_tasks()

    def address(self, name: str) -> Address:
        """Return where a daemon takes callers."""
        return Address('127.0.0.1', self._ports[name][0])

    async def add_server(
        self, name: str, script: Callable[..., Any], **changes: Any
    ) -> ScriptedServer:
        """Start a server and list it in the store."""
        server = ScriptedServer(name, script)
        self._servers.append(server)
        address = await server.start()
        self.list_server(name, address, **changes)
        return server

    async def wait_arrival(self) -> None:
        """Wait until the first server has a request."""
        await self._servers[0].arrived.wait()

    def list_server(self, name: str, address: Address, **changes: Any) -> None:
        """Write a server's entry."""
        self.store.put(f'servers/{name}', render_server(address, **changes))

    async def ask(
        self, daemon: str, path: str = '/read/1', method: str = 'GET', **more: Any
    ) -> ReceivedResponse:
        """Send a request to a daemon, once it listens."""
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
        """Ask a daemon as the balancer does."""
        address = Address('127.0.0.1', self._ports[daemon][1])
        request = b'GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n'
        return (await exchange(address, request)).status == 200

    async def wait_ready(self, *daemons: str) -> None:
        """Wait until daemons say that they are ready."""
        for daemon in daemons:
            await wait_for(partial(self._is_known_ready, daemon))

    def _is_known_ready(self, daemon: str) -> bool:
        known = self.programs[daemon].known
        return known.find_lack() is None and self.programs[daemon].listening


def play(folder: Path, script: Callable[[Site], Awaitable[None]]) -> None:
    """Play a script on a site, on an event loop of its own."""

    async def run() -> None:
        async with asyncio.timeout(60), Site(folder) as site:
            await script(site)

    asyncio.run(run())


class _NoLines:
    def flush(self, seconds: float) -> None:
        """Write nothing."""


async def wait_for(is_so: Callable[[], Any]) -> None:
    """Wait until something is so."""
    while not is_so():
        await asyncio.sleep(0.02)
