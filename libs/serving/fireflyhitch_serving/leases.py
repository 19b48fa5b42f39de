"""The lease under which one daemon at a time acts for all.

The one leads whose process stands under the leader's key. The key's creation revision
is the fencing number. A leader stops a margin before its lease can have ended by any
clock, and never ends it early: so two turns of one instance, with another's between
them, are at least a whole lease apart.

Only the leader, and those that claim its place, have a lease.
"""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import ABSENT, FencingNumber, LeaseId, Revision
from fireflyhitch_model.records import immutable
from fireflyhitch_serving.store import AsyncStore, Put
from fireflyhitch_serving.store_health import StoreHealth

FIREFLYHITCH_PREFIX = 'fireflyhitch/'
LEADER_KEY = f'{FIREFLYHITCH_PREFIX}leader'
# Longer than the 3 s in which two holders may not act by turns.
LEASE_SECONDS = 4.0
# Four renewals fit into a lease, so that one lost answer or two do not end it.
RENEW_SECONDS = 1.0
# A call begun under the lease must have ended before a successor may act; calls
# that the leader makes are bounded by what is left beyond this.
MARGIN_SECONDS = 0.7
# A claim has been seen by the next candidate when this has passed.
CLAIM_SECONDS = 0.3
RETRY_SECONDS = 0.5


@immutable
class Leadership:
    """The right to act for all daemons.

    :param fencing: grows with each new leader.
    :param seconds_left: for which it may still act.
    """

    fencing: FencingNumber
    seconds_left: float


class LeaderLease:
    """Claims the lead in turn; ``current_leadership`` tells whether this daemon may act now."""

    def __init__(
        self,
        store: AsyncStore,
        boot_clock: Callable[[], float],
        process: str,
        rng: random.Random,
        health: StoreHealth,
        find_turn: Callable[[], int | None],
    ) -> None:
        """Make a lease that is not held.

        :param boot_clock: seconds that also pass while the instance is suspended.
        :param find_turn: how many daemons claim the lead before this one; ``None`` if
            it does not claim.
        """
        self.stopping = False
        self._store = store
        self._clock = boot_clock
        self._process = process
        self._rng = rng
        self._health = health
        self._find_turn = find_turn
        self._lease: LeaseId | None = None
        self._until = float('-inf')
        self._fencing: FencingNumber | None = None
        self._leader: bytes | None = None
        self._listed = False
        self._wake = asyncio.Event()

    def current_leadership(self) -> Leadership | None:
        """Return the right to act, if this daemon has it now."""
        if self._fencing is None or self.stopping or self._leader != self._mark():
            return None
        left = self._until - MARGIN_SECONDS - self._clock()
        return Leadership(self._fencing, left) if left > 0 else None

    def find_leader(self) -> str | None:
        """Return the name of the daemon that leads, as far as is known."""
        if self._leader is None:
            return None
        process = self._leader.decode().split(' ')[0]
        return process.rpartition('/')[0]

    def mark_keys_listed(self) -> None:
        """Note that the store's keys are known now."""
        self._listed = True
        self._wake.set()

    def apply_leader(self, value: bytes | None, revision: Revision) -> None:
        """Take in who stands under the leader's key."""
        was = self._leader
        self._leader = value
        self._fencing = None
        if value is not None and value == self._mark():
            self._fencing = FencingNumber(revision)
            logger.bind(fencing=revision).info('leading')
        elif was is not None and was == self._mark():
            logger.info('no longer leading')
        self._wake.set()

    async def run(self) -> None:
        """Keep the lead, or claim it when it is free, until cancelled."""
        while not self.stopping:
            try:
                await self._step()
            except PlatformError as error:
                # Logged there once for each outage, with what failed.
                self._health.record_failure(error)
                await asyncio.sleep(RETRY_SECONDS * (0.5 + self._rng.random()))

    async def _step(self) -> None:
        self._wake.clear()
        if self._is_leader():
            await self._renew()
        elif self._leader is None and self._listed:
            await self._claim()
        try:
            async with asyncio.timeout(RENEW_SECONDS):
                await self._wake.wait()
        except TimeoutError:
            return

    def _is_leader(self) -> bool:
        return self._lease is not None and self._leader == self._mark()

    async def _renew(self) -> None:
        asked = self._clock()
        if asked < self._until - LEASE_SECONDS + RENEW_SECONDS / 2:
            return
        assert self._lease is not None
        if await self._health.track(self._store.keep_lease(self._lease)):
            self._until = asked + LEASE_SECONDS
            return
        logger.warning('lease lapsed')
        self._lease = None

    async def _claim(self) -> None:
        turn = self._find_turn()
        if turn is None:
            return
        await asyncio.sleep(CLAIM_SECONDS * (turn + self._rng.random() / 2))
        if self._leader is not None or not self._health.answers:
            return
        asked = self._clock()
        self._lease = await self._health.track(self._store.grant_lease(LEASE_SECONDS))
        self._until = asked + LEASE_SECONDS
        # Whether this won is learned from the key, as anyone else learns it.
        put = Put(LEADER_KEY, self._mark(), ABSENT, self._lease)
        await self._health.track(self._store.put([put]))
        await asyncio.sleep(CLAIM_SECONDS)

    def _mark(self) -> bytes:
        return f'{self._process} {self._lease}'.encode()
