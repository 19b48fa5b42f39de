"""Peer messages that hand in-flight requests over between daemons."""

from dataclasses import replace
from typing import ClassVar, Self

from pydantic import BaseModel, ConfigDict

from fireflyhitch_model.calls import Call
from fireflyhitch_model.ids import DaemonId, RequestId
from fireflyhitch_model.peers import PeerMessage
from fireflyhitch_recovery.answers import AnswerCopy, AnswerEnd
from fireflyhitch_recovery.events import LineageEntry
from fireflyhitch_recovery.requests import (
    AcceptedRequest,
    CompletionKind,
    Placement,
    TrackedRequest,
)


class _WireModel(BaseModel):
    model_config = ConfigDict(frozen=True, extra='ignore')


class WireRequest(_WireModel):
    """A request with its partial answer, as sent to a peer.

    :param call: with its age in place of the arrival and the time left in place
        of the deadline, since monotonic clocks differ between daemons.
    """

    call: Call
    completion: CompletionKind
    body: bytes
    streaming: bool
    events: tuple[bytes, ...]
    lineage: tuple[LineageEntry, ...]
    attempts: int
    end: AnswerEnd | None = None
    placement: Placement | None = None
    generation: int = 1

    @classmethod
    def pack(
        cls, tracked: TrackedRequest, copy: AnswerCopy, generation: int, now: float
    ) -> Self:
        """Return the wire form of a request, sent at a time in monotonic seconds."""
        accepted = tracked.accepted
        call = accepted.call
        return cls(
            call=replace(
                call, arrived=now - call.arrived, deadline=call.deadline - now
            ),
            completion=accepted.kind,
            body=accepted.body,
            streaming=accepted.streaming,
            events=copy.events,
            lineage=copy.lineage,
            attempts=copy.attempts,
            end=copy.end,
            placement=tracked.placement,
            generation=generation,
        )

    @property
    def request_id(self) -> RequestId:
        """Id of the request."""
        return self.call.request_id

    @property
    def size(self) -> int:
        """Approximate size in bytes."""
        return len(self.body) + sum(map(len, self.events))

    def unpack_accepted(self, now: float) -> AcceptedRequest:
        """Return the request, received at a time in monotonic seconds."""
        call = self.call
        received = replace(
            call, arrived=now - call.arrived, deadline=now + call.deadline
        )
        return AcceptedRequest(received, self.completion, self.body, self.streaming)

    def unpack_copy(self) -> AnswerCopy:
        """Return the answer so far."""
        return AnswerCopy(self.events, self.lineage, self.attempts, self.end)


class CapacityQuery(PeerMessage):
    """Asks a peer how many requests it can take over."""

    kind: ClassVar[str] = 'hand-over-offer'

    requests: int
    size: int


class CapacityReply(PeerMessage):
    """Reports how much a peer can take over now.

    :param requests: number of requests.
    :param size: bytes of requests and answers.
    """

    kind: ClassVar[str] = 'hand-over-room'

    requests: int
    size: int


class Transfer(PeerMessage):
    """Sends requests that a peer stores but does not answer until confirmed."""

    kind: ClassVar[str] = 'hand-over-transfer'

    requests: tuple[WireRequest, ...]


class TransferReply(PeerMessage):
    """Lists the requests that a peer stored; it has no capacity for the others."""

    kind: ClassVar[str] = 'hand-over-kept'

    accepted: tuple[RequestId, ...]


class Confirm(PeerMessage):
    """Makes a peer answer requests that were transferred to it."""

    kind: ClassVar[str] = 'hand-over-confirm'

    requests: tuple[RequestId, ...]


class ConfirmReply(PeerMessage):
    """Lists the requests that a peer answers now."""

    kind: ClassVar[str] = 'hand-over-taken'

    requests: tuple[RequestId, ...]


class Withdraw(PeerMessage):
    """Makes a peer discard transferred requests that ended or moved elsewhere."""

    kind: ClassVar[str] = 'hand-over-withdraw'

    requests: tuple[RequestId, ...]


class Location(_WireModel):
    """The daemon that answers a request; the highest generation is current."""

    request_id: RequestId
    daemon_id: DaemonId
    generation: int


class LocationUpdate(PeerMessage):
    """Announces which daemon answers requests from now on."""

    kind: ClassVar[str] = 'request-located'

    locations: tuple[Location, ...]


class LocationQuery(PeerMessage):
    """Asks which daemons answer some requests."""

    kind: ClassVar[str] = 'request-locate'

    requests: tuple[RequestId, ...]


class LocationReply(PeerMessage):
    """Lists the locations that the queried daemon has on record."""

    kind: ClassVar[str] = 'request-locations'

    locations: tuple[Location, ...]
