"""Messages between daemons about members, configuration and soft state.

Field names are short where a message is sent each second, since they go over
the wire.
"""

from datetime import datetime
from enum import Enum, IntEnum
from typing import ClassVar

from pydantic import BaseModel, ConfigDict

from fireflyhitch_model.ids import (
    ChangeId,
    DaemonId,
    FailureDomainId,
    Incarnation,
    Revision,
)
from fireflyhitch_model.peers import Daemon, PeerMessage, Scope


class MemberStatus(IntEnum):
    """What is known of a daemon; within one incarnation it only goes up."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class MarkKind(Enum):
    """What a grow-only mark says."""

    LEAVING = 'leaving'
    WITHDRAWN = 'withdrawn'


class _Item(BaseModel):
    model_config = ConfigDict(frozen=True, extra='ignore')


class MemberRecord(_Item):
    """A daemon with its status, as handed on between members."""

    daemon_id: DaemonId
    domain: FailureDomainId
    peer: str
    entry: str
    incarnation: Incarnation
    status: MemberStatus = MemberStatus.ALIVE

    def as_daemon(self) -> Daemon:
        """Return the daemon without its status."""
        return Daemon(
            self.daemon_id, self.domain, self.peer, self.entry, self.incarnation
        )


class Mark(_Item):
    """A promise that only grows: up to ``number``, the key is marked.

    :param key: an instance id, or ``deployment/version``.
    :param number: the highest incarnation that is marked.
    """

    kind: MarkKind
    key: str
    number: int


class Probe(PeerMessage):
    """A heartbeat that is answered, with digests of what the sender holds.

    :param members: digests of the members by failure domain, combined.
    :param seen: the incarnation and status under which the sender knows the
        receiver, so that it can contradict a wrong suspicion.
    """

    kind: ClassVar[str] = 'probe'

    me: MemberRecord
    members: int
    marks: int
    seen: tuple[Incarnation, MemberStatus] | None = None


class ProbeAnswer(PeerMessage):
    """The answer to a probe, with the same digests and the same hint."""

    kind: ClassVar[str] = 'probe-answer'

    me: MemberRecord
    members: int
    marks: int
    seen: tuple[Incarnation, MemberStatus] | None = None


class IndirectProbe(PeerMessage):
    """The wish that the receiver probes a third daemon."""

    kind: ClassVar[str] = 'indirect-probe'

    target: MemberRecord


class IndirectAnswer(PeerMessage):
    """Whether the third daemon answered."""

    kind: ClassVar[str] = 'indirect-answer'

    reached: bool


class SyncRequest(PeerMessage):
    """Digests in detail; the answer holds what differs.

    :param marks: a digest for each bucket of marks; none if they are the same.
    """

    kind: ClassVar[str] = 'sync-request'

    domain: FailureDomainId
    members: dict[FailureDomainId, int]
    marks: tuple[int, ...]


class StateUpdate(PeerMessage):
    """Member records and marks to merge."""

    kind: ClassVar[str] = 'state-update'

    members: tuple[MemberRecord, ...] = ()
    marks: tuple[Mark, ...] = ()


class Relay(PeerMessage):
    """A message on its way to all daemons of a scope.

    :param origin: with ``number`` names the message, so that a copy is dropped.
    :param inner: the kind of the message inside.
    :param body: its fields.
    """

    kind: ClassVar[str] = 'relay'

    origin: DaemonId
    number: int
    scope: Scope
    inner: str
    body: bytes


class ConfigurationDigest(PeerMessage):
    """Which configuration the sender has in force.

    :param content: a hash over the configuration's content.
    """

    kind: ClassVar[str] = 'configuration-digest'

    revision: Revision
    content: int


class ConfigurationPull(PeerMessage):
    """Asks for the configuration if it is newer than what the sender holds."""

    kind: ClassVar[str] = 'configuration-pull'

    have: Revision
    content: int = 0
    whole: bool = False


class ConfigurationUpdate(PeerMessage):
    """A configuration, whole or as the difference from the one asked with.

    :param revision: 0 if the sender has nothing newer.
    :param content: a hash over the whole content, checked after applying.
    :param body: compressed JSON of the record or of the difference.
    """

    kind: ClassVar[str] = 'configuration-update'

    revision: Revision
    change_id: ChangeId = ChangeId('')
    content: int = 0
    difference: bool = False
    body: bytes = b''


class StatusRequest(PeerMessage):
    """Asks which configuration is in force in the receiver's failure domain."""

    kind: ClassVar[str] = 'configuration-status-request'


class StatusAnswer(PeerMessage):
    """The revision in force at the sender and the lowest heard in its domain."""

    kind: ClassVar[str] = 'configuration-status'

    domain: FailureDomainId
    revision: Revision
    lowest: Revision
    since: datetime | None


class SnapshotRequest(PeerMessage):
    """Asks for the receiver's soft state, by names of sections (none: all)."""

    kind: ClassVar[str] = 'snapshot-request'

    sections: tuple[str, ...] = ()


class Snapshot(PeerMessage):
    """Soft state by section, each in its owner's encoding."""

    kind: ClassVar[str] = 'snapshot'

    sections: dict[str, bytes]
