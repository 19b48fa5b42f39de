"""HTTP/1.1 connections to backend servers and to the platform, without pipelining.

``urllib3`` would need a thread for each pending response. Here all connections share
one event loop, and ``httptools`` (llhttp) parses the responses.
"""

import asyncio
from collections import deque
from enum import Enum
from http import HTTPStatus

import httptools

from fireflyhitch_model.external_values import MAX_PORT, is_ip_address
from fireflyhitch_model.records import immutable
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_serving.errors import ServerError
from fireflyhitch_serving.messages import Headers, find_header, render_request
from fireflyhitch_serving.sockets import (
    SERVER_RECEIVE_BUFFER,
    count_unsent,
    enable_keepalive,
    reset_on_close,
    set_receive_buffer,
    set_send_options,
)

# A peer that acknowledges nothing for this long is regarded as disconnected. Link
# latency is at most a few ms; a retransmission after a lost packet takes 0.2 to 0.8 s.
ACK_TIMEOUT_MS = 1500
# TCP keep-alive detects a peer that vanished while a connection waits: the first probe
# is sent after 1 s without data, then one each second until ACK_TIMEOUT_MS.
KEEPALIVE_SECONDS = 1
KEEPALIVE_PROBES = 2
# Reading from the server pauses while more than this has not been read by the owner,
# which waits until the caller has received what came before.
MAX_UNREAD_BYTES = 262144
# Keep-alive timeout of a server that states none.
DEFAULT_KEEP_ALIVE_SECONDS = 4.0
# Idle connections are reused within this fraction of the server's keep-alive timeout.
# The server measures the timeout from the last byte that it sent, so it may close the
# connection earlier than expected here. If it does so while a request is sent, it is
# unknown whether the request ran.
KEEP_ALIVE_FRACTION = 0.6
# Of a response, and of what it has between two parts of its body.
MAX_HEAD_BYTES = 262_144
# Of responses that nobody waits for, before the one that is waited for.
MAX_SKIPPED_BYTES = 262_144
# Complete heads that have not been read. A late response may precede the one expected.
MAX_UNREAD_HEADS = 8
# Of a status, as of which there are none (RFC 9110, 15).
END_OF_STATUSES = 600
# What each unread part of a body uses besides its bytes.
PART_OVERHEAD_BYTES = 64


@immutable
class Address:
    """An IP address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Parse ``host:port``.

        :raises ValueError: if the text has another form.
        """
        host, _, digits = text.rpartition(':')
        port = int(digits)
        if not is_ip_address(host) or not 0 <= port <= MAX_PORT:
            raise ValueError(f'not an address: {text!r}')
        return cls(host, port)

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


@immutable
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: Headers


class _Marker(Enum):
    END = 'end'


class ServerConnection(asyncio.Protocol):
    """A connection for requests that are sent one after the other.

    :ivar has_received: whether any byte has come since the last request.
    """

    def __init__(self, address: Address) -> None:
        """Create a protocol; ``connect`` opens a connection with one."""
        self.address = address
        self.idle_since = 0.0
        self.keep_alive_seconds = DEFAULT_KEEP_ALIVE_SECONDS
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._events: deque[ResponseHead | bytes | _Marker] = deque()
        self._unread_bytes = 0
        self._waiter: asyncio.Future[None] | None = None
        self._headers: Headers = []
        self._in_head = True
        self._framing_bytes = 0
        self.has_received = False
        self._head_read = False
        self._body_begun = False
        self._unread_heads = 0
        self._until_close = False
        self._in_response = False
        self._response_expected = False
        self._error: str | None = None
        self._keep_alive = True
        self._closed = False
        self._no_body = False

    # Called by the owner

    def send(self, request: bytes, *, no_body: bool = False) -> None:
        """Send a request.

        :param no_body: whether the response has no body, whatever its headers say.
        """
        assert self._transport is not None
        self._response_expected = True
        self._no_body = no_body
        self._keep_alive = True
        self._framing_bytes = 0
        self.has_received = False
        self._head_read = False
        self._body_begun = False
        self._transport.write(request)

    @property
    def has_partial_response(self) -> bool:
        """Return whether bytes have come that are more than a response's head.

        A head may precede its body by long.
        """
        return self._body_begun or (self.has_received and not self._head_read)

    async def read_head(self) -> ResponseHead:
        """Wait for the head of a response.

        :raises ServerError: if the connection closes or the response is invalid.
        """
        skipped = 0
        while True:
            event = await self._next_event()
            if isinstance(event, ResponseHead):
                return event
            # The rest of a discarded response.
            skipped += len(event) if isinstance(event, bytes) else 0
            if skipped > MAX_SKIPPED_BYTES:
                raise self._make_error('a response to no request does not end')

    async def read_body(self) -> bytes:
        """Return the next bytes of the body, or ``b''`` at its end.

        :raises ServerError: if the connection closes before the body ends.
        """
        event = await self._next_event()
        if event is _Marker.END:
            return b''
        assert isinstance(event, bytes)
        return event

    async def read_whole_body(self, max_bytes: int) -> bytes:
        """Return the rest of the body.

        :raises ServerError: if it is larger, or the connection closes before its end.
        """
        body = bytearray()
        while part := await self.read_body():
            body += part
            if len(body) > max_bytes:
                raise self._make_error(f'body larger than {max_bytes} bytes')
        return bytes(body)

    def finish(self, now: float) -> bool:
        """End an exchange whose response was read completely.

        :param now: monotonic time.
        :returns: whether the connection is reusable; if not, it is closed.
        """
        self._response_expected = False
        self.idle_since = now
        self._no_body = False
        if self._events or self._in_response or not self._is_usable():
            self.close()
            return False
        return True

    def is_fresh(self, now: float) -> bool:
        """Tell whether an idle connection may be used for a request."""
        return (
            self._is_usable()
            and now - self.idle_since < self.keep_alive_seconds * KEEP_ALIVE_FRACTION
        )

    def close(self) -> None:
        """Close the connection; the server cancels a request in progress."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    # Called by asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket's options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_send_options(transport, ACK_TIMEOUT_MS)
        enable_keepalive(transport, KEEPALIVE_SECONDS, KEEPALIVE_PROBES)
        reset_on_close(transport)
        set_receive_buffer(transport, SERVER_RECEIVE_BUFFER)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if not self._response_expected:
            # The bytes belong to no request.
            self._set_error('received bytes without a request')
            self.close()
            return
        self.has_received = True
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._set_error(f'invalid HTTP answer: {error}')
            self.close()
        self._check_framing()
        self._wake_reader()

    def eof_received(self) -> bool:
        """End a response whose body lasts until the connection closes.

        A server that ends while a request is being sent to it closes its connection like
        one that has responded in full, so such a response counts as cut off.
        """
        if self._is_sending():
            self._set_error('connection closed while the request was sent')
        elif self._until_close and self._in_response:
            self._in_response = False
            self._events.append(_Marker.END)
        self._set_error('connection closed by the server')
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection is closed."""
        self._closed = True
        self._set_error(repr(exc) if exc else 'connection closed')

    # Called by the parser

    def on_message_begin(self) -> None:
        """Reset the state for a new response."""
        self._headers = []
        self._in_head = True
        self._in_response = True
        self._until_close = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; trailer fields are dropped (RFC 9110, 6.5.1)."""
        if self._in_head:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Queue the head, except for interim responses (1xx)."""
        self._in_head = False
        status = self._parser.get_status_code()
        if not HTTPStatus.CONTINUE <= status < END_OF_STATUSES:
            # The parser stops at an error.
            raise ValueError(f'invalid status: {status}')
        if status < HTTPStatus.OK:
            return
        self._head_read = True
        self._framing_bytes = 0
        self._unread_heads += 1
        self._events.append(ResponseHead(status, self._headers))
        self._record_framing()

    def on_body(self, body: bytes) -> None:
        """Queue a part of the body."""
        self._events.append(body)
        self._framing_bytes = 0
        self._body_begun = True
        self._unread_bytes += len(body) + PART_OVERHEAD_BYTES
        if self._unread_bytes > MAX_UNREAD_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Queue the end of the response."""
        self._in_response = False
        if self._parser.get_status_code() >= HTTPStatus.OK:
            self._keep_alive = self._keep_alive and self._parser.should_keep_alive()
            self._events.append(_Marker.END)

    def _check_framing(self) -> None:
        """Close the connection to a server whose bytes become no part of a response.

        Blank lines, interim responses, heads, chunk extensions and trailers may lack an
        end; the parser keeps some of them in memory.
        """
        if self._framing_bytes > MAX_HEAD_BYTES:
            self._set_error(f'response head larger than {MAX_HEAD_BYTES} bytes')
            self.close()
        elif self._unread_heads > MAX_UNREAD_HEADS:
            self._set_error('more responses than requests')
            self.close()

    def _record_framing(self) -> None:
        headers = self._headers
        length = find_header(headers, b'content-length')
        coding = find_header(headers, b'transfer-encoding')
        self._until_close = length is None and coding is None
        if self._until_close or self._no_body:
            self._keep_alive = False
        if self._no_body:
            self._in_response = False
            self._events.append(_Marker.END)
        keep_alive = find_header(headers, b'keep-alive') or b''
        for word in keep_alive.split(b','):
            name, _, value = word.strip().partition(b'=')
            if name.lower() == b'timeout' and value.isdigit():
                self.keep_alive_seconds = float(value)

    async def _next_event(self) -> ResponseHead | bytes | _Marker:
        while not self._events:
            if self._error is not None:
                raise self._make_error(self._error)
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        event = self._events.popleft()
        self._unread_heads -= isinstance(event, ResponseHead)
        if isinstance(event, bytes):
            self._unread_bytes -= len(event) + PART_OVERHEAD_BYTES
            if self._transport is not None and self._unread_bytes <= MAX_UNREAD_BYTES:
                self._transport.resume_reading()
        return event

    def _is_sending(self) -> bool:
        transport = self._transport
        if transport is None:
            return False
        return bool(transport.get_write_buffer_size() or count_unsent(transport))

    def _is_usable(self) -> bool:
        transport = self._transport
        return (
            self._keep_alive
            and self._error is None
            and not self._closed
            and transport is not None
            # Unsent bytes of the previous request would precede the next one.
            and not transport.get_write_buffer_size()
        )

    def _make_error(self, reason: str) -> ServerError:
        return ServerError(
            reason,
            step=Step.FIRST_BYTE,
            peer=str(self.address),
            outcome=Outcome.UNKNOWN,
        )

    def _set_error(self, error: str) -> None:
        if self._error is None:
            self._error = error
        self._wake_reader()

    def _wake_reader(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)


class ConnectResult(Enum):
    """The result of an attempt to open a connection.

    ``UNREACHABLE`` stands for all errors other than a refused connection.
    """

    OPEN = 'open'
    REFUSED = 'refused'
    UNREACHABLE = 'silent'


async def try_connect(address: Address, timeout: float) -> ConnectResult:
    """Open and close a connection to find out whether a process listens at an address.

    :param timeout: seconds.
    """
    try:
        connection = await connect(address, timeout)
    except ServerError as error:
        refused = isinstance(error.__cause__, ConnectionRefusedError)
        return ConnectResult.REFUSED if refused else ConnectResult.UNREACHABLE
    connection.close()
    return ConnectResult.OPEN


async def try_exchange(address: Address, target: str, timeout: float) -> bool:
    """Send a request; return whether its connection lived on until the response.

    A busy server may respond later than the timeout, which shows nothing. Whatever a
    server sends shows that the link bears bytes.

    :param target: path of a request that has no effect.
    :param timeout: seconds.
    """
    host = (b'Host', str(address).encode())
    connection: ServerConnection | None = None
    try:
        async with asyncio.timeout(timeout):
            connection = await connect(address, timeout)
            connection.send(render_request(b'GET', target.encode(), [host], b''))
            await connection.read_head()
    except TimeoutError:
        return connection is not None
    except ServerError:
        return connection is not None and connection.has_received
    finally:
        if connection is not None:
            connection.close()
    return True


async def connect(address: Address, timeout: float) -> ServerConnection:
    """Open a connection.

    :param timeout: seconds.
    :raises ServerError: if it fails; its outcome is ``not-run``.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout):
            _, protocol = await loop.create_connection(
                lambda: ServerConnection(address), address.host, address.port
            )
    except (OSError, TimeoutError) as error:
        raise ServerError(
            f'address not reached: {error!r}',
            step=Step.CONNECT,
            peer=str(address),
            outcome=Outcome.NOT_RUN,
        ) from error
    return protocol
