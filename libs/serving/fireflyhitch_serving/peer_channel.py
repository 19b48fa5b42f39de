"""Sends this daemon's state to peers, and receives theirs.

Each message is a CBOR datagram with the sender's complete current state, so a lost,
late or repeated one does no harm, and there is no connection that could go silent. A
``websockets`` link, as the product's own membership uses, would need keep-alives and
ordering for state that is valid for only a second.
"""

import asyncio
import random
from collections.abc import Callable
from errno import EMSGSIZE
from typing import cast

from loguru import logger

from fireflyhitch_model.records import immutable
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.hubs import HubTracker
from fireflyhitch_serving.peer_state import PeerState, decode_state, encode_state
from fireflyhitch_serving.peers import (
    HUB_INTERVAL_SECONDS,
    MAX_DATAGRAM_BYTES,
    MAX_REMOTE_PER_SECOND,
    SEND_SECONDS,
    PeerRegistry,
)
from fireflyhitch_serving.stalls import StallDetector
from fireflyhitch_serving.traffic import ControlTraffic

# Within a failure domain all daemons send to each other; this bounds the messages that
# each sends and receives.
MAX_LOCAL_PER_SECOND = 40.0
# The leader needs every daemon's counts and receives them at this interval.
LEADER_INTERVAL_SECONDS = 0.5
# Varies the interval between messages by this fraction, so that senders don't
# synchronize.
JITTER = 0.2
# Accepts a round that comes slightly early; otherwise every other round would be
# skipped.
EARLY_FRACTION = 0.7


@immutable
class PeerHandlers:
    """Callbacks that build this daemon's state and receive messages.

    :param receive: called with each new state.
    :param receive_other: called with each datagram first; handles those that hold no
        state, and returns whether it did.
    :param find_leader: returns the name of the leading daemon.
    """

    build_own: Callable[[], PeerState]
    receive: Callable[[PeerState], None]
    receive_other: Callable[[bytes], bool]
    find_leader: Callable[[], str | None]


class PeerChannel(asyncio.DatagramProtocol):
    """Sends this daemon's state to peers and receives theirs."""

    def __init__(
        self,
        peers: PeerRegistry,
        hubs: HubTracker,
        handlers: PeerHandlers,
        stalls: StallDetector,
        rng: random.Random,
        traffic: ControlTraffic,
    ) -> None:
        """Create a channel; ``run`` sends until cancelled."""
        self._peers = peers
        self._hubs = hubs
        self._handlers = handlers
        self._stalls = stalls
        self._rng = rng
        self._traffic = traffic
        self._transport: asyncio.DatagramTransport | None = None
        self._remote_due = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # The event loop's own class does not derive from the abstract one.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Receive a message."""
        self._traffic.count_received(len(data))
        if self._stalls.is_discarding():
            return
        try:
            self._receive(data, addr)
        except Exception:
            # What a peer of another version sends may decode and be of no use here.
            logger.bind(peer=addr[0]).exception('message not applied')

    def _receive(self, data: bytes, addr: tuple[str, int]) -> None:
        if self._handlers.receive_other(data):
            return
        state = decode_state(data)
        if state is None:
            logger.bind(peer=addr[0]).warning('unreadable datagram')
            return
        if self._peers.receive(state):
            self._peers.add_sender(state.daemon, Address(*addr))
            self._handlers.receive(state)

    def error_received(self, exc: Exception) -> None:
        """Log a datagram that cannot be sent.

        An unreachable peer is ignored; it will be found unresponsive.
        """
        if isinstance(exc, OSError) and exc.errno == EMSGSIZE:
            logger.bind(error=repr(exc)).error('datagram too large')

    async def run(self) -> None:
        """Send this daemon's state until cancelled."""
        while True:
            self._stalls.tick()
            if self._peers.uses_summaries():
                seconds = HUB_INTERVAL_SECONDS
                self.send(self._pick_recipients())
            else:
                local, remote = self._peers.split_by_domain()
                seconds = max(SEND_SECONDS, len(local) / MAX_LOCAL_PER_SECOND)
                self.send([*local, *self._pick_remote(remote)])
            await asyncio.sleep(seconds * self._rng.uniform(1 - JITTER, 1 + JITTER))

    def _pick_recipients(self) -> list[Address]:
        """Return the hub and its successor, and at intervals the leader."""
        recipients = self._hubs.find_recipients()
        leader = self._handlers.find_leader()
        now = self._peers.monotonic()
        if leader is not None and now >= self._remote_due:
            self._remote_due = now + LEADER_INTERVAL_SECONDS * EARLY_FRACTION
            if leader not in recipients and leader != self._peers.own:
                recipients.append(leader)
        found = (self._peers.find_address(daemon) for daemon in recipients)
        return [address for address in found if address is not None]

    def _pick_remote(self, remote: list[Address]) -> list[Address]:
        """Return the other-domain daemons to send to in this round."""
        now = self._peers.monotonic()
        if now < self._remote_due:
            return []
        wait = max(SEND_SECONDS, len(remote) / MAX_REMOTE_PER_SECOND)
        self._remote_due = now + wait * EARLY_FRACTION
        return remote

    def send_to(self, data: bytes, daemons: list[str]) -> None:
        """Send a datagram to daemons by name."""
        for daemon in daemons:
            address = self._peers.find_address(daemon)
            if address is not None:
                self._send_once(data, address)

    def send(self, addresses: list[Address]) -> None:
        """Send this daemon's state once."""
        if not addresses or self._transport is None:
            return
        state = self._handlers.build_own()
        self._peers.own_state = state
        data = encode_state(state)
        if len(data) > MAX_DATAGRAM_BYTES:
            logger.bind(size=len(data)).error('state too large for a datagram')
            return
        for address in addresses:
            self._send_once(data, address)

    def _send_once(self, data: bytes, address: Address) -> None:
        if self._transport is not None:
            self._traffic.count_sent(len(data))
            self._transport.sendto(data, (address.host, address.port))
