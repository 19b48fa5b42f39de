"""Callers' connections on the relay's loop."""

import select
import ssl
from collections.abc import Callable

from fireflyhitch_daemon.exchange import CallerConnection, Exchange, ExchangeState
from fireflyhitch_daemon.replies import (
    RETRY_EVENT,
    render_move,
    render_stream_end,
    render_stream_head,
    render_whole,
)
from fireflyhitch_daemon.sse import LAST_CHUNK, render_chunk, render_part

# A caller that reads too slowly is disconnected, to bound memory; it can request
# the remaining events by its last event id.
MAX_PENDING_BYTES = 1024 * 1024
DRAIN_BYTES = 4096
RETRY_LATER = (ssl.SSLWantReadError, ssl.SSLWantWriteError, BlockingIOError)
READABLE = select.EPOLLIN | select.EPOLLRDHUP
WRITABLE = READABLE | select.EPOLLOUT
GONE = select.EPOLLHUP | select.EPOLLERR | select.EPOLLRDHUP


class CallerConnections:
    """Registers, writes to and closes callers' sockets; not thread-safe.

    :param on_left: called with an exchange when its last caller disconnects.
    """

    def __init__(self, poll: select.epoll, on_left: Callable[[Exchange], None]) -> None:
        self._poll = poll
        self._on_left = on_left
        self._by_descriptor: dict[int, tuple[Exchange, CallerConnection]] = {}

    def find(self, descriptor: int) -> tuple[Exchange, CallerConnection] | None:
        """Return the exchange and the connection of a socket."""
        return self._by_descriptor.get(descriptor)

    def add(self, exchange: Exchange, connection: CallerConnection) -> None:
        """Register a caller's socket for an exchange."""
        connection.sock.setblocking(False)
        descriptor = connection.sock.fileno()
        exchange.connections.append(connection)
        self._by_descriptor[descriptor] = (exchange, connection)
        self._poll.register(descriptor, READABLE)

    def catch_up(self, exchange: Exchange, connection: CallerConnection) -> None:
        """Send a streaming caller all events that it has not been sent yet."""
        if not connection.streaming:
            return
        log = exchange.tracked.log
        part = log.read_after(connection.position)
        if part.events:
            connection.position = part.last
            text = render_part(part, log.lineage)
            self.send(exchange, connection, render_chunk(text))

    def finish(self, exchange: Exchange, connection: CallerConnection) -> None:
        """Send the end of the answer or its new location, then close."""
        streamed = exchange.error is None or connection.head_sent
        if connection.streaming and streamed:
            # Must precede `closing`: a closing connection is closed as soon as its
            # pending bytes are sent, and the caller would miss the end.
            self.catch_up(exchange, connection)
        connection.closing = True
        if exchange.state is ExchangeState.MOVED:
            self._finish_moved(exchange, connection)
            return
        if connection.streaming and streamed:
            ending = render_stream_end(exchange)
            self.send(exchange, connection, render_chunk(ending) + LAST_CHUNK)
            return
        connection.streaming = False
        self.send(exchange, connection, render_whole(exchange))

    def send(
        self, exchange: Exchange, connection: CallerConnection, text: bytes
    ) -> None:
        """Send bytes; queue what the socket does not accept at once."""
        if connection.streaming and not connection.head_sent:
            connection.head_sent = True
            text = render_stream_head(exchange) + text
        if connection.pending:
            text = bytes(connection.pending) + text
            connection.pending.clear()
        try:
            sent = connection.sock.send(text)
        except RETRY_LATER:
            sent = 0
        except OSError:
            self._close(exchange, connection)
            return
        if sent < len(text):
            self._queue(exchange, connection, text[sent:])
        elif connection.closing:
            self._close(exchange, connection)

    def serve(
        self, exchange: Exchange, connection: CallerConnection, flags: int
    ) -> None:
        """Handle a socket event: flush pending bytes, or close after a hangup."""
        if flags & GONE or (flags & select.EPOLLIN and not _is_connected(connection)):
            self._close(exchange, connection)
            return
        if flags & select.EPOLLOUT and connection.pending:
            self._poll.modify(connection.sock.fileno(), READABLE)
            self.send(exchange, connection, b'')

    def _finish_moved(self, exchange: Exchange, connection: CallerConnection) -> None:
        if connection.streaming and connection.head_sent:
            # The body ends without its last events, so that a server-sent events
            # client reconnects and requests the rest by its last event id.
            self.send(exchange, connection, render_chunk(RETRY_EVENT) + LAST_CHUNK)
            return
        connection.streaming = False
        self.send(exchange, connection, render_move(exchange))

    def _queue(
        self, exchange: Exchange, connection: CallerConnection, rest: bytes
    ) -> None:
        connection.pending += rest
        self._poll.modify(connection.sock.fileno(), WRITABLE)
        if len(connection.pending) > MAX_PENDING_BYTES:
            self._close(exchange, connection)

    def _close(self, exchange: Exchange, connection: CallerConnection) -> None:
        descriptor = connection.sock.fileno()
        if self._by_descriptor.pop(descriptor, None) is None:
            return
        self._poll.unregister(descriptor)
        connection.sock.close()
        exchange.connections.remove(connection)
        if not exchange.connections:
            self._on_left(exchange)


def _is_connected(connection: CallerConnection) -> bool:
    """Discard what a caller sends; return whether it is still connected."""
    try:
        return bool(connection.sock.recv(DRAIN_BYTES))
    except RETRY_LATER:
        return True
    except OSError:
        return False
