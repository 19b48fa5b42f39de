"""Tests of servers that respond before they have read a long request, and break off."""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest
from scene import (
    KEY,
    LOCAL_DOMAIN,
    SERVICE,
    ReceivedResponse,
    RequestHarness,
    exchange,
    run_scenario,
)

from fireflyhitch_model.clock import SystemClock
from fireflyhitch_model.ids import BackendServerId
from fireflyhitch_serving.client import HttpClient
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.errors import ServerError
from fireflyhitch_serving.servers import ServerEntry
from fireflyhitch_serving.sockets import reset_on_close
from fireflyhitch_standins.scripted_server import find_address

# More than the kernel takes while the server reads nothing.
UPLOAD = b'x' * 300_000
SMALL_BUFFER = 4096
PAUSE_SECONDS = 0.05
BREAK_OFFS = ('reset', 'fin', 'fin then reset')
HEAD = b'HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: 1\r\n\r\n'
EVENT = b'id: 1\ndata: t1\n\n'
SENT = {'nothing': b'', 'half a head': HEAD[:20], 'head': HEAD, 'part': HEAD + EVENT}


def parametrize_all(function: Callable[..., None]) -> Callable[..., None]:
    by_sent = pytest.mark.parametrize('sent', SENT.values(), ids=SENT)
    return by_sent(pytest.mark.parametrize('break_off', BREAK_OFFS)(function))


@asynccontextmanager
async def serve_broken(sent: bytes, break_off: str) -> AsyncIterator[Address]:
    """Run a server that reads a request's first bytes, sends some and breaks off."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(1)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(sent)
        await asyncio.sleep(PAUSE_SECONDS)
        if break_off != 'reset':
            writer.write_eof()
        if break_off != 'fin':
            await asyncio.sleep(PAUSE_SECONDS)
            reset_on_close(writer.transport)  # type: ignore[arg-type]
            writer.transport.abort()

    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    sock.bind(('127.0.0.1', 0))
    server = await asyncio.start_server(serve, sock=sock, limit=SMALL_BUFFER)
    try:
        yield find_address(server)
    finally:
        server.close()


def register(harness: RequestHarness, address: Address) -> None:
    harness.registry.put(
        ServerEntry(BackendServerId('a'), SERVICE, address, LOCAL_DOMAIN, 'v1', 4, True)
    )


def render_chunked(path: str) -> bytes:
    """Return an upload in chunks."""
    lines = (
        f'POST {path} HTTP/1.1',
        'Host: shop.example',
        'X-Id: r1',
        f'X-Key: {KEY}',
        'Transfer-Encoding: chunked',
        '',
        '',
    )
    chunks = b'%x\r\n%b\r\n0\r\n\r\n' % (len(UPLOAD), UPLOAD)
    return '\r\n'.join(lines).encode() + chunks


async def check_broken(upload: Awaitable[ReceivedResponse]) -> None:
    """Check that a caller gets no part as a complete response."""
    async with asyncio.timeout(2):
        got = await upload
    assert got.status in {502, 504} or not got.whole


class TestUploads:
    @parametrize_all
    def test_a_part_is_no_complete_response(self, sent: bytes, break_off: str) -> None:
        # Guards against a response that ends with its connection, and was cut off.
        async def script(harness: RequestHarness) -> None:
            async with serve_broken(sent, break_off) as address:
                register(harness, address)
                await check_broken(harness.ask('/book/1', 'POST', UPLOAD))
                await check_broken(exchange(harness.address, render_chunked('/book/1')))

        run_scenario(RequestHarness(), script)

    @parametrize_all
    def test_a_part_is_no_complete_stream(self, sent: bytes, break_off: str) -> None:
        # Guards against the same in a stream, whose end the caller would believe.
        async def script(harness: RequestHarness) -> None:
            async with serve_broken(sent, break_off) as address:
                register(harness, address)
                await check_broken(harness.ask('/once/1', 'POST', UPLOAD))

        run_scenario(RequestHarness(), script)

    @pytest.mark.parametrize('break_off', BREAK_OFFS)
    def test_a_part_is_no_complete_response_of_a_peer(self, break_off: str) -> None:
        # Guards against the same between two daemons, and behind the second.
        async def script(harness: RequestHarness) -> None:
            harness.reachability.lost = True
            async with serve_broken(SENT['part'], break_off) as address:
                harness.peers['broken'] = address
                await check_broken(harness.ask('/book/1', 'POST', UPLOAD))
            async with (
                serve_broken(SENT['part'], break_off) as address,
                RequestHarness() as peer,
            ):
                register(peer, address)
                harness.peers = {'peer': peer.peer_address}
                await check_broken(harness.ask('/book/1', 'POST', UPLOAD))

        run_scenario(RequestHarness(), script)

    @parametrize_all
    def test_a_part_is_no_response_to_a_call(self, sent: bytes, break_off: str) -> None:
        # Guards against the same in calls to the platform.
        async def script(harness: RequestHarness) -> None:
            async with serve_broken(sent, break_off) as address:
                client = HttpClient(address, SystemClock())
                with pytest.raises(ServerError):
                    await client.call(b'POST', b'/api/call', body=UPLOAD, timeout=2)

        run_scenario(RequestHarness(), script)
