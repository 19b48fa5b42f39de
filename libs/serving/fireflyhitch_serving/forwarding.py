"""Forwards requests to other daemons while this one reaches no backend server.

The request goes over HTTP/1.1 to the port that the other daemon has for its peers. That
daemon never forwards it again, so a request passes at most two daemons.
"""

import random
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from dataclasses import replace
from functools import partial
from http import HTTPStatus

from cachetools import LRUCache
from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.records import immutable
from fireflyhitch_model.states import Outcome
from fireflyhitch_serving.attempts import Attempt, AttemptCallbacks, AttemptTarget
from fireflyhitch_serving.connection_pools import ConnectionPool
from fireflyhitch_serving.connections import Address, ResponseHead
from fireflyhitch_serving.edge import AttemptContext, Edge
from fireflyhitch_serving.exchanges import AttemptFailure, Exchange
from fireflyhitch_serving.forwarded_requests import (
    ForwardedRequest,
    add_header,
    read_sends,
    states_sends,
)
from fireflyhitch_serving.messages import ResponseInfo
from fireflyhitch_serving.reachability import ServerReachability
from fireflyhitch_serving.response_buffers import ResponseBuffers

# Peers that one request is sent to, if the first ones turn it away.
MAX_PEERS = 3
MAX_POOLS = 64
# Of a peer's own refusal, if it could not read the request.
CLIENT_ERRORS = range(HTTPStatus.BAD_REQUEST, HTTPStatus.INTERNAL_SERVER_ERROR)


@immutable
class Peer:
    """Another daemon, at the address that it has for its peers."""

    name: str
    address: Address


@immutable
class ForwardingDependencies:
    """The components that forwarding uses.

    :param daemon: this daemon.
    :param find_peers: returns the other daemons that reach servers.
    :param prefer: returns the daemons whose links bear additional traffic.
    """

    daemon: str
    clock: Clock
    edge: Edge
    rng: random.Random
    reachability: ServerReachability
    find_peers: Callable[[], Mapping[str, Address]]
    prefer: Callable[[Collection[str]], list[str]]
    buffers: ResponseBuffers


class Forwarder:
    """Chooses a peer for a request, and relays the peer's response."""

    def __init__(self, dependencies: ForwardingDependencies) -> None:
        """Create a forwarder that has forwarded nothing."""
        self._deps = dependencies
        self._pools: LRUCache[Address, ConnectionPool] = LRUCache(MAX_POOLS)
        self._in_flight: Counter[str] = Counter()

    def find_peer(self, exchange: Exchange) -> Peer | None:
        """Return a peer for a request that this daemon cannot send to a server.

        :returns: ``None`` while servers are reached, for a request that has been
            forwarded to this daemon, and if no further peer reaches servers.
        """
        deps = self._deps
        if not deps.reachability.lost or exchange.forwarded_by is not None:
            return None
        if len(exchange.tried_peers) >= MAX_PEERS:
            return None
        addresses = deps.find_peers()
        names = sorted(addresses.keys() - exchange.tried_peers)
        name = choose_peer(deps.prefer(names) or names, self._in_flight, deps.rng)
        return None if name is None else Peer(name, addresses[name])

    async def run(self, exchange: Exchange, peer: Peer) -> AttemptFailure | None:
        """Send a request to a peer and forward the response.

        :returns: ``None`` if the caller has the complete response.
        """
        clock = self._deps.clock
        exchange.tried_peers.add(peer.name)
        exchange.attempt_started = clock.monotonic()
        exchange.first_event_at = None
        attempt = Attempt(
            exchange,
            self._make_target(exchange, peer),
            clock,
            AttemptCallbacks(
                on_progress=partial(self._record_progress, exchange),
                on_head=_ignore_head,
                reserve_retry=_allow_no_retry,
            ),
            self._deps.buffers,
        )
        self._in_flight[peer.name] += 1
        outcome = Outcome.UNKNOWN
        try:
            failure = await attempt.run(None)
            outcome = failure.outcome if failure else Outcome.RAN
        finally:
            self._in_flight[peer.name] -= 1
            if attempt.sent and outcome is not Outcome.NOT_RUN:
                # The peer may have used all attempts.
                exchange.runs = exchange.route.attempts
        self._log(exchange, peer, failure)
        return failure

    def _make_target(self, exchange: Exchange, peer: Peer) -> AttemptTarget:
        pool = self._pools.get(peer.address)
        if pool is None:
            pool = ConnectionPool()
            self._pools[peer.address] = pool
        return AttemptTarget(
            peer.name,
            peer.address,
            pool,
            _is_always_available,
            partial(self._render_request, exchange),
            partial(self._read_head, exchange),
        )

    def _render_request(self, exchange: Exchange, time_left: float) -> bytes:
        route = exchange.route
        forwarded = ForwardedRequest(
            self._deps.daemon,
            exchange.service,
            replace(route, attempts=max(route.attempts - exchange.runs, 1)),
            exchange.customer,
            exchange.usage_counted,
            exchange.sends,
        )
        context = AttemptContext(None, None, time_left, None, exchange.events.last_id)
        request = add_header(exchange.request, forwarded)
        return self._deps.edge.render_request(request, context)

    def _read_head(self, exchange: Exchange, head: ResponseHead) -> ResponseInfo:
        info = self._deps.edge.parse_response_head(head)
        if info.signed or not (info.not_run or is_refusal(head)):
            return info
        exchange.record_peer_sends(read_sends(head.headers))
        return replace(info, not_run=True)

    def _record_progress(self, exchange: Exchange) -> None:
        if exchange.first_event_at is None:
            exchange.first_event_at = self._deps.clock.monotonic()

    def _log(
        self, exchange: Exchange, peer: Peer, failure: AttemptFailure | None
    ) -> None:
        now = self._deps.clock.monotonic()
        logger.bind(
            request_id=exchange.info.request_id,
            route=exchange.route.name,
            peer=peer.name,
            seconds=round(now - exchange.attempt_started, 3),
            outcome=(failure.outcome if failure else Outcome.RAN).value,
            detail=failure.detail if failure else None,
        ).info('request forwarded')


def is_refusal(head: ResponseHead) -> bool:
    """Tell whether an unsigned response of a peer is its own refusal of a request.

    A peer also forwards failures of servers that have run the request, with or without
    their signature. Of statuses below 500 it forwards only signed ones.
    """
    return states_sends(head.headers) or head.status in CLIENT_ERRORS


def choose_peer(
    names: list[str], in_flight: Mapping[str, int], rng: random.Random
) -> str | None:
    """Return the less busy of two random peers; ``None`` if there is none.

    What other daemons forward is unknown here. If all chose the peer that looks least
    busy, the same few would get the requests of all partitioned daemons.
    """
    sampled = rng.sample(names, min(2, len(names)))
    return min(sampled, key=lambda name: in_flight.get(name, 0), default=None)


def _ignore_head(info: ResponseInfo) -> None:
    """Ignore a head: the peer has learned from it."""


def _allow_no_retry() -> bool:
    return False


def _is_always_available() -> bool:
    return True
