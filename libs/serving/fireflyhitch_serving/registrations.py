"""Registers this daemon in the store, and tracks and cleans up registrations.

Registrations have no lease: renewing leases would be most of the calls that daemons
make. A registration remains until the leader has received nothing from its daemon for
some seconds, and a process restarted on the same instance finds its own.
"""

import asyncio

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.external_values import parse_number
from fireflyhitch_model.ids import ABSENT, FailureDomainId, Revision
from fireflyhitch_model.records import immutable
from fireflyhitch_platform.keyvalue import Conflict
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.leases import FIREFLYHITCH_PREFIX, LeaderLease
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.store import AsyncStore, Put
from fireflyhitch_serving.store_eras import EraTracker
from fireflyhitch_serving.store_health import StoreHealth

DAEMONS_PREFIX = f'{FIREFLYHITCH_PREFIX}daemons/'
CHECK_SECONDS = 0.2
RETRY_SECONDS = 1.0
# The states of daemons listed before this one have arrived by then.
DISCOVERY_SECONDS = 0.4
# Stale reads may omit this daemon's registration for seconds; after that, waiting for
# it is useless.
MAX_DISCOVERY_SECONDS = 3.0
# A stopped or cut-off daemon counts for this long when limits are shared.
GONE_SECONDS = 5.0
# The same if most daemons are unresponsive: this daemon may be the one that is cut off,
# or they have stopped for good.
MAJORITY_GONE_SECONDS = 12.0
# Keys that one write may delete.
MAX_DELETES = 30


@immutable
class Registration:
    """A daemon's entry in the store.

    :param address: where it receives peers' messages.
    :param link_mbps: the rate of its instance's link; 0 if unknown.
    """

    address: Address
    failure_domain: FailureDomainId
    link_mbps: float = 0

    def encode(self) -> bytes:
        """Return the registration as stored."""
        words = (str(self.address), self.failure_domain, f'{self.link_mbps:g}')
        return ' '.join(words).encode()


def decode_registration(value: bytes) -> Registration:
    """Decode a registration; that of another version may lack the link rate.

    :raises ValueError: if it is invalid.
    """
    address, domain, *more = value.decode().split(' ')
    link_mbps = parse_number(more[0]) if more else 0
    return Registration(Address.parse(address), FailureDomainId(domain), link_mbps)


class RegistrationManager:
    """Maintains this daemon's registration, and tracks those of other daemons."""

    def __init__(
        self,
        store: AsyncStore,
        peers: PeerRegistry,
        daemon: str,
        registration: Registration,
        health: StoreHealth,
        clock: Clock,
        eras: EraTracker,
    ) -> None:
        """Create a manager of a registration that may not be stored yet."""
        self._store = store
        self._peers = peers
        self._daemon = daemon
        self._value = registration.encode()
        self._health = health
        self._clock = clock
        self._eras = eras
        self._started = clock.monotonic()
        self._listed_since: float | None = None
        self._is_loaded = False
        self._had_predecessor = True
        self._stored: StoredValue = StoredValue()

    @property
    def is_listed(self) -> bool:
        """Return whether the listing contains this daemon."""
        return self._listed_since is not None

    def had_predecessor(self) -> bool:
        """Return whether another process may have run on this instance lately.

        Its registration stays for some seconds after its end.
        """
        return self._had_predecessor

    def has_discovered_peers(self) -> bool:
        """Return whether this daemon has had time to receive the others' states."""
        now = self._clock.monotonic()
        if now - self._started >= MAX_DISCOVERY_SECONDS:
            return True
        since = self._listed_since
        return since is not None and now - since >= DISCOVERY_SECONDS

    def mark_listed(self) -> None:
        """Record that all registrations were read."""
        if not self._is_loaded and self._stored.value is None:
            self._had_predecessor = False
        self._is_loaded = True

    def apply(self, daemon: str, value: bytes | None, revision: Revision) -> None:
        """Apply a daemon's registration, or its removal."""
        if daemon == self._daemon:
            self._apply_own(value, revision)
        if value is None:
            self._peers.register(daemon, None)
            logger.bind(peer=daemon).info('daemon no longer listed')
            return
        try:
            registration = decode_registration(value)
        except ValueError as error:
            logger.bind(peer=daemon, error=str(error)).warning(
                'registration not readable'
            )
            return
        self._peers.register(daemon, registration.address, registration.failure_domain)
        self._peers.set_link_rate(daemon, registration.link_mbps)
        logger.bind(peer=daemon).info('daemon listed')

    def mark_missing(self, daemon: str) -> None:
        """Record that the store lacks a registration that is kept for the moment.

        Peers keep it too, until shortly after the store's return: by then this daemon
        has written its own again.
        """
        if daemon == self._daemon:
            self._stored = StoredValue()

    def _apply_own(self, value: bytes | None, revision: Revision) -> None:
        self._stored = StoredValue(
            value, ABSENT if value is None else revision, is_seen=True
        )
        if value == self._value and self._listed_since is None:
            self._listed_since = self._clock.monotonic()

    async def run(self) -> None:
        """Write the registration whenever the stored value differs, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            if not self._is_loaded or self._is_registered():
                continue
            try:
                await self._register()
            except PlatformError as error:
                self._health.record_failure(error)
                await asyncio.sleep(RETRY_SECONDS)

    def _is_registered(self) -> bool:
        """Return whether the store has the registration.

        The view tells if a restore has lost it, but not if it never saw it.
        """
        stored = self._stored
        if not stored.is_seen and stored.revision < self._eras.floor:
            self._stored = StoredValue()
        return self._stored.value == self._value

    async def _register(self) -> None:
        key = f'{DAEMONS_PREFIX}{self._daemon}'
        put = Put(key, self._value, self._stored.revision)
        result = await self._health.track(self._store.put([put]))
        if isinstance(result, Conflict):
            current = result.current
            self._stored = StoredValue(
                current.value if current else None,
                current.revision if current else ABSENT,
            )
            return
        self._stored = StoredValue(self._value, result.revision)
        logger.bind(revision=result.revision).info('registered')


@immutable
class StoredValue:
    """The last known value of a key; ``None`` at revision 0 if there is none.

    :param is_seen: whether the view of the store has told it.
    """

    value: bytes | None = None
    revision: Revision = ABSENT
    is_seen: bool = False


class RegistrationSweeper:
    """Deletes registrations of unresponsive daemons while this daemon leads."""

    def __init__(
        self,
        store: AsyncStore,
        peers: PeerRegistry,
        lease: LeaderLease,
        health: StoreHealth,
        clock: Clock,
    ) -> None:
        """Create a sweeper that has heard from no daemon."""
        self._store = store
        self._peers = peers
        self._lease = lease
        self._health = health
        self._clock = clock
        self._last_heard: dict[str, float] = {}

    async def run(self) -> None:
        """Check for unresponsive daemons until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            if self._lease.current_leadership() is None:
                self._last_heard.clear()
                continue
            gone = self._find_gone()
            if not gone or not self._health.is_settled():
                continue
            try:
                await self._delete(gone)
            except PlatformError as error:
                self._health.record_failure(error)
                await asyncio.sleep(RETRY_SECONDS)

    def _find_gone(self) -> list[str]:
        """Return the daemons that have been unresponsive for long.

        A leader that hears from less than half of all daemons may itself be cut off;
        the others must not lose their shares of customers' limits to its side at once.
        """
        now = self._clock.monotonic()
        listed = self._peers.listed()
        responsive = self._peers.responsive_states()
        known = self._last_heard
        self._last_heard = {
            daemon: now if daemon in responsive else known.get(daemon, now)
            for daemon in listed
            if daemon != self._peers.own
        }
        gone = self._find_unresponsive(now - GONE_SECONDS)
        if 2 * len(gone) < len(listed):
            return gone
        return self._find_unresponsive(now - MAJORITY_GONE_SECONDS)

    def _find_unresponsive(self, since: float) -> list[str]:
        return [
            daemon for daemon, heard_at in self._last_heard.items() if heard_at <= since
        ]

    async def _delete(self, gone: list[str]) -> None:
        keys = [f'{DAEMONS_PREFIX}{daemon}' for daemon in gone[:MAX_DELETES]]
        await self._health.track(self._store.put([], deletes=keys))
        for daemon in gone[:MAX_DELETES]:
            # A live daemon registers again when it sees the deletion. If a daemon is
            # still listed, its timeout starts over.
            self._last_heard.pop(daemon)
        logger.bind(peers=gone[:MAX_DELETES]).info('registrations deleted')
