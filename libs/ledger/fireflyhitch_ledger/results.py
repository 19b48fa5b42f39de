"""Results of a claim and the errors that callers get for them."""

from dataclasses import dataclass
from datetime import timedelta

from fireflyhitch_ledger.keys import BodyDigest, KeyDigest
from fireflyhitch_ledger.operations import Answer
from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.ids import AttemptId
from fireflyhitch_model.states import Outcome, Step

CONFLICT = 409
UNPROCESSABLE = 422
UNAVAILABLE = 503
BAD_REQUEST = 400
RETRY_AFTER = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class Attempt:
    """The permission to send one call once.

    :param send_by: monotonic time in seconds after which it must not be sent.
    :param lapses_at: wall clock time in seconds since 1970; see ``Operation``.
    """

    attempt_id: AttemptId
    digest: KeyDigest
    body_digest: BodyDigest
    send_by: float
    lapses_at: float


@dataclass(frozen=True, slots=True)
class Claimed:
    """This daemon may send the call once."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Stored:
    """The call has run before.

    :param answer: ``None`` if it was too large to store.
    """

    answer: Answer | None


@dataclass(frozen=True, slots=True)
class InProgress:
    """Another attempt at the call is in progress."""


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """An earlier attempt was interrupted; whether the call ran is unknown."""


@dataclass(frozen=True, slots=True)
class Mismatch:
    """The key was used before for a call with another body."""


@dataclass(frozen=True, slots=True)
class Expired:
    """The key is older than the retention of its answer.

    :param outcome: recorded outcome of the call.
    """

    outcome: Outcome


ClaimResult = Claimed | Stored | InProgress | UnknownOutcome | Mismatch | Expired
Refusal = InProgress | UnknownOutcome | Mismatch | Expired


def build_refusal(refusal: Refusal) -> RequestError:
    """Return the error for a call that is not sent.

    A mismatch is reported as ``not-run``, as its own body was never sent. The
    others are not, as the call itself may have run under this key.
    """
    if isinstance(refusal, InProgress):
        return _build_conflict(
            'the call is in progress', CONFLICT, 'request_in_progress'
        )
    if isinstance(refusal, UnknownOutcome):
        return _build_conflict(
            'an earlier attempt was cut off; the call may have run',
            CONFLICT,
            'outcome_unknown',
            retryable=False,
        )
    if isinstance(refusal, Mismatch):
        return _build_conflict(
            'the idempotency key was used for another request',
            UNPROCESSABLE,
            'idempotency_key_reused',
            outcome=Outcome.NOT_RUN,
            retryable=False,
        )
    return _build_conflict(
        'the idempotency key has expired',
        CONFLICT,
        'idempotency_key_expired',
        outcome=refusal.outcome,
        retryable=False,
    )


def build_answer_not_kept() -> RequestError:
    """Return the error for a call that ran but whose answer was not stored."""
    return _build_conflict(
        'the call ran; its answer was too large to keep',
        CONFLICT,
        'answer_not_kept',
        outcome=Outcome.RAN,
        retryable=False,
    )


def build_missing_key() -> RequestError:
    """Return the error for a call that lacks its idempotency key.

    Without a key, a repeat could not be told from a second booking.
    """
    return _build_conflict(
        'this method needs an Idempotency-Key header of 1 to 255 characters',
        BAD_REQUEST,
        'idempotency_key_required',
        outcome=Outcome.NOT_RUN,
        retryable=False,
    )


def build_unavailable(reason: str, peer: str | None = None) -> RequestError:
    """Return the error for a call that could not be claimed and was not sent."""
    return RequestError(
        reason,
        step=Step.CLAIM,
        status=UNAVAILABLE,
        code='ledger_unavailable',
        outcome=Outcome.NOT_RUN,
        peer=peer,
        retry_after=RETRY_AFTER,
    )


def _build_conflict(
    message: str,
    status: int,
    code: str,
    *,
    outcome: Outcome = Outcome.UNKNOWN,
    retryable: bool = True,
) -> RequestError:
    return RequestError(
        message,
        step=Step.CLAIM,
        status=status,
        code=code,
        outcome=outcome,
        retry_after=RETRY_AFTER if retryable else None,
    )
