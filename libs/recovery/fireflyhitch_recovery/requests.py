"""In-flight requests and the engine streams that answer them."""

from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property

from fireflyhitch_model.calls import Call
from fireflyhitch_model.identity import identify_content
from fireflyhitch_model.ids import AttemptId, BackendServerId, ContentId
from fireflyhitch_recovery.answers import AnswerEnd, AnswerLog


class CompletionKind(StrEnum):
    """API format of a model request."""

    CHAT = 'chat'
    TEXT = 'text'


@dataclass(frozen=True)
class AcceptedRequest:
    """A request as received from the caller.

    :param body: the unmodified request body.
    :param streaming: whether the caller reads server-sent events.
    """

    call: Call
    kind: CompletionKind
    body: bytes
    streaming: bool

    @cached_property
    def content(self) -> ContentId:
        """Return the content id that the request shares with its repeats."""
        return identify_content(self.call.customer, 'POST', self.kind.value, self.body)


@dataclass(frozen=True, slots=True)
class Placement:
    """The engine stream that an answer is read from.

    :param address: ``host:port`` of the engine.
    :param engine_attempt: id of the stream at the engine.
    :param offset: number of the answer's events that precede this stream.
    """

    server_id: BackendServerId
    address: str
    engine_attempt: AttemptId
    offset: int = 0


@dataclass(slots=True, eq=False)
class TrackedRequest:
    """An in-flight request and its answer.

    :param placement: set by the dispatcher before the first event.
    :param generation: raised by each hand-over; of two daemons that hold a
        request, the one with the higher generation answers it.
    """

    accepted: AcceptedRequest
    log: AnswerLog
    placement: Placement | None = None
    generation: int = 0
    finished: AnswerEnd | None = field(default=None)
