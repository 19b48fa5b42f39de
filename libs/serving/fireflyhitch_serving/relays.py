"""Broadcasts store changes from the few daemons that watch the store.

A watch that returns wakes a daemon and costs a call for each change. So some daemons of
each group watch, and broadcast changes at once. All daemons are one group while each
sends its state to all others; if there are more, each failure domain is a group.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Collection, Sequence

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_serving.changes import (
    ChangeMessage,
    ChangeSpan,
    encode_changes,
    split_span,
)
from fireflyhitch_serving.duty_ranking import rank_eligible
from fireflyhitch_serving.peers import MAX_DATAGRAM_BYTES, PeerRegistry

WATCHERS = 3
# One more daemon watches for each one that the store has refused: replacing these one
# after the other would be too slow if the store answers only some.
MAX_WATCHERS = 8
# With so many watchers on fast links, none is needed on a slow one: the store sends it
# each changed value, and a large one delays its callers by a second.
MIN_FAST_WATCHERS = 2
# The watchers are queried many times a second and change with the peers' states, so
# their ranking is cached for this long.
RANKING_SECONDS = 0.1
# Servers come and go by the dozen, and fetching each change separately costs a call. A
# change broadcast this much later still arrives well within a drain time of 2 to 3 s.
PRIMARY_PAUSE_SECONDS = 0.25
BACKUP_PAUSE_SECONDS = 1.0
# Each change is sent again after this, since a datagram may be lost.
RESEND_SECONDS = 0.06
# Larger ones are sent once: a daemon that misses one reads the store.
MAX_RESENT_BYTES = 8_000
# Datagrams of this many changes stay well below the maximum size.
MAX_CHANGES = 50
# Changes that a daemon may have missed before it found the store unreachable: a silent
# connection is detected after 1.5 s.
RECENT_SECONDS = 3.0


class ChangeRelay:
    """Broadcasts changes to daemons that do not watch, or cannot."""

    def __init__(
        self,
        peers: PeerRegistry,
        own: str,
        process: str,
        clock: Clock,
        send: Callable[[bytes, list[str]], None],
        has_discovered_peers: Callable[[], bool],
    ) -> None:
        """Create a relay with nothing to broadcast.

        :param own: this daemon's name.
        :param process: identifies this process alone.
        :param send: sends a datagram to daemons by name.
        :param has_discovered_peers: returns whether this daemon has had time to receive the
            others' states.
        """
        self._peers = peers
        self._own = own
        self._process = process
        self._clock = clock
        self._send = send
        self._has_discovered_peers = has_discovered_peers
        self._watchers: list[str] = []
        self._ranked_until = float('-inf')
        self._recent: deque[tuple[float, ChangeSpan]] = deque()
        self._without_store: set[str] = set()
        self._assisted: set[str] = set()

    def watches(self) -> bool:
        """Return whether this daemon is one of the watchers.

        Only daemons that can reach the store count, so a watcher that is cut off from
        it is replaced as soon as its state reaches its peers.
        """
        return self._has_discovered_peers() and self._own in self._find_watchers()

    def list_watchers(self) -> Sequence[str]:
        """Return the daemons of this group that watch, the first one first."""
        return self._find_watchers()

    def find_pause(self) -> float:
        """Return the seconds between one result of the watch and the next call.

        The others are backups for a first watcher that is stuck or has just stopped.
        """
        if self._is_first_watcher():
            return PRIMARY_PAUSE_SECONDS
        return BACKUP_PAUSE_SECONDS if self._has_followers() else PRIMARY_PAUSE_SECONDS

    def _is_first_watcher(self) -> bool:
        return self._find_watchers()[0] == self._own

    def _has_followers(self) -> bool:
        """Return whether the group has more daemons than watch."""
        return len(self._peers.responsive_members()) >= WATCHERS

    def _find_watchers(self) -> list[str]:
        now = self._clock.monotonic()
        if now >= self._ranked_until:
            self._watchers = self._rank_watchers()
            self._ranked_until = now + RANKING_SECONDS
        return self._watchers

    def _rank_watchers(self) -> list[str]:
        group = self._peers.responsive_members().values()
        without_store = sum(not state.hears_store for state in group)
        max_watchers = min(WATCHERS + without_store, MAX_WATCHERS)
        eligible = rank_eligible(self._peers, 'watch')
        able = self._peers.filter_fast_links(eligible)
        if len(able) >= MIN_FAST_WATCHERS:
            eligible = able
        return eligible[:max_watchers]

    def broadcast(self, span: ChangeSpan) -> None:
        """Send changes to daemons that do not watch or cannot reach the store.

        The group's watchers get them too if the group has other daemons.
        """
        now = self._clock.monotonic()
        self._recent.append((now, span))
        self._drop_old(now)
        members = (
            list(self._peers.responsive_members()) if self._has_followers() else []
        )
        # Daemons whose watches the store does not answer get changes from the others.
        without_store = [
            daemon for daemon in self._find_without_store() if daemon not in members
        ]
        without_store.extend(self._assisted)
        logger.bind(
            prefix=span.prefix,
            changes=len(span.changes),
            after=span.after,
            upto=span.upto,
            near=len(members),
            lacking=len(without_store),
        ).info('changes passed on')
        self._send_span(
            span,
            [*members, *without_store],
            includes_large=self._is_first_watcher(),
        )

    def forward(self, message: ChangeMessage) -> None:
        """Forward changes from a daemon outside the group to this group.

        Such a daemon sends to one daemon of a failure domain in which none can reach
        the store.
        """
        sender = message.sender.rpartition('/')[0]
        if self._peers.uses_summaries() and self._peers.is_remote(sender):
            self._send_span(message.span, list(self._peers.responsive_members()))

    def assist_domains(self, relays: Collection[str]) -> None:
        """Send changes to groups in which no daemon can reach the store.

        :param relays: one daemon of each such group, which forwards the changes there.
        """
        if not self._is_first_watcher():
            self._assisted = set()
            return
        added = [daemon for daemon in relays if daemon not in self._assisted]
        self._assisted = set(relays)
        self._drop_old(self._clock.monotonic())
        for _, span in self._recent if added else ():
            self._send_span(span, added)

    def update_group(self) -> None:
        """Send recent changes to daemons of the group that have just lost the store."""
        without_store = set(self._find_without_store())
        lost = sorted(without_store - self._without_store)
        self._without_store = without_store
        self._drop_old(self._clock.monotonic())
        for _, span in self._recent if lost else ():
            # They may have just missed these.
            self._send_span(span, lost)

    def _find_without_store(self) -> list[str]:
        """Return the daemons that cannot reach the store, if this one serves them.

        The first watcher of each failure domain does; the other watchers send them
        nothing.
        """
        if not self._is_first_watcher():
            return []
        group = self._peers.responsive_members()
        return [daemon for daemon, member in group.items() if not member.hears_store]

    def _send_span(
        self, span: ChangeSpan, to: list[str], *, includes_large: bool = True
    ) -> None:
        """Send each datagram, small ones twice.

        Large ones of a watcher that is not the first would reach each daemon once more,
        and fill slow links for most of a second. Who misses one reads it from a peer.
        """
        loop = asyncio.get_running_loop()
        for part in split_span(span, MAX_CHANGES):
            data = encode_changes(ChangeMessage(self._process, part))
            is_large = len(data) > MAX_RESENT_BYTES
            if is_large and not includes_large:
                continue
            if len(data) > MAX_DATAGRAM_BYTES:
                logger.bind(size=len(data), prefix=part.prefix, upto=part.upto).info(
                    'changes too large for a datagram'
                )
                continue
            self._send(data, to)
            if not is_large:
                loop.call_later(RESEND_SECONDS, self._send, data, to)

    def _drop_old(self, now: float) -> None:
        while self._recent and now - self._recent[0][0] > RECENT_SECONDS:
            self._recent.popleft()
