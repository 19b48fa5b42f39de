"""Typed client of a daemon's admin HTTP interface."""

import ssl
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, TypeVar

import urllib3
from pydantic import BaseModel, ConfigDict, ValidationError
from tenacity import (
    Retrying,
    retry_if_exception,
    stop_after_attempt,
    wait_random_exponential,
)
from urllib3.exceptions import (
    HTTPError,
    MaxRetryError,
    NewConnectionError,
)

from fireflyhitch_model.errors import FireflyhitchError
from fireflyhitch_model.ids import ChangeId, InstanceId, Revision
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_telemetry.burn import BurnSnapshot

# Decoded JSON; fields added by newer daemons are kept and shown.
Document = dict[str, Any]

CONNECT_SECONDS = 3
# A daemon responds to an apply only after its own store retries.
READ_SECONDS = 20
APPLY_ATTEMPTS = 4
MAX_BACKOFF_SECONDS = 4
CONFIGURATION = '/admin/configuration'


class AdminError(FireflyhitchError):
    """A request to a daemon failed or was refused.

    :param outcome: whether the request had no effect or may have had one.
    """

    def __init__(
        self, message: str, *, step: Step, peer: str, outcome: Outcome
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.outcome = outcome


@dataclass(frozen=True, slots=True)
class AdminAddress:
    """Address and credentials of a daemon's admin interface.

    :param url: base URL, for example ``https://10.0.0.7:8081``.
    :param token: the operators' token; never included in logs or errors.
    :param tls: verifies the daemon's certificate; defaults to the system's trust.
    """

    url: str
    token: str
    tls: ssl.SSLContext | None = None


class StoredConfiguration(BaseModel):
    """The current configuration; revision 0 means that there is none yet."""

    model_config = ConfigDict(frozen=True, extra='ignore')

    revision: Revision
    configuration: Document | None = None


@dataclass(frozen=True, slots=True)
class Change:
    """A configuration that replaces the expected revision.

    :param change_id: distinguishes this change from an equal one of another
        operator, so that it can be resent after a lost response.
    """

    change_id: ChangeId
    expected_revision: Revision
    configuration: Document


@dataclass(frozen=True, slots=True)
class Applied:
    """The change took effect."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class ApplyConflict:
    """The current revision is not the expected one; nothing was changed."""

    in_force: StoredConfiguration


Body = TypeVar('Body', bound=BaseModel)


class _ConflictBody(BaseModel):
    model_config = ConfigDict(extra='ignore')

    current_revision: Revision
    configuration: Document | None = None


class _AppliedBody(BaseModel):
    model_config = ConfigDict(extra='ignore')

    revision: Revision


_STEPS = {
    ('GET', CONFIGURATION): Step.CONFIGURE,
    ('PUT', CONFIGURATION): Step.CONFIGURE,
    ('POST', '/admin/drain'): Step.ORDER,
}


@dataclass(frozen=True, slots=True)
class _Response:
    step: Step
    status: int
    document: Document


class AdminClient:
    """Admin client of one daemon.

    :param sleep: waits between attempts, in seconds.
    """

    def __init__(
        self, address: AdminAddress, sleep: Callable[[float], None] = time.sleep
    ) -> None:
        self.url = address.url.rstrip('/')
        self._sleep = sleep
        self._headers = {'Authorization': f'Bearer {address.token}'}
        timeout = urllib3.Timeout(connect=CONNECT_SECONDS, read=READ_SECONDS)
        self._pool = urllib3.PoolManager(
            timeout=timeout, retries=False, ssl_context=address.tls
        )

    def read_status(self) -> Document:
        """Return the status of the daemon and its environment."""
        return self._read('/admin/status')

    def read_configuration(self) -> StoredConfiguration:
        """Return the current configuration and its revision."""
        return self._parse(StoredConfiguration, self._read(CONFIGURATION))

    def read_moves(self) -> Document:
        """Return running and completed version moves."""
        return self._read('/admin/moves')

    def read_burn(self) -> BurnSnapshot:
        """Return the service-level burn over all reachable daemons."""
        return self._parse(BurnSnapshot, self._read('/admin/burn'))

    def drain(self, instance: InstanceId | None) -> Document:
        """Drain a backend server's instance or the daemon itself.

        :param instance: ``None`` for the contacted daemon.
        """
        response = self._request('POST', '/admin/drain', {'instance': instance})
        return self._check_status(response)

    def apply(self, change: Change) -> Applied | ApplyConflict:
        """Apply a configuration unless another one was applied in the meantime.

        After a lost response it is unknown whether the write took effect, so the
        same change is resent; the daemon recognises it by its id.

        :raises AdminError: with outcome ``unknown`` if no attempt got a response.
        """
        retrying = Retrying(
            retry=retry_if_exception(_is_unknown),
            stop=stop_after_attempt(APPLY_ATTEMPTS),
            wait=wait_random_exponential(max=MAX_BACKOFF_SECONDS),
            sleep=self._sleep,
            reraise=True,
        )
        applied = retrying(self._apply_once, change)
        attempts = retrying.statistics['attempt_number']
        if isinstance(applied, Applied) or attempts == 1:
            return applied
        if applied.in_force.configuration == change.configuration:
            # An attempt whose response was lost took effect and caused the conflict.
            return Applied(applied.in_force.revision)
        return applied

    def _apply_once(self, change: Change) -> Applied | ApplyConflict:
        body = {
            'expected_revision': change.expected_revision,
            'change_id': change.change_id,
            'configuration': change.configuration,
        }
        response = self._request('PUT', CONFIGURATION, body)
        if response.status == HTTPStatus.CONFLICT:
            conflict = self._parse(_ConflictBody, response.document)
            in_force = StoredConfiguration(
                revision=conflict.current_revision, configuration=conflict.configuration
            )
            return ApplyConflict(in_force)
        document = self._check_status(response)
        return Applied(self._parse(_AppliedBody, document).revision)

    def _parse(self, kind: type[Body], document: Document) -> Body:
        try:
            return kind.model_validate(document)
        except ValidationError as error:
            raise self._error('unexpected answer', Outcome.UNKNOWN) from error

    def _read(self, path: str) -> Document:
        return self._check_status(self._request('GET', path))

    def _check_status(self, response: _Response) -> Document:
        if response.status < HTTPStatus.BAD_REQUEST:
            return response.document
        message = _read_message(response.document) or f'status {response.status}'
        if response.status == HTTPStatus.UNAUTHORIZED:
            message = 'the token is not accepted'
        raise self._error(message, _read_outcome(response), response.step)

    def _request(self, method: str, path: str, body: object = None) -> _Response:
        step = _STEPS.get((method, path), Step.REPORT)
        try:
            response = self._pool.request(
                method, f'{self.url}{path}', headers=self._headers, json=body
            )
        except HTTPError as error:
            outcome = _classify_failure(error)
            raise self._error(_describe(error), outcome, step) from error
        try:
            document = response.json() if response.data else {}
        except ValueError:
            document = {}
        if not isinstance(document, Mapping):
            document = {'answer': document}
        return _Response(step, response.status, dict(document))

    def _error(
        self, message: str, outcome: Outcome, step: Step = Step.REPORT
    ) -> AdminError:
        return AdminError(message, step=step, peer=self.url, outcome=outcome)


def _is_unknown(error: BaseException) -> bool:
    return isinstance(error, AdminError) and error.outcome is Outcome.UNKNOWN


def _classify_failure(error: HTTPError) -> Outcome:
    cause = error.reason if isinstance(error, MaxRetryError) else error
    if isinstance(cause, NewConnectionError):
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


def _describe(error: HTTPError) -> str:
    if _classify_failure(error) is Outcome.NOT_RUN:
        return 'cannot connect'
    return f'no answer: {error}'


def _read_outcome(response: _Response) -> Outcome:
    reported = response.document.get('outcome')
    if reported in {outcome.value for outcome in Outcome}:
        return Outcome(reported)
    if response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


def _read_message(document: Document) -> str:
    error = document.get('error', '')
    if isinstance(error, Mapping):
        return str(error.get('message', ''))
    return str(error)
