"""Changes in the store, passed on by the few daemons that watch it.

A watch that returns wakes a daemon and costs a call for each change. So some daemons of
each group watch, and pass changes on at once. Daemons are a group while each tells all
others of itself; where there are more, those of each failure domain are one.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Collection

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_serving.changes import (
    ChangeMessage,
    ChangeSpan,
    part_span,
    render_changes,
)
from fireflyhitch_serving.duty_ranking import rank_eligible
from fireflyhitch_serving.peers import MOST_DATAGRAM_BYTES, PeerRegistry

WATCHERS = 3
# Others try in place of those that the store has turned away, more of them the more
# there are: one after the other would find a store that serves some too late.
MOST_WATCHERS = 8
# Who watches is asked many times a second, and changes with the peers' news.
FOUND_SECONDS = 0.1
# Servers come and go by the dozen, and each change that is asked for by itself costs a
# call. What is passed on this much later is known well within a drain time of 2 to 3 s.
FIRST_PAUSE_SECONDS = 0.25
OTHERS_PAUSE_SECONDS = 1.0
# Each change goes out again after this, since a datagram may be lost.
AGAIN_SECONDS = 0.06
# Large ones go out once: who lacks one reads it.
MOST_REPEATED_BYTES = 8_000
# Datagrams of this many changes stay well below the largest.
MOST_CHANGES = 50
# What a daemon may have missed before it noticed that it does not hear the store: a
# silent connection is found after 1.5 s.
RECENT_SECONDS = 3.0


class ChangeRelay:
    """Passes changes on to daemons that do not watch, or cannot."""

    def __init__(
        self,
        peers: PeerRegistry,
        own: str,
        process: str,
        clock: Clock,
        send: Callable[[bytes, list[str]], None],
        has_discovered_peers: Callable[[], bool],
    ) -> None:
        """Make a relay with nothing to pass on.

        :param own: this daemon's name.
        :param process: names this process alone.
        :param send: a datagram to daemons by name.
        :param has_discovered_peers: whether this daemon has had time to hear the others.
        """
        self._peers = peers
        self._own = own
        self._process = process
        self._clock = clock
        self._send = send
        self._knows_peers = has_discovered_peers
        self._watchers: list[str] = []
        self._found_until = float('-inf')
        self._recent: deque[tuple[float, ChangeSpan]] = deque()
        self._without_store: set[str] = set()
        self._helped: set[str] = set()

    def watches(self) -> bool:
        """Tell whether this daemon is one of those that watch.

        Only daemons that hear the store count, so a watcher that is cut off from it
        is replaced as soon as its peers hear so.
        """
        return self._knows_peers() and self._own in self._find_watchers()

    def find_pause(self) -> float:
        """Return the seconds between one answer of the watch and the next call.

        The others only help out when the first is stuck or just gone.
        """
        if self._find_watchers()[0] == self._own:
            return FIRST_PAUSE_SECONDS
        return OTHERS_PAUSE_SECONDS if self._passes_on() else FIRST_PAUSE_SECONDS

    def _passes_on(self) -> bool:
        """Tell whether there are more daemons in the group than watch."""
        return len(self._peers.heard_group()) >= WATCHERS

    def _find_watchers(self) -> list[str]:
        now = self._clock.monotonic()
        if now >= self._found_until:
            self._watchers = self._rank_watchers()
            self._found_until = now + FOUND_SECONDS
        return self._watchers

    def _rank_watchers(self) -> list[str]:
        group = self._peers.heard_group().values()
        turned_away = sum(not news.hears_store for news in group)
        most = min(WATCHERS + turned_away, MOST_WATCHERS)
        return rank_eligible(self._peers, 'watch')[:most]

    def pass_on(self, span: ChangeSpan) -> None:
        """Send changes to the daemons that do not watch."""
        now = self._clock.monotonic()
        self._recent.append((now, span))
        self._drop_old(now)
        near = list(self._peers.heard_group()) if self._passes_on() else []
        # Those who wait for the store's word in vain get it from the others.
        lacking = [
            daemon for daemon in self._find_without_store() if daemon not in near
        ]
        lacking.extend(self._helped)
        logger.bind(
            prefix=span.prefix,
            changes=len(span.changes),
            after=span.after,
            upto=span.upto,
            near=len(near),
            lacking=len(lacking),
        ).info('changes passed on')
        self._send_parts(span, [*near, *lacking])

    def forward(self, message: ChangeMessage) -> None:
        """Pass on to the own group what a daemon outside of it has told.

        It tells one daemon of a failure domain in which none hears the store.
        """
        sender = message.sender.rpartition('/')[0]
        if self._peers.uses_summaries() and self._peers.is_far(sender):
            self._send_parts(message.span, list(self._peers.heard_group()))

    def assist_domains(self, relays: Collection[str]) -> None:
        """Tell daemons of other groups what theirs does not hear from the store.

        :param relays: one of each such group, which passes it on there.
        """
        if self._find_watchers()[0] != self._own:
            self._helped = set()
            return
        begun = [daemon for daemon in relays if daemon not in self._helped]
        self._helped = set(relays)
        self._drop_old(self._clock.monotonic())
        for _, span in self._recent if begun else ():
            self._send_parts(span, begun)

    def update_group(self) -> None:
        """Take in who of the group has lost the store, and who hears it again."""
        without = set(self._find_without_store())
        lost = sorted(without - self._without_store)
        self._without_store = without
        self._drop_old(self._clock.monotonic())
        for _, span in self._recent if lost else ():
            # What they may just have missed.
            self._send_parts(span, lost)

    def _find_without_store(self) -> list[str]:
        """Return the daemons that do not hear the store, if this one helps them.

        The first watcher of each failure domain does: others have nothing to tell.
        """
        if self._find_watchers()[0] != self._own:
            return []
        group = self._peers.heard_group()
        return [daemon for daemon, member in group.items() if not member.hears_store]

    def _send_parts(self, span: ChangeSpan, to: list[str]) -> None:
        """Send each datagram, small ones twice."""
        loop = asyncio.get_running_loop()
        for part in part_span(span, MOST_CHANGES):
            data = render_changes(ChangeMessage(self._process, part))
            if len(data) > MOST_DATAGRAM_BYTES:
                logger.bind(size=len(data), prefix=part.prefix, upto=part.upto).info(
                    'changes too large to pass on'
                )
                continue
            self._send(data, to)
            if len(data) <= MOST_REPEATED_BYTES:
                loop.call_later(AGAIN_SECONDS, self._send, data, to)

    def _drop_old(self, now: float) -> None:
        while self._recent and now - self._recent[0][0] > RECENT_SECONDS:
            self._recent.popleft()
