"""HTTP calls to the platform with timeouts, safe retries and call counts."""

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

# The platform responds in milliseconds; a duty's lease leaves room for seconds.
DEFAULT_CONNECT_SECONDS = 1
DEFAULT_READ_SECONDS = 2
DEFAULT_ATTEMPTS = 3
MAX_BACKOFF_SECONDS = 0.5
CONNECTIONS = 4

# The platform returns these statuses without having had any effect.
NOT_RUN_STATUSES = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.NOT_FOUND, HTTPStatus.CONFLICT)
)


class RetryPolicy(Enum):
    """When a call may be retried.

    ``ALWAYS`` is for reads and idempotent writes, ``IF_NOT_RUN`` for writes
    that must not take effect twice.
    """

    ALWAYS = 'always'
    IF_NOT_RUN = 'if-not-run'
    NEVER = 'never'


@dataclass(frozen=True, slots=True)
class Operation:
    """A type of platform call.

    :param is_read: whether it has no effect, so that a failed call counts as
        not run.
    """

    name: str
    method: str
    step: Step
    retry_policy: RetryPolicy = RetryPolicy.ALWAYS

    @property
    def is_read(self) -> bool:
        """Return whether the call has no effect."""
        return self.method == 'GET'


@dataclass(frozen=True, slots=True)
class CallRecord:
    """One call that counts against the platform's rate limits.

    :param outcome: ``ran`` if a response was received.
    """

    service: str
    operation: str
    outcome: Outcome
    seconds: float


CallObserver = Callable[[CallRecord], None]


class StatusError(PlatformError):
    """The service returned an error status."""

    def __init__(self, message: str, status: int, **place: Any) -> None:
        super().__init__(message, **place)
        self.status = status


class CallCounts:
    """Thread-safe call counts by service, operation and outcome."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[tuple[str, str, Outcome]] = Counter()

    def observe(self, record: CallRecord) -> None:
        """Count one call."""
        with self._lock:
            self._counts[record.service, record.operation, record.outcome] += 1

    def count(self, service: str, operation: str, outcome: Outcome) -> int:
        """Return the number of calls of an operation with an outcome."""
        with self._lock:
            return self._counts[service, operation, outcome]


@dataclass(frozen=True, slots=True)
class CallPolicy:
    """Timeouts and retries of calls.

    :param observer: called for each attempt, including retries.
    :param sleep: waits between attempts, in seconds.
    """

    connect_seconds: float = DEFAULT_CONNECT_SECONDS
    read_seconds: float = DEFAULT_READ_SECONDS
    attempts: int = DEFAULT_ATTEMPTS
    observer: CallObserver | None = None
    sleep: Callable[[float], None] = time.sleep
    clock: Clock = field(default_factory=SystemClock)
    tls: ssl.SSLContext | None = None


@dataclass(frozen=True, slots=True)
class PlatformResponse:
    """A response without an error status."""

    status: int
    headers: Mapping[str, str]
    body: bytes


Parsed = TypeVar('Parsed')


class PlatformHttp:
    """Calls one service of the platform.

    :param service: its name in call records.
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
        """Send a call and retry it where that is safe.

        :param document: sent as JSON; ``body`` is sent unchanged.
        :raises PlatformError: with outcome ``not-run`` only if that is certain.
        """
        attempt = _Attempt(self._pool, operation, url, document, headers, body)
        retrying = Retrying(
            retry=retry_if_exception(lambda error: _may_retry(operation, error)),
            stop=stop_after_attempt(self._policy.attempts),
            wait=wait_random_exponential(max=MAX_BACKOFF_SECONDS),
            sleep=self._policy.sleep,
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
    """Validate and return a response body.

    :raises PlatformError: if it does not have the expected form.
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
            raise self._error(str(error), _classify_failure(error)) from error
        if response.status >= HTTPStatus.BAD_REQUEST:
            raise self._status_error(response)
        return PlatformResponse(response.status, response.headers, response.data)

    def _status_error(self, response: urllib3.BaseHTTPResponse) -> StatusError:
        return StatusError(
            f'{self.operation.name} answered with status {response.status}',
            response.status,
            step=self.operation.step,
            peer=self.url,
            outcome=self._resolve_outcome(_classify_status(response)),
        )

    def _error(self, message: str, outcome: Outcome) -> PlatformError:
        return PlatformError(
            message,
            step=self.operation.step,
            peer=self.url,
            outcome=self._resolve_outcome(outcome),
        )

    def _resolve_outcome(self, outcome: Outcome) -> Outcome:
        return Outcome.NOT_RUN if self.operation.is_read else outcome


def _may_retry(operation: Operation, error: BaseException) -> bool:
    if (
        not isinstance(error, PlatformError)
        or operation.retry_policy is RetryPolicy.NEVER
    ):
        return False
    if operation.retry_policy is RetryPolicy.IF_NOT_RUN:
        return error.outcome is Outcome.NOT_RUN
    return True


def _classify_failure(error: HTTPError) -> Outcome:
    # Without a connection nothing was sent. If the connection breaks later, the
    # request may have been received, so its outcome is unknown.
    if isinstance(error, (NewConnectionError, ConnectTimeoutError)):
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


def _classify_status(response: urllib3.BaseHTTPResponse) -> Outcome:
    if response.status in NOT_RUN_STATUSES:
        return Outcome.NOT_RUN
    try:
        document = response.json()
    except ValueError:
        document = {}
    reported = document.get('outcome') if isinstance(document, dict) else None
    if reported == Outcome.NOT_RUN.value:
        return Outcome.NOT_RUN
    if response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN
