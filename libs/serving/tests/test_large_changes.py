"""Tests that changes too large for a datagram reach daemons without the store."""

import asyncio
import random
from collections import Counter

import pytest
from daemons_scene import SERVERS, Daemons, is_change_message
from virtual_time import run_virtual

from fireflyhitch_model.clock import SystemClock
from fireflyhitch_model.eras import UNKNOWN_ERA
from fireflyhitch_model.ids import FailureDomainId, Revision
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_platform.keyvalue import KeyValue, Listing
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.errors import ServerError
from fireflyhitch_serving.peer_listings import (
    PeerListings,
    decode_listing,
    encode_listing,
)
from fireflyhitch_serving.peers import MAX_DATAGRAM_BYTES, PeerRegistry
from fireflyhitch_serving.relays import MAX_RESENT_BYTES

# A change of the configuration is due everywhere within this.
CONFIGURATION_SECONDS = 3.0
# A configuration of some thousand routes, after compression.
LARGE_BYTES = 300_000


@pytest.mark.parametrize('count', [5, 18, 40])
class TestLargeChanges:
    def test_daemons_that_the_store_turns_away_get_a_large_change(
        self, count: int
    ) -> None:
        # The store refused a third of the daemons. The configuration had become too
        # large for a datagram, and they kept an old one for as long as that lasted.
        lacking: list[str] = []

        async def script() -> None:
            cluster = Daemons(1, gent=count, aalst=count)
            await cluster.start_all()
            names = sorted(cluster.daemons)
            cluster.store.unresponsive_to.update(names[::3])
            await asyncio.sleep(2)
            value = random.Random(1).randbytes(LARGE_BYTES)  # noqa: S311
            cluster.store.put(f'{SERVERS}large', value)
            await asyncio.sleep(CONFIGURATION_SECONDS)
            lacking.extend(
                name
                for name, daemon in cluster.daemons.items()
                if daemon.entries.get(f'{SERVERS}large') != value
            )

        run_virtual(script())
        assert not lacking


class TestEncoding:
    def test_listing_is_decoded_as_it_was(self) -> None:
        item = KeyValue('op/config', b'{"version": 4}', Revision(7), Revision(7))
        listing = Listing(Revision(9), (item,))
        assert decode_listing(encode_listing(listing), UNKNOWN_ERA) == listing


class TestChoice:
    def test_another_peer_is_read_if_the_first_lacks_the_change(self) -> None:
        # A watcher that the store had just turned away gave its old keys, and the
        # reader waited for the next round.
        asked: list[Address] = []

        async def read(address: Address, prefix: str) -> Listing:
            asked.append(address)
            return Listing(Revision(len(asked)), ())

        listings = PeerListings(
            make_peers(),
            lambda: ['d1'],
            random.Random(1),
            read,  # noqa: S311
        )
        found = asyncio.run(listings.fetch('op/', Revision(2)))
        assert found is not None
        assert found.revision == 2
        assert asked[0] == Address('127.0.0.1', 1)

    def test_unreachable_peers_yield_nothing(self) -> None:
        async def read(address: Address, prefix: str) -> Listing:
            raise ServerError(
                'closed', step=Step.CONNECT, peer='d1', outcome=Outcome.NOT_RUN
            )

        listings = PeerListings(
            make_peers(),
            lambda: ['d1'],
            random.Random(1),
            read,  # noqa: S311
        )
        assert asyncio.run(listings.fetch('op/', Revision(2))) is None


def make_peers() -> PeerRegistry:
    """Return a registry of three daemons besides this one."""
    peers = PeerRegistry('d0', FailureDomainId('gent'), SystemClock(), float)
    for number in (1, 2, 3):
        peers.register(f'd{number}', Address('127.0.0.1', number))
    return peers


class TestLinks:
    def test_a_large_change_is_broadcast_once(self) -> None:
        # Each watcher sent it to all: slow links were full for a second at each change
        # of the configuration, and callers' requests waited behind it.
        sent: Counter[str] = Counter()

        async def script() -> None:
            cluster = Daemons(1, gent=18, aalst=18)
            await cluster.start_all()

            def count(sender: str, to: str, data: bytes) -> bool:
                sent[to] += is_change_message(data) and len(data) > MAX_RESENT_BYTES
                return False

            cluster.net.should_drop = count
            value = random.Random(1).randbytes(MAX_DATAGRAM_BYTES // 2)  # noqa: S311
            cluster.store.put(f'{SERVERS}large', value)
            await asyncio.sleep(CONFIGURATION_SECONDS)

        run_virtual(script())
        assert max(sent.values()) == 1
