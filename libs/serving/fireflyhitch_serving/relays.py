"""Changes of the server list, passed on in a failure domain by those who watch it.

A watch that returns wakes a daemon and costs a call for each change. So where there are
many, two daemons of each failure domain watch, and pass changes on at once; the others
read the list every few seconds, by reads that may be old and cost a tenth.
"""

import asyncio
from collections import deque
from collections.abc import Callable

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_serving.changes import (
    ChangeMessage,
    ChangeSpan,
    part_span,
    render_changes,
)
from fireflyhitch_serving.peer_news import PeerNews
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
# What a daemon may have missed before it noticed that it does not hear the store: a
# silent connection is found after 1.5 s.
RECENT_SECONDS = 3.0


class ChangeRelay:
    """Passes changes on to daemons that do not watch, or cannot."""

    def __init__(
        self,
        peers: PeerBook,
        own: str,
        process: str,
        clock: Clock,
        send: Callable[[bytes, list[str]], None],
    ) -> None:
        """Make a relay with nothing to pass on.

        :param own: this daemon's name.
        :param process: names this process alone.
        :param send: a datagram to daemons by name.
        """
        self._peers = peers
        self._own = own
        self._process = process
        self._clock = clock
        self._send = send
        self._recent: deque[tuple[float, ChangeSpan]] = deque()
        self._without_store: set[str] = set()

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
        if self._find_watchers()[0] == self._own:
            return FIRST_PAUSE_SECONDS
        return SECOND_PAUSE_SECONDS if self._passes_on() else FIRST_PAUSE_SECONDS

    def _passes_on(self) -> bool:
        """Tell whether there are more daemons near than watch."""
        return len(self._peers.heard_near()) >= WATCHERS

    def _find_watchers(self) -> list[str]:
        near = [
            daemon
            for daemon, news in self._peers.heard_near().items()
            if news.hears_store
        ]
        return self._peers.rank('watch', [self._own, *near])[:WATCHERS]

    def pass_on(self, span: ChangeSpan) -> None:
        """Send changes to the daemons that do not watch."""
        now = self._clock.monotonic()
        self._recent.append((now, span))
        self._drop_old(now)
        near = list(self._peers.heard_near()) if self._passes_on() else []
        # Those who wait for the store's word in vain get it from the others.
        lacking = [
            daemon for daemon in self._find_without_store() if daemon not in near
        ]
        logger.bind(
            changes=len(span.changes),
            after=span.after,
            upto=span.upto,
            near=len(near),
            lacking=len(lacking),
        ).info('changes passed on')
        self._send_parts(span, [*near, *lacking])

    def note_news(self, news: PeerNews) -> None:
        """Take in whether a peer hears the store."""
        if news.hears_store:
            self._without_store.discard(news.daemon)
        else:
            self._tell_recent(news.daemon)

    def _find_without_store(self) -> list[str]:
        """Return the daemons that do not hear the store, if this one helps them.

        The first watcher of each failure domain does: others have nothing to tell.
        """
        if self._find_watchers()[0] != self._own:
            return []
        heard = self._peers.heard()
        return [daemon for daemon, news in heard.items() if not news.hears_store]

    def _tell_recent(self, daemon: str) -> None:
        """Tell a daemon that has lost the store what it may just have missed."""
        if daemon in self._without_store:
            return
        self._without_store.add(daemon)
        self._drop_old(self._clock.monotonic())
        if daemon in self._find_without_store():
            for _, span in self._recent:
                self._send_parts(span, [daemon])

    def _send_parts(self, span: ChangeSpan, to: list[str]) -> None:
        """Send each datagram twice."""
        loop = asyncio.get_running_loop()
        for part in part_span(span, MOST_CHANGES):
            data = render_changes(ChangeMessage(self._process, part))
            self._send(data, to)
            loop.call_later(AGAIN_SECONDS, self._send, data, to)

    def _drop_old(self, now: float) -> None:
        while self._recent and now - self._recent[0][0] > RECENT_SECONDS:
            self._recent.popleft()
