"""Connections of callers: strict HTTP/1.1 requests, served one after the other."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from http import HTTPStatus

import httptools
from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import RequestId
from fireflyhitch_model.states import Outcome
from fireflyhitch_serving.catalog import CallerLimits
from fireflyhitch_serving.errors import CallerDisconnected
from fireflyhitch_serving.messages import (
    CallerRequest,
    Header,
    Headers,
    find_header,
    render_head,
)
from fireflyhitch_serving.sockets import set_send_options

# A caller may pipeline requests. While more than this many wait, nothing is read from
# its connection.
MAX_PIPELINED = 8
# A caller that acknowledges nothing for this long is regarded as disconnected.
ACK_TIMEOUT_MS = 4000
CHUNK_END = b'0\r\n\r\n'
# The head's size is counted in whole reads, which may include some of the body.
HEAD_SLACK_BYTES = 4096

Serve = Callable[[CallerRequest, 'Reply'], Awaitable[None]]


def _find_no_id(headers: Headers) -> None:
    """Return no id."""


@dataclass(slots=True)
class ListenerState:
    """State shared by all connections of a listener.

    :param find_request_id: returns the request's id, if its headers have one.
    :param closing: whether responses ask callers to close their connections.
    """

    serve: Serve
    limits: Callable[[], CallerLimits]
    clock: Clock
    find_request_id: Callable[[Headers], RequestId | None] = _find_no_id
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
        length = (b'Content-Length', b'%d' % len(body))
        head = render_head(status, [*headers, length, *self._closing_headers()])
        self.begun = True
        self.status = status
        self._connection.write(head + body)
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
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: deque[tuple[CallerRequest, bool]] = deque()
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable: asyncio.Future[None] | None = None
        self._target = b''
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._in_head = False
        self._in_message = False
        self._input_ended = False
        self._pending_refusal: HTTPStatus | None = None
        self._disconnected = False
        self._arrived_at = 0.0

    @property
    def busy(self) -> bool:
        """Tell whether a complete request has no complete response yet."""
        return self._task is not None or bool(self._waiting)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is served or being received."""
        if not self.busy and not self._in_message and self._transport is not None:
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
        self._wait_for_request()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._input_ended:
            return
        if self._in_head or not self._in_message:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse(HTTPStatus.BAD_REQUEST)
            return
        limits = self.state.limits()
        if self._in_head and self._head_bytes > limits.header_bytes:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

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

    # Called by the parser

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._target = b''
        self._headers = []
        self._body = []
        self._body_bytes = 0
        self._in_head = True
        self._in_message = True
        limits = self.state.limits()
        self._start_timer(limits.header_seconds, HTTPStatus.REQUEST_TIMEOUT)

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the size and framing of the request."""
        self._in_head = False
        self._arrived_at = self.state.clock.monotonic()
        self._stop_timer()
        limits = self.state.limits()
        if (
            self._head_bytes
            > limits.header_bytes
            + HEAD_SLACK_BYTES
            + _read_content_length(self._headers)
        ):
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif not is_well_framed(self._headers, self._parser.get_http_version()):
            self._refuse(HTTPStatus.BAD_REQUEST)
        elif _read_content_length(self._headers) > limits.body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif find_header(self._headers, b'expect') is not None:
            with suppress(CallerDisconnected):
                self.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        if self._input_ended:
            return
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self.state.limits().body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Queue the request behind those received before it."""
        self._in_message = False
        self._head_bytes = 0
        if self._input_ended:
            return
        request = CallerRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            b''.join(self._body),
            self._arrived_at,
        )
        self._body = []
        self._waiting.append((request, self._parser.should_keep_alive()))
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
        elif self._pending_refusal is not None:
            self._send_refusal(self._pending_refusal)
        elif not self._input_ended:
            self._wait_for_request()

    def _wait_for_request(self) -> None:
        if not self._in_message and self._task is None:
            self._start_timer(self.state.limits().idle_seconds, None)

    def _start_timer(self, seconds: float, status: HTTPStatus | None) -> None:
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._time_out, status)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _time_out(self, status: HTTPStatus | None) -> None:
        if self.busy:
            return
        if status is None:
            if self._transport is not None:
                self._transport.close()
            return
        self._refuse(status)

    def _refuse(self, status: HTTPStatus) -> None:
        """Refuse an invalid request and close the connection.

        The end of an invalid request is ambiguous, so nothing after it is read. This
        also stops smuggled requests.
        """
        if self._input_ended:
            return
        self._input_ended = True
        self._stop_timer()
        self._log_refusal(status)
        if self.busy:
            # Earlier requests get their responses first.
            self._pending_refusal = status
            return
        self._send_refusal(status)

    def _log_refusal(self, status: HTTPStatus) -> None:
        limits = self.state.limits()
        peer = self._transport and self._transport.get_extra_info('peername')
        logger.bind(
            request_id=self.state.find_request_id(self._headers),
            peer=peer and f'{peer[0]}:{peer[1]}',
            status=status.value,
            code='invalid_request',
            outcome=Outcome.NOT_RUN.value,
            head_bytes=self._head_bytes,
            body_bytes=self._body_bytes,
            max_head_bytes=limits.header_bytes,
            max_body_bytes=limits.body_bytes,
        ).info('request refused')

    def _send_refusal(self, status: HTTPStatus) -> None:
        headers = [(b'Content-Length', b'0'), (b'Connection', b'close')]
        with suppress(CallerDisconnected):
            self.write(render_head(status, headers))
            self.close_after_write()


def is_well_framed(headers: Headers, version: str) -> bool:
    """Tell whether a request's length and host are unambiguous.

    Where two HTTP implementations disagree on the end of a request, another request can
    be smuggled inside it (RFC 9112, 6.1 and 6.3).
    """
    names = [name.lower() for name, _ in headers]
    if names.count(b'host') != 1:
        return False
    lengths = names.count(b'content-length')
    codings = names.count(b'transfer-encoding')
    if lengths + codings > 1:
        return False
    if not codings:
        return True
    coding = find_header(headers, b'transfer-encoding') or b''
    return version == '1.1' and coding.strip().lower() == b'chunked'


def _read_content_length(headers: Headers) -> int:
    text = find_header(headers, b'content-length')
    return int(text) if text and text.isdigit() else 0
