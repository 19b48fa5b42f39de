"""Messages by which requests in progress pass from one daemon to another."""

from typing import ClassVar, Self

from pydantic import BaseModel, ConfigDict

from fireflyhitch_model.calls import Call
from fireflyhitch_model.ids import (
    AttemptId,
    BackendServerId,
    CustomerId,
    DaemonId,
    DeploymentId,
    RequestId,
)
from fireflyhitch_model.peers import PeerMessage
from fireflyhitch_model.states import Priority
from fireflyhitch_recovery.answers import AnswerCopy, AnswerEnd
from fireflyhitch_recovery.events import AttemptTag, Cut
from fireflyhitch_recovery.requests import (
    AcceptedRequest,
    CompletionKind,
    Placement,
    TrackedRequest,
)


class _Part(BaseModel):
    model_config = ConfigDict(frozen=True, extra='ignore')


class WireCall(_Part):
    """A call; its times are told as durations, since clocks differ."""

    request_id: RequestId
    customer: CustomerId
    deployment: DeploymentId
    route: str
    priority: Priority
    prompt_tokens: int
    max_tokens: int
    prefix_blocks: tuple[int, ...]
    age_seconds: float
    seconds_left: float
    repeatable: bool = True

    @classmethod
    def pack(cls, call: Call, now: float) -> Self:
        """Return a call as it is sent at a time in monotonic seconds."""
        return cls(
            request_id=call.request_id,
            customer=call.customer,
            deployment=call.deployment,
            route=call.route,
            priority=call.priority,
            prompt_tokens=call.prompt_tokens,
            max_tokens=call.max_tokens,
            prefix_blocks=call.prefix_blocks,
            age_seconds=now - call.arrived,
            seconds_left=call.deadline - now,
            repeatable=call.repeatable,
        )

    def unpack(self, now: float) -> Call:
        """Return the call as it is received at a time in monotonic seconds."""
        return Call(
            request_id=self.request_id,
            customer=self.customer,
            deployment=self.deployment,
            route=self.route,
            priority=self.priority,
            prompt_tokens=self.prompt_tokens,
            max_tokens=self.max_tokens,
            prefix_blocks=self.prefix_blocks,
            arrived=now - self.age_seconds,
            deadline=now + self.seconds_left,
            repeatable=self.repeatable,
        )


class WirePlacement(_Part):
    """The engine's stream that the answer comes from."""

    server_id: BackendServerId
    address: str
    engine_attempt: AttemptId
    offset: int


class WireCut(_Part):
    """From which event on the answer is an attempt's."""

    first: int
    attempt: AttemptTag


class WireRequest(_Part):
    """A request with its answer so far."""

    call: WireCall
    completion: CompletionKind
    body: bytes
    streaming: bool
    events: tuple[bytes, ...]
    lineage: tuple[WireCut, ...]
    attempts: int
    end: AnswerEnd | None = None
    placement: WirePlacement | None = None
    generation: int = 1

    @classmethod
    def pack(
        cls, tracked: TrackedRequest, copy: AnswerCopy, generation: int, now: float
    ) -> Self:
        """Return a request as it is sent at a time in monotonic seconds."""
        accepted = tracked.accepted
        cuts = [WireCut(first=cut.first, attempt=cut.attempt) for cut in copy.lineage]
        return cls(
            call=WireCall.pack(accepted.call, now),
            completion=accepted.kind,
            body=accepted.body,
            streaming=accepted.streaming,
            events=copy.events,
            lineage=tuple(cuts),
            attempts=copy.attempts,
            end=copy.end,
            placement=_pack_placement(tracked.placement),
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
        """Return the request as it was accepted."""
        return AcceptedRequest(
            self.call.unpack(now), self.completion, self.body, self.streaming
        )

    def unpack_copy(self) -> AnswerCopy:
        """Return the answer so far."""
        lineage = tuple(Cut(cut.first, cut.attempt) for cut in self.lineage)
        return AnswerCopy(self.events, lineage, self.attempts, self.end)

    def unpack_placement(self) -> Placement | None:
        """Return where the answer came from."""
        placed = self.placement
        if placed is None:
            return None
        return Placement(
            placed.server_id, placed.address, placed.engine_attempt, placed.offset
        )


class Offer(PeerMessage):
    """Asks a peer how much it could take over."""

    kind: ClassVar[str] = 'hand-over-offer'

    requests: int
    size: int


class OfferReply(PeerMessage):
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


class Location(_Part):
    """Who answers a request; the higher generation is right."""

    request_id: RequestId
    daemon_id: DaemonId
    generation: int


class Located(PeerMessage):
    """Tells who answers requests from now on."""

    kind: ClassVar[str] = 'request-located'

    locations: tuple[Location, ...]


class Locate(PeerMessage):
    """Asks who answers some requests."""

    kind: ClassVar[str] = 'request-locate'

    requests: tuple[RequestId, ...]


class LocateReply(PeerMessage):
    """Tells who answers which request, as far as the asked one knows."""

    kind: ClassVar[str] = 'request-locations'

    locations: tuple[Location, ...]


def _pack_placement(placement: Placement | None) -> WirePlacement | None:
    if placement is None:
        return None
    return WirePlacement(
        server_id=placement.server_id,
        address=placement.address,
        engine_attempt=placement.engine_attempt,
        offset=placement.offset,
    )
