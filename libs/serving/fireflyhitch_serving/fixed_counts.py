"""The usage counts of windows that have been fixed: in the store, and at the daemons.

Counts are fixed before they are reported, so whoever reports a window reports the same
counts. A store that comes back from an older copy may lack them. So a leader sends them
to peers as well, and a successor asks these; of windows that ended before it led, and
that nobody knows, it reports none. How far that goes is recorded in the store, with its
era, once all that is known has been written again. A leader that finds no record of the
present era does it all anew, whoever led meanwhile and however far they came.
"""

import json
from collections.abc import Awaitable, Callable, Iterable, Mapping
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
from fireflyhitch_platform.keyvalue import Conflict, KeyValue, Listing, Written
from fireflyhitch_serving.peer_state import decode_rows, encode_rows
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.saved_counts import check_window, decode_window
from fireflyhitch_serving.store import AsyncStore, Put
from fireflyhitch_serving.store_eras import EraTracker

# Outside the watched prefixes: only a new leader reads them.
USAGE_PREFIX = 'fireflyhitch-usage/'
CERTAINTY_KEY = 'fireflyhitch-usage-certainty'
FIXED_COUNTS = 'fixed_counts'
# Fixed counts have no lease: leases may expire during a store outage, and a window must
# not be fixed twice. They are deleted once no leader can need them any more.
RETAINED_WINDOWS = 60
# Peers that are sent and asked for counts. With few daemons these are all of them; with
# many it would cost each leader more than its share of control traffic.
MAX_KEEPERS = 20

# Of a window's number; more are not of this system.
MAX_WINDOW_DIGITS = 20

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


class FixedCounts:
    """The fixed counts that this daemon knows, and those in the store."""

    def __init__(
        self,
        store: AsyncStore,
        eras: EraTracker,
        peers: PeerRegistry,
        keepers: KeeperCalls,
    ) -> None:
        """Create a table without any."""
        self._store = store
        self._eras = eras
        self._peers = peers
        self._keepers = keepers
        self._counts: dict[int, Mapping[CustomerId, int]] = {}
        self._stored: frozenset[int] = frozenset()
        self._certainty: KeyValue | None = None
        self._loaded_era = eras.current

    @property
    def windows(self) -> frozenset[int]:
        """Return the windows whose counts are known here."""
        return frozenset(self._counts)

    @property
    def stored_windows(self) -> frozenset[int]:
        """Return the windows whose counts the store held when they were loaded."""
        return self._stored

    def find(self, window: int) -> Mapping[CustomerId, int] | None:
        """Return a window's counts, if they are known to be fixed."""
        return self._counts.get(window)

    def forget_before(self, window: int) -> None:
        """Drop the windows before this one."""
        self._counts = {
            known: counts for known, counts in self._counts.items() if known >= window
        }

    def receive(self, data: bytes) -> bool:
        """Apply a peer's datagram; return ``False`` for one of another kind."""
        rows = decode_rows(FIXED_COUNTS, data, _decode_row)
        if rows is None:
            return False
        for window, counts in rows:
            self._counts.setdefault(window, counts)
        return True

    def make_listing(self) -> Listing:
        """Return what is known here, as a peer reads it."""
        revision = self._eras.floor
        items = (
            KeyValue(make_key(window), _encode(counts), revision, revision)
            for window, counts in self._counts.items()
        )
        return Listing(revision, tuple(items))

    async def load(self) -> int | None:
        """Read all fixed counts in the store.

        :returns: the oldest window that is certainly not reported unless its counts are
            fixed; ``None`` if nobody has recorded it in the store's present era.
        :raises PlatformError: if they cannot be read.
        """
        self._certainty = await self._read_certainty()
        listing = await self._store.list(USAGE_PREFIX)
        if self._certainty is not None:
            self._check_era(self._certainty.revision)
        self._check_era(listing.revision)
        self._loaded_era = self._eras.current
        self._stored = frozenset(
            window for window, _ in self._apply_items(listing.items)
        )
        return None if self._certainty is None else self._decode_certainty()

    async def ask_peers(self) -> None:
        """Read the fixed counts that peers know."""
        for listing in await self._keepers.read(USAGE_PREFIX, self._choose_keepers()):
            self._apply_items(listing.items, replaces=False)

    async def write_again(self) -> None:
        """Write the known counts that the store lacks.

        :raises PlatformError: if it is not known whether they were written.
        """
        for window in sorted(self._counts.keys() - self._stored):
            put = Put(make_key(window), _encode(self._counts[window]), ABSENT)
            result = await self._store.put([put])
            if isinstance(result, Written):
                self._check_era(result.revision)
            logger.bind(window=window, counts=self._counts[window]).info(
                'fixed counts written again'
            )

    async def record_certainty(self, oldest: int) -> None:
        """Record that the store holds the fixed counts of a window and all later ones.

        :raises PlatformError: if it is not known whether it was recorded.
        """
        fields = {'era': self._loaded_era, 'oldest': oldest}
        expected = ABSENT if self._certainty is None else self._certainty.revision
        value = json.dumps(fields).encode()
        result = await self._store.put([Put(CERTAINTY_KEY, value, expected)])
        if not isinstance(result, Written):
            raise PlatformError('another leader recorded it', step=Step.STORE_WRITE)
        self._check_era(result.revision)

    async def fix(
        self, window: int, counts: Mapping[CustomerId, int]
    ) -> Mapping[CustomerId, int] | None:
        """Fix a window's counts in the store, and send them to peers.

        :returns: the counts that are fixed, by this daemon or another one; ``None`` if
            that is not known.
        :raises PlatformError: if the store does not answer.
        """
        put = Put(make_key(window), _encode(counts), ABSENT)
        result = await self._store.put(
            [put], deletes=[make_key(window - RETAINED_WINDOWS)]
        )
        if isinstance(result, Conflict):
            found = self._read_conflict(result)
            if found is None:
                return None
            counts = found
        else:
            self._check_era(result.revision)
        self._counts[window] = counts
        logger.bind(
            window=window, counts=counts, found=isinstance(result, Conflict)
        ).info('usage fixed')
        self._send()
        return counts

    def _read_conflict(self, result: Conflict) -> Mapping[CustomerId, int] | None:
        if result.current is None:
            return None
        self._check_era(result.current.revision)
        return _read_counts(result.current)

    def _send(self) -> None:
        """Send all counts that are known, as peers may lack earlier ones."""
        rows = [(window, dict(counts)) for window, counts in self._counts.items()]
        self._keepers.send(encode_rows(FIXED_COUNTS, rows), self._choose_keepers())

    def _choose_keepers(self) -> list[str]:
        names = self._peers.listed().keys() - {self._peers.own}
        return rank_by_hash(USAGE_PREFIX, names)[:MAX_KEEPERS]

    async def _read_certainty(self) -> KeyValue | None:
        listing = await self._store.list(CERTAINTY_KEY)
        found = (item for item in listing.items if item.key == CERTAINTY_KEY)
        return next(found, None)

    def _decode_certainty(self) -> int | None:
        assert self._certainty is not None
        try:
            fields = json.loads(self._certainty.value)
            era, oldest = parse_integer(fields['era']), parse_integer(fields['oldest'])
        except PARSE_ERRORS as error:
            logger.bind(error=repr(error)).error('malformed certainty of usage')
            return None
        return oldest if era == self._loaded_era else None

    def _apply_items(
        self, items: Iterable[KeyValue], *, replaces: bool = True
    ) -> list[WindowRow]:
        """Apply stored counts, and return them.

        :param replaces: whether they count more than those known here.
        """
        rows = [row for row in map(_read_item, items) if row is not None]
        for window, counts in rows:
            known = self._counts.setdefault(window, counts)
            if known != counts:
                logger.bind(window=window, known=known, other=counts).error(
                    'fixed counts differ'
                )
                if replaces:
                    self._counts[window] = counts
        return rows

    def _check_era(self, revision: Revision) -> None:
        """Refuse what was read or written in another era than the present one.

        :raises PlatformError: if the store was restored since.
        """
        if revision < self._eras.floor:
            raise PlatformError(
                'the store was restored meanwhile', step=Step.STORE_READ
            )


def make_key(window: int) -> str:
    """Return the key of a window's fixed counts."""
    return f'{USAGE_PREFIX}{window}'


def _encode(counts: Mapping[CustomerId, int]) -> bytes:
    return json.dumps(dict(counts)).encode()


def _decode_row(row: Any) -> WindowRow:
    window, counts = row
    return check_count(window), check_window(counts)


def _read_item(item: KeyValue) -> WindowRow | None:
    suffix = item.key.removeprefix(USAGE_PREFIX)
    if not suffix.isdecimal() or len(suffix) > MAX_WINDOW_DIGITS:
        return None
    counts = _read_counts(item)
    return None if counts is None else (int(suffix), counts)


def _read_counts(item: KeyValue) -> dict[CustomerId, int] | None:
    """Return fixed counts; ``None`` if they are malformed."""
    try:
        return decode_window(item.value)
    except PARSE_ERRORS as error:
        logger.bind(key=item.key, error=repr(error)).error('malformed fixed counts')
        return None
