"""Connections of callers: strict HTTP in, answers out, one after the other."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from http import HTTPStatus

import httptools

from fireflyhitch_model.clock import Clock
from fireflyhitch_serving.catalog import CallerLimits
from fireflyhitch_serving.errors import CallerGone
from fireflyhitch_serving.messages import (
    CallerRequest,
    Header,
    Headers,
    find_header,
    render_head,
)
from fireflyhitch_serving.sockets import send_at_once

# A caller may send its next requests before it has its answer; beyond this many
# its connection is read no further.
MOST_PIPELINED = 8
# A caller that takes nothing for this long is taken for cut off.
SILENT_MS = 4000
CHUNK_END = b'0\r\n\r\n'
# What a request's size is checked for each time more of it comes.
SLACK_BYTES = 4096

Serve = Callable[[CallerRequest, 'Reply'], Awaitable[None]]


@dataclass(slots=True)
class ListenerState:
    """What all connections of a listener share.

    :param closing: whether callers are told to use another daemon.
    """

    serve: Serve
    limits: Callable[[], CallerLimits]
    clock: Clock
    closing: bool = False
    connections: set['CallerConnection'] = field(default_factory=set)

    @property
    def busy(self) -> int:
        """Return how many requests have no whole answer yet."""
        return sum(connection.busy for connection in self.connections)

    def close_idle(self) -> None:
        """Close the connections on which nothing is asked."""
        for connection in tuple(self.connections):
            connection.close_if_idle()


class Reply:
    """Where the answer to one request goes."""

    def __init__(self, connection: 'CallerConnection', keep: bool) -> None:
        """Make a reply to the request at hand.

        :param keep: whether the caller wants to keep its connection.
        """
        self._connection = connection
        self._keep = keep
        self.begun = False
        self.ended = False
        self.status = 0

    def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        length = (b'Content-Length', b'%d' % len(body))
        head = render_head(status, [*headers, length, *self._closing_headers()])
        self.begun = True
        self.status = status
        self._connection.write(head + body)
        self._end()

    def begin(self, status: int, headers: Headers) -> None:
        """Begin an answer whose length is not known."""
        coding = (b'Transfer-Encoding', b'chunked')
        head = render_head(status, [*headers, coding, *self._closing_headers()])
        self.begun = True
        self.status = status
        self._connection.write(head)

    async def write(self, part: bytes) -> None:
        """Send a part of the body, and wait while the caller is behind."""
        self._connection.write(b'%x\r\n%b\r\n' % (len(part), part))
        await self._connection.drain()

    def finish(self) -> None:
        """End an answer that is whole."""
        self._connection.write(CHUNK_END)
        self._end()

    def abort(self) -> None:
        """Break the answer off so that the caller sees that it is not whole."""
        self.ended = True
        self._connection.abort()

    def _end(self) -> None:
        self.ended = True
        if not self._keep:
            self._connection.close_after_write()

    def _closing_headers(self) -> list[Header]:
        self._keep = self._keep and not self._connection.state.closing
        return [] if self._keep else [(b'Connection', b'close')]


class CallerConnection(asyncio.Protocol):
    """Reads requests and has them served in order."""

    def __init__(self, state: ListenerState) -> None:
        """Make a protocol for the listener's next connection."""
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
        self._refused = False
        self._refusal: HTTPStatus | None = None
        self._gone = False
        self._arrived = 0.0

    @property
    def busy(self) -> bool:
        """Tell whether a request was read whose answer is not whole."""
        return self._task is not None or bool(self._waiting)

    def close_if_idle(self) -> None:
        """Close it unless something is asked or being asked."""
        if not self.busy and not self._in_message and self._transport is not None:
            self._transport.close()

    # What replies call

    def write(self, data: bytes) -> None:
        """Send bytes.

        :raises CallerGone: if nobody is there to read them.
        """
        transport = self._transport
        if self._gone or transport is None or transport.is_closing():
            raise CallerGone
        transport.write(data)

    async def drain(self) -> None:
        """Wait until the caller has taken most of what was sent."""
        if self._writable is not None:
            await self._writable

    def close_after_write(self) -> None:
        """Close once all is sent."""
        self._refused = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        self._refused = True
        if self._transport is not None:
            self._transport.abort()

    # What asyncio calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for a request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        send_at_once(transport, SILENT_MS)
        self.state.connections.add(self)
        self._wait_for_request()

    def data_received(self, data: bytes) -> None:
        """Take bytes in."""
        if self._refused:
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
        """A caller that sends no more is taken for gone."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop serving a caller that is gone."""
        self._gone = True
        self.state.connections.discard(self)
        self._stop_timer()
        self.resume_writing()
        self._waiting.clear()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Note that the caller is behind."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Note that the caller has caught up."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    # What the parser calls

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._target = b''
        self._headers = []
        self._body = []
        self._body_bytes = 0
        self._in_head = True
        self._in_message = True
        limits = self.state.limits()
        self._start_timer(limits.header_seconds, HTTPStatus.REQUEST_TIMEOUT)

    def on_url(self, url: bytes) -> None:
        """Take a part of the target in."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header in."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head."""
        self._in_head = False
        self._arrived = self.state.clock.monotonic()
        self._stop_timer()
        limits = self.state.limits()
        if self._head_bytes > limits.header_bytes + SLACK_BYTES + _length(
            self._headers
        ):
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif not is_well_framed(self._headers, self._parser.get_http_version()):
            self._refuse(HTTPStatus.BAD_REQUEST)
        elif _length(self._headers) > limits.body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif find_header(self._headers, b'expect') is not None:
            with suppress(CallerGone):
                self.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body: bytes) -> None:
        """Take a part of the body in."""
        if self._refused:
            return
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self.state.limits().body_bytes:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Have the request served after those before it."""
        self._in_message = False
        self._head_bytes = 0
        if self._refused:
            return
        message = CallerRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            b''.join(self._body),
            self._arrived,
        )
        self._body = []
        self._waiting.append((message, self._parser.should_keep_alive()))
        if len(self._waiting) > MOST_PIPELINED and self._transport is not None:
            self._transport.pause_reading()
        self._serve_next()

    def _serve_next(self) -> None:
        if self._task is not None or not self._waiting or self._gone:
            return
        self._stop_timer()
        message, keep = self._waiting.popleft()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
        reply = Reply(self, keep)
        self._task = asyncio.get_running_loop().create_task(self._run(message, reply))

    async def _run(self, message: CallerRequest, reply: Reply) -> None:
        try:
            await self.state.serve(message, reply)
        finally:
            self._task = None
            if not reply.ended:
                self.abort()
        if self._gone:
            return
        if self._waiting:
            self._serve_next()
        elif self._refusal is not None:
            self._send_refusal(self._refusal)
        elif not self._refused:
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
        """Answer a request that cannot be read, and close.

        Behind it nothing can be told apart, so a smuggled request ends here too.
        """
        if self._refused:
            return
        self._refused = True
        self._stop_timer()
        if self.busy:
            # The answers to what came before it go out first.
            self._refusal = status
            return
        self._send_refusal(status)

    def _send_refusal(self, status: HTTPStatus) -> None:
        headers = [(b'Content-Length', b'0'), (b'Connection', b'close')]
        with suppress(CallerGone):
            self.write(render_head(status, headers))
            self.close_after_write()


def is_well_framed(headers: Headers, version: str) -> bool:
    """Tell whether there is exactly one way to find a request's end and host.

    Two readers that disagree on where a request ends would let a second one pass
    inside it; so what leaves room for that is refused (RFC 9112, 6.1 and 6.3).
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


def _length(headers: Headers) -> int:
    text = find_header(headers, b'content-length')
    return int(text) if text and text.isdigit() else 0
