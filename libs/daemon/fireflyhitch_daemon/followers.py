"""Callers' connections on the relay's loop."""

import select
import ssl
from collections.abc import Callable

from fireflyhitch_daemon.exchange import Exchange, ExchangeState, Follower
from fireflyhitch_daemon.replies import (
    RETRY_EVENT,
    render_move,
    render_stream_end,
    render_stream_head,
    render_whole,
)
from fireflyhitch_daemon.sse import LAST_CHUNK, render_chunk, render_part

# A caller that reads too slowly is cut off rather than filling the memory; it can
# come back for the rest by its last event id.
MAX_PENDING_BYTES = 1024 * 1024
DRAIN_BYTES = 4096
RETRY_LATER = (ssl.SSLWantReadError, ssl.SSLWantWriteError, BlockingIOError)
READABLE = select.EPOLLIN | select.EPOLLRDHUP
WRITABLE = READABLE | select.EPOLLOUT
GONE = select.EPOLLHUP | select.EPOLLERR | select.EPOLLRDHUP


class Followers:
    """Registers, writes to and drops callers' sockets; for one thread only.

    :param on_left: told of an exchange that its last caller left.
    """

    def __init__(self, poll: select.epoll, on_left: Callable[[Exchange], None]) -> None:
        self._poll = poll
        self._on_left = on_left
        self._known: dict[int, tuple[Exchange, Follower]] = {}

    def find(self, descriptor: int) -> tuple[Exchange, Follower] | None:
        """Return whose socket it is."""
        return self._known.get(descriptor)

    def add(self, exchange: Exchange, follower: Follower) -> None:
        """Take a socket in."""
        follower.sock.setblocking(False)
        descriptor = follower.sock.fileno()
        exchange.followers.append(follower)
        self._known[descriptor] = (exchange, follower)
        self._poll.register(descriptor, READABLE)

    def catch_up(self, exchange: Exchange, follower: Follower) -> None:
        """Send a streaming caller all that it has not been sent yet."""
        if not follower.streaming:
            return
        log = exchange.tracked.log
        part = log.read_after(follower.position)
        if part.events:
            follower.position = part.last
            text = render_part(part, log.lineage)
            self.send(exchange, follower, render_chunk(text))

    def finish(self, exchange: Exchange, follower: Follower) -> None:
        """Send the end of the answer, or where it goes on, then close."""
        streamed = exchange.error is None or follower.head_sent
        if follower.streaming and streamed:
            # Before it is closing: a caller that is closing is dropped as soon as
            # all that it was sent has gone out, and would miss the end.
            self.catch_up(exchange, follower)
        follower.closing = True
        if exchange.state is ExchangeState.MOVED:
            self._finish_moved(exchange, follower)
            return
        if follower.streaming and streamed:
            ending = render_stream_end(exchange)
            self.send(exchange, follower, render_chunk(ending) + LAST_CHUNK)
            return
        follower.streaming = False
        self.send(exchange, follower, render_whole(exchange))

    def send(self, exchange: Exchange, follower: Follower, text: bytes) -> None:
        """Send bytes, keeping what the socket does not take at once."""
        if follower.streaming and not follower.head_sent:
            follower.head_sent = True
            text = render_stream_head(exchange) + text
        if follower.pending:
            text = bytes(follower.pending) + text
            follower.pending.clear()
        try:
            sent = follower.sock.send(text)
        except RETRY_LATER:
            sent = 0
        except OSError:
            self._drop(exchange, follower)
            return
        if sent < len(text):
            self._keep(exchange, follower, text[sent:])
        elif follower.closing:
            self._drop(exchange, follower)

    def serve(self, exchange: Exchange, follower: Follower, flags: int) -> None:
        """Go on with a socket that is writable, or see that its caller left."""
        if flags & GONE or (flags & select.EPOLLIN and not _is_there(follower)):
            self._drop(exchange, follower)
            return
        if flags & select.EPOLLOUT and follower.pending:
            self._poll.modify(follower.sock.fileno(), READABLE)
            self.send(exchange, follower, b'')

    def _finish_moved(self, exchange: Exchange, follower: Follower) -> None:
        if follower.streaming and follower.head_sent:
            # The body ends without its last events, so that a client that knows
            # server-sent events asks for the rest by its last event id.
            self.send(exchange, follower, render_chunk(RETRY_EVENT) + LAST_CHUNK)
            return
        follower.streaming = False
        self.send(exchange, follower, render_move(exchange))

    def _keep(self, exchange: Exchange, follower: Follower, rest: bytes) -> None:
        follower.pending += rest
        self._poll.modify(follower.sock.fileno(), WRITABLE)
        if len(follower.pending) > MAX_PENDING_BYTES:
            self._drop(exchange, follower)

    def _drop(self, exchange: Exchange, follower: Follower) -> None:
        descriptor = follower.sock.fileno()
        if self._known.pop(descriptor, None) is None:
            return
        self._poll.unregister(descriptor)
        follower.sock.close()
        exchange.followers.remove(follower)
        if not exchange.followers:
            self._on_left(exchange)


def _is_there(follower: Follower) -> bool:
    """Read what a caller sends in mid answer; tell whether it is still there."""
    try:
        return bool(follower.sock.recv(DRAIN_BYTES))
    except RETRY_LATER:
        return True
    except OSError:
        return False
