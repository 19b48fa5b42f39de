"""The path of a request: admission, choice, attempts, and its final answer."""

import asyncio
from collections.abc import Sequence
from functools import partial
from http import HTTPStatus

from loguru import logger

from fireflyhitch_model.ids import CustomerId
from fireflyhitch_model.states import Outcome
from fireflyhitch_serving.admission import Admission, RefusedError, refuse_for
from fireflyhitch_serving.attempt_policy import Choices
from fireflyhitch_serving.attempts import Attempt, AttemptEvents
from fireflyhitch_serving.callers import Reply
from fireflyhitch_serving.dependencies import RequestDependencies
from fireflyhitch_serving.edge import BadRequestError, Refusal
from fireflyhitch_serving.errors import CallerGone
from fireflyhitch_serving.exchanges import AttemptFailure, Exchange
from fireflyhitch_serving.health import Ending
from fireflyhitch_serving.messages import CallerRequest, RequestInfo, ResponseInfo
from fireflyhitch_serving.metrics_endpoint import RequestRecord
from fireflyhitch_serving.placement import Placement
from fireflyhitch_serving.server_statistics import (
    MAX_RELATIVE_LATENCY,
    compute_relative_latency,
)
from fireflyhitch_serving.servers import ServerRecord
from fireflyhitch_serving.waiting import WaitingRequests

# An answer needs at least this much; with less left a send would be a token one.
LEAST_SEND_SECONDS = 0.03
# In metrics, for requests on public routes.
NOBODY = CustomerId('')


class RequestHandler:
    """Serves requests; all on one event loop."""

    def __init__(self, parts: RequestDependencies) -> None:
        """Make a path with nothing in flight."""
        self._parts = parts
        self._clock = parts.clock
        self._admission = Admission(parts)
        self._choices = Choices(parts)
        self._events = AttemptEvents(began=self._note_begin, answered=self._note_answer)
        self._waiting = WaitingRequests()

    async def serve(self, message: CallerRequest, reply: Reply) -> None:
        """Serve one request to its final answer."""
        try:
            facts = self._parts.edge.parse_request(message)
        except BadRequestError as error:
            refusal = Refusal(HTTPStatus.BAD_REQUEST, 'bad_request', str(error))
            self._refuse(refusal, None, reply)
            return
        try:
            exchange = self._admission.admit(message, facts, reply)
        except RefusedError as error:
            self._refuse(error.refusal, facts, reply)
            return
        try:
            await self._carry_in_time(exchange)
        except RefusedError as error:
            self._end_refused(exchange, error.refusal)
        except CallerGone:
            logger.bind(request_id=facts.request_id).info('caller left')
        finally:
            self._record(exchange)

    def _end_refused(self, exchange: Exchange, refusal: Refusal) -> None:
        if exchange.reply.begun:
            self._break_off(exchange, refusal.message)
            return
        self._refuse(refusal, exchange.facts, exchange.reply)

    async def _carry_in_time(self, exchange: Exchange) -> None:
        now = self._clock.monotonic()
        try:
            async with asyncio.timeout(exchange.deadline - now):
                await self._carry(exchange)
        except TimeoutError:
            self._end_late(exchange)
        except asyncio.CancelledError:
            logger.bind(
                request_id=exchange.facts.request_id,
                route=exchange.route.name,
                runs=exchange.runs,
            ).info('caller left')
            raise
        finally:
            self._settle(exchange)

    async def _carry(self, exchange: Exchange) -> None:
        """Send to one server after another until the caller has its answer."""
        while True:
            placement = await self._place(exchange)
            failure = await self._try(exchange, placement)
            if failure is None:
                self._log_end(exchange, placement)
                return
            if not self._choices.may_go_on(exchange, failure):
                self._give_up(exchange, failure)
                return

    async def _place(self, exchange: Exchange) -> Placement:
        while True:
            candidates = self._choices.find_candidates(exchange)
            able = self._choices.find_able(candidates)
            placement = self._choices.choose(exchange, able)
            if placement is not None:
                return placement
            if not candidates:
                raise self._without_server(exchange)
            if not able:
                self._check_limits(exchange, candidates)
            await self._waiting.wait(exchange)

    def _check_limits(
        self, exchange: Exchange, candidates: Sequence[ServerRecord]
    ) -> None:
        """Refuse a request whose turn at servers that name limits comes too late.

        :raises RefusedError: if so many wait already; those go on waiting.
        """
        if exchange.waits:
            return
        waiting = self._waiting.count(exchange.service) + 1
        wait = waiting / self._choices.find_local_rate(candidates)
        if self._clock.monotonic() + wait < exchange.deadline:
            return
        if exchange.runs:
            raise self._without_server(exchange)
        raise refuse_for(wait, 'servers_limited', 'the servers take no more requests')

    async def _try(
        self, exchange: Exchange, placement: Placement
    ) -> AttemptFailure | None:
        record = placement.record
        exchange.tried.add(record.server.server_id)
        if exchange.deadline - self._clock.monotonic() < LEAST_SEND_SECONDS:
            raise TimeoutError
        attempt = Attempt(
            exchange,
            placement,
            self._parts.edge,
            self._clock,
            self._events,
            partial(self._choices.may_leave, exchange),
        )
        record.requests += 1
        self._parts.limits.record_sent(record.process)
        record.prompt_tokens += placement.fresh_tokens
        self._parts.workloads.record_prompt_tokens(
            exchange.service, placement.fresh_tokens
        )
        exchange.reading = placement.fresh_tokens
        record.add_cached_parts(exchange.facts.parts, self._clock.monotonic())
        self._parts.fresh_parts.add(record.server.server_id, exchange.facts.parts)
        ending = Ending.CANCELLED
        exchange.attempt_began = self._clock.monotonic()
        exchange.first_event_at = None
        exchange.relative_latency = 1
        try:
            failure = await attempt.run(
                self._choices.find_patience(exchange, placement)
            )
            ending = failure.ending if failure else Ending.GOOD
        finally:
            _end_work(exchange, record)
            self._note_attempt(exchange, record, ending, sent=attempt.sent)
        if failure is not None:
            self._log_failure(exchange, placement, failure)
        return failure

    def _note_attempt(
        self, exchange: Exchange, record: ServerRecord, ending: Ending, *, sent: bool
    ) -> None:
        now = self._clock.monotonic()
        if sent:
            exchange.sends += 1
            exchange.runs += ending is not Ending.REFUSED
        if sent and ending in {Ending.GOOD, Ending.FAILED, Ending.BROKEN}:
            self._parts.record_outcome(
                record.server.service,
                record.server.version,
                exchange.route.name,
                failed=ending is not Ending.GOOD,
                seconds=(exchange.first_event_at or now) - exchange.attempt_began,
            )
        self._note_evidence(exchange, record, ending)
        self._note_crash(exchange, record, ending)
        usual = self._parts.servers.find_median_failure_rate(record.server.service)
        if record.health.record(ending, usual, now):
            logger.bind(
                server=record.server.server_id,
                failure_rate=round(record.health.rate, 2),
                seconds=round(record.health.ejected_until - now, 1),
            ).warning('server ejected')
        self._waiting.note_freed(exchange.service)

    def _note_evidence(
        self, exchange: Exchange, record: ServerRecord, ending: Ending
    ) -> None:
        """Count an attempt for all daemons; callers that leave say nothing."""
        if ending in {Ending.CANCELLED, Ending.REFUSED}:
            return
        failed = ending is not Ending.GOOD
        relative_latency = MAX_RELATIVE_LATENCY if failed else exchange.relative_latency
        now = self._clock.monotonic()
        record.evidence.record_response(
            now, failed=failed, relative_latency=relative_latency
        )

    def _note_crash(
        self, exchange: Exchange, record: ServerRecord, ending: Ending
    ) -> None:
        """Have the server looked after if it broke off, or note that it did not end."""
        crashes = self._parts.crashes
        if ending is Ending.BROKEN:
            crashes.ends.record_broken_response(
                record, exchange.content, exchange.attempt_began
            )
        elif ending is Ending.GOOD:
            crashes.book.record_response(exchange.content, self._clock.monotonic())

    def _give_up(self, exchange: Exchange, failure: AttemptFailure) -> None:
        reply = exchange.reply
        if reply.begun:
            self._break_off(exchange, failure.detail)
            return
        if failure.answer is not None:
            answer = failure.answer
            reply.send_whole(answer.status, answer.headers, answer.body)
            return
        raise self._without_server(exchange)

    def _end_late(self, exchange: Exchange) -> None:
        if exchange.reply.begun:
            self._break_off(exchange, 'the time allowed is over')
            return
        if not exchange.runs:
            raise self._without_server(exchange)
        raise RefusedError(
            Refusal(
                HTTPStatus.GATEWAY_TIMEOUT,
                'timeout',
                'no answer in the time allowed',
                Outcome.UNKNOWN,
            )
        )

    def _break_off(self, exchange: Exchange, reason: str) -> None:
        """End a stream that has begun, so that its caller sees that it is not whole."""
        logger.bind(
            request_id=exchange.facts.request_id,
            route=exchange.route.name,
            sends=exchange.sends,
            last_event=exchange.events.last_id,
            detail=reason,
        ).warning('answer broken off')
        exchange.reply.abort()

    def _settle(self, exchange: Exchange) -> None:
        customer = exchange.customer
        if customer is not None and exchange.charged and not exchange.runs:
            self._parts.quotas.refund(customer, exchange.charged)

    def _record(self, exchange: Exchange) -> None:
        now = self._clock.monotonic()
        arrived = exchange.message.arrived
        first = exchange.first_event_at
        self._parts.record(
            RequestRecord(
                customer=exchange.customer.name if exchange.customer else NOBODY,
                service=exchange.service,
                status=exchange.reply.status,
                outcome=Outcome.RAN if exchange.runs else Outcome.NOT_RUN,
                attempts=exchange.sends,
                first_seconds=None if first is None else first - arrived,
                seconds=now - arrived,
            )
        )

    def _note_begin(self, exchange: Exchange, placement: Placement) -> None:
        _end_reading(exchange, placement.record)
        if exchange.first_event_at is None:
            exchange.first_event_at = self._clock.monotonic()
            self._note_pace(exchange, placement)
        if exchange.counted:
            return
        exchange.counted = True
        if exchange.customer is not None:
            self._parts.usage.count(exchange.customer.name, self._parts.wall())

    def _note_pace(self, exchange: Exchange, placement: Placement) -> None:
        if exchange.first_event_at is None:
            return
        seconds = exchange.first_event_at - exchange.attempt_began
        pace = self._parts.workloads.prefill_model(exchange.service)
        tokens = placement.queued_tokens + placement.fresh_tokens
        exchange.relative_latency = compute_relative_latency(
            seconds, pace.predict(tokens)
        )
        pace.add_sample(tokens, seconds)

    def _note_answer(
        self, exchange: Exchange, placement: Placement, facts: ResponseInfo
    ) -> None:
        if facts.load is not None:
            placement.record.update_load(facts.load, self._clock.monotonic())
        # Without a signature it may be another server's, at an address used anew.
        if facts.signed or facts.limit is not None:
            self._parts.limits.record_response(
                placement.record.process,
                placement.record.server.server_id,
                facts.limit,
                exchange.attempt_began,
                self._clock.monotonic(),
            )

    def _without_server(self, exchange: Exchange) -> RefusedError:
        if exchange.runs:
            return RefusedError(
                Refusal(
                    HTTPStatus.BAD_GATEWAY,
                    'server_lost',
                    'the server gave no whole answer',
                    Outcome.UNKNOWN,
                )
            )
        return self._admission.refuse_for_now(
            'no_server', 'no server can take the request'
        )

    def _refuse(
        self, refusal: Refusal, facts: RequestInfo | None, reply: Reply
    ) -> None:
        request_id = facts.request_id if facts else None
        logger.bind(
            request_id=request_id,
            status=refusal.status,
            code=refusal.code,
            outcome=refusal.outcome.value,
        ).info('request refused')
        answer = self._parts.edge.render_refusal(refusal, request_id)
        try:
            reply.send_whole(answer.status, answer.headers, answer.body)
        except CallerGone:
            logger.bind(request_id=request_id).info('caller left before its refusal')

    def _log_failure(
        self, exchange: Exchange, placement: Placement, failure: AttemptFailure
    ) -> None:
        logger.bind(
            request_id=exchange.facts.request_id,
            route=exchange.route.name,
            content=exchange.content,
            server=placement.record.server.server_id,
            beside=placement.record.requests,
            seconds=round(self._clock.monotonic() - exchange.attempt_began, 3),
            ending=failure.ending.value,
            outcome=failure.outcome.value,
            detail=failure.detail,
        ).warning('attempt failed')

    def _log_end(self, exchange: Exchange, placement: Placement) -> None:
        now = self._clock.monotonic()
        arrived = exchange.message.arrived
        logger.bind(
            request_id=exchange.facts.request_id,
            customer=exchange.customer and exchange.customer.name,
            route=exchange.route.name,
            server=placement.record.server.server_id,
            sends=exchange.sends,
            first=round((exchange.first_event_at or now) - arrived, 3),
            seconds=round(now - arrived, 3),
            expected=round(placement.wait, 3),
            requests=placement.requests,
            queued_tokens=placement.queued_tokens,
            fresh_tokens=placement.fresh_tokens,
        ).info('request answered')


def _end_work(exchange: Exchange, record: ServerRecord) -> None:
    record.requests -= 1
    _end_reading(exchange, record)


def _end_reading(exchange: Exchange, record: ServerRecord) -> None:
    record.prompt_tokens -= exchange.reading
    exchange.reading = 0
