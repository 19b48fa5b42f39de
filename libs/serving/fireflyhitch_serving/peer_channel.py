"""Sends a daemon's news to those that are told, and takes in theirs.

Each message is a CBOR datagram with the sender's whole present state, so that one
that is lost, late or repeated does no harm, and there is no connection that could go
silent. A ``websockets`` link, as the product's own membership uses, would need
keep-alives and an order of messages for what is true for a second only.
"""

import asyncio
import random
from collections.abc import Callable
from typing import cast

from loguru import logger

from fireflyhitch_model.records import immutable
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.hubs import HubTracker
from fireflyhitch_serving.peer_state import PeerState, read_news, render_news
from fireflyhitch_serving.peers import (
    HUB_SECONDS,
    MOST_DATAGRAM_BYTES,
    MOST_FAR_PER_SECOND,
    SEND_SECONDS,
    PeerRegistry,
)
from fireflyhitch_serving.stalls import StallDetector
from fireflyhitch_serving.traffic import ControlTraffic

# Where all tell each other, so that a daemon sends and gets a bounded number of messages.
MOST_NEAR_PER_SECOND = 40.0
# A leader needs every daemon's counts; it is told them this often.
LEADER_SECONDS = 0.5
# Messages go out at moments that differ by this part, so that they do not beat.
SPREAD = 0.2
# A turn that comes a little early is taken, or every other one would be.
NEARLY = 0.7


@immutable
class PeerHandlers:
    """Who makes this daemon's news, and takes in what comes.

    :param take: told news that are new.
    :param take_other: takes a datagram of another kind, and tells whether it was.
    :param find_leader: returns the name of the daemon that leads.
    """

    make_own: Callable[[], PeerState]
    take: Callable[[PeerState], None]
    take_other: Callable[[bytes], bool]
    find_leader: Callable[[], str | None]


class PeerChannel(asyncio.DatagramProtocol):
    """Sends this daemon's news to all and takes in theirs."""

    def __init__(
        self,
        book: PeerRegistry,
        hubs: HubTracker,
        handlers: PeerHandlers,
        stalls: StallDetector,
        rng: random.Random,
        traffic: ControlTraffic,
    ) -> None:
        """Make a channel; ``run`` sends until cancelled."""
        self._book = book
        self._hubs = hubs
        self._handlers = handlers
        self._stalls = stalls
        self._rng = rng
        self._traffic = traffic
        self._transport: asyncio.DatagramTransport | None = None
        self._far_due = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # The event loop's own class does not derive from the abstract one.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a message in."""
        self._traffic.note_received(len(data))
        if self._stalls.is_discarding():
            return
        if self._handlers.take_other(data):
            return
        news = read_news(data)
        if news is None:
            logger.bind(peer=addr[0]).warning('unreadable datagram')
            return
        if self._book.take(news):
            self._book.note_sender(news.daemon, Address(*addr))
            self._handlers.take(news)

    def error_received(self, exc: Exception) -> None:
        """Pass over a peer that is not there; its silence tells."""

    async def run(self) -> None:
        """Send this daemon's news until cancelled."""
        while True:
            self._stalls.tick()
            if self._book.uses_summaries():
                seconds = HUB_SECONDS
                self.send(self._pick_told())
            else:
                near, far = self._book.part_by_domain()
                seconds = max(SEND_SECONDS, len(near) / MOST_NEAR_PER_SECOND)
                self.send([*near, *self._pick_far(far)])
            await asyncio.sleep(seconds * self._rng.uniform(1 - SPREAD, 1 + SPREAD))

    def _pick_told(self) -> list[Address]:
        """Return the hub and its successor, and now and again the leader."""
        told = self._hubs.find_told()
        leader = self._handlers.find_leader()
        now = self._book.monotonic()
        if leader is not None and now >= self._far_due:
            self._far_due = now + LEADER_SECONDS * NEARLY
            if leader not in told and leader != self._book.own:
                told.append(leader)
        found = (self._book.find_address(daemon) for daemon in told)
        return [address for address in found if address is not None]

    def _pick_far(self, far: list[Address]) -> list[Address]:
        """Return the far daemons that are told now."""
        now = self._book.monotonic()
        if now < self._far_due:
            return []
        wait = max(SEND_SECONDS, len(far) / MOST_FAR_PER_SECOND)
        self._far_due = now + wait * NEARLY
        return far

    def send_to(self, data: bytes, daemons: list[str]) -> None:
        """Send a datagram to daemons by name."""
        for daemon in daemons:
            address = self._book.find_address(daemon)
            if address is not None:
                self._send_once(data, address)

    def send(self, addresses: list[Address]) -> None:
        """Send this daemon's news once."""
        if not addresses or self._transport is None:
            return
        news = self._handlers.make_own()
        self._book.own_news = news
        data = render_news(news)
        if len(data) > MOST_DATAGRAM_BYTES:
            logger.bind(size=len(data)).error('news too large for a datagram')
            return
        for address in addresses:
            self._send_once(data, address)

    def _send_once(self, data: bytes, address: Address) -> None:
        if self._transport is not None:
            self._traffic.record_sent(len(data))
            self._transport.sendto(data, (address.host, address.port))
