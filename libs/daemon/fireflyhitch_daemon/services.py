"""Calls to plain services; non-repeatable calls are executed at most once."""

from dataclasses import dataclass, field
from http import HTTPStatus
from http.client import HTTPException
from threading import Lock
from urllib.parse import quote

from urllib3 import HTTPResponse
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from fireflyhitch_daemon.call_recorder import CallRecorder, FinishedCall
from fireflyhitch_daemon.crash_guard import CrashGuard
from fireflyhitch_daemon.dispatch import open_connection
from fireflyhitch_daemon.http_server import OUTCOME_HEADER, CallerRequest, Response
from fireflyhitch_daemon.limit_guard import LIMIT_HEADER, LimitGuard
from fireflyhitch_daemon.parsing import authenticate, find_service, read_deadline
from fireflyhitch_daemon.selection import Selection
from fireflyhitch_daemon.service_responses import (
    build_response,
    build_stored_answer,
    classify_response,
    describe_connect_failure,
    describe_lost,
    describe_refused,
    forward_headers,
    restore_answer,
)
from fireflyhitch_ledger.keys import MAX_KEY_CHARACTERS, CallKey, digest_body
from fireflyhitch_ledger.ledger import Ledger
from fireflyhitch_ledger.results import (
    Attempt,
    Claimed,
    Stored,
    build_answer_not_kept,
    build_missing_key,
    build_refusal,
)
from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.calls import Call
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.identity import identify_content
from fireflyhitch_model.ids import (
    BackendServerId,
    ContentId,
    IdempotencyKey,
    RequestId,
)
from fireflyhitch_model.states import Outcome
from fireflyhitch_routing.admission import Admission
from fireflyhitch_routing.choices import CallResult, Choice, ResultStatus, Ticket
from fireflyhitch_routing.retries import RetryBudget
from fireflyhitch_settings.schema import Configuration, ServiceDeployment

SERVICES_PREFIX = '/services/'
MIN_TIMEOUT_SECONDS = 0.001
# Exceptions by which the underlying libraries report a failed connection.
CONNECTION_ERRORS = (HTTPError, HTTPException, OSError, ValueError)
KEY_HEADER = 'idempotency-key'
# Methods that HTTP defines as idempotent may be retried after a lost answer.
IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'TRACE'))


@dataclass(frozen=True, slots=True)
class ServiceDependencies:
    """What ``ServiceCalls`` depends on."""

    clock: Clock
    selection: Selection
    admission: Admission
    retries: RetryBudget
    ledger: Ledger
    recorder: CallRecorder
    crashes: CrashGuard
    limits: LimitGuard


@dataclass(slots=True)
class _ServiceCall:
    """A call and its state.

    :param content: equal for all calls with the same request.
    :param claim: set while a non-repeatable call is claimed by this daemon.
    :param sent: whether any attempt was started on a connection.
    """

    call: Call
    deployment: ServiceDeployment
    request: CallerRequest
    target: str
    key: IdempotencyKey | None
    content: ContentId
    claim: Attempt | None = None
    sent: bool = False
    attempts: int = 0
    tried: set[BackendServerId] = field(default_factory=set)
    server: BackendServer | None = None


class ServiceCalls:
    """Answers calls below ``/services/`` on the thread that reads them."""

    def __init__(self, deps: ServiceDependencies) -> None:
        self._deps = deps
        self._clock = deps.clock
        self._lock = Lock()
        self._running = 0

    def count_running(self) -> int:
        """Return the number of calls in progress."""
        with self._lock:
            return self._running

    def answer(
        self,
        request: CallerRequest,
        configuration: Configuration,
        request_id: RequestId,
    ) -> Response:
        """Answer a call.

        :raises RequestError: with the known outcome of the call.
        """
        with self._lock:
            self._running += 1
        try:
            return self._answer(request, configuration, request_id)
        finally:
            with self._lock:
                self._running -= 1

    def _answer(
        self,
        request: CallerRequest,
        configuration: Configuration,
        request_id: RequestId,
    ) -> Response:
        service = self._parse_call(request, configuration, request_id)
        self._deps.crashes.check(service.content)
        permit = self._deps.admission.admit(service.call)
        self._deps.retries.record_call(service.call.customer)
        started = self._clock.monotonic()
        try:
            answer = self._run(service)
        except RequestError as error:
            self._record(service, started, error.status, error.outcome)
            raise
        finally:
            self._deps.admission.release(permit, service.call.prompt_tokens)
        self._record(service, started, answer.status, Outcome.RAN)
        return answer

    def _parse_call(
        self,
        request: CallerRequest,
        configuration: Configuration,
        request_id: RequestId,
    ) -> _ServiceCall:
        customer = authenticate(request, configuration)
        name, _, rest = request.path.removeprefix(SERVICES_PREFIX).partition('/')
        deployment = find_service(configuration, customer, name)
        now = self._clock.monotonic()
        repeatable = request.method not in deployment.non_repeatable_methods
        target = f'/{quote(rest)}'
        if request.query:
            target = f'{target}?{request.query}'
        call = Call(
            request_id=request_id,
            customer=customer.customer_id,
            deployment=deployment.name,
            route=f'{request.method} /{rest.partition("/")[0]}',
            priority=customer.priority,
            prompt_tokens=1,
            max_tokens=0,
            prefix_blocks=(),
            arrived=now,
            deadline=read_deadline(request, now, deployment.timeout_seconds),
            repeatable=repeatable,
        )
        given = request.headers.get(KEY_HEADER)
        if not repeatable and not 0 < len(given or '') <= MAX_KEY_CHARACTERS:
            raise build_missing_key()
        key = IdempotencyKey(given) if given else None
        content = identify_content(
            customer.customer_id, request.method, f'{name}{target}', request.body
        )
        return _ServiceCall(call, deployment, request, target, key, content)

    def _run(self, service: _ServiceCall) -> Response:
        if service.call.repeatable:
            return self._send(service)
        stored = self._claim(service)
        if stored is not None:
            return stored
        try:
            return self._send(service)
        except RequestError as error:
            self._record_failure(service, error)
            raise

    def _claim(self, service: _ServiceCall) -> Response | None:
        """Claim the call, or return the stored answer if it ran before."""
        assert service.key is not None
        call, request = service.call, service.request
        key = CallKey(call.customer, call.deployment, service.key)
        digest = digest_body(request.method, service.target, request.body)
        claim = self._deps.ledger.claim(key, digest, call)
        if isinstance(claim, Claimed):
            service.claim = claim.attempt
            return None
        if isinstance(claim, Stored):
            if claim.answer is None:
                raise build_answer_not_kept()
            return restore_answer(claim.answer)
        raise build_refusal(claim)

    def _send(self, service: _ServiceCall) -> Response:
        """Try servers one after another, as long as a retry is safe."""
        while True:
            choice = self._deps.selection.choose(service.call, service.tried)
            try:
                return self._send_once(service, choice)
            except RequestError as error:
                if not self._may_retry(service, error):
                    raise

    def _send_once(self, service: _ServiceCall, choice: Choice) -> Response:
        service.tried.add(choice.server.server_id)
        service.server = choice.server
        service.attempts += 1
        ticket = self._deps.selection.router.start(choice, service.call)
        started = self._clock.monotonic()
        try:
            answer = self._attempt(service, choice.server, started)
        except RequestError as error:
            refused = error.outcome is Outcome.NOT_RUN
            failed = ResultStatus.REFUSED if refused else ResultStatus.FAILED
            self._finish(ticket, failed, started)
            raise
        self._finish(ticket, classify_response(answer), started)
        return answer

    def _attempt(
        self, service: _ServiceCall, server: BackendServer, started: float
    ) -> Response:
        """Send the call to a server once.

        :param started: monotonic time in seconds at which this attempt began.
        :raises RequestError: ``not-run`` if nothing was sent or the server
            reported that it refused the call before executing it.
        """
        try:
            connection = open_connection(server.address)
        except OSError as error:
            raise describe_connect_failure(server, error) from error
        try:
            self._mark_sent(service)
            self._deps.limits.record_sent(server)
            received = self._exchange(service, connection)
        except CONNECTION_ERRORS as error:
            self._deps.crashes.record_broken_response(server, service.content, started)
            raise describe_lost(server, error) from error
        finally:
            connection.close()
        self._deps.limits.record_response(
            server, received.headers.get(LIMIT_HEADER), started
        )
        if received.headers.get(OUTCOME_HEADER) == Outcome.NOT_RUN.value:
            raise describe_refused(server, received)
        answer = build_response(received)
        if classify_response(answer) is ResultStatus.SUCCEEDED:
            self._deps.crashes.record_response(service.content)
        if service.claim is not None:
            self._deps.ledger.record_ran(service.claim, build_stored_answer(answer))
            service.claim = None
        return answer

    def _mark_sent(self, service: _ServiceCall) -> None:
        claim = service.claim
        if claim is not None:
            # The ledger rejects an expired claim here and records that itself;
            # without a claim set no second record is written.
            service.claim = None
            self._deps.ledger.mark_sent(claim)
            service.claim = claim
        service.sent = True

    def _exchange(
        self, service: _ServiceCall, connection: HTTPConnection
    ) -> HTTPResponse:
        left = max(service.call.deadline - self._clock.monotonic(), MIN_TIMEOUT_SECONDS)
        assert connection.sock is not None
        connection.sock.settimeout(left)
        connection.request(
            service.request.method,
            service.target,
            body=service.request.body or None,
            headers=forward_headers(
                service.request.headers, service.call.request_id, left
            ),
        )
        return connection.getresponse()

    def _may_retry(self, service: _ServiceCall, error: RequestError) -> bool:
        """Return whether another server may be tried.

        A claimed call that was sent is never resent under the same claim, even if
        it was refused: the claim is released and the caller has to retry.
        """
        if service.claim is not None and service.sent:
            return False
        if self._deps.crashes.find_remaining_hold(service.content):
            return False
        not_run = error.outcome is Outcome.NOT_RUN
        if not not_run and service.request.method not in IDEMPOTENT_METHODS:
            return False
        return self._deps.retries.take(service.call, error.outcome)

    def _record_failure(self, service: _ServiceCall, error: RequestError) -> None:
        claim = service.claim
        if claim is None:
            return
        service.claim = None
        if error.outcome is Outcome.NOT_RUN:
            self._deps.ledger.record_not_run(claim, refused=service.sent)
            return
        self._deps.ledger.record_unknown(claim)

    def _finish(self, ticket: Ticket, result: ResultStatus, started: float) -> None:
        seconds = self._clock.monotonic() - started
        self._deps.selection.router.finish(ticket, CallResult(result, seconds=seconds))
        self._deps.recorder.record_attempt(
            ticket,
            ok=result is ResultStatus.SUCCEEDED,
            first_token=seconds,
            between_tokens=None,
        )

    def _record(
        self, service: _ServiceCall, started: float, status: int, outcome: Outcome
    ) -> None:
        seconds = self._clock.monotonic() - started
        self._deps.recorder.record_call(
            FinishedCall(
                call=service.call,
                server=service.server,
                status=status,
                outcome=outcome,
                ok=status < HTTPStatus.INTERNAL_SERVER_ERROR,
                tokens=0,
                attempts=service.attempts,
                first_token=seconds,
                longest_gap=0,
                seconds=seconds,
            )
        )
