"""Connections of callers, whose requests are served one after the other."""

import asyncio
import math
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field

from fireflyhitch_model.clock import Clock
from fireflyhitch_serving.catalog import CallerLimits
from fireflyhitch_serving.edge import RenderedResponse
from fireflyhitch_serving.errors import CallerDisconnected
from fireflyhitch_serving.messages import (
    CallerRequest,
    Header,
    Headers,
    render_head,
    render_response,
)
from fireflyhitch_serving.refusals import refuse_invalid_request, render_refusal
from fireflyhitch_serving.request_heads import Reason, RequestHead
from fireflyhitch_serving.request_reader import (
    CompleteRequest,
    Event,
    InvalidRequest,
    RequestReader,
)
from fireflyhitch_serving.sockets import set_send_options

# A caller may pipeline requests. While more than this many wait, nothing is read from
# its connection.
MAX_PIPELINED = 8
# A caller that acknowledges nothing for this long is regarded as disconnected.
ACK_TIMEOUT_MS = 4000
CHUNK_END = b'0\r\n\r\n'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# For so long, what a refused caller still sends is read and discarded. If the connection
# were closed at once, a caller in the middle of its body would see it reset and lose
# the refusal (RFC 9112, 9.6).
LINGER_SECONDS = 1.0
# Until a connection from which nothing is read is checked again.
PAUSED_CHECK_SECONDS = 0.5

Serve = Callable[[CallerRequest, 'Reply'], Awaitable[None]]
Refuse = Callable[[InvalidRequest, str], RenderedResponse]
FindTimeLimit = Callable[[RequestHead], float | None]


def _find_no_time_limit(head: RequestHead) -> None:
    """Return no limit."""


@dataclass(slots=True)
class ListenerState:
    """State shared by all connections of a listener.

    :param refuse: logs the refusal of an invalid request and returns the response; takes
        the caller's address too.
    :param find_time_limit: returns the seconds within which a request gets its final
        response, if they are known from its head.
    :param closing: whether responses ask callers to close their connections.
    """

    serve: Serve
    limits: Callable[[], CallerLimits]
    clock: Clock
    refuse: Refuse = refuse_invalid_request
    find_time_limit: FindTimeLimit = _find_no_time_limit
    closing: bool = False
    connections: set['CallerConnection'] = field(default_factory=set)

    @property
    def busy(self) -> int:
        """Return how many connections have a request without a complete response."""
        return sum(connection.busy for connection in self.connections)

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in tuple(self.connections):
            connection.close_if_idle()


class Reply:
    """Writes the response to one request."""

    def __init__(self, connection: 'CallerConnection', keep_alive: bool) -> None:
        """Create a reply to the current request.

        :param keep_alive: whether the caller wants to keep its connection open.
        """
        self._connection = connection
        self._keep_alive = keep_alive
        self.begun = False
        self.ended = False
        self.status = 0

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        response = render_response(status, [*headers, *self._closing_headers()], body)
        self.begun = True
        self.status = status
        self._connection.write(response)
        self._end()

    def begin(self, status: int, headers: Headers) -> None:
        """Begin a response of unknown length."""
        coding = (b'Transfer-Encoding', b'chunked')
        head = render_head(status, [*headers, coding, *self._closing_headers()])
        self.begun = True
        self.status = status
        self._connection.write(head)

    async def write(self, part: bytes) -> None:
        """Send a part of the body, and wait while the write buffer is full."""
        self._connection.write(b'%x\r\n%b\r\n' % (len(part), part))
        await self._connection.drain()

    def finish(self) -> None:
        """End a response that is complete."""
        self._connection.write(CHUNK_END)
        self._end()

    def abort(self) -> None:
        """Close the connection, so that the caller sees an incomplete response."""
        self.ended = True
        self._connection.abort()

    def _end(self) -> None:
        self.ended = True
        if not self._keep_alive:
            self._connection.close_after_write()

    def _closing_headers(self) -> list[Header]:
        self._keep_alive = self._keep_alive and not self._connection.state.closing
        return [] if self._keep_alive else [(b'Connection', b'close')]


class CallerConnection(asyncio.Protocol):
    """Reads requests and serves them in order."""

    def __init__(self, state: ListenerState) -> None:
        """Create a protocol for one connection of the listener."""
        self.state = state
        self._transport: asyncio.Transport | None = None
        self._reader = RequestReader(state.limits)
        self._waiting: deque[tuple[CallerRequest, bool]] = deque()
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_reason: Reason | None = None
        self._writable: asyncio.Future[None] | None = None
        self._input_ended = False
        self._pending_refusal = b''
        self._disconnected = False
        self._arrived_at = 0.0
        self._read_at = 0.0
        self._body_deadline: float | None = None
        self._continue_expected = False

    @property
    def busy(self) -> bool:
        """Tell whether a complete request has no complete response yet."""
        return self._task is not None or bool(self._waiting)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is served or being received."""
        receiving = self._reader.in_head or self._reader.head is not None
        if not self.busy and not receiving and self._transport is not None:
            self._transport.close()

    # Called by replies

    def write(self, data: bytes) -> None:
        """Send bytes.

        :raises CallerDisconnected: if the connection is closed.
        """
        transport = self._transport
        if self._disconnected or transport is None or transport.is_closing():
            raise CallerDisconnected
        transport.write(data)

    async def drain(self) -> None:
        """Wait until the write buffer has been mostly sent."""
        if self._writable is not None:
            await self._writable

    def close_after_write(self) -> None:
        """Close the connection when the write buffer is empty."""
        self._input_ended = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._input_ended = True
        if self._transport is not None:
            self._transport.abort()

    # Called by asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and wait for a request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_send_options(transport, ACK_TIMEOUT_MS)
        self.state.connections.add(self)
        self._watch_input()

    def data_received(self, data: bytes) -> None:
        """Read received bytes."""
        if self._input_ended:
            return
        for event in self._reader.feed(data):
            self._handle(event)
        self._watch_input()

    def eof_received(self) -> bool:
        """Close the connection; a caller that half-closes it counts as disconnected."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, since the caller has disconnected."""
        self._disconnected = True
        self.state.connections.discard(self)
        self._stop_timer()
        self.resume_writing()
        self._waiting.clear()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Make ``drain`` wait, since the write buffer is full."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let ``drain`` return, since the write buffer has room again."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    # Requests

    def _handle(self, event: Event) -> None:
        if isinstance(event, RequestHead):
            self._record_head(event)
        elif isinstance(event, CompleteRequest):
            self._queue(event)
        else:
            self._refuse(event)

    def _record_head(self, head: RequestHead) -> None:
        """Begin to wait for the rest of a request."""
        self._arrived_at = self.state.clock.monotonic()
        self._continue_expected = head.expects_continue
        self._body_deadline = None
        self._stop_timer()

    def _queue(self, complete: CompleteRequest) -> None:
        """Queue a request behind those received before it."""
        head = complete.head
        request = CallerRequest(
            head.method, head.target, head.headers, complete.body, self._arrived_at
        )
        self._waiting.append((request, head.keep_alive))
        if len(self._waiting) > MAX_PIPELINED and self._transport is not None:
            self._transport.pause_reading()
        self._serve_next()

    def _serve_next(self) -> None:
        if self._task is not None or not self._waiting or self._disconnected:
            return
        self._stop_timer()
        request, keep_alive = self._waiting.popleft()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
        reply = Reply(self, keep_alive)
        self._task = asyncio.get_running_loop().create_task(self._run(request, reply))

    async def _run(self, request: CallerRequest, reply: Reply) -> None:
        try:
            await self.state.serve(request, reply)
        finally:
            self._task = None
            if not reply.ended:
                self.abort()
        if self._disconnected:
            return
        if self._waiting:
            self._serve_next()
        elif self._pending_refusal:
            self._send_refusal(self._pending_refusal)
        else:
            self._watch_input()

    def _refuse(self, invalid: InvalidRequest) -> None:
        """Refuse an invalid request and close the connection.

        The end of an invalid request is ambiguous, so nothing after it is read. This
        also stops smuggled requests.
        """
        self._input_ended = True
        self._stop_timer()
        response = self.state.refuse(invalid, self._find_peer())
        refusal = render_refusal(response)
        if self.busy:
            # Earlier requests get their responses first.
            self._pending_refusal = refusal
            return
        self._send_refusal(refusal)

    def _send_refusal(self, refusal: bytes) -> None:
        with suppress(CallerDisconnected):
            self.write(refusal)
            self._linger()

    def _linger(self) -> None:
        """Close the connection once the caller has, or after a time."""
        transport = self._transport
        if transport is None:
            return
        transport.write_eof()
        self._timer = asyncio.get_running_loop().call_later(
            LINGER_SECONDS, transport.close
        )

    def _find_peer(self) -> str:
        name = self._transport and self._transport.get_extra_info('peername')
        return f'{name[0]}:{name[1]}' if name else ''

    # Timers

    def _watch_input(self) -> None:
        """Limit the time until what is expected next from the caller."""
        if self._input_ended:
            return
        reader = self._reader
        if reader.head is not None:
            self._send_continue()
            self._read_at = self.state.clock.monotonic()
            if self._timer_reason is not Reason.BODY_TIMEOUT:
                self._start_timer(self._find_body_seconds(), Reason.BODY_TIMEOUT)
        elif reader.in_head:
            if self._timer_reason is not Reason.HEAD_TIMEOUT:
                seconds = self.state.limits().header_seconds
                self._start_timer(seconds, Reason.HEAD_TIMEOUT)
        elif not self.busy:
            self._start_timer(self.state.limits().idle_seconds, None)

    def _find_body_seconds(self) -> float:
        """Return how much longer to wait for the rest of a body."""
        idle_until = self._read_at + self.state.limits().idle_seconds
        until = min(idle_until, self._find_body_deadline())
        return until - self.state.clock.monotonic()

    def _find_body_deadline(self) -> float:
        """Return when the request being received must have its final response."""
        if self._body_deadline is None:
            head = self._reader.head
            limit = None if head is None else self.state.find_time_limit(head)
            seconds = math.inf if limit is None else limit
            self._body_deadline = self._arrived_at + seconds
        return self._body_deadline

    def _send_continue(self) -> None:
        """Ask for the body, unless an earlier response is not complete."""
        if self._continue_expected and not self.busy:
            self._continue_expected = False
            with suppress(CallerDisconnected):
                self.write(CONTINUE)

    def _start_timer(self, seconds: float, reason: Reason | None) -> None:
        """Start the only timer.

        :param reason: of the refusal when it ends; ``None`` to close an idle connection.
        """
        self._stop_timer()
        self._timer_reason = reason
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._time_out, reason)

    def _stop_timer(self) -> None:
        self._timer_reason = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _time_out(self, reason: Reason | None) -> None:
        transport = self._transport
        self._timer_reason = None
        if self._input_ended:
            return
        if reason is None:
            self.close_if_idle()
        elif transport is not None and not transport.is_reading():
            # The caller may have sent it, but nothing is read while others are served.
            self._start_timer(PAUSED_CHECK_SECONDS, reason)
        elif reason is Reason.BODY_TIMEOUT and self._find_body_seconds() > 0:
            self._start_timer(self._find_body_seconds(), reason)
        else:
            self._refuse(self._reader.refuse(reason))
