"""A typed client of a daemon's admin HTTP interface."""

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

# As decoded from JSON: what a newer daemon adds is shown and kept.
Document = dict[str, Any]

CONNECT_SECONDS = 3
# A daemon answers an apply after its own attempts at the store.
READ_SECONDS = 20
APPLY_ATTEMPTS = 4
MAX_PAUSE_SECONDS = 4
CONFIGURATION = '/admin/configuration'


class AdminError(FireflyhitchError):
    """A daemon could not be asked, or refused.

    :param outcome: whether the request had no effect or may have had one.
    """

    def __init__(
        self, message: str, *, step: Step, peer: str, outcome: Outcome
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.outcome = outcome


@dataclass(frozen=True, slots=True)
class AdminAddress:
    """Where the daemon's admin interface is and how to enter.

    :param url: base URL, for example ``https://10.0.0.7:8081``.
    :param token: the operators' token; it never reaches a log or an error.
    :param tls: checks the daemon's certificate; the system's trust if absent.
    """

    url: str
    token: str
    tls: ssl.SSLContext | None = None


class StoredConfiguration(BaseModel):
    """The configuration in force; revision 0 means that there is none yet."""

    model_config = ConfigDict(frozen=True, extra='ignore')

    revision: Revision
    configuration: Document | None = None


@dataclass(frozen=True, slots=True)
class Change:
    """A configuration to put in force instead of the one that was seen.

    :param change_id: tells this change from an equal one of someone else, so
        that it can be sent again after a lost answer.
    """

    change_id: ChangeId
    expected_revision: Revision
    configuration: Document


@dataclass(frozen=True, slots=True)
class Applied:
    """The change is accepted."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class Conflicted:
    """Another revision is in force than the one seen; nothing was changed."""

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
class _Answer:
    step: Step
    status: int
    document: Document


class AdminClient:
    """Asks one daemon.

    :param pause: waits between attempts, in seconds.
    """

    def __init__(
        self, address: AdminAddress, pause: Callable[[float], None] = time.sleep
    ) -> None:
        self.url = address.url.rstrip('/')
        self._pause = pause
        self._headers = {'Authorization': f'Bearer {address.token}'}
        timeout = urllib3.Timeout(connect=CONNECT_SECONDS, read=READ_SECONDS)
        self._pool = urllib3.PoolManager(
            timeout=timeout, retries=False, ssl_context=address.tls
        )

    def read_status(self) -> Document:
        """Return what the daemon says of itself and its surroundings."""
        return self._read('/admin/status')

    def read_configuration(self) -> StoredConfiguration:
        """Return the configuration in force and its revision."""
        return self._parse(StoredConfiguration, self._read(CONFIGURATION))

    def read_moves(self) -> Document:
        """Return the moves to other versions, running and ended."""
        return self._read('/admin/moves')

    def read_burn(self) -> BurnSnapshot:
        """Return the burn of service levels over all reachable daemons."""
        return self._parse(BurnSnapshot, self._read('/admin/burn'))

    def drain(self, instance: InstanceId | None) -> Document:
        """Have a backend server's instance, or the daemon itself, drained.

        :param instance: ``None`` for the daemon that is asked.
        """
        answer = self._ask('POST', '/admin/drain', {'instance': instance})
        return self._expect_done(answer)

    def apply(self, change: Change) -> Applied | Conflicted:
        """Put a configuration in force, unless another has been since.

        An answer that is lost leaves open whether the write took effect, so the
        same change is sent again: its id lets the daemon recognise it.

        :raises AdminError: with outcome ``unknown`` if no attempt was answered.
        """
        retrying = Retrying(
            retry=retry_if_exception(_is_unknown),
            stop=stop_after_attempt(APPLY_ATTEMPTS),
            wait=wait_random_exponential(max=MAX_PAUSE_SECONDS),
            sleep=self._pause,
            reraise=True,
        )
        applied = retrying(self._apply_once, change)
        attempts = retrying.statistics['attempt_number']
        if isinstance(applied, Applied) or attempts == 1:
            return applied
        if applied.in_force.configuration == change.configuration:
            # An attempt without answer took effect: the conflict is with itself.
            return Applied(applied.in_force.revision)
        return applied

    def _apply_once(self, change: Change) -> Applied | Conflicted:
        body = {
            'expected_revision': change.expected_revision,
            'change_id': change.change_id,
            'configuration': change.configuration,
        }
        answer = self._ask('PUT', CONFIGURATION, body)
        if answer.status == HTTPStatus.CONFLICT:
            conflict = self._parse(_ConflictBody, answer.document)
            in_force = StoredConfiguration(
                revision=conflict.current_revision, configuration=conflict.configuration
            )
            return Conflicted(in_force)
        document = self._expect_done(answer)
        return Applied(self._parse(_AppliedBody, document).revision)

    def _parse(self, kind: type[Body], document: Document) -> Body:
        try:
            return kind.model_validate(document)
        except ValidationError as error:
            raise self._error('unexpected answer', Outcome.UNKNOWN) from error

    def _read(self, path: str) -> Document:
        return self._expect_done(self._ask('GET', path))

    def _expect_done(self, answer: _Answer) -> Document:
        if answer.status < HTTPStatus.BAD_REQUEST:
            return answer.document
        message = _read_message(answer.document) or f'status {answer.status}'
        if answer.status == HTTPStatus.UNAUTHORIZED:
            message = 'the token is not accepted'
        raise self._error(message, _read_outcome(answer), answer.step)

    def _ask(self, method: str, path: str, body: object = None) -> _Answer:
        step = _STEPS.get((method, path), Step.REPORT)
        try:
            response = self._pool.request(
                method, f'{self.url}{path}', headers=self._headers, json=body
            )
        except HTTPError as error:
            outcome = _judge_failure(error)
            raise self._error(_describe(error), outcome, step) from error
        try:
            document = response.json() if response.data else {}
        except ValueError:
            document = {}
        if not isinstance(document, Mapping):
            document = {'answer': document}
        return _Answer(step, response.status, dict(document))

    def _error(
        self, message: str, outcome: Outcome, step: Step = Step.REPORT
    ) -> AdminError:
        return AdminError(message, step=step, peer=self.url, outcome=outcome)


def _is_unknown(error: BaseException) -> bool:
    return isinstance(error, AdminError) and error.outcome is Outcome.UNKNOWN


def _judge_failure(error: HTTPError) -> Outcome:
    cause = error.reason if isinstance(error, MaxRetryError) else error
    if isinstance(cause, NewConnectionError):
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


def _describe(error: HTTPError) -> str:
    if _judge_failure(error) is Outcome.NOT_RUN:
        return 'cannot connect'
    return f'no answer: {error}'


def _read_outcome(answer: _Answer) -> Outcome:
    said = answer.document.get('outcome')
    if said in {outcome.value for outcome in Outcome}:
        return Outcome(said)
    if answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


def _read_message(document: Document) -> str:
    error = document.get('error', '')
    if isinstance(error, Mapping):
        return str(error.get('message', ''))
    return str(error)
