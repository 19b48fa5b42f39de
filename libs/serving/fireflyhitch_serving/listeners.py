"""What the connections of one port share."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.records import immutable
from fireflyhitch_serving.caller_memory import CallerMemory
from fireflyhitch_serving.catalog import CallerLimits
from fireflyhitch_serving.edge import RenderedResponse
from fireflyhitch_serving.messages import CallerRequest
from fireflyhitch_serving.read_turns import ReadTurns
from fireflyhitch_serving.refusals import refuse_invalid_request
from fireflyhitch_serving.replies import Reply
from fireflyhitch_serving.request_heads import RequestHead
from fireflyhitch_serving.request_reader import InvalidRequest

# Read from a connection at a time.
RECEIVED_BYTES = 65_536


@immutable
class Screening:
    """What is known of a request before its body has arrived.

    :param time_limit: seconds within which it gets its final response; ``None`` if they
        are unknown.
    :param needs_body: whether its response depends on its body.
    """

    time_limit: float | None = None
    needs_body: bool = True


Serve = Callable[[CallerRequest, Reply], Awaitable[None]]
Refuse = Callable[[InvalidRequest, str], RenderedResponse]
Screen = Callable[[RequestHead], Screening]


def expect_any_body(head: RequestHead) -> Screening:
    """Screen a request whose body may matter."""
    return Screening()


def expect_no_body(head: RequestHead) -> Screening:
    """Screen a request whose body does not matter."""
    return Screening(needs_body=False)


class ListenerConnection(Protocol):
    """A connection that a listener has accepted."""

    @property
    def busy(self) -> bool:
        """Tell whether a complete request has no complete response yet."""

    def close_if_idle(self) -> None:
        """Close the connection unless a request is served or being received."""


def _make_receive_buffer() -> memoryview:
    return memoryview(bytearray(RECEIVED_BYTES))


@dataclass(slots=True)
class ListenerState:
    """State shared by all connections of a listener.

    :param memory: what the connections of all listeners hold.
    :param refuse: logs the refusal of an invalid request and returns the response; takes
        the caller's address too.
    :param closing: whether responses ask callers to close their connections.
    :param received: what the connection that is read has just received.
    """

    serve: Serve
    limits: Callable[[], CallerLimits]
    clock: Clock
    memory: CallerMemory
    turns: ReadTurns
    refuse: Refuse = refuse_invalid_request
    screen: Screen = expect_any_body
    closing: bool = False
    connections: set[ListenerConnection] = field(default_factory=set)
    received: memoryview = field(default_factory=_make_receive_buffer)

    @property
    def busy(self) -> int:
        """Return how many connections have a request without a complete response."""
        return sum(connection.busy for connection in self.connections)

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in tuple(self.connections):
            connection.close_if_idle()
