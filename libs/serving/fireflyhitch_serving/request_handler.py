"""Handles a request from admission over its attempts to the final response."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus

from loguru import logger

from fireflyhitch_model.states import Outcome
from fireflyhitch_serving.admission import (
    Admission,
    RefusedError,
    find_time_limit,
)
from fireflyhitch_serving.attempt_policy import AttemptPolicy
from fireflyhitch_serving.attempt_runner import AttemptRunner
from fireflyhitch_serving.dependencies import RequestDependencies
from fireflyhitch_serving.destinations import ANONYMOUS, DestinationFinder
from fireflyhitch_serving.edge import BadRequestError, Refusal, RenderedResponse
from fireflyhitch_serving.errors import CallerDisconnected
from fireflyhitch_serving.exchanges import AttemptFailure, Exchange
from fireflyhitch_serving.failures import make_no_server_error
from fireflyhitch_serving.forwarded_requests import is_forwarded, render_sends
from fireflyhitch_serving.forwarding import Peer
from fireflyhitch_serving.health import Ending
from fireflyhitch_serving.listeners import Screening, expect_no_body
from fireflyhitch_serving.messages import CallerRequest, Headers, RequestInfo
from fireflyhitch_serving.metrics_endpoint import RequestRecord
from fireflyhitch_serving.overload_gate import OverloadGate
from fireflyhitch_serving.refusals import log_invalid_request, make_refusal
from fireflyhitch_serving.replies import Reply
from fireflyhitch_serving.request_heads import Reason, RequestHead
from fireflyhitch_serving.request_reader import InvalidRequest
from fireflyhitch_serving.serving_time import ServingTime

# Requests of other daemons in progress at once. Each of them is relayed by two daemons,
# and callers of this daemon come first.
MAX_FORWARDED = 64
# Refused by limits that the configuration names.
LIMITED_SIZES = frozenset(
    (Reason.HEAD_TOO_LARGE, Reason.BODY_TOO_LARGE, Reason.TRAILER_TOO_LARGE)
)
# Characters of a path in a log line.
MAX_LOGGED_PATH = 200

Admit = Callable[[CallerRequest, RequestInfo, Reply], Exchange]


class RequestHandler:
    """Serves requests, all of them on one event loop."""

    def __init__(self, dependencies: RequestDependencies) -> None:
        """Create a handler without requests in flight."""
        self._deps = dependencies
        self._clock = dependencies.clock
        self._admission = Admission(dependencies)
        self._policy = AttemptPolicy(dependencies)
        self._destinations = DestinationFinder(
            dependencies, self._admission, self._policy
        )
        self.gate = OverloadGate(
            dependencies, self._destinations.waiting.count_by_urgency
        )
        self._runner = AttemptRunner(
            dependencies, self._policy, self._destinations.waiting
        )
        self.forwarded_in_progress = 0
        self.serving_time = ServingTime(self._clock)

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
        refusal = make_refusal(invalid)
        if invalid.reason in LIMITED_SIZES:
            refusal = self._admission.make_denial(refusal).refusal
        elif invalid.reason is Reason.MEMORY_SHORT:
            refusal = self._admission.build_transient_refusal(
                refusal.code, 'callers hold too much memory at this moment'
            ).refusal
        log_invalid_request(invalid, refusal, peer, request_id)
        self._deps.count_refusal(refusal.status, refusal.code)
        return self._deps.edge.render_refusal(refusal, request_id)

    def refuse_forwarded(self, invalid: InvalidRequest, peer: str) -> RenderedResponse:
        """Refuse an invalid request of another daemon, which goes on to the next one.

        :param peer: the other daemon's address.
        """
        response = self.refuse_invalid(invalid, peer)
        if invalid.reason is not Reason.MEMORY_SHORT:
            return response
        return replace(response, headers=[*response.headers, render_sends(0)])

    def screen(self, head: RequestHead) -> Screening:
        """Return what is known of a request before its body has arrived."""
        request = CallerRequest(head.method, head.target, head.headers, b'', 0)
        try:
            info = self._deps.edge.parse_request(request)
            route, _ = self._admission.find_route(info)
        except (BadRequestError, RefusedError):
            return expect_no_body(head)
        return Screening(find_time_limit(route, info))

    def screen_forwarded(self, head: RequestHead) -> Screening:
        """Return what is known of a request at the port for other daemons."""
        return Screening(needs_body=is_forwarded(head.headers))

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
        self._send_refusal(
            refusal, exchange.request, exchange.info, exchange.reply, exchange
        )

    async def _serve_with_deadline(self, exchange: Exchange) -> None:
        now = self._clock.monotonic()
        try:
            async with asyncio.timeout(exchange.deadline - now) as timeout:
                with self.serving_time.track(timeout):
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
        self.gate.check(exchange)
        while True:
            target = await self._destinations.find(exchange)
            if isinstance(target, Peer):
                failure = await self._deps.forwarder.run(exchange, target)
            else:
                failure = await self._runner.run(exchange, target)
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
                peer = self._deps.forwarder.find_peer(exchange)
                return peer is not None and self._policy.may_send_again(exchange)
        return self._policy.may_retry(exchange, failure)

    def _send_failure(self, exchange: Exchange, failure: AttemptFailure) -> None:
        reply = exchange.reply
        if reply.begun:
            self._abort_response(exchange, failure.detail)
            return
        if failure.response is not None:
            response = failure.response
            reply.send_response(response.status, response.headers, response.body)
            return
        raise make_no_server_error(self._admission, exchange)

    def _handle_timeout(self, exchange: Exchange) -> None:
        stopping = self.serving_time.is_cut(exchange.deadline)
        if exchange.reply.begun:
            reason = 'the process stops' if stopping else 'the time limit was exceeded'
            self._abort_response(exchange, reason)
            return
        if not exchange.runs:
            if stopping:
                raise self._admission.make_stopping_error()
            raise make_no_server_error(self._admission, exchange)
        raise RefusedError(
            Refusal(
                HTTPStatus.GATEWAY_TIMEOUT,
                'stopping' if stopping else 'timeout',
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

    def _send_refusal(
        self,
        refusal: Refusal,
        request: CallerRequest,
        info: RequestInfo | None,
        reply: Reply,
        exchange: Exchange | None = None,
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
        headers = response.headers
        if refusal.outcome is Outcome.NOT_RUN:
            headers = [*headers, *_tell_sends(request, exchange)]
        try:
            reply.send_response(response.status, headers, response.body)
        except CallerDisconnected:
            logger.bind(request_id=request_id).info('caller left before the refusal')


def _tell_sends(request: CallerRequest, exchange: Exchange | None) -> Headers:
    """Return the header that tells a daemon how often its request was sent from here.

    :param exchange: ``None`` if the request was not admitted.
    """
    if exchange is None:
        return [render_sends(0)] if is_forwarded(request.headers) else []
    if exchange.forwarded_by is None:
        return []
    return [render_sends(exchange.sends - exchange.forwarded_sends)]
