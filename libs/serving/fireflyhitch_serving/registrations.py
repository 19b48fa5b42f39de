"""What a daemon's registration in the store tells the others, and who keeps it there.

Registrations bear no lease: renewing them would be most of the calls that daemons make.
One stands until the leader has not heard its daemon for some seconds, and a process
that starts again at the same place finds its own.
"""

import asyncio

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import ABSENT, FailureDomainId, Revision
from fireflyhitch_model.records import immutable
from fireflyhitch_platform.keyvalue import Conflict
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.leases import FIREFLYHITCH_PREFIX, LeaderLease
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.store import AsyncStore, Put
from fireflyhitch_serving.store_health import StoreHealth

DAEMONS_PREFIX = f'{FIREFLYHITCH_PREFIX}daemons/'
LOOK_SECONDS = 0.2
RETRY_SECONDS = 1.0
# News of those that were listed before this daemon was have come by then.
MEET_SECONDS = 0.4
# Old reads may not show the own registration for seconds; by then there is no use in
# waiting for it.
LONGEST_MEET_SECONDS = 3.0
# A daemon that has ended, or is cut off, counts until then when limits are shared.
GONE_SECONDS = 5.0
# The same where most are silent: this daemon may be the one that is cut off, or they
# have ended for good.
MOST_GONE_SECONDS = 12.0
# Keys that one write may delete.
MOST_DELETED = 30


@immutable
class Registration:
    """A daemon as the store lists it.

    :param address: where it takes the others' messages.
    :param link_mbps: what its instance's link carries; 0 if that is not known.
    """

    address: Address
    failure_domain: FailureDomainId
    link_mbps: float = 0

    def render(self) -> bytes:
        """Return the registration as it stands in the store."""
        words = (str(self.address), self.failure_domain, f'{self.link_mbps:g}')
        return ' '.join(words).encode()


def read_registration(value: bytes) -> Registration:
    """Read a registration; one of another version may not tell the link.

    :raises ValueError: if it is none.
    """
    address, domain, *more = value.decode().split(' ')
    link_mbps = float(more[0]) if more else 0
    return Registration(Address.parse(address), FailureDomainId(domain), link_mbps)


class RegistrationManager:
    """Keeps this daemon listed, and takes in who else is."""

    def __init__(
        self,
        store: AsyncStore,
        peers: PeerRegistry,
        daemon: str,
        registration: Registration,
        health: StoreHealth,
        clock: Clock,
    ) -> None:
        """Make a keeper of a registration that may not be there yet."""
        self._store = store
        self._peers = peers
        self._daemon = daemon
        self._value = registration.render()
        self._health = health
        self._clock = clock
        self._started = clock.monotonic()
        self._listed_since: float | None = None
        self._is_read = False
        self._standing: KeyStanding = KeyStanding()

    @property
    def is_listed(self) -> bool:
        """Tell whether what was read of the store shows this daemon."""
        return self._listed_since is not None

    def has_discovered_peers(self) -> bool:
        """Tell whether this daemon has had time to hear the others."""
        now = self._clock.monotonic()
        if now - self._started >= LONGEST_MEET_SECONDS:
            return True
        since = self._listed_since
        return since is not None and now - since >= MEET_SECONDS

    def note_listed(self) -> None:
        """Note that all registrations were read."""
        self._is_read = True

    def take(self, daemon: str, value: bytes | None, revision: Revision) -> None:
        """Take in a daemon's registration, or that it is gone."""
        if daemon == self._daemon:
            self._take_own(value, revision)
        if value is None:
            self._peers.register(daemon, None)
            logger.bind(peer=daemon).info('daemon no longer listed')
            return
        try:
            told = read_registration(value)
        except ValueError as error:
            logger.bind(peer=daemon, error=str(error)).warning(
                'registration not readable'
            )
            return
        self._peers.register(daemon, told.address, told.failure_domain)
        self._peers.set_link_rate(daemon, told.link_mbps)
        logger.bind(peer=daemon).info('daemon listed')

    def _take_own(self, value: bytes | None, revision: Revision) -> None:
        self._standing = KeyStanding(value, ABSENT if value is None else revision)
        if value == self._value and self._listed_since is None:
            self._listed_since = self._clock.monotonic()

    async def run(self) -> None:
        """Register whenever the registration does not stand, until cancelled."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            if not self._is_read or self._standing.value == self._value:
                continue
            try:
                await self._register()
            except PlatformError as error:
                self._health.record_failure(error)
                await asyncio.sleep(RETRY_SECONDS)

    async def _register(self) -> None:
        key = f'{DAEMONS_PREFIX}{self._daemon}'
        put = Put(key, self._value, self._standing.revision)
        result = await self._health.track(self._store.put([put]))
        if isinstance(result, Conflict):
            current = result.current
            self._standing = KeyStanding(
                current.value if current else None,
                current.revision if current else ABSENT,
            )
            return
        self._standing = KeyStanding(self._value, result.revision)
        logger.bind(revision=result.revision).info('registered')


@immutable
class KeyStanding:
    """What stands under a key, as far as is known; nothing at revision 0."""

    value: bytes | None = None
    revision: Revision = ABSENT


class RegistrationSweeper:
    """Deletes registrations of daemons that are not heard, while this one leads."""

    def __init__(
        self,
        store: AsyncStore,
        peers: PeerRegistry,
        lease: LeaderLease,
        health: StoreHealth,
        clock: Clock,
    ) -> None:
        """Make a sweeper that has heard nobody."""
        self._store = store
        self._peers = peers
        self._lease = lease
        self._health = health
        self._clock = clock
        self._last_heard: dict[str, float] = {}

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
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
        """Return who was not heard for long.

        A leader that hears less than half of all may be cut off itself: the others
        must not lose their parts of customers' limits to its side at once.
        """
        now = self._clock.monotonic()
        listed = self._peers.listed()
        heard = self._peers.heard()
        known = self._last_heard
        self._last_heard = {
            daemon: now if daemon in heard else known.get(daemon, now)
            for daemon in listed
            if daemon != self._peers.own
        }
        gone = self._find_silent(now - GONE_SECONDS)
        if 2 * len(gone) < len(listed):
            return gone
        return self._find_silent(now - MOST_GONE_SECONDS)

    def _find_silent(self, since: float) -> list[str]:
        return [daemon for daemon, at in self._last_heard.items() if at <= since]

    async def _delete(self, gone: list[str]) -> None:
        keys = [f'{DAEMONS_PREFIX}{daemon}' for daemon in gone[:MOST_DELETED]]
        await self._health.track(self._store.put([], deletes=keys))
        for daemon in gone[:MOST_DELETED]:
            # Whoever is not gone is back when it sees so; this counts anew till then.
            self._last_heard.pop(daemon)
        logger.bind(peers=gone[:MOST_DELETED]).info('registrations deleted')
