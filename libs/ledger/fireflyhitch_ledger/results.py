"""What a claim may come to, and how it is told to the caller."""

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
    """The right to send one call once.

    :param send_by: monotonic seconds after which it may not be sent any more.
    :param lapses_at: wall time in seconds since 1970; see ``Operation``.
    """

    attempt_id: AttemptId
    digest: KeyDigest
    body_digest: BodyDigest
    send_by: float
    lapses_at: float


@dataclass(frozen=True, slots=True)
class Claimed:
    """The call is this daemon's to send, once."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Stored:
    """The call ran before.

    :param answer: ``None`` if it was too large to keep.
    """

    answer: Answer | None


@dataclass(frozen=True, slots=True)
class InProgress:
    """Another attempt at the call is under way."""


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """An earlier attempt was cut off; nobody knows whether the call ran."""


@dataclass(frozen=True, slots=True)
class Mismatch:
    """The key was used before, for a call with another body."""


@dataclass(frozen=True, slots=True)
class Expired:
    """The key is too old for its answer to be kept.

    :param outcome: what is still known of the call.
    """

    outcome: Outcome


ClaimResult = Claimed | Stored | InProgress | UnknownOutcome | Mismatch | Expired
Refusal = InProgress | UnknownOutcome | Mismatch | Expired


def build_refusal(refusal: Refusal) -> RequestError:
    """Return the error that tells a caller why its call is not sent.

    ``not-run`` is said of a mismatch, whose own body was never sent. It is not
    said of the others, as the call itself may have run under this key.
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


def build_too_large() -> RequestError:
    """Return the error for a call that ran but whose answer was not kept."""
    return _build_conflict(
        'the call ran; its answer was too large to keep',
        CONFLICT,
        'answer_not_kept',
        outcome=Outcome.RAN,
        retryable=False,
    )


def build_missing_key() -> RequestError:
    """Return the error for a call that needs a key and has none.

    It is refused, as nothing could tell its repeat from a second booking.
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
