"""The state of a version move, as stored, broadcast and reported."""

from dataclasses import dataclass
from datetime import datetime
from enum import Enum
from typing import ClassVar

from pydantic import BaseModel, ConfigDict

from fireflyhitch_model.ids import DeploymentId, FencingNumber, VersionId
from fireflyhitch_model.peers import PeerMessage


class MoveState(Enum):
    """The phase of a move; it only advances, and ``ROLLED_BACK`` is final."""

    STARTING = 'starting'
    TRIAL = 'trial'
    SHIFTING = 'shifting'
    DONE = 'done'
    ROLLED_BACK = 'undone'


class MoveEndReason(Enum):
    """Why a move ended; the values are shown to operators."""

    PROVEN = 'evidence good and all traffic moved'
    FAULT = 'evidence shows a fault'
    LATE = 'could not be finished by its date'
    UNPROVEN = 'too little evidence by its date'
    NEVER_READY = 'not enough servers of the new version by its date'
    UNCONFIRMED = 'cut off from the store at its date'
    CANCELLED = 'operator took the move out'
    REPLACED = 'operator named another version'
    CONFIRMED = 'operator made the new version the current one'
    BROUGHT_FORWARD = 'date brought forward to before the way back'
    FAULTY_BEFORE = 'the version was taken back for a fault before'


STATE_RANK = {state: rank for rank, state in enumerate(MoveState)}


class MoveRecord(BaseModel):
    """The latest move of a deployment.

    :param named: current version according to the configuration.
    :param settled: version that operators made current after the move ended.
    :param configured: revision of the configuration that the record reflects.
    :param started: wall clock time at which the duty holder started the move.
    :param phase_began: wall clock time of the last change of state, step or burst.
    :param step: index into the configured shares while shifting.
    :param burst: incremented at the start and end of each burst; odd during one.
    :param fencing: fencing number under which the record was last written.
    :param evidence: human-readable evidence at the end of the move.
    :param withdrawn: versions rolled back for a fault; they get no requests again.
    """

    model_config = ConfigDict(frozen=True, extra='ignore')

    deployment: DeploymentId
    from_version: VersionId
    to_version: VersionId
    move_by: datetime
    named: VersionId
    settled: VersionId | None = None
    configured: int
    started: datetime
    phase_began: datetime
    state: MoveState = MoveState.STARTING
    step: int = 0
    burst: int = 0
    reason: MoveEndReason | None = None
    fencing: FencingNumber = FencingNumber(0)
    evidence: tuple[str, ...] = ()
    withdrawn: tuple[VersionId, ...] = ()

    @property
    def has_ended(self) -> bool:
        """Whether the move has completed or was rolled back."""
        return self.state in {MoveState.DONE, MoveState.ROLLED_BACK}

    @property
    def serving_version(self) -> VersionId:
        """The version that serves the traffic that the move does not shift."""
        if self.settled is not None:
            return self.settled
        return self.to_version if self.state is MoveState.DONE else self.from_version

    @property
    def move_key(self) -> tuple[str, datetime]:
        """The key that distinguishes the moves of one deployment."""
        return (self.to_version, self.started)


class MoveMessage(PeerMessage):
    """The duty holder's record, as written to the store."""

    kind: ClassVar[str] = 'move-news'

    record: MoveRecord


class WithdrawalMessage(PeerMessage):
    """A version that a daemon has withdrawn for a fault."""

    kind: ClassVar[str] = 'withdrawal-news'

    deployment: DeploymentId
    version: VersionId
    evidence: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class MoveReport:
    """The state of a move as shown to operators.

    :param share: current share of the new version, 0 to 1.
    :param last_return: latest time at which a rollback still finishes by
        ``move_by``.
    :param evidence: one line for each route with evidence.
    """

    deployment: DeploymentId
    from_version: VersionId
    to_version: VersionId
    state: MoveState
    share: float
    move_by: datetime
    last_return: datetime
    reason: MoveEndReason | None
    evidence: tuple[str, ...]


def merge_records(one: MoveRecord, other: MoveRecord) -> MoveRecord:
    """Return the merge of two records; the merge is commutative.

    The move that started later wins. Within one move ``ROLLED_BACK`` wins, then the
    more advanced record. Versions withdrawn in either stay withdrawn.
    """
    latest = max(one, other, key=_rank)
    withdrawn = tuple(sorted({*one.withdrawn, *other.withdrawn}))
    latest = latest.model_copy(update={'withdrawn': withdrawn})
    if latest.to_version in withdrawn and latest.state is not MoveState.ROLLED_BACK:
        changes = {'state': MoveState.ROLLED_BACK, 'reason': MoveEndReason.FAULT}
        return latest.model_copy(update=changes)
    return latest


def _rank(record: MoveRecord) -> tuple[float | int | str, ...]:
    progress = (STATE_RANK[record.state], record.step, record.burst)
    writing = (record.configured, record.fencing, record.model_dump_json())
    return (record.started.timestamp(), *progress, *writing)
