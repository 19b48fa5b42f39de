"""Snapshots of soft state, by which a replacement daemon starts warm."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from loguru import logger

from fireflyhitch_membership.messages import Snapshot, SnapshotRequest
from fireflyhitch_model.errors import PeerError
from fireflyhitch_model.hashing import rank_by_hash
from fireflyhitch_model.ids import DaemonId
from fireflyhitch_model.peers import Daemon, PeerMessage, PeerMessenger
from fireflyhitch_model.states import Step

# Below the frame limit, with room for section names and the envelope.
MAX_SNAPSHOT_BYTES = 1024 * 1024
MAX_PEERS_ASKED = 3


@dataclass(frozen=True, slots=True)
class Section:
    """One part of a daemon's soft state.

    :param produce: returns a consistent copy of the state; called from any thread.
    :param merge: merges another daemon's state; must keep local state that is newer.
    """

    name: str
    produce: Callable[[], bytes]
    merge: Callable[[bytes], None]


class SnapshotExchange:
    """Serves snapshots to peers, and merges one from a peer at startup.

    :param messenger: the links to peers.
    :param local_daemon: the daemon of this process.
    """

    def __init__(self, messenger: PeerMessenger, local_daemon: Daemon) -> None:
        self._messenger = messenger
        self._local_daemon = local_daemon
        self._sections: dict[str, Section] = {}
        messenger.handle(SnapshotRequest, self._answer)

    def add(self, section: Section) -> None:
        """Add a section; earlier ones take precedence if not all fit into a snapshot."""
        self._sections[section.name] = section

    def warm_up(self, timeout: timedelta) -> DaemonId | None:
        """Merge the snapshot of the first peer that answers, local domain first.

        :param timeout: how long each of at most three peers may take.
        :returns: the peer, or ``None`` if none answered.
        """
        for peer in self._rank_peers()[:MAX_PEERS_ASKED]:
            try:
                answer = self._messenger.ask(peer, SnapshotRequest(), timeout)
            except PeerError:
                continue
            if isinstance(answer, Snapshot):
                self._merge(peer, answer)
                return peer
        return None

    def _rank_peers(self) -> list[DaemonId]:
        local: list[DaemonId] = []
        remote: list[DaemonId] = []
        for daemon in self._messenger.live():
            if daemon.daemon_id == self._local_daemon.daemon_id:
                continue
            same_domain = daemon.failure_domain == self._local_daemon.failure_domain
            (local if same_domain else remote).append(daemon.daemon_id)
        key = f'snapshot/{self._local_daemon.daemon_id}'
        return rank_by_hash(key, local) + rank_by_hash(key, remote)

    def _merge(self, peer: DaemonId, snapshot: Snapshot) -> None:
        for name, content in snapshot.sections.items():
            section = self._sections.get(name)
            if section is None:
                continue
            try:
                section.merge(content)
            except ValueError as error:
                # The daemon must start without a section that another release
                # wrote in an unreadable form; its state is rebuilt later.
                logger.bind(step=Step.PEER.value, peer=peer, section=name).warning(
                    'snapshot section unreadable', error=repr(error)
                )

    def _answer(self, sender: DaemonId, request: SnapshotRequest) -> PeerMessage:
        wanted = request.sections or tuple(self._sections)
        chosen: dict[str, bytes] = {}
        room = MAX_SNAPSHOT_BYTES
        for name in wanted:
            section = self._sections.get(name)
            content = section.produce() if section else b''
            if section is None or len(content) > room:
                continue
            chosen[name] = content
            room -= len(content)
        return Snapshot(sections=chosen)
