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
RETURNING_PART = 0.25


@immutable
class SpreadBounds:
    """What the operators allow, for each failure domain.

    :param least: servers of both kinds together.
    :param most: servers of both kinds together.
    """

    least: int
    most: int


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
    each = math.ceil(need.servers / staying)
    each = min(max(each, bounds.least), bounds.most)
    reclaimable = sum(present[domain].reclaimable for domain in domains)
    short = max(need.servers - reclaimable, 0)
    bought: dict[FailureDomainId, int] = {}
    for domain in domains:
        bought[domain] = _buy_beside(each, short, bounds, present[domain])
        short -= min(short, bought[domain])
    for strained in domains:
        more = _buy_in_room(bought[strained], short, bounds, present[strained])
        bought[strained] += more
        short -= more
    kept = _find_kept(each, present)
    return {
        where: DomainServers(min(kept[where], bounds.most - on_demand), on_demand)
        for where, on_demand in bought.items()
    }


def _find_kept(
    each: int, present: Mapping[FailureDomainId, DomainServers]
) -> dict[FailureDomainId, int]:
    """Return the reclaimable servers of each domain.

    While one domain lacks some, no other gives any back: they may not be had again, and
    the next domain may go. A leader that has just taken over knows little of the load,
    and would give back what callers need a moment later.
    """
    scarce = any(here.reclaimable < each for here in present.values())
    return {
        domain: max(each, here.reclaimable) if scarce else each
        for domain, here in present.items()
    }


def _buy_beside(
    each: int, short: int, bounds: SpreadBounds, here: DomainServers
) -> int:
    """Return a domain's servers on demand beside all of its reclaimable ones.

    A domain without reclaimable servers gets its least on demand at once, whatever the
    others have: the next domain may go before a server ordered then has started.
    """
    least = max(bounds.least - here.reclaimable, 0)
    room = max(bounds.most - each, 0)
    return min(max(least, min(short, room)), bounds.most)


def _buy_in_room(
    bought: int, short: int, bounds: SpreadBounds, here: DomainServers
) -> int:
    """Return more servers on demand, in the room of reclaimable ones that are away.

    That is with more domains away than was planned for. A part is left, in which they
    come back. Keeping room for all of them would leave callers short of servers for as
    long as these are away.
    """
    coming = max(here.reclaimable, math.ceil(bounds.most * RETURNING_PART))
    return min(short, max(bounds.most - coming - bought, 0))


def count_servers_after_loss(
    present: Mapping[FailureDomainId, DomainServers], domains_lost: int
) -> float:
    """Return the servers that are left when some domains' reclaimable ones go."""
    staying = max(len(present) - domains_lost, 1) / max(len(present), 1)
    on_demand = sum(here.on_demand for here in present.values())
    return on_demand + staying * sum(here.reclaimable for here in present.values())
