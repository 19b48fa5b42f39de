"""Maintains this daemon's view of the store: lists all keys, then follows changes.

A few daemons of each group watch the store and broadcast changes; the others read the
store only for changes that they have missed.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from enum import Enum

from loguru import logger

from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import ABSENT, Revision
from fireflyhitch_model.records import immutable
from fireflyhitch_platform.keyvalue import Listing, WatchCompacted
from fireflyhitch_serving.changes import Change, ChangeSpan
from fireflyhitch_serving.key_revisions import ChangeCallback, KeyRevisions
from fireflyhitch_serving.progress import ViewProgress
from fireflyhitch_serving.relays import ChangeRelay
from fireflyhitch_serving.store import AsyncStore, WatchResult
from fireflyhitch_serving.store_health import StoreHealth

# An open watch counts as one call. Shorter than the store keeps its history: a watch
# from a compacted revision fails, even if nothing below the prefix changed since.
WATCH_SECONDS = 15.0
INITIAL_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0
# Least interval between two listings after a watch that the store refused: where no
# listing helps, a daemon would list dozens of times a second.
RELIST_SECONDS = 0.25
# Each retry waits between this fraction of its interval and the whole interval.
MIN_WAIT_FRACTION = 0.5
# Interval at which the watch returns while keys are missing, to check whether they
# still are.
MISSING_CHECK_SECONDS = 0.5
# How often a daemon that doesn't watch reads while no peer follows the store, and while
# its first listings are incomplete.
POLL_SECONDS = 1.5
INITIAL_POLL_SECONDS = 0.3
# Keeps daemons that missed the same change from reading at the same moment.
CATCH_UP_JITTER_SECONDS = 0.1
# How often a daemon checks whether peers report newer changes, and whether it has to
# watch.
CHECK_SECONDS = 0.2


class Source(Enum):
    """How a change became known here, if not from a peer."""

    WATCH = 'watch'
    LIST = 'list'
    STALE_LIST = 'old list'
    OUTAGE_OVER = 'break over'
    PEER_LIST = 'list of peer'


def _ignore_missing(key: str) -> None:
    """Do nothing."""


@immutable
class ViewCallbacks:
    """Callbacks of a view; they must return at once.

    :param changed: called with a key's new value; ``None`` if the key was removed.
    :param listed: called after all keys were read.
    :param is_incomplete: returns whether the keys read so far are not sufficient.
    :param missing: called with a key that is kept although the store lacks it.
    """

    changed: ChangeCallback
    listed: Callable[[], None]
    is_incomplete: Callable[[], bool] = bool
    missing: Callable[[str], None] = _ignore_missing


FetchListing = Callable[[str, Revision], Awaitable[Listing | None]]


@immutable
class PeerReports:
    """What peers report about the store.

    :param find_newest_revision: returns the newest change below a prefix that any
        peer has received.
    :param is_following: returns whether a peer has followed the store without
        interruption.
    :param fetch: reads all keys below a prefix from peers, until one has the wanted
        revision; ``None`` if no peer responds.
    """

    find_newest_revision: Callable[[str], Revision]
    is_following: Callable[[], bool] = bool
    fetch: FetchListing | None = None


class ResyncNeeded(Exception):
    """The watch is abandoned because its result may be lost or late."""


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
        """Create an empty view.

        :param relay: decides whether this daemon watches for others, and broadcasts the
            changes it receives; without one the daemon watches for itself.
        """
        self.prefix = prefix
        self._progress = progress
        self._peers = peers
        self._relay = relay
        self._probed_newest = ABSENT
        self._keys = KeyRevisions(health.is_settled, events.changed, events.missing)
        self._relisted_at = float('-inf')
        self.current = False
        self._store = store
        self._health = health
        self._events = events
        self._rng = rng
        self._watch_task: asyncio.Task[WatchResult] | None = None
        health.add_return_callback(self._cancel_watch)

    @property
    def newest(self) -> Revision:
        """Return the revision of the newest change received."""
        return self._progress.newest

    async def run(self) -> None:
        """Follow the store until cancelled."""
        wait = INITIAL_RETRY_SECONDS
        while True:
            try:
                await self._follow()
            except (WatchCompacted, ResyncNeeded) as reason:
                logger.bind(
                    prefix=self.prefix, reason=str(reason) or 'history compacted'
                ).info('listing anew')
                await self._wait_to_relist()
                continue
            except PlatformError as error:
                self._health.record_failure(error)
                if self.current:
                    wait = INITIAL_RETRY_SECONDS
                self.current = False
            await asyncio.sleep(wait * self._rng.uniform(MIN_WAIT_FRACTION, 1))
            wait = min(wait * 2, MAX_RETRY_SECONDS)
            await self._wait_for_store()

    async def _wait_to_relist(self) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._relisted_at + RELIST_SECONDS - loop.time())
        self._relisted_at = loop.time()

    async def _wait_for_store(self) -> None:
        """Wait while the store is unreachable; ``StoreProbe`` detects its return.

        The store may turn away this daemon alone, so missed changes are read from peers,
        and keys that are missing are removed once these know that they stay so.
        """
        while not self._health.answers:
            await asyncio.sleep(CHECK_SECONDS)
            self._drop_missing()
            if self._is_behind():
                await self._read_from_peers()

    async def _read_from_peers(self) -> None:
        """Read all keys from peers; whether they lack changes is found as usual."""
        if self._peers.fetch is None:
            return
        listing = await self._peers.fetch(self.prefix, self._find_wanted())
        if listing is not None:
            self._apply_keys(listing, Source.PEER_LIST)

    def make_listing(self) -> Listing | None:
        """Return all keys as known here, for peers; ``None`` before they were read."""
        if self._progress.complete == ABSENT:
            return None
        return Listing(self._progress.complete, self._keys.list_items())

    def is_recent(self) -> bool:
        """Tell whether no change that is a moment old can be missing here.

        A daemon that hears neither from the store nor from a peer that does, as after a
        partition or a freeze, cannot know.
        """
        if self._find_wanted() > self._progress.complete:
            return False
        return self._health.is_reachable() or self._peers.is_following()

    async def probe(self) -> None:
        """Read all keys, from a snapshot that may be some seconds old if that does.

        :raises PlatformError: if the store does not answer.
        """
        listing = await self._read_snapshot()
        if self._watch_task is None:
            self._apply_listing(listing, Source.STALE_LIST)
        else:
            self._mark_current()
            self._check_missed(listing)

    async def _read_snapshot(self) -> Listing:
        listing: Listing | None = None
        if self._progress.may_read_stale:
            listing = await self._store.list(self.prefix, stale=True)
        if listing is not None and self._progress.may_read_stale:
            return listing
        # Such a read may still return what a restore has lost.
        return await self._store.list(self.prefix)

    async def _follow(self) -> None:
        """Follow the store, or the daemons that do, until the role changes."""
        if not self.current and not self._is_watcher():
            await self.probe()
        if self._is_watcher():
            await self._list_and_watch()
        await self._follow_peers()

    async def _list_and_watch(self) -> None:
        is_first = not self.current and not self._keys.count
        await self._list(broadcasts=not is_first)
        self._log_role(watches=True)
        await self._watch(self._progress.complete)

    async def _list(self, *, broadcasts: bool) -> None:
        listing = await self._store.list(self.prefix)
        since = self._progress.shared
        self._apply_listing(listing, Source.LIST)
        if broadcasts and self._is_watcher():
            # Changes that no watch returned: the store's history was compacted, or no
            # daemon watched.
            self._broadcast(self._keys.find_span(self.prefix, listing, since))

    async def _follow_peers(self) -> None:
        """Read the store only for missed changes, or if no peer follows it."""
        self._log_role(watches=False)
        seconds_without_follower = 0.0
        while not self._is_watcher():
            self._drop_missing()
            if self._is_behind():
                await self._catch_up()
            elif seconds_without_follower >= self._poll_seconds():
                seconds_without_follower = 0
                await self.probe()
            await asyncio.sleep(CHECK_SECONDS)
            seconds_without_follower = (
                0
                if self._can_rely_on_peers()
                else seconds_without_follower + CHECK_SECONDS
            )

    def _can_rely_on_peers(self) -> bool:
        return self._peers.is_following() and not self._events.is_incomplete()

    def _poll_seconds(self) -> float:
        return INITIAL_POLL_SECONDS if self._events.is_incomplete() else POLL_SECONDS

    async def _catch_up(self) -> None:
        """Read missed changes.

        A peer is asked first, as the store may not answer this daemon, then the store by
        a cheap stale read, then by a current one.
        """
        reported = self._find_wanted()
        logger.bind(
            prefix=self.prefix, told=reported, known=self._progress.complete
        ).info('catching up')
        await asyncio.sleep(self._rng.uniform(0, CATCH_UP_JITTER_SECONDS))
        await self._read_from_peers()
        if self._progress.complete < reported:
            await self.probe()
        if self._progress.complete < reported:
            await self._list(broadcasts=False)

    def _check_missed(self, listing: Listing) -> None:
        """Check whether the open watch has missed changes."""
        if listing.revision <= self._progress.complete:
            return
        self._probed_newest = max(
            self._keys.find_new_revisions(listing), default=ABSENT
        )

    def _log_role(self, *, watches: bool) -> None:
        logger.bind(
            prefix=self.prefix,
            watches=watches,
            revision=self._progress.complete,
        ).info('following')

    def _is_watcher(self) -> bool:
        return self._relay is None or self._relay.watches()

    def _find_wanted(self) -> Revision:
        reported = self._peers.find_newest_revision(self.prefix)
        return self._progress.find_wanted(reported)

    def _is_behind(self) -> bool:
        reported = max(
            self._peers.find_newest_revision(self.prefix), self._probed_newest
        )
        return self._progress.is_behind(reported)

    def _apply_listing(self, listing: Listing, source: Source) -> None:
        """Apply the store's listing of all keys."""
        self._mark_current()
        self._apply_keys(listing, source)

    def _apply_keys(self, listing: Listing, source: Source) -> None:
        if self._progress.is_of_earlier_era(listing.revision):
            logger.bind(
                prefix=self.prefix, upto=listing.revision, source=source.value
            ).info('listing of an earlier era ignored')
            return
        for change in self._keys.find_changes(listing):
            self.apply_change(change, source.value)
        self._progress.record_listing(listing.revision)
        self._events.listed()

    async def _watch(self, revision: Revision) -> None:
        since = revision
        while self._is_watcher():
            self._drop_missing()
            seconds = MISSING_CHECK_SECONDS if self._keys.has_missing else WATCH_SECONDS
            result = await self._wait_for_result(revision, seconds)
            if result is None:
                return
            self._health.record_success()
            revision = result.revision
            if result.events:
                self._apply_events(result, since)
                since = result.events[-1].revision
                if self._relay is not None:
                    await asyncio.sleep(self._relay.find_pause())

    def _apply_events(self, result: WatchResult, since: Revision) -> None:
        changes = [
            Change(event.key, event.value, event.revision) for event in result.events
        ]
        for change in changes:
            self.apply_change(change, Source.WATCH.value)
        span = ChangeSpan(self.prefix, changes, since, changes[-1].revision)
        self._progress.record_span(span.after, span.upto)
        self._broadcast(span)

    def _broadcast(self, span: ChangeSpan) -> None:
        self._progress.record_broadcast(span.upto)
        if self._relay is not None:
            self._relay.broadcast(span)

    async def _wait_for_result(
        self, revision: Revision, seconds: float
    ) -> WatchResult | None:
        """Wait for the watch; return ``None`` if this daemon no longer has to watch.

        :raises ResyncNeeded: if the result may have been lost.
        """
        watch = self._store.watch(self.prefix, revision, seconds)
        watch_task = asyncio.get_running_loop().create_task(watch)
        self._watch_task = watch_task
        try:
            if not await self._wait_while_watching(watch_task):
                return None
        finally:
            self._watch_task = None
            watch_task.cancel()
        if watch_task.cancelled():
            raise ResyncNeeded('the store returned after an outage')
        return watch_task.result()

    async def _wait_while_watching(self, watch_task: asyncio.Task[WatchResult]) -> bool:
        """Wait for the watch; return whether this daemon still has to watch."""
        while True:
            done, _ = await asyncio.wait((watch_task,), timeout=CHECK_SECONDS)
            if done:
                return True
            if not self._is_watcher():
                return False
            if self._is_behind():
                raise ResyncNeeded('peers report newer changes')

    def _cancel_watch(self) -> None:
        """Resync after an outage: a store that hung may have dropped the watch."""
        if self._watch_task is not None:
            self._watch_task.cancel()

    def apply_span(self, span: ChangeSpan, source: str) -> None:
        """Apply changes broadcast by a peer.

        :param source: how they were received, for log lines.
        """
        if span.prefix != self.prefix:
            return
        for change in span.changes:
            self.apply_change(change, source)
        self._progress.record_span(span.after, span.upto)

    def apply_change(self, change: Change, source: str) -> None:
        """Apply a change below the prefix that was listed, watched or broadcast."""
        if self._progress.is_of_earlier_era(change.revision):
            return
        if change.value is not None or source == Source.WATCH.value:
            # A key missing from a listing was removed at some earlier revision.
            self._progress.record_change(change.revision)
        with logger.contextualize(source=source):
            self._keys.apply(change)

    def _drop_missing(self) -> None:
        with logger.contextualize(source=Source.OUTAGE_OVER.value):
            self._keys.drop_missing()

    def _mark_current(self) -> None:
        self._health.record_success()
        if not self.current:
            self.current = True
            logger.bind(prefix=self.prefix, keys=self._keys.count).info('listed')
