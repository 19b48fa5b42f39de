"""Which daemons there are, from their registrations in the store.

The list may be some seconds old, as serializable reads are, which cost a tenth: a
daemon that starts sends its news to all that it lists, and these learn of it so.
"""

import asyncio
import random

from loguru import logger

from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import FailureDomainId
from fireflyhitch_platform.keyvalue import Listing
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.leases import DAEMONS_PREFIX, DaemonLease
from fireflyhitch_serving.peers import PeerBook
from fireflyhitch_serving.registrations import read_registration
from fireflyhitch_serving.store import AsyncStore
from fireflyhitch_serving.store_health import StoreHealth

# A daemon that has ended is in the list until its lease lapses, some 4 s.
READ_SECONDS = 2.0
# With more daemons than this each reads less often, so that they read as often together:
# those that start tell all others of themselves, and those that ended are not heard.
MOST_AT_FULL_PACE = 15
# While this daemon is not in the list it looks more often.
FIRST_READ_SECONDS = 0.3
SPREAD = 0.3


class PeerRoll:
    """Reads the registrations again and again."""

    def __init__(
        self,
        store: AsyncStore,
        peers: PeerBook,
        lease: DaemonLease,
        health: StoreHealth,
        draw: random.Random,
    ) -> None:
        """Make a roll that was not read yet."""
        self._store = store
        self._peers = peers
        self._lease = lease
        self._health = health
        self._draw = draw
        self._has_read = False

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            try:
                # The first read is a new one: a daemon that knows no peers would
                # take customers' whole limits for its own.
                listing = await self._store.list(DAEMONS_PREFIX, stale=self._has_read)
            except PlatformError as error:
                self._health.note_failure(error)
            else:
                self._has_read = True
                self._take(listing)
            wait = self._find_wait()
            await asyncio.sleep(wait * self._draw.uniform(1 - SPREAD, 1 + SPREAD))

    def _find_wait(self) -> float:
        if not self._lease.is_registered:
            return FIRST_READ_SECONDS
        return READ_SECONDS * max(1, len(self._peers.listed()) / MOST_AT_FULL_PACE)

    def _take(self, listing: Listing) -> None:
        listed: dict[str, Address] = {}
        domains: dict[str, FailureDomainId] = {}
        for item in listing.items:
            daemon = item.key.removeprefix(DAEMONS_PREFIX)
            try:
                told = read_registration(item.value)
            except ValueError as error:
                logger.bind(peer=daemon, error=str(error)).warning(
                    'registration not readable'
                )
                continue
            listed[daemon] = told.address
            domains[daemon] = told.failure_domain
            self._peers.note_link(daemon, told.link_mbps)
            self._lease.take_registration(item)
        known = self._peers.listed()
        if not self._health.is_settled():
            # Registrations lapse in an outage too; daemons that live write them again.
            listed = {**known, **listed}
        for daemon in known.keys() - listed.keys():
            self._peers.register(daemon, None)
            logger.bind(peer=daemon).info('daemon no longer listed')
        for daemon, where in listed.items():
            if known.get(daemon) != where:
                self._peers.register(daemon, where, domains.get(daemon))
                logger.bind(peer=daemon).info('daemon listed')
