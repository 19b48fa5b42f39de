"""Backend servers of the fault soak: they note what they run, and for whom."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from fireflyhitch_bench.soak_requests import make_body
from fireflyhitch_serving.connections import Address
from fireflyhitch_standins.scripted_server import ReceivedRequest, ScriptedServer
from fireflyhitch_standins.users_formats import HEALTH_PATH, render_signed_response

WORK_SECONDS = 0.02
# A request to a path that holds this ends the process that begins it.
CRASHING = 'crashing'
HEALTH_CHECK = f'GET {HEALTH_PATH} '


@dataclass(slots=True)
class Runs:
    """What all servers ran.

    :param by_request: times that each request ran.
    :param retried_at: loop times at which a request ran that had run before.
    :param wrong_server: requests that named another server.
    :param wrong_body: requests whose body was not as their caller sent it.
    :param without_customer: requests that bore no customer, or the caller's key.
    :param ended: servers whose process ended under a request.
    """

    by_request: Counter[str] = field(default_factory=Counter)
    retried_at: list[float] = field(default_factory=list)
    wrong_server: list[str] = field(default_factory=list)
    wrong_body: list[str] = field(default_factory=list)
    without_customer: list[str] = field(default_factory=list)
    ended: list[str] = field(default_factory=list)


class SoakServer:
    """A server that signs each answer with its name and the request's id."""

    def __init__(self, name: str, runs: Runs, on_end: Callable[[str], None]) -> None:
        """Make a server; ``start`` has it listen.

        :param on_end: told the name of a server whose process has ended.
        """
        self.name = name
        self.loses_answers = False
        # Only health checks are answered.
        self.breaks_off = False
        self.limit: float | None = None
        self.arrivals: list[float] = []
        self._runs = runs
        self._on_end = on_end
        self._writers: set[asyncio.StreamWriter] = set()
        self._server = ScriptedServer(name, self._answer)

    async def start(self) -> Address:
        """Listen on a free port."""
        return await self._server.start()

    def stop(self) -> None:
        """Stop to listen."""
        self._server.stop()

    def end(self) -> None:
        """End as a process does: all connections break off, and nobody listens."""
        self.stop()
        for writer in self._writers:
            writer.transport.abort()
        self._runs.ended.append(self.name)
        self._on_end(self.name)

    async def _answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self.arrivals.append(asyncio.get_running_loop().time())
        if CRASHING in request.head.partition('\r\n')[0]:
            self.end()
            return
        if request.head.startswith(HEALTH_CHECK):
            await self._tell_health(writer)
            return
        request_id = request.find('request-id')
        if request.find('expect-instance') != self.name:
            self._runs.wrong_server.append(request_id)
        if request.find('authorization') or not request.find('tenant'):
            self._runs.without_customer.append(request_id)
        if request.head.startswith('POST ') and request.body != make_body(request_id):
            self._runs.wrong_body.append(request_id)
        if request_id in self._runs.by_request:
            self._runs.retried_at.append(self.arrivals[-1])
        self._runs.by_request[request_id] += 1
        await asyncio.sleep(WORK_SECONDS)
        if self.loses_answers or self.breaks_off:
            writer.transport.abort()
            return
        signed = render_signed_response(
            request_id, self.name, request_id.encode(), limit=self.limit
        )
        writer.write(signed)

    async def _tell_health(self, writer: asyncio.StreamWriter) -> None:
        """Respond to a health check, which names no server and bears no customer."""
        if self.loses_answers:
            writer.transport.abort()
            return
        writer.write(render_signed_response('', self.name, b'', limit=self.limit))
