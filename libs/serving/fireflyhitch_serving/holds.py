"""Keeps requests that are held back in the store, for daemons that start or were cut off.

Daemons tell each other what they have seen, and come to the same verdict. One that did not
hear them then learns it from the store, and so do all when all of them have started anew.
The leader writes; the keys go with their lease.
"""

import asyncio
import json

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import ABSENT, ContentId, ProcessId
from fireflyhitch_routing.quarantine import HOLD_SECONDS, Hold, Quarantine
from fireflyhitch_serving.leases import FIREFLYHITCH_PREFIX, LeaderLease
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.store import AsyncStore, Put
from fireflyhitch_serving.store_health import StoreHealth

HOLDS_PREFIX = f'{FIREFLYHITCH_PREFIX}holds/'
LOOK_SECONDS = 0.2
# Turns of news after which all have told what speaks for a request.
SETTLED_TURNS = 2
RETRY_SECONDS = 0.5


class HoldManager:
    """Takes in the holds in the store, and writes them while this daemon leads."""

    def __init__(
        self,
        quarantine: Quarantine,
        store: AsyncStore,
        lease: LeaderLease,
        health: StoreHealth,
        clock: Clock,
        peers: PeerRegistry,
    ) -> None:
        """Make a keeper that knows of none."""
        self._quarantine = quarantine
        self._store = store
        self._lease = lease
        self._health = health
        self._clock = clock
        self._peers = peers
        self._stored: set[ContentId] = set()

    def take(self, rest: str, value: bytes | None) -> None:
        """Take in what stands under a request's key.

        A key that is gone releases nothing: its lease may have ended while the store was
        down. Each daemon counts the time itself.
        """
        content = ContentId(rest)
        if value is None:
            self._stored.discard(content)
            return
        try:
            hold = self._read(value)
        except (ValueError, KeyError, TypeError) as error:
            logger.bind(content=content, error=repr(error)).error('hold not readable')
            return
        self._stored.add(content)
        self._quarantine.add_hold(content, hold)

    async def run(self) -> None:
        """Judge, write and delete until cancelled."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            settled = SETTLED_TURNS * self._peers.propagation_seconds()
            self._quarantine.review(self._clock.monotonic(), settled)
            if self._lease.current_leadership() is None or not self._health.answers:
                continue
            try:
                await self._write_all()
            except PlatformError as error:
                self._health.record_failure(error)
                await asyncio.sleep(RETRY_SECONDS)

    async def _write_all(self) -> None:
        held = dict(self._quarantine.held())
        for content in held.keys() - self._stored:
            await self._write(content, held[content])
        released = self._stored - held.keys()
        if released:
            keys = [f'{HOLDS_PREFIX}{name}' for name in released]
            await self._health.track(self._store.put([], deletes=keys))
            self._stored -= released

    async def _write(self, content: ContentId, hold: Hold) -> None:
        left = hold.until - self._clock.monotonic()
        if left <= 0:
            return
        lease = await self._health.track(self._store.grant_lease(left))
        put = Put(f'{HOLDS_PREFIX}{content}', self._render(hold), ABSENT, lease)
        await self._health.track(self._store.put([put]))
        # If another has written it, the view of the store tells what.
        self._stored.add(content)
        logger.bind(content=content, seconds=round(left)).info('hold kept')

    def _render(self, hold: Hold) -> bytes:
        until = self._peers.wall() + hold.until - self._clock.monotonic()
        fields = {'until': until, 'processes': sorted(hold.processes)}
        return json.dumps(fields).encode()

    def _read(self, value: bytes) -> Hold:
        fields = json.loads(value)
        left = min(float(fields['until']) - self._peers.wall(), HOLD_SECONDS)
        processes = frozenset(ProcessId(int(told)) for told in fields['processes'])
        return Hold(self._clock.monotonic() + left, processes)
