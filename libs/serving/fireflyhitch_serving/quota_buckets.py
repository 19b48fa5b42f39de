"""One daemon's replica of a customer's token bucket."""

from dataclasses import dataclass, field

from fireflyhitch_model.records import immutable
from fireflyhitch_routing.return_times import ReturnSchedule
from fireflyhitch_serving.catalog import Quota
from fireflyhitch_serving.demand import DEMAND_SECONDS, DemandMeter, DemandMix


@immutable
class PeerDemand:
    """What a peer reported of a customer's demand on it.

    :param rate: units requested per second.
    :param same_domain: whether the peer is in this failure domain.
    """

    rate: float
    updated_at: float
    same_domain: bool


@dataclass(slots=True)
class Bucket:
    """The state of one customer's quota at this daemon.

    :param left: units that are left for all daemons.
    :param returns: the return times of the customer's refused requests.
    :param quota: ``None`` until it is known.
    :param taken: units taken here, less those refunded.
    :param domain_peers_taken: units that peers of this failure domain reported.
    :param demand: units requested of this daemon.
    :param mix: the same by priority.
    :param peers: by process.
    """

    left: float
    updated_at: float
    returns: ReturnSchedule
    quota: Quota | None = None
    taken: float = 0
    domain_peers_taken: float = 0
    demand: DemandMeter = field(default_factory=DemandMeter)
    mix: DemandMix = field(default_factory=DemandMix)
    peers: dict[str, PeerDemand] = field(default_factory=dict)

    def drop_stale_peers(self, now: float) -> None:
        """Remove peers whose last report is too old."""
        self.peers = {
            process: peer
            for process, peer in self.peers.items()
            if now - peer.updated_at < DEMAND_SECONDS
        }

    def sum_demand(self, now: float, *, same_domain: bool = False) -> float:
        """Return the units requested of all daemons per second.

        :param same_domain: count only daemons of the local failure domain.
        """
        peer_rates = (
            peer.rate
            for peer in self.peers.values()
            if now - peer.updated_at < DEMAND_SECONDS
            and (peer.same_domain or not same_domain)
        )
        return self.demand.read(now) + sum(peer_rates)

    def find_own_fraction(self, now: float) -> float:
        """Return the fraction of the demand that is requested of this daemon."""
        own = self.demand.read(now)
        return own / self.sum_demand(now) if own else 1
