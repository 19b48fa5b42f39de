"""Changes of the server list, passed on in a failure domain by those who watch it.

A watch that returns wakes a daemon and costs a call for each change: with 75 daemons
and servers that come and go, 13,000 to 18,000 calls in a minute. So two daemons of each
failure domain watch, and pass changes on at once; the others read the list every few
seconds, by reads that may be old and cost a tenth, for what a lost datagram held.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from fireflyhitch_model.hashing import rank_by_hash
from fireflyhitch_model.ids import Revision
from fireflyhitch_serving.peer_news import read_rows, render_rows
from fireflyhitch_serving.peers import PeerBook

WATCHERS = 2
# Servers come and go by the dozen, and each change that is asked for by itself costs a
# call. What is passed on this much later is known well within a drain time of 2 to 3 s.
FIRST_PAUSE_SECONDS = 0.25
SECOND_PAUSE_SECONDS = 1.0
# Each change goes out again after this, since a datagram may be lost.
AGAIN_SECONDS = 0.06
# Datagrams of this many changes stay well below the largest.
MOST_CHANGES = 50
CHANGES = 'changes'


@dataclass(frozen=True, slots=True)
class Change:
    """A key's new value; none if it is gone."""

    key: str
    value: bytes | None
    revision: Revision


def render_changes(changes: list[Change]) -> bytes:
    """Return a datagram."""
    rows = [(change.key, change.value, change.revision) for change in changes]
    return render_rows(CHANGES, rows)


def read_changes(data: bytes) -> list[Change] | None:
    """Read a datagram; nothing for one of another kind."""
    return read_rows(CHANGES, data, lambda row: Change(*row))


class ChangeRelay:
    """Passes changes on to the daemons of the own failure domain."""

    def __init__(
        self,
        peers: PeerBook,
        own: str,
        send: Callable[[bytes, list[str]], None],
    ) -> None:
        """Make a relay with nothing to pass on.

        :param send: a datagram to daemons by name.
        """
        self._peers = peers
        self._own = own
        self._send = send
        self._waiting: list[Change] = []

    def watches(self) -> bool:
        """Tell whether this daemon is one of those that watch.

        Only daemons that hear the store count, so a watcher that is cut off from it
        is replaced as soon as its peers hear so.
        """
        return self._own in self._find_watchers()

    def find_pause(self) -> float:
        """Return the seconds between one answer of the watch and the next call.

        The second watcher only helps out when the first is stuck or just gone.
        """
        watchers = self._find_watchers()
        if len(self._peers.heard_near()) < WATCHERS:
            return 0
        return FIRST_PAUSE_SECONDS if watchers[0] == self._own else SECOND_PAUSE_SECONDS

    def _find_watchers(self) -> list[str]:
        near = [
            daemon
            for daemon, news in self._peers.heard_near().items()
            if news.hears_store
        ]
        return rank_by_hash('watch', [self._own, *near])[:WATCHERS]

    def pass_on(self, change: Change) -> None:
        """Send a change to the daemons that do not watch."""
        if not self._waiting:
            asyncio.get_running_loop().call_soon(self._flush)
        self._waiting.append(change)

    def _flush(self) -> None:
        near = list(self._peers.heard_near())
        changes = self._waiting
        self._waiting = []
        # With no more daemons than watchers all watch.
        if len(near) < WATCHERS:
            return
        loop = asyncio.get_running_loop()
        for start in range(0, len(changes), MOST_CHANGES):
            data = render_changes(changes[start : start + MOST_CHANGES])
            self._send(data, near)
            loop.call_later(AGAIN_SECONDS, self._send, data, near)
