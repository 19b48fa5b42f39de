"""Model calls: accepted, sent, sent again where needed, and accounted for."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta
from http import HTTPStatus
from threading import Lock

from cachetools import LRUCache
from loguru import logger

from fireflyhitch_daemon.dispatch import send_call
from fireflyhitch_daemon.exchange import Exchange, ExchangeState, Follower
from fireflyhitch_daemon.front import DETACHED, CallerRequest, Detached
from fireflyhitch_daemon.parsing import ModelRequest
from fireflyhitch_daemon.relay import LostUpstream, Relay, RelayEvents
from fireflyhitch_daemon.selection import LeastInFlight
from fireflyhitch_daemon.upstream import Upstream
from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.ids import RequestId
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_telemetry.metrics import CallRecord, Metrics

MAX_ATTEMPTS = 4
RESEND_THREADS = 8
# Answers that ended are kept for callers that lost their connection.
KEPT_EXCHANGES = 2048


class ModelCalls:
    """The model calls of this daemon."""

    def __init__(
        self, clock: Clock, selector: LeastInFlight, metrics: Metrics, max_streams: int
    ) -> None:
        self._clock = clock
        self._selector = selector
        self._metrics = metrics
        self._max_streams = max_streams
        self._lock = Lock()
        self._open = 0
        self._kept: LRUCache[RequestId, Exchange] = LRUCache(KEPT_EXCHANGES)
        self._resenders = ThreadPoolExecutor(RESEND_THREADS, 'resend')
        self.relay = Relay(
            clock,
            RelayEvents(
                lost=self._on_lost,
                first_event=_ignore,
                ended=self._on_ended,
            ),
        )

    def start(self) -> None:
        """Start the relay."""
        self.relay.start()

    def stop(self) -> None:
        """Stop the relay; streams still open are cut off."""
        self.relay.stop()
        self._resenders.shutdown(wait=False)

    def count_open(self) -> int:
        """Return how many calls await their answer."""
        with self._lock:
            return self._open

    def find(self, request_id: RequestId) -> Exchange | None:
        """Return a call that is open or ended not long ago."""
        with self._lock:
            return self._kept.get(request_id)

    def accept(self, request: CallerRequest, asked: ModelRequest) -> Detached:
        """Send a call to a backend server and answer it from the relay.

        :raises RequestError: if it could not be sent; then it was not run.
        """
        exchange = Exchange(asked.call, asked.endpoint, asked.body, asked.streaming)
        self._enter(exchange)
        try:
            self._dispatch(exchange)
        except RequestError:
            self._leave(exchange)
            raise
        self.relay.follow(exchange, Follower(request.detach(), asked.streaming))
        return DETACHED

    def _enter(self, exchange: Exchange) -> None:
        with self._lock:
            if self._open >= self._max_streams:
                raise _refuse_overload()
            self._open += 1
            self._kept[exchange.call.request_id] = exchange
        self._metrics.count_stream(1)

    def _leave(self, exchange: Exchange) -> None:
        with self._lock:
            self._open -= 1
        self._metrics.count_stream(-1)

    def _dispatch(self, exchange: Exchange) -> None:
        """Send to one server after another until one takes the call."""
        while True:
            server = self._selector.take(exchange.call, exchange.tried)
            exchange.tried.add(server.server_id)
            try:
                upstream = send_call(exchange, server)
            except OSError as error:
                self._selector.release(server.server_id)
                self._log(exchange, 'backend server not reached', server, str(error))
                continue
            exchange.server = server
            exchange.timing.sent = self._clock.monotonic()
            self.relay.attach(exchange, upstream)
            return

    def _on_lost(
        self, exchange: Exchange, upstream: Upstream, lost: LostUpstream
    ) -> None:
        self._release(exchange)
        logger.bind(
            request_id=exchange.call.request_id,
            step=Step.RELAY.value,
            peer=upstream.server_id,
            attempt=lost.attempt,
        ).warning(f'attempt lost: {lost.reason}')
        if HTTPStatus.BAD_REQUEST <= lost.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            self.relay.fail(exchange, _pass_refusal(upstream, lost))
            return
        if exchange.attempts >= MAX_ATTEMPTS:
            self.relay.fail(exchange, _give_up(exchange, lost))
            return
        self._resenders.submit(self._resend, exchange)

    def _resend(self, exchange: Exchange) -> None:
        try:
            self._dispatch(exchange)
        except RequestError as error:
            # An earlier attempt was sent, so "not run" is no longer certain.
            error.outcome = Outcome.UNKNOWN
            self.relay.fail(exchange, error)

    def _on_ended(self, exchange: Exchange) -> None:
        self._release(exchange)
        self._leave(exchange)
        self._metrics.record_call(_describe(exchange, self._clock.monotonic()))
        logger.bind(
            request_id=exchange.call.request_id,
            customer=exchange.call.customer,
            deployment=exchange.call.deployment,
            step=Step.ANSWER.value,
            state=exchange.state.value,
            attempts=exchange.attempts,
            tokens=len(exchange.events),
        ).info('call ended')

    def _release(self, exchange: Exchange) -> None:
        if exchange.server is not None:
            self._selector.release(exchange.server.server_id)
            exchange.server = None

    def _log(
        self, exchange: Exchange, event: str, server: BackendServer, detail: str
    ) -> None:
        logger.bind(
            request_id=exchange.call.request_id,
            step=Step.CONNECT.value,
            peer=server.address,
            detail=detail,
        ).warning(event)


_ignore: Callable[[Exchange], None] = lambda exchange: None  # noqa: E731


def _describe(exchange: Exchange, now: float) -> CallRecord:
    timing = exchange.timing
    first = None
    if timing.first_event is not None:
        first = timing.first_event - exchange.call.arrived
    failed = exchange.error
    done = exchange.state is ExchangeState.DONE
    return CallRecord(
        customer=exchange.call.customer,
        deployment=exchange.call.deployment,
        version=None,
        status=failed.status if failed else HTTPStatus.OK,
        outcome=Outcome.RAN if done else Outcome.UNKNOWN,
        tokens=len(exchange.events),
        attempts=exchange.attempts,
        first_token_seconds=first,
        longest_gap_seconds=timing.longest_gap,
        seconds=now - exchange.call.arrived,
    )


def _refuse_overload() -> RequestError:
    return RequestError(
        'this daemon carries as many streams as it can carry well',
        step=Step.ADMIT,
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        code='overloaded',
        retry_after=timedelta(seconds=1),
    )


def _pass_refusal(upstream: Upstream, lost: LostUpstream) -> RequestError:
    return RequestError(
        f'the backend server refused the call: {lost.reason}',
        step=Step.FIRST_BYTE,
        peer=upstream.server_id,
        status=lost.status,
        code='backend_refused',
    )


def _give_up(exchange: Exchange, lost: LostUpstream) -> RequestError:
    return RequestError(
        f'no backend server finished the answer: {lost.reason}',
        step=Step.RELAY,
        status=HTTPStatus.BAD_GATEWAY,
        code='backend_lost',
        outcome=Outcome.UNKNOWN,
        retry_after=timedelta(seconds=1),
    )
