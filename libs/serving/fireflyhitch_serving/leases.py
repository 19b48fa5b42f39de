"""The lease that makes one daemon at a time the leader.

The leader is the process named in the leader's key. The key's creation revision is the
fencing number. A leader stops a margin before its lease can have expired by any clock,
and never ends the lease early: so two terms of one instance, with another's between
them, are at least a whole lease apart.

Only the leader and the candidates have a lease.
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
# Longer than the 3 s in which two holders must not act alternately.
LEASE_SECONDS = 4.0
# Four renewals fit into a lease, so one or two lost responses do not end it.
RENEW_SECONDS = 1.0
# A call made under the lease must have ended before a successor may act; the leader's
# calls are bounded by the time left until this margin begins.
MARGIN_SECONDS = 0.7
# Time after which the next candidate has seen a claim.
CLAIM_INTERVAL_SECONDS = 0.3
RETRY_SECONDS = 0.5


@immutable
class Leadership:
    """The right to act for all daemons.

    :param fencing: grows with each new leader.
    :param seconds_left: time for which the leader may still act.
    """

    fencing: FencingNumber
    seconds_left: float


class LeaderLease:
    """Renews the leader's lease, or claims it in order of rank when it is free.

    ``current_leadership`` returns whether this daemon may act now.
    """

    def __init__(
        self,
        store: AsyncStore,
        boot_clock: Callable[[], float],
        process: str,
        rng: random.Random,
        health: StoreHealth,
        find_claim_rank: Callable[[], int | None],
    ) -> None:
        """Create a lease that is not held.

        :param boot_clock: seconds that also pass while the instance is suspended.
        :param find_claim_rank: returns how many daemons claim before this one; ``None``
            if this one does not claim.
        """
        self.stopping = False
        self._store = store
        self._clock = boot_clock
        self._process = process
        self._rng = rng
        self._health = health
        self._find_claim_rank = find_claim_rank
        self._lease: LeaseId | None = None
        self._expires_at = float('-inf')
        self._fencing: FencingNumber | None = None
        self._leader: bytes | None = None
        self._keys_listed = False
        self._wake = asyncio.Event()

    def current_leadership(self) -> Leadership | None:
        """Return the right to act, if this daemon has it now."""
        if self._fencing is None or self.stopping or self._leader != self._own_value():
            return None
        remaining = self._expires_at - MARGIN_SECONDS - self._clock()
        return Leadership(self._fencing, remaining) if remaining > 0 else None

    def find_leader(self) -> str | None:
        """Return the name of the leading daemon, as far as known."""
        if self._leader is None:
            return None
        process = self._leader.decode().split(' ')[0]
        return process.rpartition('/')[0]

    def mark_keys_listed(self) -> None:
        """Record that the store's keys have been listed."""
        self._keys_listed = True
        self._wake.set()

    def apply_leader(self, value: bytes | None, revision: Revision) -> None:
        """Apply the value of the leader's key."""
        previous = self._leader
        self._leader = value
        self._fencing = None
        if value is not None and value == self._own_value():
            self._fencing = FencingNumber(revision)
            logger.bind(fencing=revision).info('leading')
        elif previous is not None and previous == self._own_value():
            logger.info('no longer leading')
        self._wake.set()

    async def run(self) -> None:
        """Renew the lease, or claim it when it is free, until cancelled."""
        while not self.stopping:
            try:
                await self._step()
            except PlatformError as error:
                # Logged once per outage by the store health, with the cause.
                self._health.record_failure(error)
                await asyncio.sleep(RETRY_SECONDS * (0.5 + self._rng.random()))

    async def _step(self) -> None:
        self._wake.clear()
        if self._is_leader():
            await self._renew()
        elif self._leader is None and self._keys_listed:
            await self._claim()
        try:
            async with asyncio.timeout(RENEW_SECONDS):
                await self._wake.wait()
        except TimeoutError:
            return

    def _is_leader(self) -> bool:
        return self._lease is not None and self._leader == self._own_value()

    async def _renew(self) -> None:
        sent_at = self._clock()
        if sent_at < self._expires_at - LEASE_SECONDS + RENEW_SECONDS / 2:
            return
        assert self._lease is not None
        if await self._health.track(self._store.keep_lease(self._lease)):
            self._expires_at = sent_at + LEASE_SECONDS
            return
        logger.warning('lease expired')
        self._lease = None

    async def _claim(self) -> None:
        rank = self._find_claim_rank()
        if rank is None:
            return
        await asyncio.sleep(CLAIM_INTERVAL_SECONDS * (rank + self._rng.random() / 2))
        if self._leader is not None or not self._health.answers:
            return
        sent_at = self._clock()
        self._lease = await self._health.track(self._store.grant_lease(LEASE_SECONDS))
        self._expires_at = sent_at + LEASE_SECONDS
        # Whether the claim succeeded is read from the key, as at all other daemons.
        put = Put(LEADER_KEY, self._own_value(), ABSENT, self._lease)
        await self._health.track(self._store.put([put]))
        await asyncio.sleep(CLAIM_INTERVAL_SECONDS)

    def _own_value(self) -> bytes:
        return f'{self._process} {self._lease}'.encode()
