"""Backend servers of the fault soak: they note what they run, and for whom."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from fireflyhitch_bench.loopback_proxy import find_address
from fireflyhitch_serving.connections import Address
from fireflyhitch_standins.users_formats import HOST

WORK_SECONDS = 0.02


@dataclass(slots=True)
class Runs:
    """What all servers ran.

    :param by_request: times that each request ran.
    :param wrong_server: requests that named another server.
    :param without_customer: requests that bore no customer, or the caller's key.
    """

    by_request: Counter[str] = field(default_factory=Counter)
    wrong_server: list[str] = field(default_factory=list)
    without_customer: list[str] = field(default_factory=list)


class SoakServer:
    """A server that signs each answer with its name and the request's id."""

    def __init__(self, name: str, runs: Runs) -> None:
        """Make a server; ``start`` has it listen."""
        self.name = name
        self.loses_answers = False
        self._runs = runs
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
                headers = await _read_headers(reader)
                await reader.readexactly(int(headers.get('content-length', 0)))
                await self._answer(headers, writer)
        except (asyncio.IncompleteReadError, OSError):
            # The daemon closed the connection or was killed, or the answer is lost.
            writer.transport.abort()

    async def _answer(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        request_id = headers['request-id']
        if headers.get('expect-instance') != self.name:
            self._runs.wrong_server.append(request_id)
        if 'authorization' in headers or not headers.get('tenant'):
            self._runs.without_customer.append(request_id)
        self._runs.by_request[request_id] += 1
        await asyncio.sleep(WORK_SECONDS)
        if self.loses_answers:
            raise ConnectionResetError
        body = request_id.encode()
        writer.write(
            b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nResponse-Stamp: %b\r\n'
            b'Content-Length: %d\r\n\r\n%b'
            % (body, self.name.encode(), len(body), body)
        )
        await writer.drain()


async def _read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    lines = head.split('\r\n')[1:]
    pairs = (line.partition(':') for line in lines if line)
    return {name.lower(): value.strip() for name, _, value in pairs}
