"""What is asked of a shard, and what comes of it; also sent between daemons."""

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
    """The answer of a call that ran, as its repeats get it."""

    model_config = ConfigDict(frozen=True)

    status: int
    headers: tuple[AnswerHeader, ...] = ()
    body: bytes = b''


class OperationKind(StrEnum):
    """What is done to the record of a call."""

    CLAIM = 'claim'
    RECORD_RAN = 'record-ran'
    RECORD_NOT_RUN = 'record-not-run'
    RECORD_UNKNOWN = 'record-unknown'


class Operation(BaseModel):
    """One change of one call's record; repeating it does no harm.

    :param attempt: who claims, or whose claim is recorded.
    :param lapses_at: wall time, in seconds since 1970, after which a claim
        without a record counts as unknown.
    """

    model_config = ConfigDict(frozen=True, extra='ignore')

    kind: OperationKind
    digest: bytes
    attempt: AttemptId
    body_digest: bytes = b''
    lapses_at: float = 0
    answer: Answer | None = None


class ResultKind(StrEnum):
    """What came of an operation."""

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


# A cached record may be behind the store. These results cannot be undone by
# what the cache has missed, so they need no read.
FINAL_RESULTS = frozenset((ResultKind.STORED, ResultKind.MISMATCH, ResultKind.EXPIRED))


class OperationResult(BaseModel):
    """What came of an operation.

    :param answer: of a call that ran; ``None`` if it was too large to keep.
    :param outcome: what is still known of an expired call.
    """

    model_config = ConfigDict(frozen=True, extra='ignore')

    kind: ResultKind
    answer: Answer | None = None
    outcome: Outcome = Outcome.UNKNOWN

    @field_serializer('outcome')
    def _dump_outcome(self, outcome: Outcome) -> str:
        return outcome.value
