"""Handles a request from admission over its attempts to the final response."""

import asyncio
import math
from collections.abc import Callable, Sequence
from functools import partial
from http import HTTPStatus

from loguru import logger

from fireflyhitch_model.ids import CustomerId
from fireflyhitch_model.states import Outcome
from fireflyhitch_serving.admission import (
    Admission,
    RefusedError,
    build_refusal,
    find_time_limit,
)
from fireflyhitch_serving.attempt_policy import AttemptPolicy
from fireflyhitch_serving.attempts import (
    Attempt,
    AttemptCallbacks,
    make_server_target,
)
from fireflyhitch_serving.callers import Reply
from fireflyhitch_serving.dependencies import RequestDependencies
from fireflyhitch_serving.edge import BadRequestError, Refusal, RenderedResponse
from fireflyhitch_serving.errors import CallerDisconnected
from fireflyhitch_serving.exchanges import AttemptFailure, Exchange
from fireflyhitch_serving.forwarding import Peer
from fireflyhitch_serving.health import Ending
from fireflyhitch_serving.messages import CallerRequest, RequestInfo, ResponseInfo
from fireflyhitch_serving.metrics_endpoint import RequestRecord
from fireflyhitch_serving.placement import Placement
from fireflyhitch_serving.refusals import log_invalid_request
from fireflyhitch_serving.request_heads import RequestHead
from fireflyhitch_serving.request_log import log_failure, log_success
from fireflyhitch_serving.request_reader import InvalidRequest
from fireflyhitch_serving.server_statistics import (
    MAX_RELATIVE_LATENCY,
    compute_relative_latency,
)
from fireflyhitch_serving.servers import ServerRecord
from fireflyhitch_serving.waiting import WaitingRequests

# No server can respond in less than this, so no attempt starts with less time left.
MIN_SEND_SECONDS = 0.03
# Endings that also a partition of this daemon from its servers may cause.
NO_RESPONSE = frozenset((Ending.UNREACHED, Ending.BROKEN))
# Requests of other daemons in progress at once. Each of them is relayed by two daemons,
# and callers of this daemon come first.
MAX_FORWARDED = 64
# What a leaving server's announcement says; it is never withdrawn.
LEAVING = 1.0
# Characters of a path in a log line.
MAX_LOGGED_PATH = 200
# Customer name in the metrics of requests without a customer.
ANONYMOUS = CustomerId('')

Admit = Callable[[CallerRequest, RequestInfo, Reply], Exchange]


class RequestHandler:
    """Serves requests, all of them on one event loop."""

    def __init__(self, dependencies: RequestDependencies) -> None:
        """Create a handler without requests in flight."""
        self._deps = dependencies
        self._clock = dependencies.clock
        self._admission = Admission(dependencies)
        self._policy = AttemptPolicy(dependencies)
        self._waiting = WaitingRequests()
        self.forwarded_in_progress = 0

    async def serve(self, request: CallerRequest, reply: Reply) -> None:
        """Serve one request up to its final response."""
        await self._serve(request, reply, self._admission.admit)

    async def serve_forwarded(self, request: CallerRequest, reply: Reply) -> None:
        """Serve a request that another daemon has admitted but cannot send."""
        self.forwarded_in_progress += 1
        try:
            await self._serve(request, reply, self._admit_forwarded)
        finally:
            self.forwarded_in_progress -= 1

    def refuse_invalid(self, invalid: InvalidRequest, peer: str) -> RenderedResponse:
        """Log and count an invalid request, and return its refusal.

        :param peer: the caller's address.
        """
        request_id = self._deps.edge.find_request_id(invalid.headers)
        log_invalid_request(invalid, peer, request_id)
        code = invalid.reason.value
        self._deps.count_refusal(invalid.status, code)
        message = f'the request cannot be read: {code.replace("_", " ")}'
        refusal = Refusal(invalid.status, code, message)
        return self._deps.edge.render_refusal(refusal, request_id)

    def find_time_limit(self, head: RequestHead) -> float | None:
        """Return the seconds within which a request gets its final response.

        :returns: ``None`` if its head is malformed or has no route.
        """
        request = CallerRequest(head.method, head.target, head.headers, b'', 0)
        try:
            info = self._deps.edge.parse_request(request)
        except BadRequestError:
            return None
        catalog = self._deps.catalog()
        route = catalog and catalog.find_route(info.host, info.path)
        return find_time_limit(route, info) if route else None

    def _admit_forwarded(
        self, request: CallerRequest, info: RequestInfo, reply: Reply
    ) -> Exchange:
        if self._deps.reachability.lost:
            raise self._admission.build_transient_refusal(
                'no_server_reached', 'this daemon reaches no server either'
            )
        if self.forwarded_in_progress > MAX_FORWARDED:
            raise self._admission.build_transient_refusal(
                'forwarded_limit', 'too many requests of other daemons'
            )
        return self._admission.admit_forwarded(request, info, reply)

    async def _serve(self, request: CallerRequest, reply: Reply, admit: Admit) -> None:
        info = None
        try:
            info = self._deps.edge.parse_request(request)
            exchange = admit(request, info, reply)
        except BadRequestError as error:
            refusal = Refusal(HTTPStatus.BAD_REQUEST, 'bad_request', str(error))
            self._send_refusal(refusal, request, info, reply)
            return
        except RefusedError as error:
            self._send_refusal(error.refusal, request, info, reply)
            return
        try:
            await self._serve_with_deadline(exchange)
        except RefusedError as error:
            self._handle_refusal(exchange, error.refusal)
        except CallerDisconnected:
            logger.bind(request_id=exchange.info.request_id).info('caller left')
        finally:
            self._record_metrics(exchange)

    def _handle_refusal(self, exchange: Exchange, refusal: Refusal) -> None:
        if exchange.reply.begun:
            self._abort_response(exchange, refusal.message)
            return
        self._send_refusal(refusal, exchange.request, exchange.info, exchange.reply)

    async def _serve_with_deadline(self, exchange: Exchange) -> None:
        now = self._clock.monotonic()
        try:
            async with asyncio.timeout(exchange.deadline - now):
                await self._run_attempts(exchange)
        except TimeoutError:
            self._handle_timeout(exchange)
        except asyncio.CancelledError:
            logger.bind(
                request_id=exchange.info.request_id,
                route=exchange.route.name,
                runs=exchange.runs,
            ).info('caller left')
            raise
        finally:
            self._refund_quota(exchange)

    async def _run_attempts(self, exchange: Exchange) -> None:
        """Try one server after another until the caller has its response."""
        while True:
            target = await self._wait_for_target(exchange)
            if isinstance(target, Peer):
                failure = await self._deps.forwarder.run(exchange, target)
            else:
                failure = await self._run_attempt(exchange, target)
            if failure is None:
                return
            if not self._may_retry(exchange, failure):
                self._send_failure(exchange, failure)
                return

    def _may_retry(self, exchange: Exchange, failure: AttemptFailure) -> bool:
        """Tell whether to try another peer or server."""
        if exchange.tried_peers or failure.ending is Ending.UNREACHED:
            if failure.outcome is not Outcome.NOT_RUN:
                return False
            if self._deps.reachability.lost:
                return self._deps.forwarder.find_peer(exchange) is not None
        return self._policy.may_retry(exchange, failure)

    async def _wait_for_target(self, exchange: Exchange) -> Placement | Peer:
        while True:
            if self._deps.reachability.lost:
                return self._find_peer(exchange)
            candidates = self._policy.find_candidates(exchange)
            available = self._policy.filter_by_rate_limit(candidates)
            placement = self._policy.choose(exchange, available)
            if placement is not None:
                return placement
            if not candidates:
                raise self._make_no_server_error(exchange)
            if not available:
                self._check_rate_limits(exchange, candidates)
            await self._waiting.wait(exchange)

    def _find_peer(self, exchange: Exchange) -> Peer:
        """Return a peer that reaches servers, as this daemon does not.

        :raises RefusedError: if there is none.
        """
        peer = self._deps.forwarder.find_peer(exchange)
        if peer is None:
            raise self._make_no_server_error(exchange)
        return peer

    def _check_rate_limits(
        self, exchange: Exchange, candidates: Sequence[ServerRecord]
    ) -> None:
        """Refuse a request that cannot be sent within the servers' rate limits in time.

        :raises RefusedError: if the requests already waiting use up the rate for as
            long as this one may wait, or if it has waited that long.
        """
        now = self._clock.monotonic()
        latest = self._policy.find_latest_start(exchange, candidates)
        if exchange.has_waited and now < latest:
            return
        waiting = self._waiting.count(exchange.service) + 1
        wait = self._policy.find_rate_wait(candidates, waiting)
        if now + wait < latest:
            return
        if exchange.runs or math.isinf(wait):
            raise self._make_no_server_error(exchange)
        raise build_refusal(
            wait, 'servers_limited', 'the servers take no more requests'
        )

    async def _run_attempt(
        self, exchange: Exchange, placement: Placement
    ) -> AttemptFailure | None:
        record = placement.record
        exchange.tried_servers.add(record.server.server_id)
        if exchange.deadline - self._clock.monotonic() < MIN_SEND_SECONDS:
            raise TimeoutError
        attempt = Attempt(
            exchange,
            make_server_target(exchange, record, self._deps.edge),
            self._clock,
            AttemptCallbacks(
                on_progress=partial(self._on_progress, exchange, placement),
                on_head=partial(self._on_head, exchange, placement),
            ),
            partial(self._policy.reserve_retry, exchange),
        )
        record.requests += 1
        self._policy.record_sent(record)
        record.prompt_tokens += placement.fresh_tokens
        self._deps.workloads.record_prompt_tokens(
            exchange.service, placement.fresh_tokens
        )
        exchange.unread_prompt_tokens = placement.fresh_tokens
        record.add_cached_parts(exchange.info.parts, self._clock.monotonic())
        self._deps.fresh_parts.add(record.server.server_id, exchange.info.parts)
        ending = Ending.CANCELLED
        exchange.attempt_started = self._clock.monotonic()
        exchange.first_event_at = None
        exchange.relative_latency = 1
        try:
            failure = await attempt.run(
                self._policy.find_silence_timeout(exchange, placement)
            )
            ending = failure.ending if failure else Ending.GOOD
            if ending in NO_RESPONSE:
                await self._deps.reachability.check_after(record.server.server_id)
            elif ending is not Ending.CANCELLED:
                self._deps.reachability.record_response()
        finally:
            _release_load(exchange, record)
            self._record_attempt(exchange, record, ending, sent=attempt.sent)
        now = self._clock.monotonic()
        if failure is None:
            log_success(exchange, placement, now)
        else:
            log_failure(exchange, placement, failure, now)
        return failure

    def _record_attempt(
        self, exchange: Exchange, record: ServerRecord, ending: Ending, *, sent: bool
    ) -> None:
        if sent:
            exchange.sends += 1
            exchange.runs += ending is not Ending.REFUSED
        # Without a link to any server, nothing is learned about this one.
        if ending not in NO_RESPONSE or not self._deps.reachability.lost:
            self._judge_server(exchange, record, ending, sent=sent)
        self._record_crash(exchange, record, ending)
        self._waiting.wake(exchange.service)

    def _judge_server(
        self, exchange: Exchange, record: ServerRecord, ending: Ending, *, sent: bool
    ) -> None:
        """Record what an attempt shows about its server and the server's version."""
        now = self._clock.monotonic()
        if ending is Ending.REFUSED:
            self._deps.brittle_servers.record_turned_away(record)
        elif ending is Ending.GOOD:
            self._deps.brittle_servers.record_finished(
                record.server.service, now - exchange.attempt_started
            )
        if sent and ending in {Ending.GOOD, Ending.FAILED, Ending.BROKEN}:
            self._deps.record_outcome(
                record.server.service,
                record.server.version,
                exchange.route.name,
                failed=ending is not Ending.GOOD,
                seconds=(exchange.first_event_at or now) - exchange.attempt_started,
            )
        if ending is Ending.UNREACHED:
            self._deps.cold_servers.record_unreachable(record)
        self._record_statistics(exchange, record, ending)
        median_rate = self._deps.servers.find_median_failure_rate(record.server.service)
        if record.health.record(ending, median_rate, now):
            logger.bind(
                server=record.server.server_id,
                failure_rate=round(record.health.rate, 2),
                seconds=round(record.health.ejected_until - now, 1),
            ).warning('server ejected')

    def _record_statistics(
        self, exchange: Exchange, record: ServerRecord, ending: Ending
    ) -> None:
        """Count an attempt in the failure statistics shared by all daemons.

        Cancelled and refused attempts are left out, since they show nothing about the
        server's health.
        """
        if ending in {Ending.CANCELLED, Ending.REFUSED}:
            return
        failed = ending is not Ending.GOOD
        relative_latency = MAX_RELATIVE_LATENCY if failed else exchange.relative_latency
        now = self._clock.monotonic()
        record.evidence.record_response(
            now, failed=failed, relative_latency=relative_latency
        )

    def _record_crash(
        self, exchange: Exchange, record: ServerRecord, ending: Ending
    ) -> None:
        """Check for a crash after a broken response; record a complete response."""
        crashes = self._deps.crashes
        if ending is Ending.BROKEN:
            crashes.detector.record_broken_response(
                record, exchange.content, exchange.attempt_started
            )
        elif ending is Ending.GOOD:
            crashes.tracker.record_response(exchange.content, self._clock.monotonic())

    def _send_failure(self, exchange: Exchange, failure: AttemptFailure) -> None:
        reply = exchange.reply
        if reply.begun:
            self._abort_response(exchange, failure.detail)
            return
        if failure.response is not None:
            response = failure.response
            reply.send_response(response.status, response.headers, response.body)
            return
        raise self._make_no_server_error(exchange)

    def _handle_timeout(self, exchange: Exchange) -> None:
        if exchange.reply.begun:
            self._abort_response(exchange, 'the time limit was exceeded')
            return
        if not exchange.runs:
            raise self._make_no_server_error(exchange)
        raise RefusedError(
            Refusal(
                HTTPStatus.GATEWAY_TIMEOUT,
                'timeout',
                'no answer in the time allowed',
                Outcome.UNKNOWN,
            )
        )

    def _abort_response(self, exchange: Exchange, reason: str) -> None:
        """Abort a response that has begun, so that the caller sees it is incomplete."""
        logger.bind(
            request_id=exchange.info.request_id,
            route=exchange.route.name,
            sends=exchange.sends,
            last_event=exchange.events.last_id,
            detail=reason,
        ).warning('answer broken off')
        exchange.reply.abort()

    def _refund_quota(self, exchange: Exchange) -> None:
        customer = exchange.customer
        if customer is not None and exchange.charged_units and not exchange.runs:
            self._deps.quotas.refund(customer, exchange.charged_units)

    def _record_metrics(self, exchange: Exchange) -> None:
        """Count a request at the daemon that its caller has asked."""
        if exchange.forwarded_by is not None:
            return
        now = self._clock.monotonic()
        arrived = exchange.request.arrived
        first = exchange.first_event_at
        self._deps.record(
            RequestRecord(
                customer=exchange.customer.name if exchange.customer else ANONYMOUS,
                service=exchange.service,
                status=exchange.reply.status,
                outcome=Outcome.RAN if exchange.runs else Outcome.NOT_RUN,
                attempts=exchange.sends,
                first_event_seconds=None if first is None else first - arrived,
                seconds=now - arrived,
            )
        )

    def _on_progress(self, exchange: Exchange, placement: Placement) -> None:
        _release_prompt_tokens(exchange, placement.record)
        if exchange.first_event_at is None:
            exchange.first_event_at = self._clock.monotonic()
            self._record_first_event(exchange, placement)
        if exchange.usage_counted:
            return
        exchange.usage_counted = True
        if exchange.customer is not None:
            self._deps.usage.count(exchange.customer.name, self._deps.wall())

    def _record_first_event(self, exchange: Exchange, placement: Placement) -> None:
        if exchange.first_event_at is None:
            return
        seconds = exchange.first_event_at - exchange.attempt_started
        prefill_model = self._deps.workloads.prefill_model(exchange.service)
        tokens = placement.queued_tokens + placement.fresh_tokens
        exchange.relative_latency = compute_relative_latency(
            seconds, prefill_model.predict(tokens)
        )
        prefill_model.add_sample(tokens, seconds)

    def _on_head(
        self, exchange: Exchange, placement: Placement, info: ResponseInfo
    ) -> None:
        if info.load is not None:
            placement.record.update_load(info.load, self._clock.monotonic())
        now = self._clock.monotonic()
        if info.rest is not None:
            placement.record.rest(info.rest, now)
        announcements = (
            (self._deps.limits.announcements, info.limit),
            (self._deps.brittle_servers.announcements, info.brittle),
            (self._deps.leaving, LEAVING if info.leaving else None),
        )
        for table, announced in announcements:
            # An unsigned response may come from another server that reuses the address.
            if info.signed or announced is not None:
                table.record_response(
                    placement.record.process,
                    placement.record.server.server_id,
                    announced,
                    exchange.attempt_started,
                    now,
                )

    def _make_no_server_error(self, exchange: Exchange) -> RefusedError:
        if exchange.runs:
            return RefusedError(
                Refusal(
                    HTTPStatus.BAD_GATEWAY,
                    'server_lost',
                    'the server gave no whole answer',
                    Outcome.UNKNOWN,
                )
            )
        return self._admission.build_transient_refusal(
            'no_server', 'no server can take the request'
        )

    def _send_refusal(
        self,
        refusal: Refusal,
        request: CallerRequest,
        info: RequestInfo | None,
        reply: Reply,
    ) -> None:
        request_id = self._deps.edge.find_request_id(request.headers)
        catalog = self._deps.catalog()
        self._deps.count_refusal(refusal.status, refusal.code)
        logger.bind(
            request_id=request_id,
            status=refusal.status,
            code=refusal.code,
            outcome=refusal.outcome.value,
            detail=refusal.message,
            host=info and info.host,
            path=info and info.path[:MAX_LOGGED_PATH],
            version=catalog and catalog.version,
        ).info('request refused')
        response = self._deps.edge.render_refusal(refusal, request_id)
        try:
            reply.send_response(response.status, response.headers, response.body)
        except CallerDisconnected:
            logger.bind(request_id=request_id).info('caller left before the refusal')


def _release_load(exchange: Exchange, record: ServerRecord) -> None:
    record.requests -= 1
    _release_prompt_tokens(exchange, record)


def _release_prompt_tokens(exchange: Exchange, record: ServerRecord) -> None:
    record.prompt_tokens -= exchange.unread_prompt_tokens
    exchange.unread_prompt_tokens = 0
