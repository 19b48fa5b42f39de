"""Whole calls over HTTP to one address, as the platform's services take them."""

import asyncio

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.records import immutable
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_serving.connections import (
    Address,
    ConnectionPool,
    ServerConnection,
    connect,
)
from fireflyhitch_serving.errors import ServerError
from fireflyhitch_serving.messages import Headers, render_request

CONNECT_SECONDS = 0.5


@immutable
class HttpResponse:
    """A whole answer."""

    status: int
    body: bytes


class HttpClient:
    """Makes calls; each waiting call has a connection of its own."""

    def __init__(self, address: Address, clock: Clock) -> None:
        """Make a client without connections."""
        self.address = address
        self._clock = clock
        self._pool = ConnectionPool()

    async def call(
        self,
        method: bytes,
        target: bytes,
        *,
        headers: Headers | None = None,
        body: bytes = b'',
        timeout: float,
    ) -> HttpResponse:
        """Make one call.

        :param timeout: seconds to the whole answer.
        :raises ServerError: if there is none; its outcome says what is known.
        """
        host = (b'Host', str(self.address).encode())
        request = render_request(method, target, [host, *(headers or ())], body)
        try:
            # Opening a connection counts: a leader's call has to end before its lease.
            async with asyncio.timeout(timeout):
                return await self._call(request)
        except TimeoutError as error:
            raise ServerError(
                f'no answer in {timeout:.1f} s',
                step=Step.FIRST_BYTE,
                peer=str(self.address),
                outcome=Outcome.UNKNOWN,
            ) from error

    async def _call(self, request: bytes) -> HttpResponse:
        kept = self._pool.take(self._clock.monotonic())
        connection = kept or await connect(self.address, CONNECT_SECONDS)
        whole = False
        try:
            answer = await _exchange(connection, request)
            whole = True
        finally:
            if whole:
                self._pool.give_back(connection, self._clock.monotonic())
            else:
                # What is lost on a connection may come late on it.
                connection.close()
        return answer


async def _exchange(connection: ServerConnection, request: bytes) -> HttpResponse:
    connection.send(request)
    head = await connection.read_head()
    return HttpResponse(head.status, await connection.read_whole_body())
