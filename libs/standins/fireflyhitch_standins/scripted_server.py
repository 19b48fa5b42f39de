"""A backend server on the caller's event loop that does what a script says."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from fireflyhitch_serving.connections import Address

HOST = '127.0.0.1'
# A script that waits for its caller to leave sees it this soon.
LOOK_SECONDS = 0.01


def find_address(server: asyncio.Server) -> Address:
    """Return where a server on loopback listens."""
    return Address(HOST, server.sockets[0].getsockname()[1])


@dataclass(slots=True)
class SeenRequest:
    """A request as a scripted server read it."""

    head: str
    body: bytes
    closed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def request_id(self) -> str:
        """Return its id."""
        return self.find('x-id')

    def find(self, name: str) -> str:
        """Return a header, or nothing."""
        for line in self.head.split('\r\n')[1:]:
            known, _, value = line.partition(':')
            if known.lower() == name:
                return value.strip()
        return ''


# Answers a request on the connection's writer.
Script = Callable[[SeenRequest, asyncio.StreamWriter], Awaitable[None]]


class ScriptedServer:
    """A backend server that does what its script says with each request."""

    def __init__(self, name: str, script: Script) -> None:
        """Make a server; ``start`` has it listen."""
        self.name = name
        self.script = script
        self.seen: list[SeenRequest] = []
        self.arrived = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> Address:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return find_address(self._server)

    def stop(self) -> None:
        """Stop to listen."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                request = SeenRequest(head, b'')
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
            # The daemon has closed the connection, or the scene ends with its loop.
            writer.close()


async def _watch_end(reader: asyncio.StreamReader, request: SeenRequest) -> None:
    # A connection that is reset ends with an error instead of its last byte.
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(LOOK_SECONDS)
    request.closed.set()
