"""Who takes a duty next, as each daemon works it out for itself."""

from collections import Counter
from collections.abc import Callable

from fireflyhitch_model.hashing import rank_by_hash
from fireflyhitch_model.ids import FailureDomainId
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.summaries import SummaryTable

# Of each group; others would only wait for their turn in vain.
MOST_CLAIMANTS = 4


def rank_eligible(peers: PeerRegistry, duty: str) -> list[str]:
    """Order the daemons of the own group that can take a duty, this one included.

    Only those that hear the store and are heard now count. The first ones are of
    different failure domains: a cut of one, or of its link to the store, leaves others.
    """
    able = {
        daemon: news.failure_domain
        for daemon, news in peers.unsuspected_members().items()
        if news.hears_store and not news.stopping
    }
    domains = {**able, peers.own: peers.own_domain}
    return _alternate_domains(peers.rank(duty, domains), domains)


class LeadershipOrder:
    """In which order daemons claim the lead."""

    def __init__(
        self,
        peers: PeerRegistry,
        summaries: SummaryTable,
        has_discovered_peers: Callable[[], bool],
    ) -> None:
        """Make turns by what peers and summaries tell.

        :param has_discovered_peers: whether this daemon has had time to hear the others.
        """
        self._peers = peers
        self._summaries = summaries
        self._knows_peers = has_discovered_peers

    def find(self) -> int | None:
        """Return how many claim before this daemon; ``None`` if it does not claim."""
        if not self._knows_peers():
            return None
        place = rank_eligible(self._peers, 'lead').index(self._peers.own)
        if place >= MOST_CLAIMANTS:
            return None
        own = self._peers.own_domain
        groups = {own}
        if self._peers.uses_summaries():
            groups.update(self._summaries.live())
        return place * len(groups) + rank_by_hash('lead', groups).index(own)


def _alternate_domains(
    ranked: list[str], domains: dict[str, FailureDomainId]
) -> list[str]:
    """Return the first of each failure domain first, then the second of each."""
    seen: Counter[FailureDomainId] = Counter()
    places: dict[str, int] = {}
    for daemon in ranked:
        places[daemon] = seen[domains[daemon]]
        seen[domains[daemon]] += 1
    return sorted(ranked, key=places.__getitem__)
