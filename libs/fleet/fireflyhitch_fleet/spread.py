"""Spread of reclaimable and on-demand servers over failure domains.

Reclaimable servers cost a fraction of on-demand ones, but those of a failure domain are
reclaimed together at a few seconds' notice, and for a while none may be available
anywhere. Therefore enough of them run to carry the load even after the loss of some
domains; only a remaining shortage is covered on demand.
"""

import math
from collections.abc import Mapping

from fireflyhitch_model.ids import FailureDomainId
from fireflyhitch_model.records import immutable

# Fraction of a domain's maximum kept free for reclaimable servers while they are gone:
# with a quarter, all are back after four rounds of starts of a few seconds.
RETURNING_FRACTION = 0.25


@immutable
class SpreadBounds:
    """The operators' bounds for each failure domain.

    :param min_servers: minimum number of servers of both kinds together.
    :param max_servers: maximum number of servers of both kinds together.
    """

    min_servers: int
    max_servers: int


@immutable
class DomainServers:
    """Servers of one failure domain that accept requests or are starting."""

    reclaimable: int
    on_demand: int


@immutable
class SpreadNeed:
    """The capacity that is required.

    :param servers: number of servers that carry the present load within its targets.
    :param domains_lost: number of domains that may lose their reclaimable servers at
        the same time.
    :param remaining: number of servers that carry the load without any spare; so many
        have to remain if one more domain loses its reclaimable servers.
    """

    servers: int
    domains_lost: int
    remaining: int = 0


def spread_servers(
    need: SpreadNeed,
    bounds: SpreadBounds,
    prices: Mapping[FailureDomainId, float],
    present: Mapping[FailureDomainId, DomainServers],
) -> dict[FailureDomainId, DomainServers]:
    """Return the target number of servers for each failure domain.

    On-demand servers are kept until the reclaimable ones have started. A shortage of
    reclaimable servers is covered by the on-demand ones that run, and then by others in
    the cheapest domains: ones that run serve now, and new ones only after their start.
    """
    domains = sorted(
        prices, key=lambda domain: (-present[domain].on_demand, prices[domain], domain)
    )
    staying = max(len(domains) - need.domains_lost, 1)
    per_domain = math.ceil(need.servers / staying)
    per_domain = min(max(per_domain, bounds.min_servers), bounds.max_servers)
    shortage = _find_shortage(need, present)
    on_demand_targets: dict[FailureDomainId, int] = {}
    for domain in domains:
        on_demand_targets[domain] = _count_on_demand(
            per_domain, shortage, bounds, present[domain]
        )
        shortage -= min(shortage, on_demand_targets[domain])
    for domain in domains:
        replacements = _count_replacements(
            on_demand_targets[domain], shortage, bounds, present[domain]
        )
        on_demand_targets[domain] += replacements
        shortage -= replacements
    reclaimable_targets = _find_reclaimable_targets(per_domain, present)
    return {
        name: DomainServers(
            min(reclaimable_targets[name], bounds.max_servers - on_demand), on_demand
        )
        for name, on_demand in on_demand_targets.items()
    }


def _find_shortage(
    need: SpreadNeed, present: Mapping[FailureDomainId, DomainServers]
) -> int:
    """Return how many on-demand servers the load needs.

    While reclaimable servers of several domains are away, those of the last domain can
    be reclaimed, too, and replacements start only seconds later. By then the queues
    of the few servers left are so long that all answers are late.
    """
    counts = [current.reclaimable for current in present.values()]
    shortage = need.servers - sum(counts)
    if len(counts) > 1:
        shortage = max(shortage, need.remaining - (sum(counts) - max(counts)))
    return max(shortage, 0)


def _find_reclaimable_targets(
    per_domain: int, present: Mapping[FailureDomainId, DomainServers]
) -> dict[FailureDomainId, int]:
    """Return the target number of reclaimable servers for each domain.

    While one domain lacks some, no other stops any: they might not be available again,
    and the next domain may be lost. A new leader has little data on the load and would
    stop servers that callers need a moment later.
    """
    scarce = any(current.reclaimable < per_domain for current in present.values())
    return {
        domain: max(per_domain, current.reclaimable) if scarce else per_domain
        for domain, current in present.items()
    }


def _count_on_demand(
    per_domain: int, shortage: int, bounds: SpreadBounds, current: DomainServers
) -> int:
    """Return a domain's on-demand servers in addition to all its reclaimable ones.

    A domain without reclaimable servers immediately gets its minimum on demand, even if
    the others have enough: the next domain may be lost before a server ordered then has
    started.
    """
    min_servers = max(bounds.min_servers - current.reclaimable, 0)
    free_places = max(bounds.max_servers - per_domain, 0)
    return min(max(min_servers, min(shortage, free_places)), bounds.max_servers)


def _count_replacements(
    on_demand: int, shortage: int, bounds: SpreadBounds, current: DomainServers
) -> int:
    """Return the on-demand servers that replace missing reclaimable ones.

    They are needed when more domains are lost than planned for. A fraction of the
    maximum stays free for the reclaimable servers to return. If all their places
    stayed free, there would be too few servers until they return.
    """
    returning = max(
        current.reclaimable, math.ceil(bounds.max_servers * RETURNING_FRACTION)
    )
    return min(shortage, max(bounds.max_servers - returning - on_demand, 0))


def count_servers_after_loss(
    present: Mapping[FailureDomainId, DomainServers], domains_lost: int
) -> float:
    """Return the servers left if some domains lose their reclaimable ones."""
    staying = max(len(present) - domains_lost, 1) / max(len(present), 1)
    on_demand = sum(current.on_demand for current in present.values())
    return on_demand + staying * sum(
        current.reclaimable for current in present.values()
    )
