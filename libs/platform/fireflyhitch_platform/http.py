"""HTTP calls to the platform: timeouts, safe repeats, outcomes and counts."""

import ssl
import threading
import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus
from typing import Any, TypeVar

import urllib3
from pydantic import TypeAdapter, ValidationError
from tenacity import (
    Retrying,
    retry_if_exception,
    stop_after_attempt,
    wait_random_exponential,
)
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from fireflyhitch_model.clock import Clock, SystemClock
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.states import Outcome, Step

# The platform answers in milliseconds; a duty's lease allows for seconds.
DEFAULT_CONNECT_SECONDS = 1
DEFAULT_READ_SECONDS = 2
DEFAULT_ATTEMPTS = 3
MAX_PAUSE_SECONDS = 0.5
CONNECTIONS = 4

# The platform answers these without having done anything.
REFUSALS = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.NOT_FOUND, HTTPStatus.CONFLICT)
)


class Repeat(Enum):
    """When a call may be sent again.

    ``ALWAYS`` is for reads and idempotent writes; ``IF_NOT_RUN`` for writes
    whose second effect would do harm.
    """

    ALWAYS = 'always'
    IF_NOT_RUN = 'if-not-run'
    NEVER = 'never'


@dataclass(frozen=True, slots=True)
class Operation:
    """A kind of call.

    :param reads: a read has no effect, so a failed one never leaves doubt.
    """

    name: str
    method: str
    step: Step
    repeat: Repeat = Repeat.ALWAYS

    @property
    def reads(self) -> bool:
        """Whether it changes nothing."""
        return self.method == 'GET'


@dataclass(frozen=True, slots=True)
class CallRecord:
    """One call as it counts against the platform's rates.

    :param outcome: ``ran`` if it was answered.
    """

    service: str
    operation: str
    outcome: Outcome
    seconds: float


CallObserver = Callable[[CallRecord], None]


class StatusError(PlatformError):
    """The service answered with an error status."""

    def __init__(self, message: str, status: int, **place: Any) -> None:
        super().__init__(message, **place)
        self.status = status


class CallCounts:
    """Counts calls by service, operation and outcome; safe in any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[tuple[str, str, Outcome]] = Counter()

    def observe(self, record: CallRecord) -> None:
        """Count one call."""
        with self._lock:
            self._counts[record.service, record.operation, record.outcome] += 1

    def count(self, service: str, operation: str, outcome: Outcome) -> int:
        """Return how many calls of a kind ended in an outcome."""
        with self._lock:
            return self._counts[service, operation, outcome]


@dataclass(frozen=True, slots=True)
class CallPolicy:
    """How long a call may take and how often it is sent.

    :param observer: told of each call, also of those sent again.
    :param pause: waits between attempts, in seconds.
    """

    connect_seconds: float = DEFAULT_CONNECT_SECONDS
    read_seconds: float = DEFAULT_READ_SECONDS
    attempts: int = DEFAULT_ATTEMPTS
    observer: CallObserver | None = None
    pause: Callable[[float], None] = time.sleep
    clock: Clock = field(default_factory=SystemClock)
    tls: ssl.SSLContext | None = None


@dataclass(frozen=True, slots=True)
class PlatformResponse:
    """An answer that is no error."""

    status: int
    headers: Mapping[str, str]
    body: bytes


Parsed = TypeVar('Parsed')


class PlatformHttp:
    """Calls one service of the platform.

    :param service: its name in errors and counts.
    """

    def __init__(self, service: str, policy: CallPolicy | None = None) -> None:
        self._service = service
        self._policy = policy or CallPolicy()
        timeout = urllib3.Timeout(
            connect=self._policy.connect_seconds, read=self._policy.read_seconds
        )
        self._pool = urllib3.PoolManager(
            maxsize=CONNECTIONS,
            timeout=timeout,
            retries=False,
            ssl_context=self._policy.tls,
        )

    def call(
        self,
        operation: Operation,
        url: str,
        document: object = None,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
    ) -> PlatformResponse:
        """Send a call, again where that is safe.

        :param document: sent as JSON; ``body`` is sent as it is.
        :raises PlatformError: with ``not-run`` only where that is certain.
        """
        attempt = _Attempt(self._pool, operation, url, document, headers, body)
        retrying = Retrying(
            retry=retry_if_exception(lambda error: _may_repeat(operation, error)),
            stop=stop_after_attempt(self._policy.attempts),
            wait=wait_random_exponential(max=MAX_PAUSE_SECONDS),
            sleep=self._policy.pause,
            reraise=True,
        )
        return retrying(self._call_once, attempt)

    def _call_once(self, attempt: '_Attempt') -> PlatformResponse:
        started = self._policy.clock.monotonic()
        outcome = Outcome.RAN
        try:
            return attempt.send()
        except PlatformError as error:
            outcome = error.outcome
            raise
        finally:
            seconds = self._policy.clock.monotonic() - started
            if self._policy.observer is not None:
                name = attempt.operation.name
                record = CallRecord(self._service, name, outcome, seconds)
                self._policy.observer(record)


def parse_body(
    adapter: TypeAdapter[Parsed], response: PlatformResponse, step: Step, peer: str
) -> Parsed:
    """Return an answer's body, checked.

    :raises PlatformError: if it is not what the service promises.
    """
    try:
        return adapter.validate_json(response.body)
    except ValidationError as error:
        message = f'unexpected answer: {error.error_count()} errors'
        raise PlatformError(message, step=step, peer=peer) from error


@dataclass(frozen=True, slots=True)
class _Attempt:
    pool: urllib3.PoolManager
    operation: Operation
    url: str
    document: object
    headers: Mapping[str, str] | None
    body: bytes | None

    def send(self) -> PlatformResponse:
        options: dict[str, Any] = {'headers': dict(self.headers or {})}
        if self.document is not None:
            options['json'] = self.document
        elif self.body is not None:
            options['body'] = self.body
        try:
            response = self.pool.request(self.operation.method, self.url, **options)
        except HTTPError as error:
            raise self._error(str(error), _judge_failure(error)) from error
        if response.status >= HTTPStatus.BAD_REQUEST:
            raise self._status_error(response)
        return PlatformResponse(response.status, response.headers, response.data)

    def _status_error(self, response: urllib3.BaseHTTPResponse) -> StatusError:
        return StatusError(
            f'{self.operation.name} answered with status {response.status}',
            response.status,
            step=self.operation.step,
            peer=self.url,
            outcome=self._bound(_judge_status(response)),
        )

    def _error(self, message: str, outcome: Outcome) -> PlatformError:
        return PlatformError(
            message,
            step=self.operation.step,
            peer=self.url,
            outcome=self._bound(outcome),
        )

    def _bound(self, outcome: Outcome) -> Outcome:
        return Outcome.NOT_RUN if self.operation.reads else outcome


def _may_repeat(operation: Operation, error: BaseException) -> bool:
    if not isinstance(error, PlatformError) or operation.repeat is Repeat.NEVER:
        return False
    if operation.repeat is Repeat.IF_NOT_RUN:
        return error.outcome is Outcome.NOT_RUN
    return True


def _judge_failure(error: HTTPError) -> Outcome:
    # Without a connection nothing was sent. A connection that breaks later
    # may have carried the request, so its effect stays unknown.
    if isinstance(error, (NewConnectionError, ConnectTimeoutError)):
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


def _judge_status(response: urllib3.BaseHTTPResponse) -> Outcome:
    if response.status in REFUSALS:
        return Outcome.NOT_RUN
    try:
        document = response.json()
    except ValueError:
        document = {}
    said = document.get('outcome') if isinstance(document, dict) else None
    if said == Outcome.NOT_RUN.value:
        return Outcome.NOT_RUN
    if response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN
