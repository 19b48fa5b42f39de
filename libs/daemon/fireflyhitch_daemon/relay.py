"""One thread that carries all streams between backend servers and callers.

A thread a stream costs some 200 microseconds a chunk, mostly in the hand-over
of the interpreter lock; one loop over epoll costs a fraction of it. The path of
a chunk therefore decodes nothing: it is cut into events, given ids, and sent.
"""

import os
import select
import ssl
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus

from loguru import logger

from fireflyhitch_daemon.exchange import Exchange, ExchangeState, Follower
from fireflyhitch_daemon.replies import (
    describe_fault,
    describe_timeout,
    render_stream_end,
    render_stream_head,
    render_whole,
)
from fireflyhitch_daemon.sse import (
    DONE,
    LAST_CHUNK,
    render_chunk,
    render_events,
    split_events,
)
from fireflyhitch_daemon.upstream import Upstream
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import FireflyhitchError, RequestError
from fireflyhitch_model.invariants import Invariant, invariant
from fireflyhitch_model.states import Step

SWEEP_SECONDS = 0.1
DRAIN_BYTES = 4096
# A backend server that is silent this long in mid answer is taken for lost:
# engines that still work send a token at least every few seconds.
STALL_SECONDS = 5.0
# A caller that lost its connection may come back for the rest this long; after
# that nobody waits for the answer and the engine's stream is cancelled.
RECONNECT_SECONDS = 2.0
# A caller that reads too slowly is cut off rather than filling the memory; it can
# come back for the rest by its last event id.
MAX_PENDING_BYTES = 1024 * 1024
RETRY_LATER = (ssl.SSLWantReadError, ssl.SSLWantWriteError, BlockingIOError)
READABLE = select.EPOLLIN | select.EPOLLRDHUP
WRITABLE = READABLE | select.EPOLLOUT


@dataclass(frozen=True, slots=True)
class LostUpstream:
    """Why an attempt ended without the whole answer.

    :param refused: the backend server said that it did not run the call.
    """

    attempt: int
    reason: str
    status: int
    refused: bool


@dataclass(frozen=True, slots=True)
class RelayEvents:
    """Whom the relay tells; each function must return at once."""

    lost: Callable[[Exchange, Upstream, LostUpstream], None]
    first_event: Callable[[Exchange], None]
    ended: Callable[[Exchange], None]


Command = Callable[[], None]


class Relay:
    """The event loop; its public methods may be called from any thread."""

    def __init__(self, clock: Clock, events: RelayEvents) -> None:
        self._clock = clock
        self._events = events
        self._poll = select.epoll()
        self._wake = os.eventfd(0, os.EFD_NONBLOCK)
        self._commands: deque[Command] = deque()
        self._upstreams: dict[int, tuple[Exchange, Upstream]] = {}
        self._followers: dict[int, tuple[Exchange, Follower]] = {}
        self._exchanges: set[Exchange] = set()
        self._stopping = False
        self._next_sweep = 0.0
        self._thread = threading.Thread(target=self._run, name='relay', daemon=True)

    def start(self) -> None:
        """Start the loop's thread."""
        self._poll.register(self._wake, select.EPOLLIN)
        self._thread.start()

    def stop(self) -> None:
        """End the loop; streams still open are cut off."""
        self._stopping = True
        self._notify()
        self._thread.join()

    def count_open(self) -> int:
        """Return how many exchanges await their answer."""
        return len(self._exchanges)

    def attach(self, exchange: Exchange, upstream: Upstream) -> None:
        """Read an exchange's answer from a new attempt."""
        self._submit(partial(self._attach, exchange, upstream))

    def follow(self, exchange: Exchange, follower: Follower) -> None:
        """Send an exchange's answer to one more caller's connection."""
        self._submit(partial(self._follow, exchange, follower))

    def fail(self, exchange: Exchange, error: RequestError) -> None:
        """End an exchange with an error."""
        self._submit(partial(self._fail, exchange, error))

    def run(self, command: Command) -> None:
        """Run a short function on the loop's thread."""
        self._submit(command)

    def _submit(self, command: Command) -> None:
        self._commands.append(command)
        self._notify()

    def _notify(self) -> None:
        os.eventfd_write(self._wake, 1)

    def _run(self) -> None:
        while not self._stopping:
            for descriptor, flags in self._poll.poll(SWEEP_SECONDS):
                self._serve(descriptor, flags)
            if self._clock.monotonic() >= self._next_sweep:
                self._sweep()

    def _serve(self, descriptor: int, flags: int) -> None:
        if descriptor == self._wake:
            self._run_commands()
            return
        reading = self._upstreams.get(descriptor)
        if reading is not None:
            self._guard(reading[0], self._read, *reading)
            return
        following = self._followers.get(descriptor)
        if following is not None:
            self._guard(following[0], self._serve_follower, *following, flags)

    def _run_commands(self) -> None:
        os.eventfd_read(self._wake)
        while self._commands:
            command = self._commands.popleft()
            try:
                command()
            except Exception:
                # One request's fault must not end the loop, which would cut
                # off every other stream of the process.
                logger.exception('relay command failed')

    def _guard(
        self, exchange: Exchange, step: Callable[..., None], *arguments: object
    ) -> None:
        try:
            step(*arguments)
        except FireflyhitchError as error:
            self._fail(exchange, describe_fault(error))
        except Exception as error:
            # As above: only this exchange ends.
            logger.exception('relay step failed')
            self._fail(exchange, describe_fault(error))

    def _attach(self, exchange: Exchange, upstream: Upstream) -> None:
        if not exchange.open:
            upstream.close()
            return
        exchange.upstream = upstream
        exchange.timing.last_event = self._clock.monotonic()
        self._exchanges.add(exchange)
        descriptor = upstream.sock.fileno()
        self._upstreams[descriptor] = (exchange, upstream)
        self._poll.register(descriptor, select.EPOLLIN)

    def _detach(self, upstream: Upstream) -> None:
        descriptor = upstream.sock.fileno()
        if self._upstreams.pop(descriptor, None) is not None:
            self._poll.unregister(descriptor)
        upstream.close()

    def _follow(self, exchange: Exchange, follower: Follower) -> None:
        follower.sock.setblocking(False)
        descriptor = follower.sock.fileno()
        exchange.followers.append(follower)
        exchange.left_alone = None
        self._followers[descriptor] = (exchange, follower)
        self._poll.register(descriptor, READABLE)
        if exchange.open:
            self._exchanges.add(exchange)
        if follower.streaming and len(exchange.events) > follower.position:
            self._send_head(exchange, follower)
            self._send_events(exchange, follower)
        if not exchange.open:
            self._finish_follower(exchange, follower)

    def _read(self, exchange: Exchange, upstream: Upstream) -> None:
        more = upstream.read()
        if upstream.body:
            self._take_body(exchange, upstream)
        if more or not exchange.open:
            return
        self._detach(upstream)
        self._lose(exchange, upstream, 'connection ended in mid answer')

    def _take_body(self, exchange: Exchange, upstream: Upstream) -> None:
        invariant(
            exchange.upstream is upstream,
            Invariant.ANSWER_OWNER,
            f'{exchange.call.request_id} attempt {upstream.attempt}',
            step=Step.RELAY,
            peer=upstream.server_id,
        )
        events, rest = split_events(upstream.body)
        upstream.body = rest
        if not events:
            return
        done = events[-1] == DONE
        if done:
            events.pop()
        self._note_progress(exchange)
        exchange.events.extend(events)
        for follower in tuple(exchange.followers):
            if follower.streaming and events:
                self._send_events(exchange, follower)
        if done:
            self._complete(exchange, upstream)

    def _note_progress(self, exchange: Exchange) -> None:
        now = self._clock.monotonic()
        timing = exchange.timing
        if timing.first_event is None:
            timing.first_event = now
            exchange.state = ExchangeState.STREAMING
            self._events.first_event(exchange)
        else:
            timing.longest_gap = max(timing.longest_gap, now - timing.last_event)
        timing.last_event = now

    def _complete(self, exchange: Exchange, upstream: Upstream) -> None:
        self._detach(upstream)
        self._end(exchange, ExchangeState.DONE)

    def _lose(self, exchange: Exchange, upstream: Upstream, reason: str) -> None:
        exchange.upstream = None
        status = upstream.status
        refused = status == HTTPStatus.SERVICE_UNAVAILABLE
        if status not in {0, HTTPStatus.OK}:
            detail = upstream.error_body.decode(errors='replace')
            reason = f'status {status}: {detail}'
        lost = LostUpstream(upstream.attempt, reason, status, refused)
        self._events.lost(exchange, upstream, lost)

    def _fail(self, exchange: Exchange, error: RequestError) -> None:
        if not exchange.open:
            return
        exchange.error = error
        if exchange.upstream is not None:
            self._detach(exchange.upstream)
        self._end(exchange, ExchangeState.FAILED)

    def _end(self, exchange: Exchange, state: ExchangeState) -> None:
        exchange.state = state
        exchange.upstream = None
        exchange.ended = self._clock.monotonic()
        self._exchanges.discard(exchange)
        for follower in tuple(exchange.followers):
            self._finish_follower(exchange, follower)
        self._events.ended(exchange)

    def _send_head(self, exchange: Exchange, follower: Follower) -> None:
        if not follower.head_sent:
            follower.head_sent = True
            follower.pending += render_stream_head(exchange)

    def _send_events(self, exchange: Exchange, follower: Follower) -> None:
        events = exchange.events[follower.position :]
        self._send_head(exchange, follower)
        text = render_events(events, follower.position + 1)
        follower.position += len(events)
        self._send(exchange, follower, render_chunk(text))

    def _finish_follower(self, exchange: Exchange, follower: Follower) -> None:
        follower.closing = True
        if follower.streaming and (exchange.error is None or follower.head_sent):
            self._send_head(exchange, follower)
            ending = render_stream_end(exchange)
            self._send(exchange, follower, render_chunk(ending) + LAST_CHUNK)
            return
        self._send(exchange, follower, render_whole(exchange))

    def _send(self, exchange: Exchange, follower: Follower, text: bytes) -> None:
        if follower.pending:
            text = bytes(follower.pending) + text
            follower.pending.clear()
        try:
            sent = follower.sock.send(text)
        except RETRY_LATER:
            sent = 0
        except OSError:
            self._drop_follower(exchange, follower)
            return
        if sent < len(text):
            follower.pending += text[sent:]
            self._poll.modify(follower.sock.fileno(), WRITABLE)
        elif follower.closing:
            self._drop_follower(exchange, follower)
        if len(follower.pending) > MAX_PENDING_BYTES:
            self._drop_follower(exchange, follower)

    def _serve_follower(
        self, exchange: Exchange, follower: Follower, flags: int
    ) -> None:
        if flags & (select.EPOLLHUP | select.EPOLLERR | select.EPOLLRDHUP):
            self._drop_follower(exchange, follower)
            return
        if flags & select.EPOLLIN and not _drain(follower):
            self._drop_follower(exchange, follower)
            return
        if flags & select.EPOLLOUT:
            self._poll.modify(follower.sock.fileno(), READABLE)
            self._send(exchange, follower, b'')

    def _drop_follower(self, exchange: Exchange, follower: Follower) -> None:
        descriptor = follower.sock.fileno()
        if self._followers.pop(descriptor, None) is None:
            return
        self._poll.unregister(descriptor)
        follower.sock.close()
        exchange.followers.remove(follower)
        if exchange.open and not exchange.followers:
            exchange.left_alone = self._clock.monotonic()

    def _sweep(self) -> None:
        now = self._clock.monotonic()
        self._next_sweep = now + SWEEP_SECONDS
        for exchange in tuple(self._exchanges):
            self._guard(exchange, self._check, exchange, now)

    def _check(self, exchange: Exchange, now: float) -> None:
        left_alone = exchange.left_alone
        if left_alone is not None and now - left_alone > RECONNECT_SECONDS:
            self._abandon(exchange)
            return
        if now > exchange.call.deadline:
            self._fail(exchange, describe_timeout(exchange))
            return
        upstream = exchange.upstream
        started = exchange.timing.first_event is not None
        if upstream and started and now - exchange.timing.last_event > STALL_SECONDS:
            self._detach(upstream)
            self._lose(exchange, upstream, 'silent in mid answer')

    def _abandon(self, exchange: Exchange) -> None:
        if exchange.upstream is not None:
            self._detach(exchange.upstream)
        self._end(exchange, ExchangeState.ABANDONED)


def _drain(follower: Follower) -> bool:
    """Read what a caller sends in mid answer; tell whether it is still there."""
    try:
        return bool(follower.sock.recv(DRAIN_BYTES))
    except RETRY_LATER:
        return True
    except OSError:
        return False
