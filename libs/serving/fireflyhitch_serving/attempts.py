"""One attempt at a request: sends it to a server and forwards the response."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from http import HTTPStatus
from typing import TypeVar

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.records import immutable
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_serving.connection_pools import ConnectionPool
from fireflyhitch_serving.connections import (
    Address,
    ResponseHead,
    ServerConnection,
    connect,
)
from fireflyhitch_serving.edge import AttemptContext, Edge, RenderedResponse
from fireflyhitch_serving.errors import ServerError, UnresponsiveServerError
from fireflyhitch_serving.events import EventError
from fireflyhitch_serving.exchanges import AttemptFailure, Exchange
from fireflyhitch_serving.forwarded_requests import remove_sends
from fireflyhitch_serving.health import Ending
from fireflyhitch_serving.messages import (
    Headers,
    ResponseInfo,
    drop_connection_headers,
)
from fireflyhitch_serving.response_buffers import ResponseBuffers
from fireflyhitch_serving.servers import ServerRecord

# Link latency is a few ms. A lost SYN is sent again only after 1 s, and another server
# responds sooner.
CONNECT_TIMEOUT_SECONDS = 0.3
# If the server closes an idle connection while a request is sent, it is unknown whether
# the request ran. Requests that may not be repeated only use pooled connections that
# were idle for less than this.
MAX_UNREPEATABLE_IDLE_SECONDS = 1.0
# The attempt fails after this many responses with the id of another request.
MAX_MISMATCHED_RESPONSES = 2
MIN_SERVER_ERROR = 500
MIN_NON_SUCCESS = 300
# Final responses after which a caller may send a request again that may run once.
NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
# Timeout between two events of a stream, as a multiple of the route's gap target.
GAP_TIMEOUT_FACTOR = 1.5
# The body of a refusal comes with its head. What is longer, or late, is not waited for.
REFUSAL_BODY_SECONDS = 0.2
MAX_REFUSAL_BYTES = 65_536


ReadResult = TypeVar('ReadResult')


@immutable
class AttemptCallbacks:
    """Callbacks of an attempt; they must not block.

    :param on_progress: called for a whole response, or for each batch of events.
    :param on_head: called when the response head has been read.
    :param reserve_retry: takes another attempt from the retry budget; returns whether
        one is allowed.
    """

    on_progress: Callable[[], None]
    on_head: Callable[[ResponseInfo], None]
    reserve_retry: Callable[[], bool]


@immutable
class AttemptTarget:
    """A backend server, or another daemon, as the receiver of a request.

    :param name: its id, for errors.
    :param is_available: returns whether it may still get the request when the
        connection is open.
    :param render_request: returns the request's bytes; takes the seconds left.
    :param parse_head: parses the head of its response.
    """

    name: str
    address: Address
    pool: ConnectionPool
    is_available: Callable[[], bool]
    render_request: Callable[[float], bytes]
    parse_head: Callable[[ResponseHead], ResponseInfo]


def make_server_target(
    exchange: Exchange, record: ServerRecord, edge: Edge
) -> AttemptTarget:
    """Return a backend server as the target of a request."""
    server = record.server

    def render_request(time_left: float) -> bytes:
        context = AttemptContext(
            server.server_id,
            exchange.customer.name if exchange.customer else None,
            time_left,
            exchange.urgency if exchange.route.streaming else None,
            exchange.events.last_id,
        )
        return edge.render_request(exchange.request, context)

    return AttemptTarget(
        server.server_id,
        server.address,
        record.pool,
        lambda: record.accepts_requests,
        render_request,
        edge.parse_response_head,
    )


class Attempt:
    """Runs one exchange with one target."""

    def __init__(
        self,
        exchange: Exchange,
        target: AttemptTarget,
        clock: Clock,
        callbacks: AttemptCallbacks,
        buffers: ResponseBuffers,
    ) -> None:
        """Create an attempt that has sent nothing."""
        self.sent = False
        self._connection: ServerConnection | None = None
        self._has_progressed = False
        self._buffers = buffers
        self._exchange = exchange
        self._target = target
        self._clock = clock
        self._callbacks = callbacks

    @property
    def has_partial_response(self) -> bool:
        """Return whether the server has sent bytes that are of no use so far."""
        connection = self._connection
        return (
            connection is not None
            and connection.has_partial_response
            and not self._has_progressed
        )

    async def run(self, silence_timeout: float | None) -> AttemptFailure | None:
        """Send the request and forward the response.

        :param silence_timeout: seconds without data after which the attempt fails if
            another one is allowed; ``None`` to wait until the request's deadline.
        :returns: ``None`` if the caller has the complete response.
        """
        try:
            connection = await self._open()
        except ServerError as error:
            return AttemptFailure(Ending.UNREACHED, error.outcome, str(error))
        if not self._target.is_available():
            # The server began to drain, or its failure domain was evacuated, while the
            # connection was opened.
            self._release(connection)
            return AttemptFailure(Ending.REFUSED, Outcome.NOT_RUN, 'leaving')
        reusable = False
        try:
            failure = await self._send_and_forward(connection, silence_timeout)
            reusable = _was_fully_read(failure)
        except UnresponsiveServerError as error:
            failure = AttemptFailure(
                Ending.BROKEN, Outcome.UNKNOWN, str(error), retry_reserved=True
            )
        except ServerError as error:
            failure = AttemptFailure(Ending.BROKEN, error.outcome, str(error))
        except EventError as error:
            failure = AttemptFailure(Ending.BROKEN, Outcome.UNKNOWN, str(error))
        finally:
            if reusable:
                self._release(connection)
            else:
                connection.close()
        return failure

    async def _open(self) -> ServerConnection:
        pool = self._target.pool
        now = self._clock.monotonic()
        pooled = pool.take(now)
        if pooled is not None:
            if self._exchange.route.repeatable:
                return pooled
            if now - pooled.idle_since < MAX_UNREPEATABLE_IDLE_SECONDS:
                return pooled
            pooled.close()
        return await connect(self._target.address, CONNECT_TIMEOUT_SECONDS)

    def _release(self, connection: ServerConnection) -> None:
        self._target.pool.release(connection, self._clock.monotonic())

    async def _send_and_forward(
        self, connection: ServerConnection, silence_timeout: float | None
    ) -> AttemptFailure | None:
        exchange = self._exchange
        time_left = exchange.deadline - self._clock.monotonic()
        request = self._target.render_request(time_left)
        self.sent = True
        self._connection = connection
        connection.send(request, no_body=exchange.request.method == b'HEAD')
        head, info = await self._read_head(connection, silence_timeout)
        self._callbacks.on_head(info)
        return await self._forward_response(connection, head, info, silence_timeout)

    async def _read_head(
        self, connection: ServerConnection, silence_timeout: float | None
    ) -> tuple[ResponseHead, ResponseInfo]:
        """Wait for the head of the response to this request.

        A server may respond a second time to an earlier request. Such a response has
        another request id and is skipped.
        """
        request_id = self._exchange.info.request_id
        for _ in range(MAX_MISMATCHED_RESPONSES):
            head = await self._read_with_timeout(connection.read_head, silence_timeout)
            info = self._target.parse_head(head)
            if info.request_id in {request_id, None}:
                return head, info
        raise self._make_relay_error('received only answers to other requests')

    async def _forward_response(
        self,
        connection: ServerConnection,
        head: ResponseHead,
        info: ResponseInfo,
        silence_timeout: float | None,
    ) -> AttemptFailure | None:
        if info.not_run:
            ending = await _skip_refusal_body(connection)
            return AttemptFailure(ending, Outcome.NOT_RUN, f'status {head.status}')
        if head.status < MIN_SERVER_ERROR and not info.signed:
            # A caller would take a failure for the daemon's own word that the request is
            # wrong, or that it did not run.
            raise self._make_relay_error(f'unsigned response {head.status}')
        if head.status < MIN_NON_SUCCESS and info.encoded:
            raise self._make_relay_error('encoded success response')
        if head.status < MIN_NON_SUCCESS and info.request_id is None:
            raise self._make_relay_error('success response without request id')
        if head.status < MIN_NON_SUCCESS and self._exchange.route.streaming:
            await self._relay_stream(connection, head, silence_timeout)
            return None
        return await self._forward_whole(connection, head, info, silence_timeout)

    async def _forward_whole(
        self,
        connection: ServerConnection,
        head: ResponseHead,
        info: ResponseInfo,
        silence_timeout: float | None,
    ) -> AttemptFailure | None:
        body = await self._read_whole(connection, silence_timeout)
        headers = _select_forwarded(head.headers)
        response = RenderedResponse(head.status, headers, body)
        detail = f'status {head.status}'
        if self._would_deny_run(head, info):
            return AttemptFailure(Ending.FAILED, Outcome.RAN, detail)
        if head.status >= MIN_SERVER_ERROR or self._exchange.reply.begun:
            return AttemptFailure(Ending.FAILED, Outcome.RAN, detail, response)
        self._report_progress()
        self._exchange.reply.send_response(
            response.status, response.headers, response.body
        )
        return None

    def _would_deny_run(self, head: ResponseHead, info: ResponseInfo) -> bool:
        """Tell whether callers would conclude from a response that nothing has run.

        The server has not said so. Without its signature the response would also pass
        for the daemon's own refusal.
        """
        if head.status not in NOT_RUN_STATUSES:
            return False
        return not (info.signed and self._exchange.route.repeatable)

    async def _read_whole(
        self, connection: ServerConnection, silence_timeout: float | None
    ) -> bytes:
        with self._buffers.open() as buffer:
            while True:
                part = await self._read_with_timeout(
                    connection.read_body, silence_timeout
                )
                if not part:
                    return buffer.join()
                if not buffer.add(part):
                    raise self._make_relay_error('response too large')

    async def _relay_stream(
        self,
        connection: ServerConnection,
        head: ResponseHead,
        silence_timeout: float | None,
    ) -> None:
        exchange = self._exchange
        events = exchange.events
        events.restart()
        timeout = silence_timeout
        waiting_since = self._clock.monotonic()
        while True:
            part = await self._read_with_timeout(
                connection.read_body, self._find_time_left(timeout, waiting_since)
            )
            if not part:
                break
            whole = events.feed(part)
            if whole:
                await self._forward_events(head, whole)
                waiting_since = self._clock.monotonic()
                if silence_timeout is not None:
                    timeout = exchange.route.gap_target * GAP_TIMEOUT_FACTOR
        if events.has_partial_event or not exchange.reply.begun:
            raise self._make_relay_error('stream ended within an event or without one')
        exchange.reply.finish()

    def _find_time_left(
        self, timeout: float | None, waiting_since: float
    ) -> float | None:
        """Return for how long to wait for the next event.

        Bytes that complete none don't count. Where no retry was allowed when the time
        was over, each further part may take as long again.
        """
        if timeout is None:
            return None
        waited = self._clock.monotonic() - waiting_since
        return timeout - waited if waited < timeout else timeout

    async def _forward_events(self, head: ResponseHead, events: bytes) -> None:
        reply = self._exchange.reply
        if not reply.begun:
            reply.begin(head.status, _select_forwarded(head.headers))
        self._report_progress()
        await reply.write(events)

    def _report_progress(self) -> None:
        self._has_progressed = True
        self._callbacks.on_progress()

    async def _read_with_timeout(
        self, read: Callable[[], Awaitable[ReadResult]], silence_timeout: float | None
    ) -> ReadResult:
        if silence_timeout is None:
            return await read()
        with suppress(TimeoutError):
            async with asyncio.timeout(silence_timeout):
                return await read()
        # Without a retry on another server, a late response is better than none.
        if not self._callbacks.reserve_retry():
            return await read()
        raise UnresponsiveServerError(
            f'server silent for {silence_timeout:.2f} s',
            step=Step.RELAY,
            peer=self._target.name,
            outcome=Outcome.UNKNOWN,
        )

    def _make_relay_error(self, reason: str) -> ServerError:
        return ServerError(
            reason,
            step=Step.RELAY,
            peer=self._target.name,
            outcome=Outcome.UNKNOWN,
        )


def _select_forwarded(headers: Headers) -> Headers:
    """Return the headers of a response that are the server's and meant for callers."""
    return remove_sends(drop_connection_headers(headers))


async def _skip_refusal_body(connection: ServerConnection) -> Ending:
    """Read the body of a refusal, or close its connection if the body does not end.

    The server has said in the head that it has not run the request.

    :returns: how the attempt has ended for the server.
    """
    try:
        async with asyncio.timeout(REFUSAL_BODY_SECONDS):
            await connection.read_whole_body(MAX_REFUSAL_BYTES)
    except (TimeoutError, ServerError):
        connection.close()
        return Ending.BROKEN
    return Ending.REFUSED


def _was_fully_read(failure: AttemptFailure | None) -> bool:
    """Tell whether the response was read to its end, so its connection is reusable."""
    if failure is None or failure.response is not None:
        return True
    return failure.outcome is Outcome.NOT_RUN
