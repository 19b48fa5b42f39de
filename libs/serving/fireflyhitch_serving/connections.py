"""Connections to backend servers and to the platform: one exchange at a time.

``urllib3`` would need a thread for each answer awaited; here all connections of
the process share one event loop, and ``httptools`` (llhttp) reads the answers.
"""

import asyncio
from collections import deque
from enum import Enum
from http import HTTPStatus

import httptools

from fireflyhitch_model.records import immutable
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_serving.errors import ServerError
from fireflyhitch_serving.messages import Headers, find_header
from fireflyhitch_serving.sockets import probe_peer, reset_on_close, send_at_once

# A peer that acknowledges nothing for this long is taken for cut off. Links are
# at most some ms long; a retransmission after a lost packet takes 0.2 to 0.8 s.
SILENT_MS = 1500
# A waiting connection whose peer is gone without a word is found by probes: after
# 1 s of silence, then one each second, given up by SILENT_MS.
KEEPALIVE_SECONDS = 1
KEEPALIVE_PROBES = 2
# An answer waits here until its caller has taken what came before it.
MOST_UNREAD_BYTES = 262144
# What a server's idle connection is kept for if it names no time.
DEFAULT_KEEP_SECONDS = 4.0
# Part of the named time for which a connection is used: the server's clock runs
# from its last byte, and a request sent as it closes may or may not have run.
KEEP_PART = 0.6
# Idle connections kept to one server; it takes some hundred from all daemons.
MOST_IDLE = 32


@immutable
class Address:
    """An IP number and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Read ``host:port``.

        :raises ValueError: if it is none.
        """
        host, _, port = text.rpartition(':')
        if not host:
            raise ValueError(f'not an address: {text!r}')
        return cls(host, int(port))

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


@immutable
class ResponseHead:
    """Status and headers of an answer."""

    status: int
    headers: Headers


class _Mark(Enum):
    END = 'end'


class ServerConnection(asyncio.Protocol):
    """A connection that carries requests one after the other."""

    def __init__(self, address: Address) -> None:
        """Make a protocol; ``connect`` opens one."""
        self.address = address
        self.idle_since = 0.0
        self.keep_seconds = DEFAULT_KEEP_SECONDS
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._events: deque[ResponseHead | bytes | _Mark] = deque()
        self._unread = 0
        self._waiter: asyncio.Future[None] | None = None
        self._headers: Headers = []
        self._until_close = False
        self._in_answer = False
        self._awaited = False
        self._fault: str | None = None
        self._keep = True
        self._closed = False
        self._bodyless = False

    # What the owner calls

    def send(self, request: bytes, *, bodyless: bool = False) -> None:
        """Send a request.

        :param bodyless: whether its answer has no body whatever its head says.
        """
        assert self._transport is not None
        self._awaited = True
        self._bodyless = bodyless
        self._keep = True
        self._transport.write(request)

    async def read_head(self) -> ResponseHead:
        """Wait for an answer's head.

        :raises ServerError: if the connection ends or says something else.
        """
        event = await self._next()
        while isinstance(event, bytes) or event is _Mark.END:
            # What is left of an answer that was for nobody.
            event = await self._next()
        return event

    async def read_body(self) -> bytes:
        """Return the next bytes of the body, none at its end.

        :raises ServerError: if it breaks off.
        """
        event = await self._next()
        if event is _Mark.END:
            return b''
        assert isinstance(event, bytes)
        return event

    async def read_whole_body(self) -> bytes:
        """Return all that is left of the body.

        :raises ServerError: if it breaks off.
        """
        parts: list[bytes] = []
        while part := await self.read_body():
            parts.append(part)
        return b''.join(parts)

    def finish(self, now: float) -> bool:
        """End an exchange whose answer was read whole.

        :returns: whether the connection can carry another.
        """
        self._awaited = False
        self.idle_since = now
        self._bodyless = False
        if self._events or self._in_answer or not self._usable():
            self.close()
            return False
        return True

    def is_fresh(self, now: float) -> bool:
        """Tell whether an idle connection may carry a request."""
        return self._usable() and now - self.idle_since < self.keep_seconds * KEEP_PART

    def close(self) -> None:
        """Close it; a server drops the request that it was working on."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    # What asyncio calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        send_at_once(transport, SILENT_MS)
        probe_peer(transport, KEEPALIVE_SECONDS, KEEPALIVE_PROBES)
        reset_on_close(transport)

    def data_received(self, data: bytes) -> None:
        """Take bytes in."""
        if not self._awaited:
            # Nobody asked: such bytes belong to no request.
            self._fail('bytes without a request')
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f'not an HTTP answer: {error}')
            self.close()
        self._wake()

    def eof_received(self) -> bool:
        """End an answer that lasts until the connection's end."""
        if self._until_close and self._in_answer:
            self._in_answer = False
            self._events.append(_Mark.END)
        self._fail('closed by the server')
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end."""
        self._closed = True
        self._fail(repr(exc) if exc else 'closed')

    # What the parser calls

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._headers = []
        self._in_answer = True
        self._until_close = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header in."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Take the head in."""
        status = self._parser.get_status_code()
        if status < HTTPStatus.OK:
            return
        self._events.append(ResponseHead(status, self._headers))
        self._note_framing()

    def on_body(self, body: bytes) -> None:
        """Take a part of the body in."""
        self._events.append(body)
        self._unread += len(body)
        if self._unread > MOST_UNREAD_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """End an answer."""
        self._in_answer = False
        if self._parser.get_status_code() >= HTTPStatus.OK:
            self._keep = self._keep and self._parser.should_keep_alive()
            self._events.append(_Mark.END)

    def _note_framing(self) -> None:
        headers = self._headers
        length = find_header(headers, b'content-length')
        coding = find_header(headers, b'transfer-encoding')
        self._until_close = length is None and coding is None
        if self._until_close or self._bodyless:
            self._keep = False
        if self._bodyless:
            self._in_answer = False
            self._events.append(_Mark.END)
        keep_alive = find_header(headers, b'keep-alive') or b''
        for word in keep_alive.split(b','):
            name, _, value = word.strip().partition(b'=')
            if name.lower() == b'timeout' and value.isdigit():
                self.keep_seconds = float(value)

    async def _next(self) -> ResponseHead | bytes | _Mark:
        while not self._events:
            if self._fault is not None:
                raise ServerError(
                    self._fault,
                    step=Step.FIRST_BYTE,
                    peer=str(self.address),
                    outcome=Outcome.UNKNOWN,
                )
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        event = self._events.popleft()
        if isinstance(event, bytes):
            self._unread -= len(event)
            if self._transport is not None and self._unread <= MOST_UNREAD_BYTES:
                self._transport.resume_reading()
        return event

    def _usable(self) -> bool:
        transport = self._transport
        return (
            self._keep
            and self._fault is None
            and not self._closed
            and transport is not None
            # A request whose body is not out yet must not get another's behind it.
            and not transport.get_write_buffer_size()
        )

    def _fail(self, fault: str) -> None:
        if self._fault is None:
            self._fault = fault
        self._wake()

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)


class ConnectResult(Enum):
    """What became of a try to open a connection."""

    OPEN = 'open'
    REFUSED = 'refused'
    UNREACHABLE = 'silent'


async def try_connect(address: Address, timeout: float) -> ConnectResult:
    """Tell whether anybody listens at an address.

    :param timeout: seconds.
    """
    try:
        connection = await connect(address, timeout)
    except ServerError as error:
        refused = isinstance(error.__cause__, ConnectionRefusedError)
        return ConnectResult.REFUSED if refused else ConnectResult.UNREACHABLE
    connection.close()
    return ConnectResult.OPEN


async def connect(address: Address, timeout: float) -> ServerConnection:
    """Open a connection.

    :param timeout: seconds.
    :raises ServerError: with outcome ``not-run``, since nothing was sent.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout):
            _, protocol = await loop.create_connection(
                lambda: ServerConnection(address), address.host, address.port
            )
    except (OSError, TimeoutError) as error:
        raise ServerError(
            f'not reached: {error!r}',
            step=Step.CONNECT,
            peer=str(address),
            outcome=Outcome.NOT_RUN,
        ) from error
    return protocol


class ConnectionPool:
    """Idle connections to one server, the last used first."""

    def __init__(self, most_idle: int = MOST_IDLE) -> None:
        """Make an empty pool."""
        self._most_idle = most_idle
        self._idle: list[ServerConnection] = []

    def take(self, now: float) -> ServerConnection | None:
        """Return an idle connection that can be used."""
        while self._idle:
            found = self._idle.pop()
            if found.is_fresh(now):
                return found
            found.close()
        return None

    def give_back(self, connection: ServerConnection, now: float) -> None:
        """Keep a connection whose answer was read whole, if it can be kept."""
        if not connection.finish(now):
            return
        if len(self._idle) >= self._most_idle:
            connection.close()
            return
        self._idle.append(connection)

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()
