"""The usage counts of windows that have been fixed: in the store, and at the daemons.

Counts are fixed before they are reported, so whoever reports a window reports the same
counts. A store that comes back from an older copy may lack them. So a leader sends them
to peers as well, and a successor asks these; other windows that ended before it led are
not reported. The store holds since which window its fixed counts are complete, and in
which era of its; this is written once all that is known has been written again. A
leader that finds none of the present era does it all anew, whoever led meanwhile and
however far they came.

A write whose answer was lost may be carried out late, in a restored store that lacks the
counts that were fixed instead. So in such a store, counts that daemons know replace those
found there.
"""

import json
from collections.abc import Awaitable, Callable, Iterable, Iterator, Mapping
from typing import Any

from loguru import logger

from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.external_values import (
    PARSE_ERRORS,
    check_count,
    parse_integer,
)
from fireflyhitch_model.hashing import rank_by_hash
from fireflyhitch_model.ids import ABSENT, CustomerId, Revision
from fireflyhitch_model.records import immutable
from fireflyhitch_model.states import Step
from fireflyhitch_platform.keyvalue import (
    Conflict,
    KeyValue,
    Listing,
    WriteResult,
    Written,
)
from fireflyhitch_serving.peer_state import decode_rows, encode_rows
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.saved_counts import check_window, decode_window
from fireflyhitch_serving.store import AsyncStore, Put
from fireflyhitch_serving.store_eras import EraTracker

# Outside the watched prefixes: only a new leader reads them.
USAGE_PREFIX = 'fireflyhitch-usage/'
COMPLETE_SINCE_KEY = 'fireflyhitch-usage-complete-since'
FIXED_COUNTS = 'fixed_counts'
# Fixed counts have no lease: leases may expire during a store outage, and a window must
# not be fixed twice. They are deleted once no leader can need them any more.
RETAINED_WINDOWS = 60
# Peers that are sent and asked for counts. With few daemons these are all of them; with
# many it would cost each leader more than its share of control traffic.
MAX_KEEPERS = 20
# Windows that are sent at each time, as a datagram may be lost.
SENT_WINDOWS = 2
# No window so far ahead has ended by any clock that daemons go by.
MAX_WINDOWS_AHEAD = 10

WindowRow = tuple[int, Mapping[CustomerId, int]]


@immutable
class KeeperCalls:
    """Calls to the peers that keep fixed counts.

    :param send: sends a datagram to daemons by name.
    :param read: reads all that daemons know below a prefix; those that do not respond
        are left out.
    """

    send: Callable[[bytes, list[str]], None]
    read: Callable[[str, list[str]], Awaitable[list[Listing]]]


@immutable
class _StoredCounts:
    """A window's counts as the store holds them."""

    counts: Mapping[CustomerId, int]
    revision: Revision


class FixedCounts:
    """The fixed counts that this daemon knows, and those in the store."""

    def __init__(
        self,
        store: AsyncStore,
        eras: EraTracker,
        peers: PeerRegistry,
        keepers: KeeperCalls,
        is_new_system: Callable[[], bool] = bool,
    ) -> None:
        """Create a table without any.

        :param is_new_system: returns whether nobody can have led before this process.
        """
        self._store = store
        self._eras = eras
        self._peers = peers
        self._keepers = keepers
        self._is_new_system = is_new_system
        self._counts: dict[int, Mapping[CustomerId, int]] = {}
        self._stored: dict[int, _StoredCounts] = {}
        self._disputed: set[int] = set()
        self._complete_since: KeyValue | None = None
        self._loaded_era = eras.current

    @property
    def windows(self) -> frozenset[int]:
        """Return the windows whose counts are known here or in the store."""
        return frozenset(self._counts.keys() | self._stored.keys())

    @property
    def stored_windows(self) -> frozenset[int]:
        """Return the windows whose counts the store holds in the era last loaded."""
        return frozenset(self._stored)

    def find(self, window: int) -> Mapping[CustomerId, int] | None:
        """Return a window's counts, if they are known to be fixed."""
        return self._counts.get(window)

    def keep_only(self, oldest: int, newest: int) -> None:
        """Drop the windows before one, and those that lie too far after another one."""
        kept = range(oldest, newest + MAX_WINDOWS_AHEAD + 1)
        self._counts = {
            window: counts for window, counts in self._counts.items() if window in kept
        }
        self._stored = {
            window: stored for window, stored in self._stored.items() if window in kept
        }
        self._disputed.intersection_update(kept)

    def receive(self, data: bytes) -> bool:
        """Apply a peer's datagram; return ``False`` for one of another kind."""
        rows = decode_rows(FIXED_COUNTS, data, _decode_row)
        if rows is None:
            return False
        for row in rows:
            self._learn(*row)
        return True

    def make_listing(self) -> Listing:
        """Return what is known here, as a peer reads it."""
        revision = self._eras.floor
        items = (
            KeyValue(make_key(window), _encode(counts), revision, revision)
            for window, counts in self._counts.items()
        )
        return Listing(revision, tuple(items))

    async def load(self, newest: int) -> int | None:
        """Read all fixed counts in the store, and apply them if they are complete.

        :param newest: the window that is running.
        :returns: the window since which the store's fixed counts are complete; ``None``
            if nobody has recorded it in the store's present era.
        :raises PlatformError: if they cannot be read.
        """
        self._complete_since = await self._read_complete_since()
        listing = await self._store.list(USAGE_PREFIX)
        if self._complete_since is not None:
            self._check_era(self._complete_since.revision)
        self._check_era(listing.revision)
        self._loaded_era = self._eras.current
        self._stored = dict(_read_items(listing.items))
        if self._complete_since is None and self._is_new_system():
            await self.record_complete_since(0)
            return 0
        since = self._decode_complete_since()
        if since is None or _is_too_far(since, newest):
            return None
        for window, stored in self._stored.items():
            self._learn(window, stored.counts)
        return since

    def apply_stored(self) -> None:
        """Apply the counts that were loaded, of windows that are not known otherwise."""
        for window, stored in self._stored.items():
            self._counts.setdefault(window, stored.counts)

    async def ask_peers(self) -> None:
        """Read the fixed counts that peers know."""
        for listing in await self._keepers.read(USAGE_PREFIX, self._choose_keepers()):
            for window, told in _read_items(listing.items):
                self._learn(window, told.counts)

    async def write_again(self) -> None:
        """Write the known counts that the store lacks, or holds otherwise.

        :raises PlatformError: if it is not known whether they were written.
        """
        for window, counts in sorted(self._counts.items()):
            stored = self._stored.get(window)
            if stored is not None and stored.counts == counts:
                continue
            expected = ABSENT if stored is None else stored.revision
            result = await self._put(window, counts, expected)
            if isinstance(result, Conflict):
                raise PlatformError('fixed meanwhile', step=Step.STORE_WRITE)

    async def record_complete_since(self, window: int) -> None:
        """Record since which window the store's fixed counts are complete.

        :raises PlatformError: if it is not known whether it was recorded.
        """
        if self._eras.current != self._loaded_era:
            raise _make_restored_error()
        fields = {'era': self._loaded_era, 'window': window}
        known = self._complete_since
        expected = ABSENT if known is None else known.revision
        value = json.dumps(fields).encode()
        result = await self._store.put([Put(COMPLETE_SINCE_KEY, value, expected)])
        if not isinstance(result, Written):
            raise PlatformError('another leader recorded it', step=Step.STORE_WRITE)
        self._check_era(result.revision)

    async def fix(
        self, window: int, counts: Mapping[CustomerId, int]
    ) -> Mapping[CustomerId, int] | None:
        """Fix a window's counts in the store, and send them to peers.

        :returns: the counts that the store holds; ``None`` if that is not known, or if
            others are known as well, of which some may have been reported.
        :raises PlatformError: if the store does not answer.
        """
        if self._eras.current != self._loaded_era:
            return None
        if window not in self._stored:
            result = await self._put(window, counts, ABSENT)
            if isinstance(result, Conflict):
                self._apply_conflict(window, result)
        return self._find_stored(window)

    def _find_stored(self, window: int) -> Mapping[CustomerId, int] | None:
        """Return a window's counts if the store and all daemons hold the same."""
        stored = self._stored.get(window)
        if stored is None or window in self._disputed:
            return None
        return stored.counts if stored.counts == self._counts.get(window) else None

    async def _put(
        self, window: int, counts: Mapping[CustomerId, int], expected: Revision
    ) -> WriteResult:
        put = Put(make_key(window), _encode(counts), expected)
        result = await self._store.put(
            [put], deletes=[make_key(window - RETAINED_WINDOWS)]
        )
        if isinstance(result, Written):
            self._check_era(result.revision)
            self._stored[window] = _StoredCounts(counts, result.revision)
            self._learn(window, counts)
            logger.bind(window=window, counts=counts).info('usage fixed')
            self._send()
        return result

    def _apply_conflict(self, window: int, result: Conflict) -> None:
        """Apply the counts that another daemon has fixed."""
        if result.current is None:
            return
        self._check_era(result.current.revision)
        for _, found in _read_items([result.current]):
            self._stored[window] = found
            self._learn(window, found.counts)

    def _send(self) -> None:
        """Send the latest counts, each window in a datagram of its own."""
        keepers = self._choose_keepers()
        for window in sorted(self._stored.keys() - self._disputed)[-SENT_WINDOWS:]:
            row = (window, dict(self._stored[window].counts))
            self._keepers.send(encode_rows(FIXED_COUNTS, [row]), keepers)

    def _choose_keepers(self) -> list[str]:
        names = self._peers.listed().keys() - {self._peers.own}
        return rank_by_hash(USAGE_PREFIX, names)[:MAX_KEEPERS]

    async def _read_complete_since(self) -> KeyValue | None:
        listing = await self._store.list(COMPLETE_SINCE_KEY)
        found = (item for item in listing.items if item.key == COMPLETE_SINCE_KEY)
        return next(found, None)

    def _decode_complete_since(self) -> int | None:
        if self._complete_since is None:
            return None
        try:
            fields = json.loads(self._complete_since.value)
            era, since = parse_integer(fields['era']), parse_integer(fields['window'])
        except PARSE_ERRORS as error:
            logger.bind(key=COMPLETE_SINCE_KEY, error=repr(error)).error(
                'malformed fixed counts'
            )
            return None
        return since if era == self._loaded_era else None

    def _learn(self, window: int, counts: Mapping[CustomerId, int]) -> None:
        known = self._counts.setdefault(window, counts)
        if known != counts and window not in self._disputed:
            self._disputed.add(window)
            logger.bind(window=window, known=known, other=counts).error(
                'fixed counts differ'
            )

    def _check_era(self, revision: Revision) -> None:
        """Refuse what was read or written in another era than the present one.

        :raises PlatformError: if the store was restored since.
        """
        if revision < self._eras.floor:
            raise _make_restored_error()


def _make_restored_error() -> PlatformError:
    return PlatformError('the store was restored meanwhile', step=Step.STORE_READ)


def make_key(window: int) -> str:
    """Return the key of a window's fixed counts."""
    return f'{USAGE_PREFIX}{window}'


def _encode(counts: Mapping[CustomerId, int]) -> bytes:
    return json.dumps(dict(counts)).encode()


def _decode_row(row: Any) -> WindowRow:
    window, counts = row
    return check_count(window), check_window(counts)


def _is_too_far(window: int, newest: int) -> bool:
    return window > newest + MAX_WINDOWS_AHEAD


def _read_items(items: Iterable[KeyValue]) -> Iterator[tuple[int, _StoredCounts]]:
    """Yield the windows' counts; malformed keys and values are left out."""
    for item in items:
        try:
            window = parse_integer(item.key.removeprefix(USAGE_PREFIX))
            counts = decode_window(item.value)
        except PARSE_ERRORS as error:
            logger.bind(key=item.key, error=repr(error)).error('malformed fixed counts')
            continue
        yield window, _StoredCounts(counts, item.revision)
