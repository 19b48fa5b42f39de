"""A move's state as it is stored, spread and reported."""

from dataclasses import dataclass
from datetime import datetime
from enum import Enum
from typing import ClassVar

from pydantic import BaseModel, ConfigDict

from fireflyhitch_model.ids import DeploymentId, FencingNumber, VersionId
from fireflyhitch_model.peers import PeerMessage


class MoveState(Enum):
    """How far a move is; it only goes forward, and ``ROLLED_BACK`` is final."""

    STARTING = 'starting'
    TRIAL = 'trial'
    SHIFTING = 'shifting'
    DONE = 'done'
    ROLLED_BACK = 'undone'


class MoveEndReason(Enum):
    """Why a move ended."""

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
    """A deployment's latest move.

    :param named: the version that the configuration names as the current one.
    :param settled: the version that serves after an end that operators changed.
    :param configured: revision of the configuration that it follows.
    :param started: wall time at which the duty's holder began the move.
    :param phase_began: wall time at which the state or step was entered.
    :param step: index into the shares while shifting.
    :param burst: grows at the start and at the end of each burst; odd within one.
    :param fencing: fencing number under which it was last written.
    :param evidence: the evidence at the end, for people.
    :param withdrawn: versions taken back for a fault, which get no work again.
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
        """Whether the move is done or undone."""
        return self.state in {MoveState.DONE, MoveState.ROLLED_BACK}

    @property
    def serving(self) -> VersionId:
        """The version that serves what the move does not shift."""
        if self.settled is not None:
            return self.settled
        return self.to_version if self.state is MoveState.DONE else self.from_version

    @property
    def attempt(self) -> tuple[str, datetime]:
        """What tells one move of a deployment from another."""
        return (self.to_version, self.started)


class MoveNews(PeerMessage):
    """The holder's record, confirmed by the store when it was sent."""

    kind: ClassVar[str] = 'move-news'

    record: MoveRecord


class WithdrawalNews(PeerMessage):
    """A version that a daemon has taken back for a fault."""

    kind: ClassVar[str] = 'withdrawal-news'

    deployment: DeploymentId
    version: VersionId
    evidence: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class MoveReport:
    """A move for operators.

    :param share: share of traffic that the new version gets now.
    :param last_return: the latest time at which the move can still be taken
        back by its date.
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
    """Return the record that holds; the result does not depend on the order.

    Of two moves the later configured one holds. Within one move ``ROLLED_BACK``
    wins, then the further one. Versions withdrawn in either stay withdrawn.
    """
    ahead = max(one, other, key=_weight)
    withdrawn = tuple(sorted({*one.withdrawn, *other.withdrawn}))
    ahead = ahead.model_copy(update={'withdrawn': withdrawn})
    if ahead.to_version in withdrawn and ahead.state is not MoveState.ROLLED_BACK:
        undone = {'state': MoveState.ROLLED_BACK, 'reason': MoveEndReason.FAULT}
        return ahead.model_copy(update=undone)
    return ahead


def _weight(record: MoveRecord) -> tuple[float | int | str, ...]:
    progress = (STATE_RANK[record.state], record.step, record.burst)
    writing = (record.configured, record.fencing, record.model_dump_json())
    return (record.started.timestamp(), *progress, *writing)
