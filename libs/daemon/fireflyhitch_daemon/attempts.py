"""Attempts at a model call: the first one and retries after a server failure."""

import json
from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from threading import Lock
from typing import TYPE_CHECKING, TypeAlias

from loguru import logger

from fireflyhitch_daemon.dispatch import (
    build_stream_body,
    is_invalid_request,
    make_attempt_id,
    send_call,
    send_resume,
)
from fireflyhitch_daemon.exchange import Exchange, ExchangeState, ExportedCache
from fireflyhitch_daemon.relay import Relay
from fireflyhitch_daemon.upstream import Continuation, Upstream
from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.errors import PlatformError, RequestError
from fireflyhitch_model.ids import AttemptId, BackendServerId
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_recovery.answers import AnswerEnd, AttemptStream
from fireflyhitch_recovery.continuation import (
    LIMIT_FIELDS,
    GeneratedText,
    build_continuation,
    is_continuable,
    parse_generated_text,
)
from fireflyhitch_recovery.requests import Placement
from fireflyhitch_recovery.resume import (
    ResumeContext,
    ResumeKind,
    ResumePlan,
    plan_resume,
)
from fireflyhitch_routing.choices import CallResult, Choice, ResultStatus

if TYPE_CHECKING:
    from fireflyhitch_daemon.calls import CallDependencies

SECOND = timedelta(seconds=1)


class AttemptManager:
    """Sends and resumes calls; blocks, so it must not run on the relay's thread."""

    Action: TypeAlias = Callable[[Exchange], None]

    def __init__(self, deps: 'CallDependencies', relay: Relay) -> None:
        self._deps = deps
        self._clock = deps.clock
        self._relay = relay
        self._lock = Lock()

    def start(self, exchange: Exchange) -> None:
        """Send a call for the first time.

        :raises RequestError: if no server accepted it; it was not run.
        """
        self._send(exchange, exchange.tracked.log.current(), None)

    def recover(self, exchange: Exchange, upstream: Upstream, reason: str) -> None:
        """Retry, continue or complete a call whose attempt failed.

        :raises RequestError: if the answer cannot be continued.
        """
        if not exchange.open:
            return
        started = bool(exchange.tracked.log.count())
        refused = upstream.refused and not started
        self._record_loss(exchange, upstream)
        self._finish_ticket(
            exchange, ResultStatus.REFUSED if refused else ResultStatus.FAILED
        )
        if is_invalid_request(upstream.status):
            raise _describe_refusal(upstream, reason)
        if not refused:
            exchange.sent = True
        if self._deps.crashes.find_remaining_hold(exchange.tracked.accepted.content):
            raise _describe_failure(exchange, 'servers have ended under this call')
        outcome = Outcome.NOT_RUN if refused else Outcome.UNKNOWN
        if not self._deps.retries.take(exchange.call, outcome):
            raise _describe_failure(exchange, reason)
        broke_off = started and upstream.status == HTTPStatus.OK
        if broke_off and self._resume_stream(exchange):
            return
        self._continue(exchange)

    def resume(self, exchange: Exchange) -> None:
        """Continue an answer that another daemon started.

        :raises RequestError: if the answer cannot be continued.
        """
        if not self._resume_stream(exchange):
            self._continue(exchange)

    def migrate(self, exchange: Exchange, server_id: BackendServerId) -> None:
        """Move an answer to another server while its current one still runs.

        The KV cache is fetched first, since closing the stream cancels it.
        """
        started = self._clock.monotonic()
        placement = exchange.tracked.placement
        if placement is not None and placement.server_id == server_id:
            exchange.cache = self._export_cache(exchange, placement)
        if exchange.tracked.placement is placement:
            # Without a placement the old engine is not asked to resume the stream.
            exchange.tracked.placement = None
        logger.bind(
            request_id=exchange.call.request_id,
            step=Step.RESUME.value,
            peer=server_id,
            kv_tokens=exchange.cache.export.tokens if exchange.cache else 0,
            export_seconds=round(self._clock.monotonic() - started, 3),
        ).info('answer leaves its server')
        self._relay.drop_server(exchange, server_id, 'backend server is leaving')

    def finish(self, exchange: Exchange) -> BackendServer | None:
        """Record the last attempt of a finished call.

        :returns: the server of that attempt, if there was one.
        """
        ticket = exchange.ticket
        if ticket is None:
            return None
        done = exchange.state is ExchangeState.DONE
        if done:
            self._deps.crashes.record_response(exchange.tracked.accepted.content)
        self._finish_ticket(
            exchange, ResultStatus.SUCCEEDED if done else _find_end_status(exchange)
        )
        return ticket.choice.server

    def _record_loss(self, exchange: Exchange, upstream: Upstream) -> None:
        ticket = exchange.ticket
        if ticket is None:
            return
        if upstream.status:
            self._deps.limits.record_response(
                ticket.choice.server, upstream.limit, ticket.started
            )
        if upstream.refused:
            return
        content = exchange.tracked.accepted.content
        self._deps.crashes.record_broken_response(
            ticket.choice.server, content, ticket.started
        )

    def _resume_stream(self, exchange: Exchange) -> bool:
        """Reconnect to the engine that runs the stream.

        :returns: whether the engine was reached; if it no longer has the stream,
            it says so on the connection, and a continuation is sent instead.
        """
        placement = exchange.tracked.placement
        if placement is None:
            return False
        received = exchange.tracked.log.count()
        try:
            sock = send_resume(placement, received)
        except OSError:
            return False
        stream = exchange.tracked.log.current()
        # Resume only once: after a second failure another engine continues.
        exchange.tracked.placement = None
        self._relay.attach(exchange, Upstream(sock, stream, placement.server_id))
        return True

    def _continue(self, exchange: Exchange) -> None:
        """Have another engine continue after the text generated so far."""
        log = exchange.tracked.log
        events = log.read_after(0).events
        generated = parse_generated_text(events)
        if generated.finished:
            log.current().finish(AnswerEnd.COMPLETE)
            self._relay.complete(exchange)
            return
        plan = self._plan(exchange, generated)
        if plan.kind is ResumeKind.IMPOSSIBLE:
            raise _describe_failure(exchange, 'the request allows no continuation')
        stream = log.open_attempt()
        if stream is None:
            # The answer is being handed over to a peer or has moved to it.
            return
        self._deps.recorder.metrics.count_recomputed(plan.recomputed_tokens)
        try:
            self._send(exchange, stream, generated)
        except RequestError as error:
            if exchange.sent:
                # An earlier attempt was sent, so "not run" is no longer certain.
                error.outcome = Outcome.UNKNOWN
            raise

    def _plan(
        self, exchange: Exchange, generated: GeneratedText, kv_tokens: int = 0
    ) -> ResumePlan:
        if exchange.cache is not None:
            kv_tokens = exchange.cache.export.tokens
        return plan_resume(
            ResumeContext(
                prompt_tokens=exchange.call.prompt_tokens,
                generated_tokens=generated.tokens,
                kv_tokens=kv_tokens,
                continuable=is_continuable(exchange.tracked.accepted.body),
            )
        )

    def _export_cache(
        self, exchange: Exchange, placement: Placement
    ) -> ExportedCache | None:
        """Fetch an answer's KV cache if moving it is cheaper than recomputing it."""
        generated = parse_generated_text(exchange.tracked.log.read_after(0).events)
        total = exchange.call.prompt_tokens + generated.tokens
        plan = self._plan(exchange, generated, kv_tokens=total)
        if plan.kind is not ResumeKind.KV_IMPORT:
            return None
        attempt = placement.engine_attempt
        try:
            export = self._deps.engines.export_kv(placement.server_id, attempt)
        except PlatformError as error:
            _log_cache_failure(exchange, placement.server_id, error)
            return None
        return ExportedCache(attempt, export)

    def _import_cache(
        self, exchange: Exchange, server: BackendServer
    ) -> AttemptId | None:
        """Send an answer's KV cache to the engine that continues it.

        :returns: the attempt that the cache belongs to; ``None`` if the engine has
            to recompute it.
        """
        cache = exchange.cache
        if cache is None:
            return None
        try:
            self._deps.engines.import_kv(server.server_id, cache.attempt, cache.export)
        except PlatformError as error:
            _log_cache_failure(exchange, server.server_id, error)
            return None
        return cache.attempt

    def _send(
        self,
        exchange: Exchange,
        stream: AttemptStream,
        generated: GeneratedText | None,
    ) -> None:
        """Try servers one after another until a connection succeeds."""
        body = _build_body(exchange, generated)
        continuation = _find_continuation(exchange, generated)
        offset = exchange.tracked.log.count()
        while True:
            choice = self._deps.selection.choose(exchange.call, exchange.tried)
            server = choice.server
            exchange.tried.add(server.server_id)
            attempt = make_attempt_id(exchange.call.request_id, stream.tag)
            self._start_ticket(exchange, choice)
            try:
                sock = send_call(
                    server,
                    exchange.tracked.accepted,
                    body,
                    attempt,
                    exchange.call.deadline - self._clock.monotonic(),
                    self._import_cache(exchange, server),
                )
            except OSError as error:
                self._finish_ticket(exchange, ResultStatus.REFUSED)
                _log_connect_failure(exchange, server, error)
                continue
            exchange.offset = offset
            exchange.tracked.placement = Placement(
                server.server_id, server.address, attempt, offset
            )
            upstream = Upstream(sock, stream, server.server_id, continuation)
            self._relay.attach(exchange, upstream)
            return

    def _start_ticket(self, exchange: Exchange, choice: Choice) -> None:
        exchange.attempts += 1
        self._deps.limits.record_sent(choice.server)
        exchange.ticket = self._deps.selection.router.start(choice, exchange.call)

    def _finish_ticket(self, exchange: Exchange, status: ResultStatus) -> None:
        with self._lock:
            # A deadline may end a call on the relay's thread while this thread
            # prepares its next attempt; each ticket must be finished only once.
            ticket = exchange.ticket
            exchange.ticket = None
        if ticket is None:
            return
        now = self._clock.monotonic()
        tokens = exchange.tracked.log.count() - exchange.offset
        seconds = now - ticket.started
        outcome = CallResult(status, generated_tokens=tokens, seconds=seconds)
        self._deps.selection.router.finish(ticket, outcome)
        if status is ResultStatus.CANCELLED:
            return
        first = None
        gap = None
        if ticket.first_token_at is not None:
            first = ticket.first_token_at - ticket.started
            gap = (seconds - first) / max(tokens - 1, 1)
        self._deps.recorder.record_attempt(
            ticket,
            ok=status is ResultStatus.SUCCEEDED,
            first_token=first,
            between_tokens=gap,
        )


def _build_body(exchange: Exchange, generated: GeneratedText | None) -> bytes:
    accepted = exchange.tracked.accepted
    body = build_stream_body(accepted.body, with_usage=not accepted.streaming)
    if generated is None or not generated.tokens:
        return body
    return _clamp_token_limits(build_continuation(accepted.kind, body, generated))


def _clamp_token_limits(body: bytes) -> bytes:
    """Raise a continuation's token limits to at least 1; engines reject 0."""
    request = json.loads(body)
    for field in LIMIT_FIELDS:
        if request.get(field) is not None:
            request[field] = max(1, request[field])
    return json.dumps(request).encode()


def _find_continuation(
    exchange: Exchange, generated: GeneratedText | None
) -> Continuation | None:
    if generated is None or not generated.tokens:
        return None
    first = exchange.tracked.log.read_after(0).events[0]
    return Continuation(first, generated.tokens)


def _find_end_status(exchange: Exchange) -> ResultStatus:
    if exchange.state is ExchangeState.FAILED:
        return ResultStatus.FAILED
    return ResultStatus.CANCELLED


def _log_connect_failure(
    exchange: Exchange, server: BackendServer, error: OSError
) -> None:
    logger.bind(
        request_id=exchange.call.request_id,
        step=Step.CONNECT.value,
        peer=server.address,
        error=repr(error),
    ).warning('backend server could not be reached')


def _log_cache_failure(
    exchange: Exchange, server: BackendServerId, error: PlatformError
) -> None:
    logger.bind(
        request_id=exchange.call.request_id, step=error.step.value, peer=server
    ).warning(f'KV cache could not be moved: {error.message}')


def _describe_refusal(upstream: Upstream, reason: str) -> RequestError:
    return RequestError(
        f'the backend server refused the call: {reason}',
        step=Step.FIRST_BYTE,
        peer=upstream.server_id,
        status=upstream.status,
        code='backend_refused',
    )


def _describe_failure(exchange: Exchange, reason: str) -> RequestError:
    return RequestError(
        f'no backend server finished the answer: {reason}',
        step=Step.RELAY,
        status=HTTPStatus.BAD_GATEWAY,
        code='backend_lost',
        outcome=Outcome.UNKNOWN if exchange.sent else Outcome.NOT_RUN,
        retry_after=SECOND,
    )
