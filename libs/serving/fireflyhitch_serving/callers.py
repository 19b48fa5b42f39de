"""Connections of callers, whose requests are served one after the other."""

import asyncio
import math
from contextlib import suppress
from http import HTTPStatus

from fireflyhitch_serving.connection_memory import ConnectionMemory
from fireflyhitch_serving.errors import CallerDisconnected
from fireflyhitch_serving.eviction import (
    ConnectionId,
    Eviction,
    Holding,
    Shortage,
)
from fireflyhitch_serving.input_timer import InputTimer
from fireflyhitch_serving.listeners import ListenerState
from fireflyhitch_serving.messages import CallerRequest
from fireflyhitch_serving.read_turns import WorkMeter
from fireflyhitch_serving.refusals import render_refusal
from fireflyhitch_serving.replies import Reply
from fireflyhitch_serving.request_heads import Reason, RequestHead
from fireflyhitch_serving.request_memory import estimate_request_bytes
from fireflyhitch_serving.request_queue import QueuedRequest, RequestQueue
from fireflyhitch_serving.request_reader import (
    CompleteRequest,
    Event,
    InvalidRequest,
    RequestReader,
)
from fireflyhitch_serving.sockets import set_send_options
from fireflyhitch_serving.write_watch import WriteWatch

# A caller that acknowledges nothing for this long is regarded as disconnected.
ACK_TIMEOUT_MS = 4000
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# For so long, what a refused caller still sends is read and discarded. If the connection
# were closed at once, a caller in the middle of its body would see it reset and lose
# the refusal (RFC 9112, 9.6).
LINGER_SECONDS = 1.0
# A body of which so much has arrived gets a larger buffer of the kernel's.
LARGE_BODY_BYTES = 16_384


class CallerConnection(asyncio.BufferedProtocol):
    """Reads requests and serves them in order."""

    def __init__(self, state: ListenerState) -> None:
        """Create a protocol for one connection of the listener."""
        self.state = state
        self._transport: asyncio.Transport | None = None
        self._reader = RequestReader(state.limits)
        self._queue = RequestQueue()
        self._task: asyncio.Task[None] | None = None
        self._timer = InputTimer(
            state.limits, state.clock, self._is_reading, self._time_out
        )
        self._linger_timer: asyncio.TimerHandle | None = None
        self._writable: asyncio.Future[None] | None = None
        self._memory = ConnectionMemory(
            state.memory, state.clock, self._reader, self._queue
        )
        self._writes = WriteWatch(
            lambda: self._memory.unsent_bytes,
            lambda: state.limits().idle_seconds,
            self.abort,
        )
        self._work = WorkMeter()
        self._awaits_turn = False
        self._input_ended = False
        # ``None`` unless the input has ended; empty if the refusal was sent already.
        self._pending_refusal: bytes | None = None
        self._disconnected = False
        self._arrived_at = 0.0
        self._screened: RequestHead | None = None
        self._continue_expected = False

    @property
    def busy(self) -> bool:
        """Tell whether a complete request has no complete response yet."""
        return self._task is not None or bool(self._queue)

    @property
    def closing(self) -> bool:
        """Tell whether the response asks the caller to close its connection.

        Requests that the caller has sent ahead get their responses first.
        """
        return self.state.closing and not self._queue

    def close_if_idle(self) -> None:
        """Close the connection unless a request is served or being received."""
        if not self.busy and not self._receiving:
            self._close()

    # Called by replies

    def write(self, data: bytes) -> None:
        """Send bytes.

        :raises CallerDisconnected: if the connection is closed.
        """
        transport = self._transport
        if self._disconnected or transport is None or transport.is_closing():
            raise CallerDisconnected
        transport.write(data)
        self._memory.record()

    async def drain(self) -> None:
        """Wait until the write buffer has been mostly sent."""
        if self._writable is not None:
            await self._writable

    def close_after_write(self) -> None:
        """Close the connection when the write buffer is empty."""
        self._end_input()
        # Nobody could get a response to what was sent after this request.
        self._queue.clear()
        if self._reader.is_dropping:
            self._linger()
        else:
            self._close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._end_input()
        self._reader.close()
        self._memory.close()
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
        self._memory.open(transport, self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to write what is received next."""
        return self.state.received

    def buffer_updated(self, nbytes: int) -> None:
        """Read received bytes, now or when it is this connection's turn."""
        if not self._input_ended:
            self._reader.keep(bytes(self.state.received[:nbytes]))
            self._read_in_turn()

    def eof_received(self) -> bool:
        """Close the connection; a caller that half-closes it counts as disconnected."""
        self._end_input()
        self._writes.start()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, since the caller has disconnected."""
        self._disconnected = True
        self._end_input()
        self.state.connections.discard(self)
        self._memory.close()
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._writes.stop()
        self.resume_writing()
        self._reader.close()
        self._queue.clear()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Make ``drain`` wait, since the write buffer is full."""
        self._writable = asyncio.get_running_loop().create_future()
        self._memory.begin_unread()
        self._writes.start()

    def resume_writing(self) -> None:
        """Let ``drain`` return, since the write buffer has room again."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None
        self._memory.end_unread()

    # Memory

    def describe_holding(
        self, connection: ConnectionId, held_bytes: int
    ) -> Holding | None:
        """Return what can be released; ``None`` while its request is served."""
        if self.busy and self._memory.unread_since is None:
            if not self._receiving or self._reader.is_dropping:
                return None
            held_bytes = self._reader.held_bytes
        # While nothing of a request has been read here, its caller keeps nobody waiting.
        waits = self._has_begun or not self._awaits_turn
        return self._memory.describe(connection, held_bytes, waits=waits)

    def evict(self, shortage: Shortage) -> Eviction:
        """Refuse the request that is being received, or close the connection."""
        unread = self._memory.unread_since is not None
        # Where earlier requests are served, only the one that is received is given up. A
        # refused connection stays open for a while, so that little is gained by the
        # refusal of one that holds little more than that takes.
        large = self._reader.held_bytes > LARGE_BODY_BYTES
        may_refuse = self.busy or (large and shortage is Shortage.MEMORY)
        if may_refuse and not unread and not self._input_ended:
            self._refuse(self._reader.refuse(Reason.MEMORY_SHORT))
            return Eviction.REFUSED
        self.abort()
        return Eviction.UNREAD if unread else Eviction.CLOSED

    # Reading

    @property
    def _has_begun(self) -> bool:
        """Tell whether a request has been read in part."""
        return self._reader.in_head or self._reader.head is not None

    @property
    def _receiving(self) -> bool:
        """Tell whether a request has begun to arrive and is not complete."""
        return self._has_begun or self._reader.rest_bytes > 0

    def _read_in_turn(self) -> None:
        if self._awaits_turn:
            return
        turns = self.state.turns
        if turns.may_read():
            with turns.measure(self._work):
                self._read()
            return
        self._awaits_turn = True
        turns.wait(self._work, self._reader.rest_lines, self._take_turn)
        self._memory.record()
        self._choose_reading()

    def _take_turn(self) -> None:
        self._awaits_turn = False
        if not self._input_ended:
            with self.state.turns.measure(self._work):
                self._read()

    def _read(self) -> None:
        """Read what has arrived, and handle what it completes."""
        was_receiving = self._has_begun
        for event in self._reader.feed(b'', self._queue.room):
            if self._input_ended:
                return
            self._handle(event)
            was_receiving = False
        if self._receiving and not was_receiving:
            self._memory.begin_wait()
        self._memory.set_large(large=self._reader.held_bytes > LARGE_BODY_BYTES)
        self._watch_input()
        self._memory.record()
        self._choose_reading()

    def _choose_reading(self) -> None:
        """Read on, unless requests wait here or other connections have their turn."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._reader.rest_bytes or self._queue.is_full:
            transport.pause_reading()
        else:
            transport.resume_reading()

    def _handle(self, event: Event) -> None:
        if isinstance(event, RequestHead):
            self._record_head(event)
        elif isinstance(event, CompleteRequest):
            self._queue_request(event.head, event.body)
        else:
            self._refuse(event)

    def _record_head(self, head: RequestHead) -> None:
        """Begin to wait for the rest of a request."""
        self._arrived_at = self.state.clock.monotonic()
        self._continue_expected = head.expects_continue
        self._timer.stop()

    def _screen_head(self, head: RequestHead) -> None:
        """Find out what is known of a request whose body has not arrived.

        A request that gets the same response whatever its body gets it at once, and its
        body is read and dropped.
        """
        self._screened = head
        screening = self.state.screen(head)
        if screening.needs_body:
            limit = screening.time_limit
            seconds = math.inf if limit is None else limit
            self._timer.begin_body(self._arrived_at + seconds)
            return
        seconds = self.state.limits().idle_seconds
        self._timer.begin_body(self._arrived_at + seconds)
        self._reader.drop_body()
        self._queue_request(head, b'', body_dropped=True)

    # Requests

    def _queue_request(
        self, head: RequestHead, body: bytes, *, body_dropped: bool = False
    ) -> None:
        """Queue a request behind those received before it."""
        request = CallerRequest(
            head.method, head.target, head.headers, body, self._arrived_at, body_dropped
        )
        # A caller that gets its response in place of ``100 Continue`` may send its body
        # or its next request.
        keep_alive = head.keep_alive and not (body_dropped and head.expects_continue)
        held_bytes = estimate_request_bytes(head, len(body))
        if not body_dropped and not self._memory.reserve(held_bytes):
            self._reader.close()
            self._refuse(
                InvalidRequest(
                    Reason.MEMORY_SHORT, head.headers, 0, len(body), limit=None
                )
            )
            return
        self._queue.append(QueuedRequest(request, keep_alive, held_bytes))
        self._serve_next()

    def _serve_next(self) -> None:
        if self._task is not None or not self._queue or self._disconnected:
            return
        self._timer.stop()
        queued = self._queue.begin_next()
        reply = Reply(self, queued.keep_alive)
        self._task = asyncio.get_running_loop().create_task(
            self._run(queued.request, reply)
        )

    async def _run(self, request: CallerRequest, reply: Reply) -> None:
        try:
            await self.state.serve(request, reply)
            await self.drain()
        finally:
            self._task = None
            if not reply.ended:
                self.abort()
        if self._disconnected:
            return
        if reply.status < HTTPStatus.BAD_REQUEST:
            self._memory.has_served = True
        self._queue.end_current()
        if not self._receiving:
            self._memory.begin_wait()
        if self._queue:
            self._serve_next()
        elif self._pending_refusal is not None:
            self._send_refusal(self._pending_refusal)
        elif not self._input_ended:
            self._read_in_turn()
        self._memory.record()
        self._choose_reading()

    def _refuse(self, invalid: InvalidRequest) -> None:
        """Refuse an invalid request and close the connection.

        The end of an invalid request is ambiguous, so nothing after it is read. This
        also stops smuggled requests.
        """
        refusal = b''
        if not self._reader.is_dropping:
            refusal = render_refusal(self.state.refuse(invalid, self._find_peer()))
        self._end_input()
        self._memory.refused = True
        self._memory.set_large(large=False)
        self._memory.record()
        if self.busy:
            # Earlier requests get their responses first.
            self._pending_refusal = refusal
            return
        self._send_refusal(refusal)

    def _send_refusal(self, refusal: bytes) -> None:
        with suppress(CallerDisconnected):
            self.write(refusal)
            self._linger()

    def _end_input(self) -> None:
        self._input_ended = True
        self._timer.stop()
        self._screened = None
        self._memory.begin_wait()

    def _close(self) -> None:
        """Close the connection when its write buffer is empty."""
        if self._transport is not None:
            self._transport.close()
            self._writes.start()

    def _linger(self) -> None:
        """Close the connection once the caller has, or after a time."""
        if self._transport is None:
            return
        self._transport.write_eof()
        loop = asyncio.get_running_loop()
        self._linger_timer = loop.call_later(LINGER_SECONDS, self._close)

    def _find_peer(self) -> str:
        transport = self._transport
        name = None if transport is None else transport.get_extra_info('peername')
        return f'{name[0]}:{name[1]}' if name else ''

    # Timers

    def _watch_input(self) -> None:
        """Limit the time until what is expected next from the caller."""
        if self._input_ended:
            return
        reader = self._reader
        if reader.head is not None and reader.head is not self._screened:
            self._screen_head(reader.head)
        if reader.head is not None:
            self._send_continue()
            self._timer.await_body()
        elif reader.in_head:
            self._timer.await_head()
        elif not self.busy:
            self._timer.await_request()

    def _send_continue(self) -> None:
        """Ask for the body, unless an earlier response is not complete."""
        if self._continue_expected and not self.busy:
            self._continue_expected = False
            with suppress(CallerDisconnected):
                self.write(CONTINUE)

    def _is_reading(self) -> bool:
        return self._transport is None or self._transport.is_reading()

    def _time_out(self, reason: Reason | None) -> None:
        if self._input_ended:
            return
        if reason is None:
            self.close_if_idle()
        else:
            self._refuse(self._reader.refuse(reason))
