"""Calls of plain services: at most once where a call may not be repeated."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from threading import Lock
from urllib.parse import quote

from loguru import logger
from urllib3 import HTTPResponse
from urllib3.exceptions import HTTPError

from fireflyhitch_daemon.accounts import Accounts, EndedCall
from fireflyhitch_daemon.dispatch import open_connection
from fireflyhitch_daemon.front import OUTCOME_HEADER, CallerRequest, Header, Response
from fireflyhitch_daemon.parsing import authenticate, find_service, read_deadline
from fireflyhitch_daemon.selection import Selection
from fireflyhitch_ledger.keys import CallKey, digest_body
from fireflyhitch_ledger.ledger import Ledger
from fireflyhitch_ledger.operations import Answer, AnswerHeader
from fireflyhitch_ledger.results import (
    Attempt,
    Claimed,
    Stored,
    build_missing_key,
    build_refusal,
    build_too_large,
)
from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.calls import Call
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.ids import BackendServerId, IdempotencyKey, RequestId
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_routing.admission import Admission
from fireflyhitch_routing.choices import CallResult, Choice, ResultStatus, Ticket
from fireflyhitch_routing.retries import RetryBudget
from fireflyhitch_settings.schema import Configuration, ServiceDeployment

SERVICES_PREFIX = '/services/'
LEAST_SECONDS = 0.001
KEY_HEADER = 'idempotency-key'
# Methods that HTTP defines as idempotent may be sent again after a lost answer.
IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'TRACE'))
# Headers that belong to one connection, or that this daemon sets itself.
OWN_HEADERS = frozenset(
    (
        'authorization',
        'connection',
        'content-length',
        'expect',
        'fireflyhitch-deadline-ms',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


@dataclass(frozen=True, slots=True)
class ServiceParts:
    """What calls of plain services are made with."""

    clock: Clock
    selection: Selection
    admission: Admission
    retries: RetryBudget
    ledger: Ledger
    accounts: Accounts


@dataclass(slots=True)
class _ServiceCall:
    """One call and what became of it so far.

    :param claim: set while the call may not be repeated and is ours to send.
    :param sent: whether any attempt's first byte went out.
    """

    call: Call
    deployment: ServiceDeployment
    request: CallerRequest
    target: str
    key: IdempotencyKey | None
    claim: Attempt | None = None
    sent: bool = False
    attempts: int = 0
    tried: set[BackendServerId] = field(default_factory=set)
    server: BackendServer | None = None


class ServiceCalls:
    """Answers calls below ``/services/`` on the thread that brings them."""

    def __init__(self, parts: ServiceParts) -> None:
        self._parts = parts
        self._clock = parts.clock
        self._lock = Lock()
        self._running = 0

    def count_running(self) -> int:
        """Return how many calls are in progress."""
        with self._lock:
            return self._running

    def answer(
        self,
        request: CallerRequest,
        configuration: Configuration,
        request_id: RequestId,
    ) -> Response:
        """Answer a call.

        :raises RequestError: with what is known of its execution.
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
        service = self._read_call(request, configuration, request_id)
        permit = self._parts.admission.admit(service.call)
        self._parts.retries.record_call(service.call.customer)
        started = self._clock.monotonic()
        try:
            answer = self._run(service)
        except RequestError as error:
            self._record(service, started, error.status, error.outcome)
            raise
        finally:
            self._parts.admission.release(permit, service.call.prompt_tokens)
        self._record(service, started, answer.status, Outcome.RAN)
        return answer

    def _read_call(
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
        if not repeatable and not given:
            raise build_missing_key()
        key = IdempotencyKey(given) if given else None
        return _ServiceCall(call, deployment, request, target, key)

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
        """Claim the call; return the stored answer if it ran before."""
        assert service.key is not None
        call, request = service.call, service.request
        key = CallKey(call.customer, call.deployment, service.key)
        digest = digest_body(request.method, service.target, request.body)
        claim = self._parts.ledger.claim(key, digest, call)
        if isinstance(claim, Claimed):
            service.claim = claim.attempt
            return None
        if isinstance(claim, Stored):
            if claim.answer is None:
                raise build_too_large()
            return _restore(claim.answer)
        raise build_refusal(claim)

    def _send(self, service: _ServiceCall) -> Response:
        """Send to one server after another, as far as that is safe."""
        while True:
            choice = self._parts.selection.choose(service.call, service.tried)
            try:
                return self._send_once(service, choice)
            except RequestError as error:
                if not self._may_repeat(service, error):
                    raise

    def _send_once(self, service: _ServiceCall, choice: Choice) -> Response:
        service.tried.add(choice.server.server_id)
        service.server = choice.server
        service.attempts += 1
        ticket = self._parts.selection.router.start(choice, service.call)
        started = self._clock.monotonic()
        try:
            answer = self._attempt(service, choice.server)
        except RequestError as error:
            refused = error.outcome is Outcome.NOT_RUN
            failed = ResultStatus.REFUSED if refused else ResultStatus.FAILED
            self._finish(ticket, failed, started)
            raise
        self._finish(ticket, _judge(answer), started)
        return answer

    def _attempt(self, service: _ServiceCall, server: BackendServer) -> Response:
        """Send once to one server.

        :raises RequestError: ``not-run`` where nothing was sent or the server
            says that it refused the call before executing it.
        """
        try:
            connection = open_connection(server.address)
        except OSError as error:
            raise _describe_unreached(server, error) from error
        if service.claim is not None:
            self._parts.ledger.mark_sent(service.claim)
        service.sent = True
        left = max(service.call.deadline - self._clock.monotonic(), LEAST_SECONDS)
        assert connection.sock is not None
        connection.sock.settimeout(left)
        try:
            connection.request(
                service.request.method,
                service.target,
                body=service.request.body or None,
                headers=_forward_headers(service),
            )
            received = connection.getresponse()
        except (HTTPError, OSError, ValueError) as error:
            raise _describe_lost(server, error) from error
        finally:
            connection.close()
        if received.headers.get(OUTCOME_HEADER) == Outcome.NOT_RUN.value:
            raise _describe_refused(server, received)
        answer = _take(received)
        if service.claim is not None:
            self._parts.ledger.record_ran(service.claim, _keep(answer))
            service.claim = None
        return answer

    def _may_repeat(self, service: _ServiceCall, error: RequestError) -> bool:
        """Tell whether another server may be tried.

        A claimed call that was sent is never sent again under its claim, also
        when it was refused: the claim is given back, and the caller comes again.
        """
        if service.claim is not None and service.sent:
            return False
        not_run = error.outcome is Outcome.NOT_RUN
        if not not_run and service.request.method not in IDEMPOTENT_METHODS:
            return False
        return self._parts.retries.take(service.call, error.outcome)

    def _record_failure(self, service: _ServiceCall, error: RequestError) -> None:
        claim = service.claim
        if claim is None:
            return
        service.claim = None
        if error.outcome is Outcome.NOT_RUN:
            self._parts.ledger.record_not_run(claim, refused=service.sent)
            return
        self._parts.ledger.record_unknown(claim)

    def _finish(self, ticket: Ticket, result: ResultStatus, started: float) -> None:
        seconds = self._clock.monotonic() - started
        self._parts.selection.router.finish(ticket, CallResult(result, seconds=seconds))
        self._parts.accounts.record_attempt(
            ticket,
            ok=result is ResultStatus.SUCCEEDED,
            first_token=seconds,
            between_tokens=None,
        )

    def _record(
        self, service: _ServiceCall, started: float, status: int, outcome: Outcome
    ) -> None:
        seconds = self._clock.monotonic() - started
        self._parts.accounts.record_call(
            EndedCall(
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


def _forward_headers(service: _ServiceCall) -> Mapping[str, str]:
    headers = {
        name: text
        for name, text in service.request.headers.items()
        if name not in OWN_HEADERS
    }
    headers['X-Request-Id'] = service.call.request_id
    return headers


def _take(received: HTTPResponse) -> Response:
    headers = tuple(
        Header(name, text)
        for name, text in received.headers.items()
        if name.lower() not in OWN_HEADERS
    )
    ran = Header(OUTCOME_HEADER, Outcome.RAN.value)
    return Response(received.status, received.data, (*headers, ran))


def _keep(answer: Response) -> Answer:
    headers = tuple(
        AnswerHeader(name=header.name, value=header.value) for header in answer.headers
    )
    return Answer(status=answer.status, headers=headers, body=answer.body)


def _restore(answer: Answer) -> Response:
    headers = tuple(Header(header.name, header.value) for header in answer.headers)
    return Response(answer.status, answer.body, headers)


def _judge(answer: Response) -> ResultStatus:
    if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return ResultStatus.FAILED
    return ResultStatus.SUCCEEDED


def _describe_unreached(server: BackendServer, error: OSError) -> RequestError:
    return RequestError(
        f'the backend server was not reached: {error!r}',
        step=Step.CONNECT,
        peer=server.server_id,
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        code='backend_unreached',
    )


def _describe_refused(server: BackendServer, received: HTTPResponse) -> RequestError:
    logger.bind(step=Step.FIRST_BYTE.value, peer=server.server_id).warning('refused')
    return RequestError(
        f'the backend server refused the call with status {received.status}',
        step=Step.FIRST_BYTE,
        peer=server.server_id,
        status=HTTPStatus.SERVICE_UNAVAILABLE,
        code='backend_refused',
    )


def _describe_lost(server: BackendServer, error: Exception) -> RequestError:
    return RequestError(
        f'the answer was lost: {error!r}',
        step=Step.FIRST_BYTE,
        peer=server.server_id,
        status=HTTPStatus.BAD_GATEWAY,
        code='answer_lost',
        outcome=Outcome.UNKNOWN,
    )
