"""Keeps this daemon's view of the store: a list first, then what has changed.

A few daemons of each group watch the store and pass changes on; the others read only
what peers know and they have missed.
"""

import asyncio
import random
from collections.abc import Callable
from enum import Enum

from loguru import logger

from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import ABSENT, Revision
from fireflyhitch_model.records import immutable
from fireflyhitch_platform.keyvalue import Listing, WatchCompacted
from fireflyhitch_serving.changes import Change, ChangeSpan
from fireflyhitch_serving.key_revisions import KeyBeliefs, TellChange
from fireflyhitch_serving.progress import ViewProgress
from fireflyhitch_serving.relays import ChangeRelay
from fireflyhitch_serving.store import AsyncStore, WatchResult
from fireflyhitch_serving.store_health import StoreHealth

# A waiting watch counts as one call. Shorter than the store keeps its history for: a
# revision that nothing below the prefix has changed since is gone with it.
WATCH_SECONDS = 15.0
FIRST_RETRY_SECONDS = 0.1
LONGEST_RETRY_SECONDS = 1.0
# Retries are spread over this part of their wait and the whole of it.
LEAST_WAIT = 0.5
# While keys are missing the watch returns this often, to see whether they stay so.
LOOK_SECONDS = 0.5
# How often a daemon that does not watch reads while no peer follows the store, and
# while it lacks what it needs to begin.
READ_SECONDS = 1.5
FIRST_READ_SECONDS = 0.3
# Those who missed the same change do not all read at the same moment.
CATCH_UP_SPREAD_SECONDS = 0.1
# How often a daemon looks whether its peers know more, and whether it is to watch.
CHECK_SECONDS = 0.2


class Source(Enum):
    """By what way a change came to be known here, other than from a peer."""

    WATCH = 'watch'
    LIST = 'list'
    OLD_LIST = 'old list'
    BREAK_OVER = 'break over'


@immutable
class ViewCallbacks:
    """Whom the view tells; each returns at once.

    :param changed: a key's new value; ``None`` when it is gone.
    :param listed: all keys were read.
    :param lacks: asked whether what was read is not enough yet.
    """

    changed: TellChange
    listed: Callable[[], None]
    lacks: Callable[[], bool] = bool


@immutable
class PeerReports:
    """What other daemons say of the store.

    :param find_newest: the newest change below a prefix that any of them knows.
    :param vouch: whether one of them follows the store without a break.
    """

    find_newest: Callable[[str], Revision]
    vouch: Callable[[], bool] = bool


class ListAnew(Exception):
    """A watch is left, since what it would tell may be missing or may come too late."""


class StoreView:
    """Follows all keys below a prefix."""

    def __init__(
        self,
        store: AsyncStore,
        health: StoreHealth,
        prefix: str,
        events: ViewCallbacks,
        rng: random.Random,
        progress: ViewProgress,
        peers: PeerReports,
        relay: ChangeRelay | None = None,
    ) -> None:
        """Make a view that knows nothing.

        :param relay: tells whether this daemon watches for the others, and passes on
            what it sees; without one it watches for itself.
        """
        self.prefix = prefix
        self._progress = progress
        self._peers = peers
        self._relay = relay
        self._shown = ABSENT
        self._keys = KeyBeliefs(health.is_settled, events.changed)
        self.current = False
        self._store = store
        self._health = health
        self._events = events
        self._rng = rng
        self._waiting: asyncio.Task[WatchResult] | None = None
        health.tell_return(self._interrupt)

    @property
    def newest(self) -> Revision:
        """Return the revision of the newest change that is known."""
        return self._progress.newest

    async def run(self) -> None:
        """Follow the store until cancelled."""
        wait = FIRST_RETRY_SECONDS
        while True:
            try:
                await self._follow()
            except (WatchCompacted, ListAnew) as reason:
                logger.bind(
                    prefix=self.prefix, reason=str(reason) or 'history gone'
                ).info('listing anew')
                continue
            except PlatformError as error:
                self._health.record_failure(error)
                if self.current:
                    wait = FIRST_RETRY_SECONDS
                self.current = False
            await asyncio.sleep(wait * self._rng.uniform(LEAST_WAIT, 1))
            wait = min(wait * 2, LONGEST_RETRY_SECONDS)
            await self._wait_for_store()

    async def _wait_for_store(self) -> None:
        """Wait while the store is away: one call a daemon tells when it is back."""
        while not self._health.answers:
            await asyncio.sleep(CHECK_SECONDS)

    async def probe(self) -> None:
        """Read all keys as they may have been some seconds ago.

        :raises PlatformError: if the store does not answer.
        """
        listing = await self._store.list(self.prefix, stale=True)
        if self._waiting is None:
            self._take_listing(listing, Source.OLD_LIST)
        else:
            self._note_current()
            self._compare(listing)

    async def _follow(self) -> None:
        """Follow the store, or those who do, until the role changes."""
        if not self.current and not self._watches():
            await self.probe()
        if self._watches():
            await self._list_and_watch()
        await self._attend_peers()

    async def _list_and_watch(self) -> None:
        is_first = not self.current and not self._keys.count
        await self._list(passes_on=not is_first)
        self._note_role(watches=True)
        await self._watch(self._progress.complete)

    async def _list(self, *, passes_on: bool) -> None:
        listing = await self._store.list(self.prefix)
        since = self._progress.shared
        self._take_listing(listing, Source.LIST)
        if passes_on and self._watches():
            # What a watch missed while the store forgot its history, or nobody watched.
            self._pass_on(self._keys.find_span(self.prefix, listing, since))

    async def _attend_peers(self) -> None:
        """Read only what peers know and do not tell, or nobody else follows."""
        self._note_role(watches=False)
        unvouched = 0.0
        while not self._watches():
            self._drop_missing()
            if self._is_behind():
                await self._catch_up()
            elif unvouched >= self._find_read_seconds():
                unvouched = 0
                await self.probe()
            await asyncio.sleep(CHECK_SECONDS)
            unvouched = 0 if self._is_vouched() else unvouched + CHECK_SECONDS

    def _is_vouched(self) -> bool:
        return self._peers.vouch() and not self._events.lacks()

    def _find_read_seconds(self) -> float:
        return FIRST_READ_SECONDS if self._events.lacks() else READ_SECONDS

    async def _catch_up(self) -> None:
        """Read what was missed, as cheaply as it can be had."""
        told = self._peers.find_newest(self.prefix)
        logger.bind(prefix=self.prefix, told=told, known=self._progress.complete).info(
            'catching up'
        )
        await asyncio.sleep(self._rng.uniform(0, CATCH_UP_SPREAD_SECONDS))
        await self.probe()
        if self._progress.complete < told:
            await self._list(passes_on=False)

    def _compare(self, listing: Listing) -> None:
        """See whether a watch that waits was passed over."""
        if listing.revision <= self._progress.complete:
            return
        self._shown = max(self._keys.find_newest_shown(listing), default=ABSENT)

    def _note_role(self, *, watches: bool) -> None:
        logger.bind(
            prefix=self.prefix,
            watches=watches,
            revision=self._progress.complete,
        ).info('following')

    def _watches(self) -> bool:
        return self._relay is None or self._relay.watches()

    def _is_behind(self) -> bool:
        told = max(self._peers.find_newest(self.prefix), self._shown)
        return self._progress.is_behind(told)

    def _take_listing(self, listing: Listing, source: Source) -> None:
        """Take in all keys."""
        self._note_current()
        for change in self._keys.find_changes(listing):
            self.take_change(change, source.value)
        self._progress.note_whole(listing.revision)
        self._events.listed()

    async def _watch(self, revision: Revision) -> None:
        since = revision
        while self._watches():
            self._drop_missing()
            seconds = LOOK_SECONDS if self._keys.has_missing else WATCH_SECONDS
            result = await self._wait(revision, seconds)
            if result is None:
                return
            self._health.record_response()
            revision = result.revision
            if result.events:
                self._take_events(result, since)
                since = result.events[-1].revision
                if self._relay is not None:
                    await asyncio.sleep(self._relay.find_pause())

    def _take_events(self, result: WatchResult, since: Revision) -> None:
        changes = [
            Change(event.key, event.value, event.revision) for event in result.events
        ]
        for change in changes:
            self.take_change(change, Source.WATCH.value)
        span = ChangeSpan(self.prefix, changes, since, changes[-1].revision)
        self._progress.note_span(span.after, span.upto)
        self._pass_on(span)

    def _pass_on(self, span: ChangeSpan) -> None:
        self._progress.note_passed_on(span.upto)
        if self._relay is not None:
            self._relay.pass_on(span)

    async def _wait(self, revision: Revision, seconds: float) -> WatchResult | None:
        """Wait for the store's word; nothing if this daemon has not to watch any more.

        :raises ListAnew: if the word may have been lost.
        """
        watch = self._store.watch(self.prefix, revision, seconds)
        waiting = asyncio.get_running_loop().create_task(watch)
        self._waiting = waiting
        try:
            if not await self._attend(waiting):
                return None
        finally:
            self._waiting = None
            waiting.cancel()
        if waiting.cancelled():
            raise ListAnew('the store is back')
        return waiting.result()

    async def _attend(self, waiting: asyncio.Task[WatchResult]) -> bool:
        """Wait for the store's word; tell whether this daemon still watches."""
        while True:
            done, _ = await asyncio.wait((waiting,), timeout=CHECK_SECONDS)
            if done:
                return True
            if not self._watches():
                return False
            if self._is_behind():
                raise ListAnew('peers know more')

    def _interrupt(self) -> None:
        """List anew after an outage: a store that was hung may forget a watch."""
        if self._waiting is not None:
            self._waiting.cancel()

    def apply_span(self, span: ChangeSpan, source: str) -> None:
        """Take in what a peer passed on.

        :param source: by what way it came, for the lines that tell of it.
        """
        if span.prefix != self.prefix:
            return
        for change in span.changes:
            self.take_change(change, source)
        self._progress.note_span(span.after, span.upto)

    def take_change(self, change: Change, source: str) -> None:
        """Take in a change below the prefix that was read, watched or passed on."""
        if change.value is not None or source == Source.WATCH.value:
            # That a list lacks a key tells no more than that it was removed before.
            self._progress.note_change(change.revision)
        with logger.contextualize(source=source):
            self._keys.take(change)

    def _drop_missing(self) -> None:
        with logger.contextualize(source=Source.BREAK_OVER.value):
            self._keys.drop_missing()

    def _note_current(self) -> None:
        self._health.record_response()
        if not self.current:
            self.current = True
            logger.bind(prefix=self.prefix, keys=self._keys.count).info('listed')
