"""How many servers of which kind each failure domain is to have.

Reclaimable servers cost a small part of the others, but all of a failure domain go at
once, after seconds of notice, and there may be none to be had for a while anywhere.
So there are enough of them that what is left after the loss of some domains carries
the load; only what that cannot give is bought on demand.
"""

import math
from collections.abc import Mapping

from fireflyhitch_model.ids import FailureDomainId
from fireflyhitch_model.records import immutable

# Part of a domain's number that is kept for reclaimable servers while they are away:
# with a quarter, all are back after four starts of some seconds.
RETURNING_FRACTION = 0.25


@immutable
class SpreadBounds:
    """What the operators allow, for each failure domain.

    :param min_servers: servers of both kinds together.
    :param max_servers: servers of both kinds together.
    """

    min_servers: int
    max_servers: int


@immutable
class DomainServers:
    """Servers of one failure domain that take work, or soon will."""

    reclaimable: int
    on_demand: int


@immutable
class SpreadNeed:
    """What has to be carried.

    :param servers: that carry the present load within its targets.
    :param domains_lost: whose reclaimable servers may be away at once.
    """

    servers: int
    domains_lost: int


def spread_servers(
    need: SpreadNeed,
    bounds: SpreadBounds,
    prices: Mapping[FailureDomainId, float],
    present: Mapping[FailureDomainId, DomainServers],
) -> dict[FailureDomainId, DomainServers]:
    """Return the servers that each failure domain is to have.

    A domain keeps what it has on demand until its reclaimable servers are there, and
    a shortage of these is made up for on demand where that is cheapest.
    """
    domains = sorted(prices, key=lambda domain: (prices[domain], domain))
    staying = max(len(domains) - need.domains_lost, 1)
    per_domain = math.ceil(need.servers / staying)
    per_domain = min(max(per_domain, bounds.min_servers), bounds.max_servers)
    reclaimable = sum(present[domain].reclaimable for domain in domains)
    shortage = max(need.servers - reclaimable, 0)
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


def _find_reclaimable_targets(
    per_domain: int, present: Mapping[FailureDomainId, DomainServers]
) -> dict[FailureDomainId, int]:
    """Return the reclaimable servers of each domain.

    While one domain lacks some, no other gives any back: they may not be had again, and
    the next domain may go. A leader that has just taken over knows little of the load,
    and would give back what callers need a moment later.
    """
    scarce = any(current.reclaimable < per_domain for current in present.values())
    return {
        domain: max(per_domain, current.reclaimable) if scarce else per_domain
        for domain, current in present.items()
    }


def _count_on_demand(
    per_domain: int, shortage: int, bounds: SpreadBounds, current: DomainServers
) -> int:
    """Return a domain's servers on demand beside all of its reclaimable ones.

    A domain without reclaimable servers gets its least on demand at once, whatever the
    others have: the next domain may go before a server ordered then has started.
    """
    min_servers = max(bounds.min_servers - current.reclaimable, 0)
    free_places = max(bounds.max_servers - per_domain, 0)
    return min(max(min_servers, min(shortage, free_places)), bounds.max_servers)


def _count_replacements(
    on_demand_targets: int, shortage: int, bounds: SpreadBounds, current: DomainServers
) -> int:
    """Return more servers on demand, in the room of reclaimable ones that are away.

    That is with more domains away than was planned for. A part is left, in which they
    come back. Keeping room for all of them would leave callers short of servers for as
    long as these are away.
    """
    returning = max(
        current.reclaimable, math.ceil(bounds.max_servers * RETURNING_FRACTION)
    )
    return min(shortage, max(bounds.max_servers - returning - on_demand_targets, 0))


def count_lasting(
    present: Mapping[FailureDomainId, DomainServers], domains_lost: int
) -> float:
    """Return the servers that are left when some domains' reclaimable ones go."""
    staying = max(len(present) - domains_lost, 1) / max(len(present), 1)
    on_demand = sum(current.on_demand for current in present.values())
    return on_demand + staying * sum(
        current.reclaimable for current in present.values()
    )
