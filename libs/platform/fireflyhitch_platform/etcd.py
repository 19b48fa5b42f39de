"""Key-value store client for the JSON gateway of the etcd v3 API."""

import json
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from threading import Event
from typing import Any, TypeVar

import tenacity
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import LeaseId, Revision
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_platform.etcd_messages import (
    Json,
    encode_key,
    encode_range,
    read_event,
    read_item,
    read_revision,
)
from fireflyhitch_platform.keyvalue import (
    Conflict,
    KeyValue,
    Listing,
    WatchCompacted,
    WatchEvent,
    WriteResult,
    Written,
)
from fireflyhitch_platform.rates import CallBudget, CallKind

CONNECT_SECONDS = 0.5
READ_SECONDS = 2.0
POOL_CONNECTIONS = 16
ATTEMPTS = 3
FIRST_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 0.5
HTTP_OK = 200
# The gateway rejected the call before it reached the store.
HTTP_CLIENT_ERRORS = range(400, 500)  # noqa: WPS432 the class of statuses
# The gateway returns a gRPC code; the store reports this before it runs a write.
NO_LEADER = 'etcdserver: no leader'

Returned = TypeVar('Returned')


@dataclass(frozen=True, slots=True)
class _Call:
    path: str
    step: Step
    kind: CallKind


GET = _Call('/v3/kv/range', Step.STORE_READ, CallKind.READ)
TRANSACTION = _Call('/v3/kv/txn', Step.STORE_WRITE, CallKind.WRITE)
LEASE_GRANT = _Call('/v3/lease/grant', Step.STORE_LEASE, CallKind.LEASE)
LEASE_KEEP = _Call('/v3/lease/keepalive', Step.STORE_LEASE, CallKind.LEASE)
LEASE_REVOKE = _Call('/v3/lease/revoke', Step.STORE_LEASE, CallKind.LEASE)
WATCH = _Call('/v3/watch', Step.STORE_WATCH, CallKind.WATCH)


class LeaseNotFoundError(PlatformError):
    """The lease has expired or was revoked."""


class BudgetExceededError(PlatformError):
    """The daemon's call budget is exhausted; nothing was sent."""


def _is_transient(error: BaseException) -> bool:
    if isinstance(error, (LeaseNotFoundError, BudgetExceededError)):
        return False
    return isinstance(error, PlatformError)


def _is_not_run(error: BaseException) -> bool:
    return (
        isinstance(error, PlatformError)
        and _is_transient(error)
        and error.outcome is Outcome.NOT_RUN
    )


class EtcdKeyValueStore:
    """Thread-safe etcd implementation of ``KeyValueStore``.

    Reads and lease renewals are retried with jitter. Writes are retried only if
    the first attempt certainly did not reach the store; the caller has to resolve
    the others.

    :param base_url: for example ``http://10.0.0.1:2379``.
    """

    def __init__(self, base_url: str, clock: Clock, budget: CallBudget) -> None:
        self.budget = budget
        self._base = base_url.rstrip('/')
        self._clock = clock
        self._http = urllib3.PoolManager(
            maxsize=POOL_CONNECTIONS,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_SECONDS, read=READ_SECONDS),
        )

    def get(self, key: str) -> KeyValue | None:
        """Read one key."""
        answer = self._retry(partial(self._post, GET, {'key': encode_key(key)}))
        items = [read_item(one) for one in answer.get('kvs', ())]
        return items[0] if items else None

    def get_prefix(self, prefix: str) -> Listing:
        """Read all keys below a prefix at one revision."""
        answer = self._retry(partial(self._post, GET, encode_range(prefix)))
        items = tuple(read_item(one) for one in answer.get('kvs', ()))
        return Listing(read_revision(answer), items)

    def put_if(
        self,
        key: str,
        value: bytes,
        expected: Revision,
        lease: LeaseId | None = None,
    ) -> WriteResult:
        """Write if the key was last written at a revision (0: does not exist)."""
        put: Json = {'key': encode_key(key), 'value': encode_key(value)}
        if lease is not None:
            put['lease'] = str(lease)
        return self._write_if(key, expected, {'request_put': put})

    def delete_if(self, key: str, expected: Revision) -> WriteResult:
        """Delete if the key was last written at a revision."""
        delete = {'request_delete_range': {'key': encode_key(key)}}
        return self._write_if(key, expected, delete)

    def grant_lease(self, duration: timedelta) -> LeaseId:
        """Create a lease; its duration is rounded up to whole seconds."""
        seconds = math.ceil(duration.total_seconds())
        answer = self._post_write(LEASE_GRANT, {'TTL': str(seconds), 'ID': '0'})
        return LeaseId(int(answer['ID']))

    def keep_lease(self, lease: LeaseId) -> bool:
        """Renew a lease; return ``False`` if it has expired."""
        keep = partial(self._post, LEASE_KEEP, {'ID': str(lease)})
        answer = self._retry(keep)
        renewed = answer.get('result', {})
        return int(renewed.get('TTL', 0)) > 0

    def revoke_lease(self, lease: LeaseId) -> None:
        """Revoke a lease and delete its keys; idempotent."""
        revoke = partial(self._post, LEASE_REVOKE, {'ID': str(lease)})
        try:
            self._retry(revoke)
        except LeaseNotFoundError:
            return

    def watch(
        self, prefix: str, after: Revision, timeout: timedelta
    ) -> Iterator[WatchEvent]:
        """Yield changes after a revision, in order, until the timeout.

        :raises WatchCompacted: if that revision is no longer held.
        """
        self._consume_budget(WATCH)
        deadline = self._clock.monotonic() + timeout.total_seconds()
        create = {
            **encode_range(prefix),
            'start_revision': str(after + 1),
            'progress_notify': True,
        }
        response = self._open(WATCH, {'create_request': create}, timeout)
        try:
            for update in self._read_lines(response):
                if update.get('compact_revision'):
                    raise WatchCompacted
                yield from map(read_event, update.get('events', ()))
                if self._clock.monotonic() >= deadline:
                    return
        finally:
            # The stream never ends, and a connection with a partly read
            # response cannot be reused.
            response.close()

    def _write_if(self, key: str, expected: Revision, write: Json) -> WriteResult:
        compare = {
            'key': encode_key(key),
            'target': 'MOD',
            'result': 'EQUAL',
            'mod_revision': str(expected),
        }
        read = {'request_range': {'key': encode_key(key)}}
        answer = self._post_write(
            TRANSACTION, {'compare': [compare], 'success': [write], 'failure': [read]}
        )
        if answer.get('succeeded'):
            return Written(read_revision(answer))
        found = answer['responses'][0].get('response_range', {}).get('kvs', ())
        return Conflict(read_item(found[0]) if found else None)

    def _post_write(self, call: _Call, body: Json) -> Json:
        return self._retry(partial(self._post, call, body), _is_not_run)

    def _retry(
        self,
        work: Callable[[], Returned],
        may_retry: Callable[[BaseException], bool] = _is_transient,
    ) -> Returned:
        retrying = tenacity.Retrying(
            stop=tenacity.stop_after_attempt(ATTEMPTS),
            wait=tenacity.wait_random_exponential(
                multiplier=FIRST_RETRY_SECONDS, max=MAX_RETRY_SECONDS
            ),
            retry=tenacity.retry_if_exception(may_retry),
            sleep=self._sleep,
            reraise=True,
        )
        return retrying(work)

    def _post(self, call: _Call, body: Json) -> Json:
        self._consume_budget(call)
        response = self._open(call, body, None)
        try:
            answer: Json = json.loads(response.data)
        except (HTTPError, ValueError) as error:
            raise self._make_error(call, 'answer cut off', Outcome.UNKNOWN) from error
        finally:
            response.release_conn()
        return answer

    def _open(
        self, call: _Call, body: Json, timeout: timedelta | None
    ) -> urllib3.BaseHTTPResponse:
        """Send a call and check the status, without reading the body."""
        seconds = timeout.total_seconds() if timeout else READ_SECONDS
        wait = urllib3.Timeout(connect=CONNECT_SECONDS, read=max(seconds, READ_SECONDS))
        try:
            response = self._http.request(
                'POST',
                f'{self._base}{call.path}',
                json=body,
                preload_content=False,
                timeout=wait,
            )
            if response.status != HTTP_OK:
                self._raise_status_error(call, response.status, response.data)
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise self._make_error(call, 'no connection', Outcome.NOT_RUN) from error
        except HTTPError as error:
            raise self._make_error(call, 'no answer', Outcome.UNKNOWN) from error
        return response

    def _raise_status_error(self, call: _Call, status: int, body: bytes) -> None:
        message = _read_error(body)
        if 'lease not found' in message:
            raise LeaseNotFoundError(
                message, step=call.step, peer=self._base, outcome=Outcome.NOT_RUN
            )
        certain = status in HTTP_CLIENT_ERRORS or message == NO_LEADER
        outcome = Outcome.NOT_RUN if certain else Outcome.UNKNOWN
        raise self._make_error(call, f'status {status}: {message}', outcome)

    def _read_lines(self, response: urllib3.BaseHTTPResponse) -> Iterator[Json]:
        pending = b''
        try:
            for part in response.stream(amt=None, decode_content=True):
                *lines, pending = (pending + part).split(b'\n')
                for line in filter(None, lines):
                    yield json.loads(line).get('result', {})
        except ReadTimeoutError:
            return
        except (HTTPError, ValueError) as error:
            raise self._make_error(WATCH, 'watch cut off', Outcome.UNKNOWN) from error

    def _consume_budget(self, call: _Call) -> None:
        if not self.budget.take(call.kind):
            raise BudgetExceededError(
                f'own budget for {call.kind.value} calls is spent',
                step=call.step,
                peer=self._base,
                outcome=Outcome.NOT_RUN,
            )

    def _make_error(self, call: _Call, message: str, outcome: Outcome) -> PlatformError:
        return PlatformError(message, step=call.step, peer=self._base, outcome=outcome)

    def _sleep(self, seconds: float) -> None:
        self._clock.wait(Event(), timedelta(seconds=seconds))


def _read_error(body: bytes) -> str:
    try:
        document: Any = json.loads(body)
        return str(document['message'])
    except (ValueError, KeyError, TypeError):
        return ''
