"""Relays all streams between backend servers and callers on one thread.

With one thread per stream each chunk costs about 200 microseconds, mostly for
switching the interpreter lock; a single epoll loop costs a fraction of that. To
keep the loop fast, chunks are not decoded: they are split into events, given ids
and sent.
"""

import os
import select
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from loguru import logger

from fireflyhitch_daemon.caller_connections import CallerConnections
from fireflyhitch_daemon.exchange import CallerConnection, Exchange, ExchangeState
from fireflyhitch_daemon.replies import describe_fault, describe_timeout
from fireflyhitch_daemon.sse import (
    Ending,
    pop_ending,
    render_chunk,
    render_events,
    split_events,
)
from fireflyhitch_daemon.upstream import Upstream
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.ids import BackendServerId
from fireflyhitch_model.invariants import Invariant, invariant
from fireflyhitch_model.states import Step
from fireflyhitch_recovery.answers import AnswerEnd, LogState
from fireflyhitch_recovery.continuation import rewrite_event

SWEEP_SECONDS = 0.1
# A backend server that sends nothing for this long during an answer counts as failed:
# working engines send a token at least every few seconds.
STALL_SECONDS = 5.0
# A backend server without a first event by then counts as failed too; routing
# does not choose a healthy engine with a queue this long.
START_SECONDS = 20.0
# A disconnected caller may reconnect for this long; after that the answer is
# abandoned and the engine's stream is cancelled.
RECONNECT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class RelayCallbacks:
    """Callbacks of the relay; they run on its thread and must not block."""

    lost: Callable[[Exchange, Upstream, str], None]
    first_event: Callable[[Exchange], None]
    ended: Callable[[Exchange], None]
    orphaned: Callable[[Exchange], None]


Command = Callable[[], None]


class Relay:
    """The event loop; its public methods may be called from any thread."""

    def __init__(self, clock: Clock, callbacks: RelayCallbacks) -> None:
        self._clock = clock
        self._callbacks = callbacks
        self._poll = select.epoll()
        self._wake = os.eventfd(0, os.EFD_NONBLOCK)
        self._commands: deque[Command] = deque()
        self._upstreams: dict[int, tuple[Exchange, Upstream]] = {}
        self._connections = CallerConnections(self._poll, self._on_all_left)
        self._exchanges: set[Exchange] = set()
        self._moved_upstreams: list[Upstream] = []
        self._stopping = False
        self._next_sweep = 0.0
        self._thread = threading.Thread(target=self._run, name='relay', daemon=True)

    def start(self) -> None:
        """Start the loop's thread."""
        self._poll.register(self._wake, select.EPOLLIN)
        self._thread.start()

    def stop(self) -> None:
        """Stop the loop; streams still open are closed."""
        self._stopping = True
        self._notify()
        self._thread.join()

    def attach(self, exchange: Exchange, upstream: Upstream) -> None:
        """Read an exchange's answer from a new attempt's connection."""
        self.run(partial(self._attach_upstream, exchange, upstream))

    def add_connection(self, exchange: Exchange, connection: CallerConnection) -> None:
        """Send an exchange's answer to a further caller connection."""
        self.run(partial(self._add_connection, exchange, connection))

    def fail(self, exchange: Exchange, error: RequestError) -> None:
        """End an exchange with an error."""
        self.run(partial(self._fail, exchange, error))

    def complete(self, exchange: Exchange) -> None:
        """End an exchange whose answer is already complete."""
        self.run(partial(self._end, exchange, ExchangeState.DONE))

    def drop_server(
        self, exchange: Exchange, server_id: BackendServerId, reason: str
    ) -> None:
        """Stop reading an answer from a server and report the attempt as lost."""
        self.run(partial(self._drop_server, exchange, server_id, reason))

    def run(self, command: Command) -> None:
        """Run a short, non-blocking function on the loop's thread."""
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
        reading = self._upstreams.get(descriptor)
        if reading is not None:
            self._guard(reading[0], self._read, *reading)
            return
        if descriptor == self._wake:
            self._run_commands()
            return
        receiving = self._connections.find(descriptor)
        if receiving is not None:
            self._guard(receiving[0], self._connections.serve, *receiving, flags)

    def _run_commands(self) -> None:
        os.eventfd_read(self._wake)
        while self._commands:
            command = self._commands.popleft()
            try:
                command()
            except Exception:
                # An error in one request must not end the loop, which would
                # close every other stream of the process.
                logger.exception('relay command failed')

    def _guard(
        self, exchange: Exchange, step: Callable[..., None], *arguments: object
    ) -> None:
        try:
            step(*arguments)
        except Exception as error:
            # As above: only this exchange fails.
            logger.bind(request_id=exchange.call.request_id).exception('relay failed')
            self._fail(exchange, describe_fault(error))

    def _attach_upstream(self, exchange: Exchange, upstream: Upstream) -> None:
        if not exchange.open:
            # The exchange ended while its next attempt was being sent.
            upstream.close()
            self._callbacks.orphaned(exchange)
            return
        exchange.upstream = upstream
        exchange.timing.last_event = self._clock.monotonic()
        self._exchanges.add(exchange)
        descriptor = upstream.sock.fileno()
        self._upstreams[descriptor] = (exchange, upstream)
        self._poll.register(descriptor, select.EPOLLIN)

    def _unregister(self, upstream: Upstream) -> None:
        descriptor = upstream.sock.fileno()
        if self._upstreams.pop(descriptor, None) is not None:
            self._poll.unregister(descriptor)

    def _add_connection(self, exchange: Exchange, connection: CallerConnection) -> None:
        self._connections.add(exchange, connection)
        exchange.reconnect_until = None
        if exchange.open:
            self._exchanges.add(exchange)
            self._connections.catch_up(exchange, connection)
            return
        self._connections.finish(exchange, connection)

    def _read(self, exchange: Exchange, upstream: Upstream) -> None:
        more = upstream.read()
        if upstream.body:
            self._process_body(exchange, upstream)
        if more or exchange.upstream is not upstream:
            return
        self._unregister(upstream)
        upstream.close()
        self._report_loss(exchange, upstream, 'connection ended in mid answer')

    def _process_body(self, exchange: Exchange, upstream: Upstream) -> None:
        invariant(
            exchange.upstream is upstream,
            Invariant.ANSWER_OWNER,
            exchange.call.request_id,
            step=Step.RELAY,
            peer=upstream.server_id,
        )
        events, upstream.body = split_events(upstream.body)  # noqa: WPS414
        if not events:
            return
        ending = pop_ending(events)
        if upstream.continuation is not None:
            events = _adapt(upstream, events)
        self._record_progress(exchange)
        if events and upstream.stream.extend(events):
            self._relay(exchange, upstream, events)
        if ending is Ending.DONE:
            self._finish_stream(exchange, upstream)
        elif ending is Ending.ERROR:
            self._drop_upstream(exchange, 'the engine reported an error')

    def _relay(
        self, exchange: Exchange, upstream: Upstream, events: list[bytes]
    ) -> None:
        """Send new events to all callers; up-to-date callers share one rendering."""
        before = exchange.relayed
        exchange.relayed = before + len(events)
        chunk = b''
        for connection in tuple(exchange.connections):
            if not connection.streaming:
                continue
            if connection.position != before:
                self._connections.catch_up(exchange, connection)
                continue
            if not chunk:
                chunk = render_chunk(render_events(events, before + 1, upstream.tag))
            connection.position = exchange.relayed
            self._connections.send(exchange, connection, chunk)

    def _record_progress(self, exchange: Exchange) -> None:
        now = self._clock.monotonic()
        timing = exchange.timing
        if timing.first_event is None:
            timing.first_event = now
            exchange.state = ExchangeState.STREAMING
            self._callbacks.first_event(exchange)
        else:
            timing.longest_gap = max(timing.longest_gap, now - timing.last_event)
        timing.last_event = now

    def _finish_stream(self, exchange: Exchange, upstream: Upstream) -> None:
        upstream.stream.finish(AnswerEnd.COMPLETE)
        self._unregister(upstream)
        upstream.close()
        exchange.upstream = None
        # While an answer is held for a hand-over it is not yet decided whether it
        # ends at this daemon; the sweep handles the result.
        if exchange.tracked.log.state is LogState.OPEN:
            self._end(exchange, ExchangeState.DONE)

    def _report_loss(self, exchange: Exchange, upstream: Upstream, reason: str) -> None:
        exchange.upstream = None
        if upstream.error_body:
            detail = upstream.error_body.decode(errors='replace')
            reason = f'status {upstream.status}: {detail}'
        self._callbacks.lost(exchange, upstream, reason)

    def _drop_upstream(self, exchange: Exchange, reason: str) -> None:
        upstream = exchange.upstream
        if upstream is None:
            return
        self._unregister(upstream)
        upstream.close()
        self._report_loss(exchange, upstream, reason)

    def _drop_server(
        self, exchange: Exchange, server_id: BackendServerId, reason: str
    ) -> None:
        # The server may have stopped meanwhile; then another one is being read.
        if exchange.server_id == server_id:
            self._drop_upstream(exchange, reason)

    def _fail(self, exchange: Exchange, error: RequestError) -> None:
        if exchange.open:
            exchange.error = error
            self._end(exchange, ExchangeState.FAILED)

    def _end(self, exchange: Exchange, state: ExchangeState) -> None:
        if not exchange.open:
            return
        exchange.state = state
        upstream = exchange.upstream
        exchange.upstream = None
        if upstream is not None:
            self._unregister(upstream)
            self._release(upstream, state)
        self._exchanges.discard(exchange)
        for connection in tuple(exchange.connections):
            self._connections.finish(exchange, connection)
        self._callbacks.ended(exchange)

    def _release(self, upstream: Upstream, state: ExchangeState) -> None:
        if state is ExchangeState.MOVED:
            # Engines cancel a stream when its connection closes, and the peer may
            # not have resumed it yet: keep it open until this process exits.
            self._moved_upstreams.append(upstream)
            return
        upstream.close()

    def _on_all_left(self, exchange: Exchange) -> None:
        if exchange.open:
            exchange.reconnect_until = self._clock.monotonic() + RECONNECT_SECONDS

    def _sweep(self) -> None:
        now = self._clock.monotonic()
        self._next_sweep = now + SWEEP_SECONDS
        for exchange in tuple(self._exchanges):
            self._guard(exchange, self._check, exchange, now)

    def _check(self, exchange: Exchange, now: float) -> None:
        log = exchange.tracked.log
        if log.state is LogState.HELD:
            return
        if log.state is LogState.MOVED:
            self._end(exchange, ExchangeState.MOVED)
            return
        self._catch_up(exchange)
        if log.end is not None:
            self._end(exchange, ExchangeState.DONE)
            return
        self._check_deadlines(exchange, now)

    def _check_deadlines(self, exchange: Exchange, now: float) -> None:
        if exchange.reconnect_until is not None and now > exchange.reconnect_until:
            self._end(exchange, ExchangeState.ABANDONED)
            return
        if now > exchange.call.deadline:
            self._fail(exchange, describe_timeout(exchange))
            return
        self._check_stall(exchange, now)

    def _catch_up(self, exchange: Exchange) -> None:
        """Send events that arrived while the answer was held for a hand-over."""
        upstream = exchange.upstream
        if upstream is None or exchange.relayed == len(upstream.stream.events):
            return
        for connection in tuple(exchange.connections):
            self._connections.catch_up(exchange, connection)
        exchange.relayed = exchange.tracked.log.count()

    def _check_stall(self, exchange: Exchange, now: float) -> None:
        started = exchange.timing.first_event is not None
        limit_seconds = STALL_SECONDS if started else START_SECONDS
        if now - exchange.timing.last_event > limit_seconds:
            self._drop_upstream(exchange, 'silent for too long')


def _adapt(upstream: Upstream, events: list[bytes]) -> list[bytes]:
    """Rewrite a continuation's events as events of the original answer."""
    continuation = upstream.continuation
    assert continuation is not None
    first, tokens = continuation.first, continuation.generated_tokens
    adapted = [rewrite_event(event, first, tokens) for event in events]
    return [event for event in adapted if not _is_role_event(event)]


def _is_role_event(event: bytes) -> bool:
    """Return whether an event only carries the role that starts an answer.

    Engines start each stream with such an event; in the middle of an answer,
    callers would treat it as a second message.
    """
    return b'"role"' in event and b'"content": ""' in event
