"""A model call from its acceptance to its last byte."""

import socket
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from fireflyhitch_daemon.upstream import Upstream
from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.calls import Call
from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.ids import BackendServerId


class Endpoint(Enum):
    """Which of the two model endpoints was called."""

    CHAT = '/v1/chat/completions'
    TEXT = '/v1/completions'


class ExchangeState(Enum):
    """How far a call has come."""

    WAITING = 'waiting'
    STREAMING = 'streaming'
    DONE = 'done'
    FAILED = 'failed'
    ABANDONED = 'abandoned'


@dataclass(slots=True, eq=False)
class Follower:
    """A caller's connection that receives an exchange's answer.

    :param streaming: whether it gets events as they come, or the whole at the end.
    :param position: how many events it has been sent.
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

    sent: float = 0
    first_event: float | None = None
    last_event: float = 0
    longest_gap: float = 0


@dataclass(slots=True, eq=False)
class Exchange:
    """A call, its answer so far, and who receives it.

    Only the relay's thread changes an exchange once it has been handed over.

    :param body: the caller's request, parsed.
    :param events: the data of each event so far; event ids count from 1.
    """

    call: Call
    endpoint: Endpoint
    body: Mapping[str, Any]
    streaming: bool
    events: list[bytes] = field(default_factory=list)
    followers: list[Follower] = field(default_factory=list)
    upstream: Upstream | None = None
    attempts: int = 0
    server: BackendServer | None = None
    tried: set[BackendServerId] = field(default_factory=set)
    state: ExchangeState = ExchangeState.WAITING
    timing: Timing = field(default_factory=Timing)
    error: RequestError | None = None
    ended: float | None = None
    left_alone: float | None = None

    @property
    def open(self) -> bool:
        """Tell whether the answer is still awaited."""
        return self.state in {ExchangeState.WAITING, ExchangeState.STREAMING}
