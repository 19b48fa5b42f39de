"""Which part of a customer's limit a daemon may use, without a coordinator.

Each daemon tells the others every second which part of each customer's limit is
asked for there. While all that is asked for fits, a daemon gets what it asks for
and an equal part of the rest, so that a customer's first call at a quiet daemon is
served. When it does not fit, the limit is split in proportion.

A daemon lowers a share as soon as it hears of demand elsewhere, but raises it only
two intervals later, and rests it only on own demand that the others have heard of.
With messages delivered within an interval the shares never sum to more than the
limit; the state machine in the tests holds this.

For a daemon not heard for ``SILENT_SECONDS`` an equal part is set aside, and one
that hears nobody falls back to that equal part. While a cut is not yet noticed each
side may grow into what the other has: at most one more limit for each side, for
``SILENT_SECONDS``.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import ClassVar

from fireflyhitch_model.ids import CustomerId, DaemonId
from fireflyhitch_model.peers import PeerMessage

INTERVAL_SECONDS = 1.0
SILENT_SECONDS = 3.0
RAISE_INTERVALS = 2
# A daemon not heard for this long is gone for good: nothing is set aside.
GONE_SECONDS = 300.0
# This part of the limit is always split equally, however much is asked for.
IDLE_PART = 0.1


class DemandReport(PeerMessage):
    """What a daemon's customers ask for, as parts of their limits.

    :param demands: only customers with any demand; above 1 is more than the limit.
    """

    kind: ClassVar[str] = 'demand-report'

    demands: dict[CustomerId, float] = {}


@dataclass(slots=True)
class _Peer:
    heard: float
    demands: dict[CustomerId, float]


@dataclass(slots=True)
class DemandShares:
    """The demand that peers report and the shares that follow; not thread-safe."""

    _peers: dict[DaemonId, _Peer] = field(default_factory=dict)
    _own: deque[dict[CustomerId, float]] = field(
        default_factory=lambda: deque(maxlen=RAISE_INTERVALS + 1)
    )
    _earlier: deque[dict[CustomerId, float]] = field(
        default_factory=lambda: deque(maxlen=RAISE_INTERVALS)
    )
    _current: dict[CustomerId, float] = field(default_factory=dict)

    def hear(self, peer: DaemonId, report: DemandReport, now: float) -> None:
        """Take in a peer's report; shares that it lowers fall at once."""
        self._peers[peer] = _Peer(now, dict(report.demands))
        for customer, part in self._divide(now).items():
            before = self._current.get(customer, self._equal())
            self._current[customer] = min(before, part)

    def expect(self, peers: Iterable[DaemonId], now: float) -> None:
        """Take in who is thought to be alive, so that a part is set aside.

        :param peers: the other daemons.
        """
        for peer in peers:
            self._peers.setdefault(peer, _Peer(now - SILENT_SECONDS, {}))
        for peer, known in tuple(self._peers.items()):
            if now - known.heard > GONE_SECONDS:
                self._peers.pop(peer)

    def update(self, own: dict[CustomerId, float], now: float) -> None:
        """Work out the shares anew, once an interval.

        :param own: this daemon's demand by customer.
        """
        self._own.append(own)
        self._earlier.append(self._current)
        self._current = self._divide(now)

    def share(self, customer: CustomerId) -> float:
        """Return the part of the customer's limit that may be used here."""
        equal = self._equal()
        return min(
            part.get(customer, equal) for part in (self._current, *self._earlier)
        )

    def _equal(self) -> float:
        return 1 / (len(self._peers) + 1)

    def _divide(self, now: float) -> dict[CustomerId, float]:
        heard = [
            peer for peer in self._peers.values() if now - peer.heard < SILENT_SECONDS
        ]
        pool = (len(heard) + 1) * self._equal()
        # Own demand counts only as far as the others have heard of it: a share that
        # rests on newer demand is one that they have not made room for.
        own = {
            customer: min(earlier.get(customer, 0) for earlier in self._own)
            for customer in set().union(*self._own)
        }
        customers = set(own).union(*(peer.demands for peer in heard))
        return {
            customer: pool
            * _part_of(
                own.get(customer, 0),
                [peer.demands.get(customer, 0) for peer in heard],
            )
            for customer in customers
        }


def _part_of(own: float, others: list[float]) -> float:
    """Return a part that sums to at most 1 over daemons with the same view."""
    count = len(others) + 1
    total = own + sum(others)
    used = min(total, 1 - IDLE_PART)
    by_demand = used * own / total if total else 0
    return by_demand + (1 - used) / count
