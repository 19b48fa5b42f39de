"""Backend servers of the fault soak: they note what they run, and for whom."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from fireflyhitch_serving.connections import Address
from fireflyhitch_standins.scripted_server import ScriptedServer, SeenRequest
from fireflyhitch_standins.users_formats import render_signed

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
        self._server = ScriptedServer(name, self._answer)

    async def start(self) -> Address:
        """Listen on a free port."""
        return await self._server.start()

    def stop(self) -> None:
        """Stop to listen."""
        self._server.stop()

    async def _answer(self, request: SeenRequest, writer: asyncio.StreamWriter) -> None:
        request_id = request.find('request-id')
        if request.find('expect-instance') != self.name:
            self._runs.wrong_server.append(request_id)
        if request.find('authorization') or not request.find('tenant'):
            self._runs.without_customer.append(request_id)
        self._runs.by_request[request_id] += 1
        await asyncio.sleep(WORK_SECONDS)
        if self.loses_answers:
            writer.transport.abort()
            return
        writer.write(render_signed(request_id, self.name, request_id.encode()))
