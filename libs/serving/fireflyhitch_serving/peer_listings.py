"""Reads all keys below a prefix from a peer, over a connection.

Changes are broadcast in datagrams, which may be lost or too large. A daemon that the
store turns away cannot read there what it has missed, and would keep an old state for as
long as that lasts; so would one that starts meanwhile, without any state.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable, Sequence
from http import HTTPStatus
from urllib.parse import parse_qs, urlencode, urlsplit

from cachetools import LRUCache
from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.eras import find_era, find_number, make_revision
from fireflyhitch_model.ids import Revision, StoreEra
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_platform.keyvalue import KeyValue, Listing
from fireflyhitch_serving.client import HttpClient, HttpResponse
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.errors import ServerError
from fireflyhitch_serving.malformed import DECODE_ERRORS
from fireflyhitch_serving.messages import CallerRequest, find_header
from fireflyhitch_serving.packing import pack, unpack
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.replies import Reply
from fireflyhitch_serving.store_eras import EraTracker

# A peer answers from memory; another one is asked sooner than a slow one answers.
READ_TIMEOUT_SECONDS = 0.6
MAX_READ_PEERS = 3
PATH = '/listing'
MAX_CLIENTS = 16
ERA_HEADER = b'listing-era'
# Below all numbers that the store gives to keys that have changed in an era.
LOWEST_NUMBER = 1

# Reads a prefix from the peer at an address; raises ``ServerError``.
ReadPeer = Callable[[Address, str], Awaitable[Listing]]
# Returns this daemon's own listing of a prefix, if it is complete.
FindListing = Callable[[str], Listing | None]


def encode_listing(listing: Listing) -> bytes:
    """Return the body of a response; the era is in a header.

    Keys that have not changed since an earlier era get the lowest number: theirs might
    be higher than that of a later change.
    """
    era = find_era(listing.revision)
    rows = [
        (
            item.key,
            item.value,
            find_number(item.revision)
            if find_era(item.revision) == era
            else LOWEST_NUMBER,
        )
        for item in listing.items
    ]
    return pack((find_number(listing.revision), rows))


def decode_listing(body: bytes, era: StoreEra) -> Listing:
    """Decode the body of a response; it is malformed if this raises.

    :param era: that the response belongs to.
    """
    number, rows = unpack(body)
    items: list[KeyValue] = []
    for key, value, at in rows:
        revision = make_revision(era, at)
        items.append(KeyValue(key, value, revision, revision))
    return Listing(make_revision(era, number), tuple(items))


class PeerReader:
    """Reads listings from peers over HTTP."""

    def __init__(self, clock: Clock, eras: EraTracker) -> None:
        """Create a reader without connections."""
        self._clock = clock
        self._eras = eras
        self._clients: LRUCache[Address, HttpClient] = LRUCache(MAX_CLIENTS)

    async def read(self, address: Address, prefix: str) -> Listing:
        """Read all keys below a prefix as one peer knows them.

        :raises ServerError: if it does not respond, or has no complete listing.
        """
        client = self._clients.get(address)
        if client is None:
            client = HttpClient(address, self._clock)
            self._clients[address] = client
        target = f'{PATH}?{urlencode({"prefix": prefix})}'.encode()
        response = await client.call(b'GET', target, timeout=READ_TIMEOUT_SECONDS)
        if response.status != HTTPStatus.OK:
            raise _make_error(address, f'status {response.status}')
        try:
            era = self._find_era(response)
            listing = decode_listing(response.body, era)
        except DECODE_ERRORS as error:
            raise _make_error(address, f'malformed listing: {error!r}') from error
        self._eras.record_revision(listing.revision, f'peer {address}')
        return listing

    def _find_era(self, response: HttpResponse) -> StoreEra:
        era = find_header(response.headers, ERA_HEADER)
        return self._eras.first if era is None else StoreEra(int(era))


def _make_error(address: Address, reason: str) -> ServerError:
    return ServerError(
        reason, step=Step.STORE_READ, peer=str(address), outcome=Outcome.RAN
    )


class PeerListings:
    """Chooses the peer to read from."""

    def __init__(
        self,
        peers: PeerRegistry,
        list_watchers: Callable[[], Sequence[str]],
        rng: random.Random,
        read: ReadPeer,
    ) -> None:
        """Create a source that reads with ``read``.

        :param list_watchers: returns the daemons of the group that watch the store.
        """
        self._peers = peers
        self._list_watchers = list_watchers
        self._rng = rng
        self._read = read

    async def fetch(self, prefix: str, wanted: Revision) -> Listing | None:
        """Read a prefix from peers, until one has a revision.

        :returns: the newest listing read; ``None`` if no peer had one.
        """
        newest: Listing | None = None
        for peer, address in self._choose():
            listing = await self._read_one(peer, address, prefix)
            if listing is None:
                continue
            if newest is None or listing.revision > newest.revision:
                newest = listing
            if newest.revision >= wanted:
                break
        return newest

    async def read_all(self, prefix: str, names: Iterable[str]) -> list[Listing]:
        """Read a prefix from all of some peers at once; some may not respond."""
        addresses = self._peers.listed()
        known = [(name, addresses[name]) for name in names if name in addresses]
        found = await asyncio.gather(
            *(self._read_one(name, address, prefix) for name, address in known)
        )
        return [listing for listing in found if listing is not None]

    async def _read_one(
        self, peer: str, address: Address, prefix: str
    ) -> Listing | None:
        log = logger.bind(peer=peer, prefix=prefix)
        try:
            listing = await self._read(address, prefix)
        except ServerError as error:
            log.bind(error=str(error)).info('peer not readable')
            return None
        log.bind(keys=len(listing.items), upto=listing.revision).info('read from peer')
        return listing

    def _choose(self) -> list[tuple[str, Address]]:
        """Return a few peers, watchers of the group first: they have changes first.

        A watcher may have lost the store without knowing yet.
        """
        addresses = self._peers.listed()
        addresses.pop(self._peers.own, None)
        watchers = [name for name in self._list_watchers() if name in addresses]
        others = sorted(addresses.keys() - watchers)
        self._rng.shuffle(watchers)
        self._rng.shuffle(others)
        chosen = [*watchers, *others][:MAX_READ_PEERS]
        return [(name, addresses[name]) for name in chosen]


async def serve_listing(
    find_listing: FindListing, request: CallerRequest, reply: Reply
) -> None:
    """Respond to a peer that reads a prefix."""
    target = urlsplit(request.target.decode('latin-1'))
    prefix = ''.join(parse_qs(target.query).get('prefix', ()))
    listing = find_listing(prefix) if target.path == PATH else None
    if listing is None:
        reply.send_response(HTTPStatus.NOT_FOUND, [], b'')
        return
    body = encode_listing(listing)
    era = b'%d' % find_era(listing.revision)
    reply.send_response(HTTPStatus.OK, [(ERA_HEADER, era)], body)
