"""Requests in progress and where each is being answered."""

from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property

from fireflyhitch_model.calls import Call
from fireflyhitch_model.identity import identify_content
from fireflyhitch_model.ids import AttemptId, BackendServerId, ContentId
from fireflyhitch_recovery.answers import AnswerEnd, AnswerLog


class CompletionKind(StrEnum):
    """The form of a model request."""

    CHAT = 'chat'
    TEXT = 'text'


@dataclass(frozen=True)
class AcceptedRequest:
    """A request as it was accepted.

    :param body: as the caller sent it.
    :param streaming: whether the caller reads server-sent events.
    """

    call: Call
    kind: CompletionKind
    body: bytes
    streaming: bool

    @cached_property
    def content(self) -> ContentId:
        """Return what it has in common with its repeats."""
        return identify_content(self.call.customer, 'POST', self.kind.value, self.body)


@dataclass(frozen=True, slots=True)
class Placement:
    """The engine's stream that an answer comes from.

    :param address: ``host:port`` of the engine.
    :param engine_attempt: the id under which the engine knows the stream.
    :param offset: how many of the answer's events came before this stream.
    """

    server_id: BackendServerId
    address: str
    engine_attempt: AttemptId
    offset: int = 0


@dataclass(slots=True, eq=False)
class TrackedRequest:
    """A request in progress.

    :param placement: set by whoever dispatches it, before the first event.
    :param generation: how often it has been handed over; of two daemons that
        hold a request, the higher generation has it.
    """

    accepted: AcceptedRequest
    log: AnswerLog
    placement: Placement | None = None
    generation: int = 0
    finished: AnswerEnd | None = field(default=None)
