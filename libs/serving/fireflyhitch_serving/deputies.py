"""Daemons that act while the leader has stopped and no other one leads yet.

A successor leads only once the leader's lease has expired. What needs no lease, as it
can be done by several daemons at once without harm, is done meanwhile by deputies.
"""

from fireflyhitch_serving.duty_ranking import LeadershipOrder
from fireflyhitch_serving.hubs import HubTracker
from fireflyhitch_serving.leases import LeaderLease
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.store_health import StoreHealth
from fireflyhitch_serving.summaries import SummaryTable


class LeaderDeputy:
    """Tells whether this daemon is a deputy of the leader now."""

    def __init__(
        self,
        peers: PeerRegistry,
        hubs: HubTracker,
        summaries: SummaryTable,
        order: LeadershipOrder,
        lease: LeaderLease,
        health: StoreHealth,
    ) -> None:
        """Create a deputy from what is known of all daemons."""
        self._peers = peers
        self._hubs = hubs
        self._summaries = summaries
        self._order = order
        self._lease = lease
        self._health = health

    def acts(self) -> bool:
        """Return whether this daemon acts in the leader's place.

        With few daemons the first to claim the lead is the deputy. With many, each
        failure domain's hub is one: only it has the state of the domain's daemons.
        """
        leader = self._lease.find_leader()
        if leader is not None and self._is_active(leader):
            return False
        if not self._health.answers:
            return False
        if self._peers.uses_summaries():
            return self._hubs.is_hub()
        return self._order.find() == 0

    def _is_active(self, leader: str) -> bool:
        known = (
            self._peers.own_state if leader == self._peers.own else None,
            self._peers.responsive_members().get(leader),
            *(one.members.get(leader) for one in self._summaries.live().values()),
        )
        return any(one and one.hears_store and not one.stopping for one in known)
