"""Requests and answers over the links, and dispatch of messages to handlers."""

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from typing import Any

from loguru import logger

from fireflyhitch_membership.links import Links
from fireflyhitch_membership.wire import Frame, UnknownKindError, encode, read_message
from fireflyhitch_model.errors import FireflyhitchError, PeerError
from fireflyhitch_model.ids import DaemonId
from fireflyhitch_model.peers import Handler, PeerMessage
from fireflyhitch_model.states import Step

HANDLER_THREADS = 8
# Messages waiting for a thread; more are dropped, and their senders retry.
MAX_QUEUED_WORK = 512

AnyHandler = Handler[Any]
AsyncHandler = Callable[[DaemonId, Any], Coroutine[None, None, PeerMessage]]


class Exchange:
    """Sends messages, matches answers and dispatches received messages.

    Runs on the event loop. Membership messages are handled on the loop, so that
    heartbeats are answered even if all threads are busy; all others are handled in a
    thread pool.
    """

    def __init__(self) -> None:
        self._links: Links | None = None
        self._request_numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[PeerMessage]] = {}
        self._inline_handlers: dict[str, AnyHandler] = {}
        self._async_handlers: dict[str, AsyncHandler] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._thread_handlers: dict[str, AnyHandler] = {}
        self._pool = ThreadPoolExecutor(HANDLER_THREADS, 'peer-handler')
        self._queued_work = 0

    def attach(self, links: Links) -> None:
        """Set the links over which messages are sent."""
        self._links = links

    def handle_inline(self, kind: str, handler: AnyHandler) -> None:
        """Register a non-blocking handler to be called on the loop."""
        self._inline_handlers[kind] = handler

    def handle_async(self, kind: str, handler: AsyncHandler) -> None:
        """Register a handler that awaits other messages, to be run as a task."""
        self._async_handlers[kind] = handler

    def handle(self, kind: str, handler: AnyHandler) -> None:
        """Register a handler to be called in a thread."""
        self._thread_handlers[kind] = handler

    def run(self, work: Callable[[], object]) -> None:
        """Run work in a thread; it is dropped if too much is waiting already."""
        if self._queued_work >= MAX_QUEUED_WORK:
            logger.bind(step=Step.PEER.value).warning(
                'work dropped: handlers busy and queue full'
            )
            return
        self._queued_work += 1
        task = asyncio.get_running_loop().run_in_executor(self._pool, work)
        task.add_done_callback(self._finish)

    def close(self) -> None:
        """Stop the threads; running handlers are not interrupted."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def tell(self, peer: DaemonId, message: PeerMessage) -> None:
        """Send a message without waiting for an answer."""
        self._send(peer, message.kind, encode(message))

    async def ask(
        self, peer: DaemonId, message: PeerMessage, timeout: timedelta
    ) -> PeerMessage:
        """Send a message and wait for the answer.

        :raises PeerError: if no answer arrives in time.
        """
        number = next(self._request_numbers)
        answer: asyncio.Future[PeerMessage] = asyncio.get_running_loop().create_future()
        self._pending[number] = answer
        try:
            self._send(peer, message.kind, encode(message, ask=number))
            async with asyncio.timeout(timeout.total_seconds()):
                return await answer
        except TimeoutError as error:
            raise PeerError(
                f'no answer to {message.kind}', step=Step.PEER, peer=peer
            ) from error
        finally:
            self._pending.pop(number, None)

    def receive(self, peer: DaemonId, frame: Frame) -> None:
        """Decode a frame and dispatch its message."""
        try:
            message = read_message(frame.kind, frame.body, peer)
        except UnknownKindError:
            # A newer release may send kinds that this one lacks; its requests time out.
            logger.bind(step=Step.PEER.value, peer=peer, kind=frame.kind).debug(
                'unknown kind'
            )
            return
        if frame.answers is not None:
            self._resolve(frame.answers, message)
            return
        self.dispatch(peer, message, frame.ask)

    def dispatch(
        self, peer: DaemonId, message: PeerMessage, ask: int | None = None
    ) -> None:
        """Call a message's handler, and send the result if an answer is expected."""
        inline_handler = self._inline_handlers.get(message.kind)
        if inline_handler is not None:
            self._answer(peer, inline_handler(peer, message), ask)
            return
        async_handler = self._async_handlers.get(message.kind)
        if async_handler is not None:
            work = self._answer_async(async_handler, peer, message, ask)
            task = asyncio.get_running_loop().create_task(work)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        thread_handler = self._thread_handlers.get(message.kind)
        if thread_handler is not None:
            loop = asyncio.get_running_loop()
            self.run(
                lambda: self._handle_in_thread(loop, thread_handler, peer, message, ask)
            )

    async def _answer_async(
        self,
        handler: AsyncHandler,
        peer: DaemonId,
        message: PeerMessage,
        ask: int | None,
    ) -> None:
        self._answer(peer, await handler(peer, message), ask)

    def _handle_in_thread(
        self,
        loop: asyncio.AbstractEventLoop,
        handler: AnyHandler,
        peer: DaemonId,
        message: PeerMessage,
        ask: int | None,
    ) -> None:
        answer = handler(peer, message)
        if answer is not None and ask is not None:
            loop.call_soon_threadsafe(self._answer, peer, answer, ask)

    def _answer(
        self, peer: DaemonId, answer: PeerMessage | None, ask: int | None
    ) -> None:
        if answer is not None and ask is not None:
            self._send(peer, answer.kind, encode(answer, answers=ask))

    def _resolve(self, number: int, message: PeerMessage) -> None:
        pending = self._pending.get(number)
        if pending is not None and not pending.done():
            pending.set_result(message)

    def _send(self, peer: DaemonId, kind: str, frame: bytes) -> None:
        if self._links is not None:
            self._links.send(peer, kind, frame)

    def _finish(self, task: 'asyncio.Future[object]') -> None:
        self._queued_work -= 1
        error = None if task.cancelled() else task.exception()
        if error is None:
            return
        peer = error.peer if isinstance(error, FireflyhitchError) else None
        logger.bind(step=Step.PEER.value, peer=peer).error(
            'handler failed', error=repr(error)
        )
