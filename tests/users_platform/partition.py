"""Partitions daemons of a cluster from all backend servers.

All daemons run in one process, so the partition acts on the event loop: it knows each
connection's daemon by a context variable, and servers by their ports.
"""

import asyncio
from collections.abc import Callable, Container
from contextvars import ContextVar
from enum import Enum
from typing import Any

from fireflyhitch_serving.connections import ACK_TIMEOUT_MS, ServerConnection

DAEMON: ContextVar[str] = ContextVar('daemon', default='')


class CutMode(Enum):
    """What becomes of connections between partitioned daemons and servers."""

    RESET = 'all connections are reset'
    HANG = 'nothing passes on any connection'
    REFUSE_NEW = 'new connections are refused'
    HANG_NEW = 'new connections hang'
    RESET_EXCHANGES = 'connections are accepted, and reset when a request is sent'


class Partition:
    """Cuts and heals the links between some daemons and all servers."""

    def __init__(self) -> None:
        self.server_ports: set[int] = set()
        self._daemons_by_port: dict[int, str] = {}
        self._mode = CutMode.RESET
        self._daemons: Container[str] = ()
        self._connections: list[tuple[str, ServerConnection]] = []

    def install(self) -> None:
        """Act on the connections that the running event loop opens."""
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def create_connection(
            make_protocol: Callable[[], Any], host: str, port: int
        ) -> Any:
            daemon = DAEMON.get()
            if not daemon or port not in self.server_ports:
                return await connect(make_protocol, host, port)
            if daemon in self._daemons and self._mode is not CutMode.RESET_EXCHANGES:
                await self._fail_to_connect()
            transport, protocol = await connect(make_protocol, host, port)
            self._daemons_by_port[transport.get_extra_info('sockname')[1]] = daemon
            self._connections.append((daemon, protocol))
            if daemon in self._daemons and self._mode is CutMode.RESET_EXCHANGES:
                _reset_on_send(protocol)
            return transport, protocol

        loop.create_connection = create_connection  # type: ignore[method-assign,assignment]

    def find_daemon(self, writer: asyncio.StreamWriter) -> str:
        """Return the daemon at the other end of a server's connection."""
        return self._daemons_by_port[writer.get_extra_info('peername')[1]]

    def cut(self, mode: CutMode, *daemons: str) -> None:
        """Partition daemons from all servers."""
        self._mode = mode
        self._daemons = daemons
        for daemon, connection in self._connections:
            if daemon not in daemons:
                continue
            if mode is CutMode.RESET:
                connection.close()
            elif mode is CutMode.HANG:
                _hang(connection)
            elif mode is CutMode.RESET_EXCHANGES:
                _reset_on_send(connection)

    def heal(self) -> None:
        """End the partition; connections that hung are reset."""
        if self._mode in {CutMode.HANG, CutMode.RESET_EXCHANGES}:
            self.cut(CutMode.RESET, *self._daemons)  # type: ignore[misc]
        self._daemons = ()

    async def _fail_to_connect(self) -> None:
        if self._mode in {CutMode.HANG, CutMode.HANG_NEW}:
            await asyncio.sleep(60)
        raise ConnectionRefusedError


def _hang(connection: ServerConnection) -> None:
    """Let nothing pass, until the kernel would give the connection up."""
    transport: Any = connection._transport
    if transport is None or transport.is_closing():
        return
    transport.pause_reading()
    transport.resume_reading = _ignore

    def write(data: bytes) -> None:
        asyncio.get_running_loop().call_later(ACK_TIMEOUT_MS / 1000, transport.abort)

    transport.write = write


def _reset_on_send(connection: ServerConnection) -> None:
    """Reset a connection as soon as a request is sent on it."""
    transport: Any = connection._transport
    if transport is None or transport.is_closing():
        return

    def write(data: bytes) -> None:
        transport.abort()

    transport.write = write


def _ignore() -> None:
    """Do nothing."""
