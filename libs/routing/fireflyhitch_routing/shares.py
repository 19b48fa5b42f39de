"""Splits each customer's limit among the daemons, without a coordinator.

Each daemon broadcasts its demand every second, as a fraction of each customer's limit.
While the total demand fits, a daemon gets its demand and an equal part of the rest, so
that a customer's first call at an idle daemon is served. Otherwise the limit is split in
proportion to demand.

A daemon lowers a share as soon as it receives a report of remote demand. It raises a
share only two intervals later, and only for local demand that it has already reported.
If messages are delivered within an interval, the shares never sum to more than the
limit; a state machine in the tests checks this.

For each daemon that has sent no report for ``PEER_TIMEOUT_SECONDS``, an equal part is
reserved, and a daemon that receives no reports falls back to its equal part. Until a
network partition is detected, each side may grow into the other's share: at most one
extra limit per side, for ``PEER_TIMEOUT_SECONDS``.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import ClassVar

from fireflyhitch_model.ids import CustomerId, DaemonId
from fireflyhitch_model.peers import PeerMessage

INTERVAL_SECONDS = 1.0
PEER_TIMEOUT_SECONDS = 3.0
RAISE_INTERVALS = 2
# After this long without a report nothing is reserved for a daemon any more.
PEER_EXPIRY_SECONDS = 300.0
# At least this fraction of the limit is always split equally.
MIN_EVEN_SPLIT = 0.1


class DemandReport(PeerMessage):
    """A daemon's local demand by customer, as fractions of their limits.

    :param demands: only customers with demand; above 1 is more than the limit.
    """

    kind: ClassVar[str] = 'demand-report'

    demands: dict[CustomerId, float] = {}


@dataclass(slots=True)
class _Peer:
    received_at: float
    demands: dict[CustomerId, float]


@dataclass(slots=True)
class DemandShares:
    """Demand reports of peers and the resulting shares; not thread-safe."""

    _peers: dict[DaemonId, _Peer] = field(default_factory=dict)
    _local_demands: deque[dict[CustomerId, float]] = field(
        default_factory=lambda: deque(maxlen=RAISE_INTERVALS + 1)
    )
    _previous: deque[dict[CustomerId, float]] = field(
        default_factory=lambda: deque(maxlen=RAISE_INTERVALS)
    )
    _current: dict[CustomerId, float] = field(default_factory=dict)

    def apply_report(self, peer: DaemonId, report: DemandReport, now: float) -> None:
        """Apply a peer's report; shares are lowered at once, but not raised."""
        self._peers[peer] = _Peer(now, dict(report.demands))
        for customer, share in self._compute_shares(now).items():
            previous = self._current.get(customer, self._equal_share())
            self._current[customer] = min(previous, share)

    def update_peers(self, peers: Iterable[DaemonId], now: float) -> None:
        """Add live peers, so that a part is reserved for them; drop expired ones.

        :param peers: the other daemons.
        """
        for peer in peers:
            self._peers.setdefault(peer, _Peer(now - PEER_TIMEOUT_SECONDS, {}))
        for peer, state in tuple(self._peers.items()):
            if now - state.received_at > PEER_EXPIRY_SECONDS:
                self._peers.pop(peer)

    def update(self, local: dict[CustomerId, float], now: float) -> None:
        """Recompute the shares; call this once an interval.

        :param local: local demand by customer.
        """
        self._local_demands.append(local)
        self._previous.append(self._current)
        self._current = self._compute_shares(now)

    def share(self, customer: CustomerId) -> float:
        """Return the fraction of the customer's limit that this daemon may use."""
        equal_share = self._equal_share()
        return min(
            shares.get(customer, equal_share)
            for shares in (self._current, *self._previous)
        )

    def _equal_share(self) -> float:
        return 1 / (len(self._peers) + 1)

    def _compute_shares(self, now: float) -> dict[CustomerId, float]:
        responsive = [
            peer
            for peer in self._peers.values()
            if now - peer.received_at < PEER_TIMEOUT_SECONDS
        ]
        available = (len(responsive) + 1) * self._equal_share()
        # Local demand counts only as far as it was already reported: the others have
        # not yet lowered their shares for newer demand.
        local = {
            customer: min(earlier.get(customer, 0) for earlier in self._local_demands)
            for customer in set().union(*self._local_demands)
        }
        customers = set(local).union(*(peer.demands for peer in responsive))
        return {
            customer: available
            * _split(
                local.get(customer, 0),
                [peer.demands.get(customer, 0) for peer in responsive],
            )
            for customer in customers
        }


def _split(local: float, others: list[float]) -> float:
    """Return a share; shares of daemons with the same view sum to at most 1."""
    count = len(others) + 1
    total = local + sum(others)
    used = min(total, 1 - MIN_EVEN_SPLIT)
    by_demand = used * local / total if total else 0
    return by_demand + (1 - used) / count
