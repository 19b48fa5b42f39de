"""HTTP client for the platform's services."""

import asyncio
from dataclasses import field

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.records import immutable
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_serving.connection_pools import ConnectionPool
from fireflyhitch_serving.connections import (
    Address,
    ServerConnection,
    connect,
)
from fireflyhitch_serving.errors import ServerError
from fireflyhitch_serving.messages import Headers, render_request

CONNECT_TIMEOUT_SECONDS = 0.5
# Of a response's body; listings of thousands of servers have some megabytes.
MAX_BODY_BYTES = 16_777_216


@immutable
class HttpResponse:
    """A complete response."""

    status: int
    body: bytes
    headers: Headers = field(default_factory=list)


class HttpClient:
    """Sends calls to one address; each pending call has a connection of its own."""

    def __init__(self, address: Address, clock: Clock) -> None:
        """Create a client without connections."""
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
        """Send a request and return its response.

        :param timeout: seconds to the complete response.
        :raises ServerError: if there is no complete response; its ``outcome`` states
            whether the call may have run.
        """
        host = (b'Host', str(self.address).encode())
        request = render_request(method, target, [host, *(headers or ())], body)
        try:
            # Includes connecting, since a leader's call must end before its lease does.
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
        pooled = self._pool.take(self._clock.monotonic())
        connection = pooled or await connect(self.address, CONNECT_TIMEOUT_SECONDS)
        fully_read = False
        try:
            response = await _exchange(connection, request)
            fully_read = True
        finally:
            if fully_read:
                self._pool.release(connection, self._clock.monotonic())
            else:
                # The missing response may still arrive on this connection.
                connection.close()
        return response


async def _exchange(connection: ServerConnection, request: bytes) -> HttpResponse:
    connection.send(request)
    head = await connection.read_head()
    body = await connection.read_whole_body(MAX_BODY_BYTES)
    return HttpResponse(head.status, body, head.headers)
