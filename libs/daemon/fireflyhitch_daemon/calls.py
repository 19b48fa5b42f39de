"""Lifecycle of model calls: admission, sending, migration and accounting."""

from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from http import HTTPStatus
from threading import Lock

from loguru import logger

from fireflyhitch_daemon.attempts import AttemptManager
from fireflyhitch_daemon.call_recorder import CallRecorder, FinishedCall
from fireflyhitch_daemon.crash_guard import CrashGuard
from fireflyhitch_daemon.exchange import (
    CallerConnection,
    Exchange,
    ExchangeState,
)
from fireflyhitch_daemon.http_server import DETACHED, CallerRequest, Detached
from fireflyhitch_daemon.limit_guard import LimitGuard
from fireflyhitch_daemon.parsing import ModelRequest
from fireflyhitch_daemon.relay import Relay, RelayCallbacks
from fireflyhitch_daemon.selection import Selection
from fireflyhitch_daemon.upstream import Upstream
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.ids import RequestId
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_platform.engines import HttpEngines
from fireflyhitch_recovery.answers import AnswerEnd
from fireflyhitch_recovery.inflight import InFlight
from fireflyhitch_recovery.requests import AcceptedRequest, TrackedRequest
from fireflyhitch_routing.admission import Admission
from fireflyhitch_routing.retries import RetryBudget

RESEND_THREADS = 8
# How long callers may take to reconnect after a peer handed over their request.
HAND_OVER_RECONNECT_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class CallDependencies:
    """What ``ModelCalls`` depends on."""

    clock: Clock
    selection: Selection
    admission: Admission
    retries: RetryBudget
    in_flight: InFlight
    recorder: CallRecorder
    engines: HttpEngines
    crashes: CrashGuard
    limits: LimitGuard


class ModelCalls:
    """The model calls of this daemon.

    :param max_streams: the maximum number of concurrent streams.
    """

    def __init__(self, deps: CallDependencies, max_streams: int) -> None:
        self._deps = deps
        self._clock = deps.clock
        self._max_streams = max_streams
        self._lock = Lock()
        self._exchanges: dict[RequestId, Exchange] = {}
        self._workers = ThreadPoolExecutor(RESEND_THREADS, 'resend')
        callbacks = RelayCallbacks(
            lost=self._on_lost,
            first_event=self._on_first_event,
            ended=self._on_ended,
            orphaned=self._on_orphaned,
        )
        self.relay = Relay(deps.clock, callbacks)
        self._attempts = AttemptManager(deps, self.relay)

    def start(self) -> None:
        """Start the relay."""
        self.relay.start()

    def stop(self) -> None:
        """Stop the relay; streams still open are cut off."""
        self.relay.stop()
        self._workers.shutdown(wait=False, cancel_futures=True)

    def count_open(self) -> int:
        """Return the number of calls in progress at this daemon."""
        with self._lock:
            return len(self._exchanges)

    def count_free_streams(self) -> int:
        """Return the number of further streams that can be accepted."""
        return max(0, self._max_streams - self.count_open())

    def list_open(self) -> tuple[Exchange, ...]:
        """Return the calls in progress at this daemon."""
        with self._lock:
            return tuple(self._exchanges.values())

    def find_open(self, request_id: RequestId) -> Exchange | None:
        """Return a call in progress at this daemon."""
        with self._lock:
            return self._exchanges.get(request_id)

    def accept(self, request: CallerRequest, parsed: ModelRequest) -> Detached:
        """Send a call to a backend server and let the relay answer it.

        :raises RequestError: if it was not sent; it was not run.
        """
        if self.count_free_streams() == 0:
            raise _refuse_overload()
        accepted = AcceptedRequest(
            parsed.call, parsed.kind, request.body, parsed.streaming
        )
        self._deps.crashes.check(accepted.content)
        permit = self._deps.admission.admit(parsed.call)
        exchange = Exchange(self._deps.in_flight.register(accepted), permit)
        self._register(exchange)
        self._deps.retries.record_call(parsed.call.customer)
        try:
            self._attempts.start(exchange)
        except Exception as error:
            # Release the stream and the permit after any error; otherwise the
            # limits of this daemon and of the customer would shrink for good.
            exchange.error = _to_request_error(error)
            exchange.state = ExchangeState.FAILED
            self._on_ended(exchange)
            raise
        self.relay.add_connection(
            exchange, CallerConnection(request.detach(), parsed.streaming)
        )
        return DETACHED

    def take_over(self, tracked: TrackedRequest) -> None:
        """Continue a request that a peer handed over; does not block."""
        exchange = Exchange(tracked, sent=True)
        exchange.reconnect_until = self._clock.monotonic() + HAND_OVER_RECONNECT_SECONDS
        exchange.relayed = tracked.log.count()
        self._register(exchange)
        self._workers.submit(self._guard, exchange, self._attempts.resume)

    def migrate_from_servers(self, request_ids: Iterable[RequestId]) -> None:
        """Move answers to other servers before theirs stop; once from each server."""
        for request_id in request_ids:
            exchange = self.find_open(request_id)
            server_id = exchange.server_id if exchange else None
            if exchange is None or server_id is None or server_id in exchange.left:
                continue
            exchange.left.add(server_id)
            migrate = partial(self._attempts.migrate, server_id=server_id)
            self._workers.submit(self._guard, exchange, migrate)

    def _register(self, exchange: Exchange) -> None:
        with self._lock:
            self._exchanges[exchange.call.request_id] = exchange
        self._deps.recorder.metrics.count_stream(1)

    def _guard(self, exchange: Exchange, action: 'AttemptManager.Action') -> None:
        try:
            action(exchange)
        except RequestError as error:
            self.relay.fail(exchange, error)
        except Exception as error:
            logger.bind(request_id=exchange.call.request_id).exception('resend failed')
            self.relay.fail(exchange, _to_request_error(error))

    def _on_lost(self, exchange: Exchange, upstream: Upstream, reason: str) -> None:
        logger.bind(
            request_id=exchange.call.request_id,
            step=Step.RELAY.value,
            peer=upstream.server_id,
            attempt=exchange.attempts,
            reason=reason,
        ).warning('attempt lost')
        self._workers.submit(
            self._guard,
            exchange,
            lambda lost: self._attempts.recover(lost, upstream, reason),
        )

    def _on_first_event(self, exchange: Exchange) -> None:
        ticket = exchange.ticket
        if ticket is None:
            return
        self._deps.selection.router.first_token(ticket)
        if exchange.upstream is not None:
            self._deps.limits.record_response(
                ticket.choice.server, exchange.upstream.limit, ticket.started
            )

    def _on_orphaned(self, exchange: Exchange) -> None:
        self._attempts.finish(exchange)

    def _on_ended(self, exchange: Exchange) -> None:
        """Release and record a call that has ended; called once for each call."""
        with self._lock:
            self._exchanges.pop(exchange.call.request_id, None)
        self._deps.recorder.metrics.count_stream(-1)
        server = self._attempts.finish(exchange)
        tokens = exchange.tracked.log.count()
        if exchange.permit is not None:
            used = exchange.call.prompt_tokens + tokens
            self._deps.admission.release(exchange.permit, used)
        if exchange.state is ExchangeState.MOVED:
            self._deps.in_flight.leave(exchange.tracked)
            return
        done = exchange.state is ExchangeState.DONE
        end = AnswerEnd.COMPLETE if done else AnswerEnd.FAILED
        self._deps.in_flight.finish(exchange.tracked, end)
        timing = exchange.timing
        first = timing.first_event
        arrived = exchange.call.arrived
        self._deps.recorder.record_call(
            FinishedCall(
                call=exchange.call,
                server=server,
                status=exchange.error.status if exchange.error else HTTPStatus.OK,
                outcome=_find_outcome(exchange),
                ok=exchange.error is None,
                tokens=tokens,
                attempts=exchange.attempts,
                first_token=None if first is None else first - arrived,
                longest_gap=timing.longest_gap,
                seconds=self._clock.monotonic() - arrived,
            )
        )


def _find_outcome(exchange: Exchange) -> Outcome:
    if exchange.error is not None:
        return exchange.error.outcome
    return Outcome.RAN


def _refuse_overload() -> RequestError:
    return RequestError(
        'this daemon carries as many streams as it can carry well',
        step=Step.ADMIT,
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        code='overloaded',
        retry_after=timedelta(seconds=1),
    )


def _to_request_error(error: Exception) -> RequestError:
    if isinstance(error, RequestError):
        return error
    return RequestError(
        f'the call could not be gone on with: {error!r}',
        step=Step.RESUME,
        status=HTTPStatus.INTERNAL_SERVER_ERROR,
        code='internal_error',
        outcome=Outcome.UNKNOWN,
    )
