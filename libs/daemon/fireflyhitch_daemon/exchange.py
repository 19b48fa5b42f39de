"""State of a model call from its acceptance to the last byte of its answer."""

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
    """State of a call at this daemon."""

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

    :param streaming: whether it gets events as they arrive or one body at the end.
    :param position: the number of the last event sent to it.
    :param pending: bytes that its socket has not accepted yet.
    """

    sock: socket.socket
    streaming: bool
    position: int = 0
    pending: bytearray = field(default_factory=bytearray)
    head_sent: bool = False
    closing: bool = False


@dataclass(slots=True, eq=False)
class Timing:
    """Monotonic times in seconds, for evidence and burn."""

    first_event: float | None = None
    last_event: float = 0
    longest_gap: float = 0


@dataclass(frozen=True, slots=True)
class ExportedCache:
    """The exported KV cache of an answer, to be imported by another engine."""

    attempt: AttemptId
    export: KvExport


@dataclass(slots=True, eq=False)
class Exchange:
    """A call, its answer so far, and the connections that receive it.

    Only the relay's thread changes ``connections``, ``upstream``, ``relayed``,
    ``state`` and ``timing``; the thread that sends an attempt changes the rest.

    :param relayed: the number of events sent to all callers that are up to date.
    :param offset: the number of events before the current attempt.
    :param left: the servers that the answer was moved away from before they stopped.
    :param reconnect_until: monotonic time in seconds until which a caller may
        reconnect; ``None`` while one is connected.
    """

    tracked: TrackedRequest
    permit: Permit | None = None
    connections: list[CallerConnection] = field(default_factory=list)
    upstream: Upstream | None = None
    relayed: int = 0
    attempts: int = 0
    offset: int = 0
    tried: set[BackendServerId] = field(default_factory=set)
    left: set[BackendServerId] = field(default_factory=set)
    ticket: Ticket | None = None
    cache: ExportedCache | None = None
    sent: bool = False
    state: ExchangeState = ExchangeState.WAITING
    timing: Timing = field(default_factory=Timing)
    error: RequestError | None = None
    reconnect_until: float | None = None

    @property
    def call(self) -> Call:
        """Return the call with its routing parameters."""
        return self.tracked.accepted.call

    @property
    def kind(self) -> CompletionKind:
        """Return the kind of completion requested."""
        return self.tracked.accepted.kind

    @property
    def server_id(self) -> BackendServerId | None:
        """Return the server that the answer is read from."""
        upstream = self.upstream
        return None if upstream is None else upstream.server_id

    @property
    def open(self) -> bool:
        """Return whether the answer is still in progress at this daemon."""
        return self.state in OPEN_STATES
