"""One attempt: sends a request to a server and relays its answer."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import TypeVar

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.records import immutable
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_serving.connections import ResponseHead, ServerConnection, connect
from fireflyhitch_serving.edge import AttemptContext, Edge, RenderedResponse
from fireflyhitch_serving.errors import ServerError, SilentError
from fireflyhitch_serving.events import EventOrderError
from fireflyhitch_serving.exchanges import AttemptFailure, Exchange
from fireflyhitch_serving.health import Ending
from fireflyhitch_serving.messages import ResponseInfo, drop_connection_headers
from fireflyhitch_serving.placement import Placement

# Links take some ms; a lost opening packet is sent again after a second, by which
# time another server has answered.
CONNECT_SECONDS = 0.3
# A kept connection may be closing as the request goes out, and then nobody knows
# whether it ran. One that cannot be repeated takes only a connection used just now.
UNREPEATABLE_IDLE_SECONDS = 1.0
# An idle answer that is for another request is passed over this many times.
MOST_STRAY_ANSWERS = 2
SERVER_FAULT = 500
FIRST_ERROR = 300
# In mid stream, in gap targets: later than this the answer counts as late.
GAP_PATIENCE_FACTOR = 1.5


Read = TypeVar('Read')


@immutable
class AttemptEvents:
    """Whom an attempt tells what it learns; each returns at once."""

    began: Callable[[Exchange, Placement], None]
    answered: Callable[[Exchange, Placement, ResponseInfo], None]


class Attempt:
    """Carries one exchange at one server."""

    def __init__(
        self,
        exchange: Exchange,
        placement: Placement,
        edge: Edge,
        clock: Clock,
        events: AttemptEvents,
        may_leave: Callable[[], bool],
    ) -> None:
        """Make an attempt that has sent nothing.

        :param may_leave: takes what another attempt costs, if there may be one.
        """
        self._may_leave = may_leave
        self.sent = False
        self._exchange = exchange
        self._placement = placement
        self._edge = edge
        self._clock = clock
        self._events = events

    async def run(self, patience: float | None) -> AttemptFailure | None:
        """Send the request and relay the answer.

        :param patience: seconds of silence after which another server is asked for,
            if one may be; ``None`` to wait for as long as its caller does.
        :returns: nothing if the caller has its whole answer.
        """
        try:
            connection = await self._open()
        except ServerError as error:
            return AttemptFailure(Ending.UNREACHED, error.outcome, str(error))
        if not self._placement.record.server.ready:
            # It began to leave while the connection was being opened.
            self._give_back(connection)
            return AttemptFailure(Ending.REFUSED, Outcome.NOT_RUN, 'leaving')
        whole = False
        try:
            failure = await self._exchange_on(connection, patience)
            whole = _is_whole(failure)
        except SilentError as error:
            failure = AttemptFailure(
                Ending.BROKEN, Outcome.UNKNOWN, str(error), paid=True
            )
        except ServerError as error:
            failure = AttemptFailure(Ending.BROKEN, error.outcome, str(error))
        except EventOrderError as error:
            failure = AttemptFailure(Ending.BROKEN, Outcome.UNKNOWN, str(error))
        finally:
            if whole:
                self._give_back(connection)
            else:
                connection.close()
        return failure

    async def _open(self) -> ServerConnection:
        pool = self._placement.record.pool
        now = self._clock.monotonic()
        kept = pool.take(now)
        if kept is not None:
            if self._exchange.route.repeatable:
                return kept
            if now - kept.idle_since < UNREPEATABLE_IDLE_SECONDS:
                return kept
            kept.close()
        return await connect(self._placement.record.server.address, CONNECT_SECONDS)

    def _give_back(self, connection: ServerConnection) -> None:
        self._placement.record.pool.give_back(connection, self._clock.monotonic())

    async def _exchange_on(
        self, connection: ServerConnection, patience: float | None
    ) -> AttemptFailure | None:
        exchange = self._exchange
        server = self._placement.record.server
        time_left = exchange.deadline - self._clock.monotonic()
        sending = AttemptContext(
            server.server_id,
            exchange.customer.name if exchange.customer else None,
            time_left,
            exchange.urgency if exchange.route.streaming else None,
            exchange.events.last_id,
        )
        request = self._edge.render_request(exchange.message, sending)
        self.sent = True
        connection.send(request, bodyless=exchange.message.method == b'HEAD')
        head, facts = await self._read_head(connection, patience)
        self._events.answered(exchange, self._placement, facts)
        return await self._take_answer(connection, head, facts, patience)

    async def _read_head(
        self, connection: ServerConnection, patience: float | None
    ) -> tuple[ResponseHead, ResponseInfo]:
        """Wait for the head of the answer to this request.

        A server may send a second answer to an earlier request; its id tells.
        """
        own = self._exchange.facts.request_id
        for _ in range(MOST_STRAY_ANSWERS):
            head = await self._wait(connection.read_head, patience)
            facts = self._edge.parse_response_head(head)
            if facts.request_id in {own, None}:
                return head, facts
        raise self._broken('answers of other requests')

    async def _take_answer(
        self,
        connection: ServerConnection,
        head: ResponseHead,
        facts: ResponseInfo,
        patience: float | None,
    ) -> AttemptFailure | None:
        if facts.not_run:
            await self._read_whole(connection, patience)
            detail = f'status {head.status}'
            return AttemptFailure(Ending.REFUSED, Outcome.NOT_RUN, detail)
        if head.status < FIRST_ERROR and (not facts.signed or facts.encoded):
            raise self._broken('a success without signature')
        if head.status < FIRST_ERROR and facts.request_id is None:
            raise self._broken('a success without a request id')
        if head.status < FIRST_ERROR and self._exchange.route.streaming:
            await self._relay(connection, head, patience)
            return None
        return await self._pass_whole(connection, head, facts, patience)

    async def _pass_whole(
        self,
        connection: ServerConnection,
        head: ResponseHead,
        facts: ResponseInfo,
        patience: float | None,
    ) -> AttemptFailure | None:
        body = await self._read_whole(connection, patience)
        headers = drop_connection_headers(head.headers)
        answer = RenderedResponse(head.status, headers, body)
        if head.status >= SERVER_FAULT:
            detail = f'status {head.status}'
            return AttemptFailure(Ending.FAILED, Outcome.RAN, detail, answer)
        self._begin()
        self._exchange.reply.send_whole(answer.status, answer.headers, answer.body)
        return None

    async def _read_whole(
        self, connection: ServerConnection, patience: float | None
    ) -> bytes:
        parts: list[bytes] = []
        while True:
            part = await self._wait(connection.read_body, patience)
            if not part:
                return b''.join(parts)
            parts.append(part)

    async def _relay(
        self, connection: ServerConnection, head: ResponseHead, patience: float | None
    ) -> None:
        exchange = self._exchange
        events = exchange.events
        events.restart()
        gap = None
        if patience is not None:
            gap = exchange.route.gap_target * GAP_PATIENCE_FACTOR
        while True:
            part = await self._wait(connection.read_body, patience)
            if not part:
                break
            patience = gap
            whole = events.feed(part)
            if whole:
                await self._pass_events(head, whole)
        if events.has_partial_event or not exchange.reply.begun:
            raise self._broken('ended in mid event')
        exchange.reply.finish()

    async def _pass_events(self, head: ResponseHead, events: bytes) -> None:
        reply = self._exchange.reply
        if not reply.begun:
            reply.begin(head.status, drop_connection_headers(head.headers))
        self._begin()
        await reply.write(events)

    def _begin(self) -> None:
        self._events.began(self._exchange, self._placement)

    async def _wait(
        self, read: Callable[[], Awaitable[Read]], patience: float | None
    ) -> Read:
        if patience is None:
            return await read()
        with suppress(TimeoutError):
            async with asyncio.timeout(patience):
                return await read()
        # Silence alone is no reason to end an answer: without another server that
        # may go on, the wait for this one does.
        if not self._may_leave():
            return await read()
        raise SilentError(
            f'silent for {patience:.2f} s',
            step=Step.RELAY,
            peer=self._placement.record.server.server_id,
            outcome=Outcome.UNKNOWN,
        )

    def _broken(self, reason: str) -> ServerError:
        return ServerError(
            reason,
            step=Step.RELAY,
            peer=self._placement.record.server.server_id,
            outcome=Outcome.UNKNOWN,
        )


def _is_whole(failure: AttemptFailure | None) -> bool:
    """Tell whether all of an answer was read, so that its connection can go on."""
    if failure is None or failure.answer is not None:
        return True
    return failure.outcome is Outcome.NOT_RUN
