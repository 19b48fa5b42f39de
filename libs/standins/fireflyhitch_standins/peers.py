"""In-process peer messengers that deliver messages directly."""

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
    """Links between in-process messengers, some of which may be cut."""

    def __init__(self) -> None:
        self.messengers: dict[DaemonId, MemoryPeerMessenger] = {}
        self.cut: set[tuple[DaemonId, DaemonId]] = set()
        self.dead: set[DaemonId] = set()

    def join(self, daemon: Daemon) -> 'MemoryPeerMessenger':
        """Add a daemon and return its messenger."""
        messenger = MemoryPeerMessenger(daemon, self)
        self.messengers[daemon.daemon_id] = messenger
        return messenger

    def disconnect(self, one: DaemonId, other: DaemonId) -> None:
        """Cut the link between two daemons in both directions."""
        self.cut.add((one, other))
        self.cut.add((other, one))

    def reaches(self, sender: DaemonId, target: DaemonId) -> bool:
        """Return whether a message would be delivered."""
        if target in self.dead or target not in self.messengers:
            return False
        return (sender, target) not in self.cut


class MemoryPeerMessenger:
    """In-memory ``PeerMessenger`` of one daemon."""

    def __init__(self, daemon: Daemon, network: MemoryPeerNetwork) -> None:
        self.daemon = daemon
        self._network = network
        self._handlers: dict[str, Handler[PeerMessage]] = {}

    def live(self) -> tuple[Daemon, ...]:
        """Return the live daemons of the network."""
        return tuple(
            messenger.daemon
            for daemon_id, messenger in self._network.messengers.items()
            if daemon_id not in self._network.dead
        )

    def tell(self, peer: DaemonId, message: PeerMessage) -> None:
        """Send a message without waiting for a reply."""
        if self._network.reaches(self.daemon.daemon_id, peer):
            self._network.messengers[peer].receive(self.daemon.daemon_id, message)

    def broadcast(self, message: PeerMessage, scope: Scope) -> None:
        """Broadcast a message to all other daemons within the scope."""
        for daemon in self.live():
            is_local = daemon.failure_domain == self.daemon.failure_domain
            if scope is Scope.FAILURE_DOMAIN and not is_local:
                continue
            if daemon.daemon_id != self.daemon.daemon_id:
                self.tell(daemon.daemon_id, message)

    def ask(
        self, peer: DaemonId, message: PeerMessage, timeout: timedelta
    ) -> PeerMessage:
        """Send a message and return the reply."""
        here = self.daemon.daemon_id
        is_reachable = self._network.reaches(here, peer)
        answer = None
        if is_reachable:
            answer = self._network.messengers[peer].receive(here, message)
            is_reachable = self._network.reaches(peer, here)
        if answer is None or not is_reachable:
            raise PeerError('no answer in time', step=Step.PEER, peer=peer)
        return answer

    def handle(self, kind: type[SomeMessage], handler: Handler[SomeMessage]) -> None:
        """Register a handler for messages of a kind."""
        self._handlers[kind.kind] = handler  # type: ignore[assignment]

    def receive(self, sender: DaemonId, message: PeerMessage) -> PeerMessage | None:
        """Pass a message to its handler, if there is one."""
        handler = self._handlers.get(message.kind)
        return handler(sender, message) if handler else None
