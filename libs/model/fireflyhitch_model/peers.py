"""How libraries talk to other daemons, without knowing the links."""

from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import ClassVar, Protocol, TypeVar

from pydantic import BaseModel, ConfigDict

from fireflyhitch_model.ids import DaemonId, FailureDomainId, Incarnation
from fireflyhitch_model.records import immutable


class PeerMessage(BaseModel):
    """The base of typed messages between daemons.

    Fields that a release does not know are passed over, so that two releases
    run side by side; new fields need a default.

    :cvar kind: the message's name on the wire.
    """

    model_config = ConfigDict(frozen=True, extra='ignore')

    kind: ClassVar[str]


class Scope(Enum):
    """How far a message is spread."""

    FAILURE_DOMAIN = 'failure-domain'
    EVERYWHERE = 'everywhere'


@immutable
class Daemon:
    """A daemon as membership sees it.

    :param peer_address: ``host:port`` of its peer links.
    :param entry_address: ``host:port`` of its callers' listener.
    """

    daemon_id: DaemonId
    failure_domain: FailureDomainId
    peer_address: str
    entry_address: str
    incarnation: Incarnation = Incarnation(1)


SomeMessage = TypeVar('SomeMessage', bound=PeerMessage)
# Takes the sender and the message; what it returns is the answer to an ask.
Handler = Callable[[DaemonId, SomeMessage], PeerMessage | None]


class PeerMessenger(Protocol):
    """Messages to other daemons; safe to call from any thread."""

    def live(self) -> tuple[Daemon, ...]:
        """Return the daemons thought alive and not leaving, this one included."""

    def tell(self, peer: DaemonId, message: PeerMessage) -> None:
        """Send without an answer; dropped if the peer's queue is full."""

    def spread(self, message: PeerMessage, scope: Scope) -> None:
        """Send to all daemons within the scope, without an answer."""

    def ask(
        self, peer: DaemonId, message: PeerMessage, timeout: timedelta
    ) -> PeerMessage:
        """Send and wait for the answer.

        :raises PeerError: if the peer is cut off or does not answer in time.
        """

    def handle(self, kind: type[SomeMessage], handler: Handler[SomeMessage]) -> None:
        """Have a handler called for each message of a kind."""
