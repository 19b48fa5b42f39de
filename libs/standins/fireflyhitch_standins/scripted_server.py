"""A backend server on the caller's event loop that runs a test's script."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from fireflyhitch_serving.connections import Address

HOST = '127.0.0.1'
# Interval at which a closed caller connection is checked for.
POLL_SECONDS = 0.01


def find_address(server: asyncio.Server) -> Address:
    """Return the address of a server listening on loopback."""
    return Address(HOST, server.sockets[0].getsockname()[1])


@dataclass(slots=True)
class ReceivedRequest:
    """A request received by a scripted server."""

    head: str
    body: bytes
    closed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def request_id(self) -> str:
        """Return the request id."""
        return self.find('x-id')

    def find(self, name: str) -> str:
        """Return a header's value, or an empty string."""
        for line in self.head.split('\r\n')[1:]:
            known, _, value = line.partition(':')
            if known.lower() == name:
                return value.strip()
        return ''


# Responds to a request on the connection's writer.
Script = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]


class ScriptedServer:
    """A backend server that runs a script for each request."""

    def __init__(self, name: str, script: Script) -> None:
        """Create a server; ``start`` makes it listen."""
        self.name = name
        self.script = script
        self.seen: list[ReceivedRequest] = []
        self.arrived = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> Address:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return find_address(self._server)

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                request = ReceivedRequest(head, b'')
                length = int(request.find('content-length') or 0)
                request.body = await reader.readexactly(length)
                self.seen.append(request)
                self.arrived.set()
                watch = asyncio.create_task(_watch_end(reader, request))
                await self.script(request, writer)
                await writer.drain()
                if writer.is_closing():
                    return
                watch.cancel()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # The daemon closed the connection, or the test's event loop is stopping.
            writer.close()


async def _watch_end(reader: asyncio.StreamReader, request: ReceivedRequest) -> None:
    # A reset connection ends with an exception instead of EOF.
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(POLL_SECONDS)
    request.closed.set()
