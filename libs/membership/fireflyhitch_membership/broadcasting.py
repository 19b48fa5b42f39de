"""Broadcasts to all daemons of a scope along trees chosen by hash."""

import itertools
from collections.abc import Callable

import cachetools

from fireflyhitch_membership.exchange import Exchange
from fireflyhitch_membership.members import MemberTable
from fireflyhitch_membership.messages import Relay
from fireflyhitch_membership.scope import choose_first_hops, choose_next_hops
from fireflyhitch_membership.wire import encode_body, read_message
from fireflyhitch_model.ids import DaemonId
from fireflyhitch_model.peers import Daemon, PeerMessage, Scope

# Duplicates arrive within seconds; at 100 messages a second this covers a minute.
MAX_REMEMBERED_MESSAGES = 6000

Deliver = Callable[[DaemonId, PeerMessage], None]


class Broadcaster:
    """Broadcasts messages and forwards those of other daemons, each once.

    A message enters another failure domain at both of its gateways, so that one of them
    may fail. A copy lost further down the tree is not resent; state that must arrive is
    also compared by digests.
    """

    def __init__(self, exchange: Exchange, members: MemberTable, epoch: int) -> None:
        self._exchange = exchange
        self._members = members
        # Starts at the epoch, so that numbers used before a restart do not recur.
        self._numbers = itertools.count(epoch)
        self._seen: cachetools.LRUCache[tuple[DaemonId, int], None] = (
            cachetools.LRUCache(MAX_REMEMBERED_MESSAGES)
        )
        exchange.handle_inline(Relay.kind, self._receive)

    def broadcast(self, message: PeerMessage, scope: Scope) -> None:
        """Send a message to all other daemons of a scope."""
        own = self._own()
        relay = Relay(
            origin=own.daemon_id,
            number=next(self._numbers),
            scope=scope,
            inner=message.kind,
            body=encode_body(message),
        )
        self._seen[(relay.origin, relay.number)] = None
        hops = choose_first_hops(_name(relay), own, self._members.live(), scope)
        self._send(relay, hops)

    def _receive(self, sender: DaemonId, relay: Relay) -> None:
        key = (relay.origin, relay.number)
        if key in self._seen:
            return
        self._seen[key] = None
        own = self._own()
        known = self._members.get(sender)
        is_entry = known is None or known.domain != own.failure_domain
        hops = choose_next_hops(
            _name(relay), own, self._members.live(), is_entry=is_entry
        )
        self._send(relay, [hop for hop in hops if hop not in {sender, relay.origin}])
        message = read_message(relay.inner, relay.body, relay.origin)
        self._exchange.dispatch(relay.origin, message)

    def _send(self, relay: Relay, hops: list[DaemonId]) -> None:
        for hop in dict.fromkeys(hops):
            self._exchange.tell(hop, relay)

    def _own(self) -> Daemon:
        return self._members.own.as_daemon()


def _name(relay: Relay) -> str:
    return f'{relay.origin}/{relay.number}'
