"""This daemon's lease in the store: its registration, and the duties while it leads.

One daemon at a time leads: the one whose process stands under the leader's key. The
key's creation revision is the fencing number. A leader stops a margin before its
lease can have ended by any clock, and never ends it early: so two turns of one
instance, with another's between them, are at least a whole lease apart.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from loguru import logger

from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import ABSENT, FencingNumber, LeaseId, Revision
from fireflyhitch_platform.keyvalue import Conflict, KeyValue
from fireflyhitch_serving.store import AsyncStore, Put
from fireflyhitch_serving.store_health import StoreHealth

OWN_PREFIX = 'fireflyhitch/'
LEADER_KEY = f'{OWN_PREFIX}leader'
# Not below the watched prefix: each start would wake all daemons.
DAEMONS_PREFIX = 'fireflyhitch-daemons/'
# Longer than the 3 s in which two holders may not act by turns.
LEASE_SECONDS = 4.0
# Four renewals fit into a lease, so that one lost answer or two do not end it.
RENEW_SECONDS = 1.0
# A call begun under the lease must have ended before a successor may act; calls
# that the leader makes are bounded by what is left beyond this.
MARGIN_SECONDS = 0.7
# Daemons that see the leader's key go do not all write at once.
CLAIM_SPREAD_SECONDS = 0.25
RETRY_SECONDS = 0.5

Answer = TypeVar('Answer')


@dataclass(frozen=True, slots=True)
class Leadership:
    """The right to act for all daemons.

    :param fencing: grows with each new leader.
    :param seconds_left: for which it may still act.
    """

    fencing: FencingNumber
    seconds_left: float


class DaemonLease:
    """Keeps the lease; ``lead`` tells whether this daemon may act now."""

    def __init__(
        self,
        store: AsyncStore,
        boot_clock: Callable[[], float],
        daemon: str,
        process: str,
        registration: bytes,
        draw: random.Random,
        health: StoreHealth,
    ) -> None:
        """Make a lease that is not held.

        :param boot_clock: seconds that also pass while the instance is suspended.
        """
        self.stopping = False
        self._store = store
        self._clock = boot_clock
        self._daemon_key = f'{DAEMONS_PREFIX}{daemon}'
        self._process = process
        self._registration = registration
        self._draw = draw
        self._health = health
        self._lease: LeaseId | None = None
        self._until = float('-inf')
        self._fencing: FencingNumber | None = None
        self._leader: bytes | None = None
        self._registered: Revision = ABSENT
        self._is_registered = False
        self._listed = False
        self._wake = asyncio.Event()

    def lead(self) -> Leadership | None:
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

    def take_listed(self) -> None:
        """Note that the store's keys are known now."""
        self._listed = True
        self._wake.set()

    def take_leader(self, value: bytes | None, revision: Revision) -> None:
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

    @property
    def is_registered(self) -> bool:
        """Tell whether the store lists this process, as far as is known."""
        return self._is_registered

    def take_registration(self, item: KeyValue) -> None:
        """Take in what stands under a daemon's key; others' are passed over."""
        if item.key != self._daemon_key or item.revision < self._registered:
            return
        self._registered = item.revision
        self._is_registered = item.value == self._registration

    async def run(self) -> None:
        """Keep the lease, the registration and the leadership until cancelled."""
        while not self.stopping:
            try:
                await self._step()
            except PlatformError as error:
                # Logged there once for each outage, with what failed.
                self._health.note_failure(error)
                await asyncio.sleep(RETRY_SECONDS * (0.5 + self._draw.random()))

    async def _step(self) -> None:
        self._wake.clear()
        await self._renew()
        if not self._is_registered:
            await self._register()
        if self._listed and self._leader is None:
            await self._claim()
        try:
            async with asyncio.timeout(RENEW_SECONDS):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _renew(self) -> None:
        asked = self._clock()
        if self._lease is not None:
            if asked < self._until - LEASE_SECONDS + RENEW_SECONDS / 2:
                return
            if await self._ask(self._store.keep_lease(self._lease)):
                self._until = asked + LEASE_SECONDS
                return
            logger.warning('lease lapsed')
        self._is_registered = False
        self._lease = await self._ask(self._store.grant_lease(LEASE_SECONDS))
        self._until = asked + LEASE_SECONDS

    async def _register(self) -> None:
        put = Put(self._daemon_key, self._registration, self._registered, self._lease)
        result = await self._ask(self._store.put([put]))
        if isinstance(result, Conflict):
            current = result.current
            self._registered = current.revision if current else ABSENT
            return
        self._registered = result.revision
        self._is_registered = True

    async def _claim(self) -> None:
        await asyncio.sleep(CLAIM_SPREAD_SECONDS * self._draw.random())
        if self._leader is None and self._lease is not None:
            # Whether this won is learned from the key, as anyone else learns it.
            put = Put(LEADER_KEY, self._mark(), ABSENT, self._lease)
            await self._ask(self._store.put([put]))
            await asyncio.sleep(CLAIM_SPREAD_SECONDS)

    async def _ask(self, call: Awaitable[Answer]) -> Answer:
        """Make a call, and note that the store has answered."""
        answer = await call
        self._health.note_answer()
        return answer

    def _mark(self) -> bytes:
        return f'{self._process} {self._lease}'.encode()
