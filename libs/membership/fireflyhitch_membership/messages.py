"""Messages between daemons about members, configuration and soft state.

Field names are part of the wire format; messages sent every second have short ones.
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
    """Status of a daemon; it only increases within one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class MarkKind(Enum):
    """Kinds of grow-only marks."""

    LEAVING = 'leaving'
    WITHDRAWN = 'withdrawn'


class _Item(BaseModel):
    model_config = ConfigDict(frozen=True, extra='ignore')


class MemberRecord(_Item):
    """A daemon with its status, as exchanged between members."""

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
    """A grow-only mark on all incarnations of a key up to ``number``.

    :param key: an instance id, or ``deployment/version``.
    :param number: the highest marked incarnation.
    """

    kind: MarkKind
    key: str
    number: int


class Probe(PeerMessage):
    """A heartbeat that expects an answer, with digests of the sender's state.

    :param members: a digest over the member digests of all failure domains.
    :param seen: the incarnation and status that the sender has recorded for the
        receiver, which can thus refute a wrong suspicion.
    """

    kind: ClassVar[str] = 'probe'

    me: MemberRecord
    members: int
    marks: int
    seen: tuple[Incarnation, MemberStatus] | None = None


class ProbeAnswer(PeerMessage):
    """The answer to a probe, with the same fields."""

    kind: ClassVar[str] = 'probe-answer'

    me: MemberRecord
    members: int
    marks: int
    seen: tuple[Incarnation, MemberStatus] | None = None


class IndirectProbe(PeerMessage):
    """A request to probe a third daemon."""

    kind: ClassVar[str] = 'indirect-probe'

    target: MemberRecord


class IndirectAnswer(PeerMessage):
    """Whether the third daemon answered the probe."""

    kind: ClassVar[str] = 'indirect-answer'

    reached: bool


class SyncRequest(PeerMessage):
    """Detailed digests; the answer contains the state that differs.

    :param marks: a digest for each bucket of marks; empty if marks do not differ.
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
    """An envelope that forwards a message to all daemons of a scope.

    :param origin: identifies the message together with ``number``, so that
        duplicates are dropped.
    :param inner: the kind of the enclosed message.
    :param body: the encoded fields of the enclosed message.
    """

    kind: ClassVar[str] = 'relay'

    origin: DaemonId
    number: int
    scope: Scope
    inner: str
    body: bytes


class ConfigurationDigest(PeerMessage):
    """The revision that the sender has in force.

    :param content: a hash of the configuration's text.
    """

    kind: ClassVar[str] = 'configuration-digest'

    revision: Revision
    content: int


class ConfigurationPull(PeerMessage):
    """Requests the configuration if it is newer than the sender's.

    :param have: the sender's revision.
    :param content: a hash of the sender's configuration text.
    :param whole: whether to send the whole instead of a difference.
    """

    kind: ClassVar[str] = 'configuration-pull'

    have: Revision
    content: int = 0
    whole: bool = False


class ConfigurationUpdate(PeerMessage):
    """A configuration, whole or as a difference from the requester's revision.

    :param revision: 0 if the sender has nothing newer.
    :param content: a hash of the whole text, checked after a difference is applied.
    :param body: compressed JSON of the record or of the difference.
    """

    kind: ClassVar[str] = 'configuration-update'

    revision: Revision
    change_id: ChangeId = ChangeId('')
    content: int = 0
    difference: bool = False
    body: bytes = b''


class StatusRequest(PeerMessage):
    """Requests the revision in force in the receiver's failure domain."""

    kind: ClassVar[str] = 'configuration-status-request'


class StatusAnswer(PeerMessage):
    """The sender's revision and the lowest one reported in its failure domain."""

    kind: ClassVar[str] = 'configuration-status'

    domain: FailureDomainId
    revision: Revision
    lowest: Revision
    since: datetime | None


class SnapshotRequest(PeerMessage):
    """Requests the receiver's soft state.

    :param sections: names of the wanted sections; empty for all.
    """

    kind: ClassVar[str] = 'snapshot-request'

    sections: tuple[str, ...] = ()


class Snapshot(PeerMessage):
    """Soft state by section name, in each section's own encoding."""

    kind: ClassVar[str] = 'snapshot'

    sections: dict[str, bytes]
