"""Operations on a shard and their results, also sent between daemons."""

from enum import StrEnum

from pydantic import BaseModel, ConfigDict, field_serializer

from fireflyhitch_model.ids import AttemptId
from fireflyhitch_model.states import Outcome


class AnswerHeader(BaseModel):
    """One header of an answer."""

    model_config = ConfigDict(frozen=True)

    name: str
    value: str


class Answer(BaseModel):
    """The stored answer of a call that ran, returned to its repeats."""

    model_config = ConfigDict(frozen=True)

    status: int
    headers: tuple[AnswerHeader, ...] = ()
    body: bytes = b''


class OperationKind(StrEnum):
    """Kind of change to the record of a call."""

    CLAIM = 'claim'
    RECORD_RAN = 'record-ran'
    RECORD_NOT_RUN = 'record-not-run'
    RECORD_UNKNOWN = 'record-unknown'


class Operation(BaseModel):
    """An idempotent change of one call's record.

    :param attempt: the attempt that claims the call or whose outcome is recorded.
    :param lapses_at: wall clock time, in seconds since 1970, after which a claim
        without a recorded outcome counts as unknown.
    """

    model_config = ConfigDict(frozen=True, extra='ignore')

    kind: OperationKind
    digest: bytes
    attempt: AttemptId
    body_digest: bytes = b''
    lapses_at: float = 0
    answer: Answer | None = None


class ResultKind(StrEnum):
    """Kind of an operation's result."""

    CLAIMED = 'claimed'
    STORED = 'stored'
    IN_PROGRESS = 'in-progress'
    UNKNOWN = 'unknown'
    MISMATCH = 'mismatch'
    EXPIRED = 'expired'
    FULL = 'full'
    RECORDED = 'recorded'
    SUPERSEDED = 'superseded'
    CONTRADICTED = 'contradicted'


# A cached record may be older than the stored one. Later writes cannot change
# these results, so they need no read.
FINAL_RESULTS = frozenset((ResultKind.STORED, ResultKind.MISMATCH, ResultKind.EXPIRED))


class OperationResult(BaseModel):
    """Result of an operation.

    :param answer: answer of a call that ran; ``None`` if it was too large to
        store.
    :param outcome: recorded outcome of an expired call.
    """

    model_config = ConfigDict(frozen=True, extra='ignore')

    kind: ResultKind
    answer: Answer | None = None
    outcome: Outcome = Outcome.UNKNOWN

    @field_serializer('outcome')
    def _dump_outcome(self, outcome: Outcome) -> str:
        return outcome.value
