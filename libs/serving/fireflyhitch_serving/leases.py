"""The lease that makes one daemon at a time the leader.

The leader is the process named in the leader's key. The key's creation revision is the
fencing number. A leader stops a margin before its lease can have expired by any clock,
and never ends the lease early: so two terms of one instance, with another's between
them, are at least a whole lease apart.

A store that comes back from an older copy may lack the leader's key and lease, or hold
those of an earlier leader. The leader writes its key again while its lease as granted
before lasts. All others wait for as long as such a lease can last, from when they hear
of the new era; a second key tells that a leader has been found in it.

Only the leader and the candidates have a lease.
"""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from fireflyhitch_model.eras import UNKNOWN_ERA
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import ABSENT, FencingNumber, LeaseId, Revision
from fireflyhitch_model.records import immutable
from fireflyhitch_platform.keyvalue import KeyValue, Written
from fireflyhitch_serving.store import AsyncStore, Put
from fireflyhitch_serving.store_eras import EraTracker
from fireflyhitch_serving.store_health import StoreHealth

FIREFLYHITCH_PREFIX = 'fireflyhitch/'
LEADER_KEY = f'{FIREFLYHITCH_PREFIX}leader'
# The era in which a leader was last found.
LEADER_ERA_KEY = f'{LEADER_KEY}-era'
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
    :param term: the fencing number with which this daemon began to lead; it has led
        without interruption since, also if the store was restored.
    """

    fencing: FencingNumber
    seconds_left: float
    term: FencingNumber


@immutable
class _StoredKeys:
    """The leader's keys as the store holds them."""

    leader: KeyValue | None
    era: KeyValue | None


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
        eras: EraTracker,
        is_new_system: Callable[[], bool] = bool,
    ) -> None:
        """Create a lease that is not held.

        :param boot_clock: seconds that also pass while the instance is suspended.
        :param find_claim_rank: returns how many daemons claim before this one; ``None``
            if this one does not claim.
        :param is_new_system: returns whether nobody can have led before this process.
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
        self._leader_revision = ABSENT
        self._keys_listed = False
        self._wake = asyncio.Event()
        self._eras = eras
        self._is_new_system = is_new_system
        self._era_known_at = boot_clock()
        self._reclaims_until = float('-inf')
        self._term = FencingNumber(ABSENT)
        eras.add_first_callback(self._record_era)
        eras.add_callback(self._handle_restore)

    def current_leadership(self) -> Leadership | None:
        """Return the right to act, if this daemon has it now."""
        if self._fencing is None or self.stopping:
            return None
        if self._leader != self._own_value() and not self._reclaims():
            return None
        remaining = self._expires_at - MARGIN_SECONDS - self._clock()
        if remaining <= 0:
            return None
        return Leadership(self._fencing, remaining, self._term)

    def find_leader(self) -> str | None:
        """Return the name of the leading daemon, as far as known."""
        if self._leader is None:
            return None
        process = self._leader.decode(errors='replace').split(' ')[0]
        return process.rpartition('/')[0]

    def mark_keys_listed(self) -> None:
        """Record that the store's keys have been listed."""
        self._keys_listed = True
        self._wake.set()

    def apply_leader(self, value: bytes | None, revision: Revision) -> None:
        """Apply the value of the leader's key."""
        if revision < self._leader_revision:
            return
        previous = self._leader
        self._leader = value
        self._leader_revision = revision
        if self._reclaims():
            return
        self._fencing = None
        if value is not None and value == self._own_value():
            self._fencing = FencingNumber(revision)
            if previous != value:
                self._term = self._fencing
            logger.bind(fencing=revision, term=self._term).info('leading')
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
        self._forget_lost_lease()
        if self._reclaims():
            await self._reclaim()
        elif self._is_leader():
            await self._renew()
        elif self._leader is None and self._keys_listed:
            await self._claim()
        try:
            async with asyncio.timeout(RENEW_SECONDS):
                await self._wake.wait()
        except TimeoutError:
            return

    def _handle_restore(self) -> None:
        """Write the key again if this daemon leads; otherwise wait like a new one."""
        self._record_era()
        self._wake.set()
        if self.current_leadership() is not None:
            self._reclaims_until = self._expires_at - MARGIN_SECONDS
            return
        # The copy may hold a key and a lease of this process that had ended long ago.
        self._lease = None
        self._reclaims_until = float('-inf')

    def _record_era(self) -> None:
        self._era_known_at = self._clock()

    def _reclaims(self) -> bool:
        """Return whether this daemon leads by a lease that a restore may have lost."""
        return self._clock() < self._reclaims_until

    def _forget_lost_lease(self) -> None:
        """Forget the lease of before a restore once this daemon may lead no longer by it.

        The store may have given its id to another lease, which a renewal would keep.
        """
        if self._reclaims_until > float('-inf') and not self._reclaims():
            self._reclaims_until = float('-inf')
            self._lease = None

    async def _reclaim(self) -> None:
        keys = await self._read_keys()
        sent_at = self._clock()
        lease = await self._health.track(self._store.grant_lease(LEASE_SECONDS))
        value = self._make_value(lease)
        expected = keys.leader.revision if keys.leader else ABSENT
        result = await self._health.track(
            self._store.put(
                [
                    Put(LEADER_KEY, value, expected, lease),
                    *self._make_era_puts(keys),
                ]
            )
        )
        if not isinstance(result, Written) or result.revision < self._eras.floor:
            self._wake.set()
            return
        self._reclaims_until = float('-inf')
        self._lease = lease
        self._expires_at = sent_at + LEASE_SECONDS
        self._leader = value
        self._leader_revision = result.revision
        self._fencing = FencingNumber(result.revision)
        logger.bind(fencing=result.revision).info('leading in a new era')

    async def _read_keys(self) -> _StoredKeys:
        listing = await self._health.track(self._store.list(LEADER_KEY))
        found = {item.key: item for item in listing.items}
        return _StoredKeys(found.get(LEADER_KEY), found.get(LEADER_ERA_KEY))

    def _make_era_puts(self, keys: _StoredKeys) -> list[Put]:
        """Return the write of the current era, unless it is recorded."""
        if keys.era is not None and keys.era.value == self._own_era():
            return []
        expected = keys.era.revision if keys.era else ABSENT
        return [Put(LEADER_ERA_KEY, self._own_era(), expected)]

    def _own_era(self) -> bytes:
        return str(self._eras.current).encode()

    def _may_have_leader(self, keys: _StoredKeys) -> bool:
        """Return whether a leader that the store has lost may still act."""
        if not self._follows_restore(keys):
            return False
        return self._clock() < self._era_known_at + LEASE_SECONDS

    def _follows_restore(self, keys: _StoredKeys) -> bool:
        """Return whether no leader has been found since the store was restored.

        A copy may be older than the first leader's record. A store that tells no era
        has not been restored.
        """
        if keys.era is None:
            return self._eras.current != UNKNOWN_ERA and not self._is_new_system()
        return keys.era.value != self._own_era()

    def _is_leader(self) -> bool:
        return self._lease is not None and self._leader == self._own_value()

    async def _renew(self) -> None:
        sent_at = self._clock()
        if sent_at < self._expires_at - LEASE_SECONDS + RENEW_SECONDS / 2:
            return
        assert self._lease is not None
        is_kept = await self._health.track(self._store.keep_lease(self._lease))
        if self._reclaims():
            # It was renewed in a new era, which may have given its id to another lease.
            return
        if is_kept:
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
        keys = await self._read_keys()
        if keys.leader is not None or self._may_have_leader(keys):
            return
        sent_at = self._clock()
        lease = await self._health.track(self._store.grant_lease(LEASE_SECONDS))
        if self._may_have_leader(keys):
            # The store was restored meanwhile.
            return
        self._lease = lease
        self._expires_at = sent_at + LEASE_SECONDS
        logger.bind(
            rank=rank,
            era=self._eras.current,
            recorded_era=keys.era.value.decode(errors='replace') if keys.era else None,
        ).info('claiming')
        # Whether the claim succeeded is read from the key, as at all other daemons.
        put = Put(LEADER_KEY, self._own_value(), ABSENT, self._lease)
        await self._health.track(self._store.put([put, *self._make_era_puts(keys)]))
        await asyncio.sleep(CLAIM_INTERVAL_SECONDS)

    def _own_value(self) -> bytes:
        return self._make_value(self._lease)

    def _make_value(self, lease: LeaseId | None) -> bytes:
        return f'{self._process} {lease}'.encode()
