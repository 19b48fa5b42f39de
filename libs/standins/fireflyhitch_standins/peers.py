"""Daemons of one process that hand each other messages directly."""

from datetime import timedelta

from fireflyhitch_model.errors import PeerError
from fireflyhitch_model.ids import DaemonId
from fireflyhitch_model.peers import (
    Daemon,
    Handler,
    PeerMessage,
    Scope,
    SomeMessage,
)
from fireflyhitch_model.states import Step


class MemoryPeerNetwork:
    """The links between in-process messengers, and which of them are cut."""

    def __init__(self) -> None:
        self.messengers: dict[DaemonId, MemoryPeerMessenger] = {}
        self.cut: set[tuple[DaemonId, DaemonId]] = set()
        self.dead: set[DaemonId] = set()

    def join(self, daemon: Daemon) -> 'MemoryPeerMessenger':
        """Add a daemon and return its messenger."""
        messenger = MemoryPeerMessenger(daemon, self)
        self.messengers[daemon.daemon_id] = messenger
        return messenger

    def separate(self, one: DaemonId, other: DaemonId) -> None:
        """Cut the link between two daemons, both ways."""
        self.cut.add((one, other))
        self.cut.add((other, one))

    def reaches(self, sender: DaemonId, target: DaemonId) -> bool:
        """Tell whether a message would arrive."""
        if target in self.dead or target not in self.messengers:
            return False
        return (sender, target) not in self.cut


class MemoryPeerMessenger:
    """Implements ``PeerMessenger`` for one daemon."""

    def __init__(self, daemon: Daemon, network: MemoryPeerNetwork) -> None:
        self.daemon = daemon
        self._network = network
        self._handlers: dict[str, Handler[PeerMessage]] = {}

    def live(self) -> tuple[Daemon, ...]:
        """Return the daemons that are not dead, as the network knows them."""
        return tuple(
            messenger.daemon
            for daemon_id, messenger in self._network.messengers.items()
            if daemon_id not in self._network.dead
        )

    def tell(self, peer: DaemonId, message: PeerMessage) -> None:
        """Send without an answer."""
        if self._network.reaches(self.daemon.daemon_id, peer):
            self._network.messengers[peer].receive(self.daemon.daemon_id, message)

    def spread(self, message: PeerMessage, scope: Scope) -> None:
        """Send to all other daemons within the scope."""
        for daemon in self.live():
            near = daemon.failure_domain == self.daemon.failure_domain
            if scope is Scope.FAILURE_DOMAIN and not near:
                continue
            if daemon.daemon_id != self.daemon.daemon_id:
                self.tell(daemon.daemon_id, message)

    def ask(
        self, peer: DaemonId, message: PeerMessage, timeout: timedelta
    ) -> PeerMessage:
        """Send and return the answer."""
        here = self.daemon.daemon_id
        there_and_back = self._network.reaches(here, peer)
        answer = None
        if there_and_back:
            answer = self._network.messengers[peer].receive(here, message)
            there_and_back = self._network.reaches(peer, here)
        if answer is None or not there_and_back:
            raise PeerError('no answer in time', step=Step.PEER, peer=peer)
        return answer

    def handle(self, kind: type[SomeMessage], handler: Handler[SomeMessage]) -> None:
        """Have a handler called for each message of a kind."""
        self._handlers[kind.kind] = handler  # type: ignore[assignment]

    def receive(self, sender: DaemonId, message: PeerMessage) -> PeerMessage | None:
        """Hand a message to its handler, if there is one."""
        handler = self._handlers.get(message.kind)
        return handler(sender, message) if handler else None
