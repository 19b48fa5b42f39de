"""Persists holds in the store, for daemons that start or were partitioned.

Daemons exchange crash records and derive the same holds from them. A daemon that missed
some reads the holds from the store; so do all daemons when all were restarted. Only the
leader writes holds, and their keys expire with their lease. Which ones the store has it
reads when it begins to lead, and when the store comes back from an older copy.
"""

import asyncio
import json

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.eras import find_era
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.external_values import (
    PARSE_ERRORS,
    parse_id,
    parse_number,
)
from fireflyhitch_model.ids import (
    ABSENT,
    ContentId,
    FencingNumber,
    ProcessId,
    StoreEra,
)
from fireflyhitch_routing.quarantine import HOLD_SECONDS, Hold, Quarantine
from fireflyhitch_serving.leases import FIREFLYHITCH_PREFIX, LeaderLease
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.store import AsyncStore, Put
from fireflyhitch_serving.store_eras import EraTracker
from fireflyhitch_serving.store_health import StoreHealth

HOLDS_PREFIX = f'{FIREFLYHITCH_PREFIX}holds/'
CHECK_INTERVAL_SECONDS = 0.2
# Exchange rounds after which all daemons have sent the evidence in a request's favour.
SETTLED_ROUNDS = 2
RETRY_SECONDS = 0.5


class HoldManager:
    """Applies the holds in the store, and writes them while this daemon leads."""

    def __init__(
        self,
        quarantine: Quarantine,
        store: AsyncStore,
        lease: LeaderLease,
        health: StoreHealth,
        clock: Clock,
        peers: PeerRegistry,
        eras: EraTracker,
    ) -> None:
        """Create a manager without stored holds."""
        self._quarantine = quarantine
        self._store = store
        self._lease = lease
        self._health = health
        self._clock = clock
        self._peers = peers
        self._eras = eras
        self._stored: set[ContentId] = set()
        self._listed_for: tuple[FencingNumber, StoreEra] | None = None

    def apply_change(self, key_suffix: str, value: bytes | None) -> None:
        """Apply a change of a hold's key.

        A deleted key releases nothing: its lease may have expired while the store was
        down. Each daemon tracks the hold's expiry itself.
        """
        content = ContentId(key_suffix)
        if value is None:
            self._stored.discard(content)
            return
        try:
            hold = self._parse(value)
        except PARSE_ERRORS as error:
            logger.bind(content=content, error=repr(error)).error(
                'malformed hold in the store'
            )
            return
        self._stored.add(content)
        self._quarantine.add_hold(content, hold, self._clock.monotonic())

    async def run(self) -> None:
        """Review, write and delete holds until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            settle_seconds = SETTLED_ROUNDS * self._peers.propagation_seconds()
            self._quarantine.review(self._clock.monotonic(), settle_seconds)
            leadership = self._lease.current_leadership()
            if leadership is None or not self._health.answers:
                continue
            try:
                await self._list_stored(leadership.term)
                await self._sync()
            except PlatformError as error:
                self._health.record_failure(error)
                await asyncio.sleep(RETRY_SECONDS)

    async def _list_stored(self, term: FencingNumber) -> None:
        """Read which holds the store has, once in each term and era.

        They are applied as well: one that the view has not delivered yet would be taken
        for released.
        """
        if self._listed_for == (term, self._eras.current):
            return
        listing = await self._health.track(self._store.list(HOLDS_PREFIX))
        self._stored = set()
        for item in listing.items:
            self.apply_change(item.key.removeprefix(HOLDS_PREFIX), item.value)
        self._listed_for = (term, find_era(listing.revision))

    async def _sync(self) -> None:
        held = dict(self._quarantine.held())
        for content in held.keys() - self._stored:
            await self._write(content, held[content])
        released = self._stored - held.keys()
        if released:
            keys = [f'{HOLDS_PREFIX}{name}' for name in released]
            await self._health.track(self._store.put([], deletes=keys))
            self._stored -= released

    async def _write(self, content: ContentId, hold: Hold) -> None:
        remaining = hold.until - self._clock.monotonic()
        if remaining <= 0:
            return
        lease = await self._health.track(self._store.grant_lease(remaining))
        put = Put(f'{HOLDS_PREFIX}{content}', self._render(hold), ABSENT, lease)
        await self._health.track(self._store.put([put]))
        # If another daemon has written it, the store's watch delivers that value.
        self._stored.add(content)
        logger.bind(content=content, seconds=round(remaining)).info('hold kept')

    def _render(self, hold: Hold) -> bytes:
        until = self._peers.wall() + hold.until - self._clock.monotonic()
        fields = {'until': until, 'processes': sorted(hold.processes)}
        return json.dumps(fields).encode()

    def _parse(self, value: bytes) -> Hold:
        fields = json.loads(value)
        remaining = min(
            parse_number(fields['until']) - self._peers.wall(), HOLD_SECONDS
        )
        processes = frozenset(
            ProcessId(parse_id(process)) for process in fields['processes']
        )
        return Hold(self._clock.monotonic() + remaining, processes)
