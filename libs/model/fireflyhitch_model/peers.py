"""Interface for messages to other daemons, independent of the transport."""

from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import ClassVar, Protocol, TypeVar

from pydantic import BaseModel, ConfigDict

from fireflyhitch_model.ids import DaemonId, FailureDomainId, Incarnation
from fireflyhitch_model.records import immutable


class PeerMessage(BaseModel):
    """Base class of typed messages between daemons.

    Unknown fields are ignored, so that two releases can run concurrently; new fields
    need a default.

    :cvar kind: the message's name on the wire.
    """

    model_config = ConfigDict(frozen=True, extra='ignore')

    kind: ClassVar[str]


class Scope(Enum):
    """Which daemons a broadcast reaches."""

    FAILURE_DOMAIN = 'failure-domain'
    EVERYWHERE = 'everywhere'


@immutable
class Daemon:
    """A daemon as membership sees it.

    :param peer_address: ``host:port`` of its peer links.
    :param entry_address: ``host:port`` of its listener for callers.
    """

    daemon_id: DaemonId
    failure_domain: FailureDomainId
    peer_address: str
    entry_address: str
    incarnation: Incarnation = Incarnation(1)


SomeMessage = TypeVar('SomeMessage', bound=PeerMessage)
# Takes the sender and the message; returns the answer, if the sender expects one.
Handler = Callable[[DaemonId, SomeMessage], PeerMessage | None]


class PeerMessenger(Protocol):
    """Sends messages to other daemons; safe to use from any thread."""

    def live(self) -> tuple[Daemon, ...]:
        """Return the daemons considered alive and not leaving, including this one."""

    def tell(self, peer: DaemonId, message: PeerMessage) -> None:
        """Send a message without answer; it is dropped if the peer's queue is full."""

    def broadcast(self, message: PeerMessage, scope: Scope) -> None:
        """Send a message to all other daemons of the scope, without answers."""

    def ask(
        self, peer: DaemonId, message: PeerMessage, timeout: timedelta
    ) -> PeerMessage:
        """Send a message and wait for the answer.

        :raises PeerError: if the peer is unreachable or does not answer in time.
        """

    def handle(self, kind: type[SomeMessage], handler: Handler[SomeMessage]) -> None:
        """Register a handler for a kind of message."""
