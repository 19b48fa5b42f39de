"""A model call from its acceptance to its last byte, as the relay sees it."""

import socket
from dataclasses import dataclass, field
from enum import Enum

from fireflyhitch_daemon.upstream import Upstream
from fireflyhitch_model.calls import Call
from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.ids import AttemptId, BackendServerId
from fireflyhitch_platform.engines import KvExport
from fireflyhitch_recovery.requests import CompletionKind, TrackedRequest
from fireflyhitch_routing.admission import Permit
from fireflyhitch_routing.choices import Ticket


class ExchangeState(Enum):
    """How far a call has come here."""

    WAITING = 'waiting'
    STREAMING = 'streaming'
    DONE = 'done'
    FAILED = 'failed'
    ABANDONED = 'abandoned'
    MOVED = 'moved'


OPEN_STATES = frozenset((ExchangeState.WAITING, ExchangeState.STREAMING))


@dataclass(slots=True, eq=False)
class CallerConnection:
    """A caller's connection that receives an exchange's answer.

    :param streaming: whether it gets events as they come, or the whole at the end.
    :param position: the number of the last event that it was sent.
    :param pending: bytes that its socket has not taken yet.
    """

    sock: socket.socket
    streaming: bool
    position: int = 0
    pending: bytearray = field(default_factory=bytearray)
    head_sent: bool = False
    closing: bool = False


@dataclass(slots=True, eq=False)
class Timing:
    """Monotonic seconds of what happened when, for evidence and burn."""

    first_event: float | None = None
    last_event: float = 0
    longest_gap: float = 0


@dataclass(frozen=True, slots=True)
class ExportedCache:
    """The KV cache of an answer, on its way to another engine."""

    attempt: AttemptId
    export: KvExport


@dataclass(slots=True, eq=False)
class Exchange:
    """A call, its answer so far, and who receives it.

    Only the relay's thread changes ``connections``, ``upstream``, ``relayed``,
    ``state`` and ``timing``; dispatch owns the rest between two attempts.

    :param relayed: how many events the answer has that may be relayed.
    :param offset: how many events came before the present attempt.
    :param reconnect_until: monotonic seconds until which a caller may come back;
        ``None`` while one is there.
    """

    tracked: TrackedRequest
    permit: Permit | None = None
    connections: list[CallerConnection] = field(default_factory=list)
    upstream: Upstream | None = None
    relayed: int = 0
    attempts: int = 0
    offset: int = 0
    tried: set[BackendServerId] = field(default_factory=set)
    ticket: Ticket | None = None
    cache: ExportedCache | None = None
    sent: bool = False
    state: ExchangeState = ExchangeState.WAITING
    timing: Timing = field(default_factory=Timing)
    error: RequestError | None = None
    reconnect_until: float | None = None

    @property
    def call(self) -> Call:
        """Return the call as the decisions see it."""
        return self.tracked.accepted.call

    @property
    def kind(self) -> CompletionKind:
        """Return the form of the request."""
        return self.tracked.accepted.kind

    @property
    def open(self) -> bool:
        """Tell whether the answer is still awaited here."""
        return self.state in OPEN_STATES
