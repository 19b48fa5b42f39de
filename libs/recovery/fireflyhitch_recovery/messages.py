"""Messages by which requests in progress pass from one daemon to another."""

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
    """A request with its answer so far.

    :param call: its arrival is told as its age, and its deadline as the time
        left, since monotonic clocks differ between daemons.
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
        """Return a request as it is sent at a time in monotonic seconds."""
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
        """The request's id."""
        return self.call.request_id

    @property
    def size(self) -> int:
        """Roughly how many bytes it takes."""
        return len(self.body) + sum(map(len, self.events))

    def unpack_accepted(self, now: float) -> AcceptedRequest:
        """Return the request as received at a time in monotonic seconds."""
        call = self.call
        received = replace(
            call, arrived=now - call.arrived, deadline=now + call.deadline
        )
        return AcceptedRequest(received, self.completion, self.body, self.streaming)

    def unpack_copy(self) -> AnswerCopy:
        """Return the answer so far."""
        return AnswerCopy(self.events, self.lineage, self.attempts, self.end)


class CapacityQuery(PeerMessage):
    """Asks a peer how much it could take over."""

    kind: ClassVar[str] = 'hand-over-offer'

    requests: int
    size: int


class CapacityReply(PeerMessage):
    """Tells how much a peer could take over now.

    :param size: bytes of requests and answers.
    """

    kind: ClassVar[str] = 'hand-over-room'

    requests: int
    size: int


class Transfer(PeerMessage):
    """Gives a peer requests to keep, not yet to go on with."""

    kind: ClassVar[str] = 'hand-over-transfer'

    requests: tuple[WireRequest, ...]


class TransferReply(PeerMessage):
    """Tells which requests a peer keeps; it has no room for the others."""

    kind: ClassVar[str] = 'hand-over-kept'

    accepted: tuple[RequestId, ...]


class Confirm(PeerMessage):
    """Has a peer go on with requests that it keeps."""

    kind: ClassVar[str] = 'hand-over-confirm'

    requests: tuple[RequestId, ...]


class ConfirmReply(PeerMessage):
    """Tells which requests a peer answers now."""

    kind: ClassVar[str] = 'hand-over-taken'

    requests: tuple[RequestId, ...]


class Withdraw(PeerMessage):
    """Has a peer forget requests that it keeps, as they ended or went elsewhere."""

    kind: ClassVar[str] = 'hand-over-withdraw'

    requests: tuple[RequestId, ...]


class Location(_WireModel):
    """Who answers a request; the higher generation is right."""

    request_id: RequestId
    daemon_id: DaemonId
    generation: int


class LocationUpdate(PeerMessage):
    """Tells who answers requests from now on."""

    kind: ClassVar[str] = 'request-located'

    locations: tuple[Location, ...]


class LocationQuery(PeerMessage):
    """Asks who answers some requests."""

    kind: ClassVar[str] = 'request-locate'

    requests: tuple[RequestId, ...]


class LocationReply(PeerMessage):
    """Tells who answers which request, as far as the asked one knows."""

    kind: ClassVar[str] = 'request-locations'

    locations: tuple[Location, ...]
