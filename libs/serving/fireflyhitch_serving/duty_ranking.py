"""Ranks the daemons for a duty; each daemon computes the same order by itself."""

from collections import Counter
from collections.abc import Callable

from fireflyhitch_model.hashing import rank_by_hash
from fireflyhitch_model.ids import FailureDomainId
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.summaries import SummaryTable

# Maximum number of claimants in each group; further ones would only wait in vain.
MAX_CLAIMANTS = 4


def rank_eligible(peers: PeerRegistry, duty: str) -> list[str]:
    """Rank the daemons of the local group that can take a duty, including this one.

    Other daemons are eligible if they are responsive, reach the store and are not
    stopping. The first ones are in different failure domains, so a partition of one
    domain, or of its link to the store, leaves others.
    """
    eligible = {
        daemon: state.failure_domain
        for daemon, state in peers.unsuspected_members().items()
        if state.hears_store and not state.stopping
    }
    domains = {**eligible, peers.own: peers.own_domain}
    return _alternate_domains(peers.rank(duty, domains), domains)


class LeadershipOrder:
    """The order in which daemons claim leadership."""

    def __init__(
        self,
        peers: PeerRegistry,
        summaries: SummaryTable,
        has_discovered_peers: Callable[[], bool],
    ) -> None:
        """Create the order from the state of peers and domain summaries.

        :param has_discovered_peers: returns whether this daemon has had time to receive
            the others' state.
        """
        self._peers = peers
        self._summaries = summaries
        self._has_discovered_peers = has_discovered_peers

    def find(self) -> int | None:
        """Return how many daemons claim before this one.

        :returns: ``None`` if this one does not claim.
        """
        if not self._has_discovered_peers():
            return None
        position = rank_eligible(self._peers, 'lead').index(self._peers.own)
        if position >= MAX_CLAIMANTS:
            return None
        own = self._peers.own_domain
        groups = {own}
        if self._peers.uses_summaries():
            groups.update(self._summaries.live())
        return position * len(groups) + rank_by_hash('lead', groups).index(own)


def _alternate_domains(
    ranked: list[str], domains: dict[str, FailureDomainId]
) -> list[str]:
    """Order the first daemon of each failure domain before the second of each."""
    seen: Counter[FailureDomainId] = Counter()
    positions: dict[str, int] = {}
    for daemon in ranked:
        positions[daemon] = seen[domains[daemon]]
        seen[domains[daemon]] += 1
    return sorted(ranked, key=positions.__getitem__)
