"""Plans the cheapest instances that carry the load and tolerate a domain loss."""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import cache
from typing import NamedTuple

from fireflyhitch_fleet.min_cost_flow import FlowNetwork
from fireflyhitch_model.ids import FailureDomainId, VersionId
from fireflyhitch_model.states import MachineClass

SOURCE = 'source'
SINK = 'sink'
# Placements whose instances are available less often than this are not used.
MIN_AVAILABILITY = 0.1
# Running instances are kept unless a change saves this fraction of the cost: a
# replacement has to load weights and starts with an empty prefix cache.
MIN_SAVING = 0.05


class Placement(NamedTuple):
    """The failure domain and the pricing class of an instance."""

    failure_domain: FailureDomainId
    machine_class: MachineClass


@dataclass(frozen=True, slots=True)
class Market:
    """Price and availability of instances in one placement.

    :param price: currency units per instance and hour.
    :param supply: maximum number of instances; after a refused start, the number
        of running ones.
    :param reclaims: reclaims per instance and hour.
    """

    price: float
    supply: int
    reclaims: float = 0


@dataclass(frozen=True, slots=True)
class PlanRequest:
    """Required capacity and running instances of one version.

    :param servers: number of servers that will carry the load within the latency
        target once an instance ordered now is ready.
    :param running: number of existing instances, by placement.
    :param scale_in_protected: never stop an instance, since a rollback needs them.
    """

    version: VersionId
    servers: int
    running: Mapping[Placement, int]
    scale_in_protected: bool = False


@dataclass(frozen=True, slots=True)
class Bounds:
    """The operator's bounds.

    :param survive_domain_loss: fraction of the load that must still be served after
        the loss of any one failure domain.
    """

    survive_domain_loss: float
    min_servers: int
    max_servers: int
    max_on_demand: int


@dataclass(frozen=True, slots=True)
class Plan:
    """Instances to run, start and stop.

    :param cost: currency units per hour when all instances run.
    :param short: number of servers that could not be placed.
    :param survives: whether the operator's fraction of the load is still served
        after the loss of any one failure domain.
    """

    version: VersionId
    target: Mapping[Placement, int]
    starts: Mapping[Placement, int]
    stops: Mapping[Placement, int]
    cost: float
    short: int = 0
    survives: bool = True


@dataclass(frozen=True, slots=True)
class _Allocation:
    counts: Mapping[Placement, int] = field(default_factory=dict)
    cost: float = math.inf


def plan_version(
    request: PlanRequest,
    markets: Mapping[Placement, Market],
    bounds: Bounds,
    start_hours: float,
) -> Plan:
    """Plan the instances of one version.

    :param start_hours: hours from an order until the instance is ready, including
        the wait for weights; a reclaimed instance is missing for that long.
    """
    wanted = min(max(request.servers, bounds.min_servers), bounds.max_servers)
    min_remaining = math.ceil(bounds.survive_domain_loss * wanted)
    costs = {
        placement: _find_effective_price(market, start_hours)
        for placement, market in markets.items()
    }
    allocation = _find_cheapest(wanted, min_remaining, markets, costs, bounds)
    survives = math.isfinite(allocation.cost)
    if not survives:
        # The supply is insufficient: spread the instances as evenly as possible.
        allocation = _allocate_evenly(wanted, markets, costs, bounds)
    if survives and _is_good_enough(request, allocation, wanted, min_remaining, costs):
        allocation = _Allocation(
            dict(request.running), _add_costs(request.running, costs)
        )
    return _make_plan(request, allocation, markets, wanted, survives)


def _find_cheapest(
    wanted: int,
    min_remaining: int,
    markets: Mapping[Placement, Market],
    costs: Mapping[Placement, float],
    bounds: Bounds,
) -> _Allocation:
    """Return the cheapest allocation over all totals.

    With a total of ``t`` no failure domain may hold more than
    ``t - min_remaining`` instances. A greater total needs more instances but allows
    more of them in cheap domains. The cost is convex in the total, so the first
    total after which it grows is the best.
    """

    @cache
    def allocate(total: int) -> _Allocation:
        return _allocate(total, total - min_remaining, markets, costs, bounds)

    low = max(wanted, min_remaining + 1)
    low = _find_first(
        low, bounds.max_servers, lambda total: math.isfinite(allocate(total).cost)
    )
    if low > bounds.max_servers:
        return _Allocation()
    best = _find_first(
        low,
        bounds.max_servers - 1,
        lambda total: allocate(total + 1).cost >= allocate(total).cost,
    )
    return allocate(min(best, bounds.max_servers))


def _find_first(low: int, high: int, holds: Callable[[int], bool]) -> int:
    """Return the first number for which ``holds`` is true, else ``high + 1``."""
    for number in range(low, high + 1):
        if holds(number):
            return number
    return high + 1


def _allocate(
    total: int,
    max_per_domain: int,
    markets: Mapping[Placement, Market],
    costs: Mapping[Placement, float],
    bounds: Bounds,
) -> _Allocation:
    network = FlowNetwork()
    on_demand = min(bounds.max_on_demand, total)
    network.add_edge(SOURCE, MachineClass.RECLAIMABLE, total)
    network.add_edge(SOURCE, MachineClass.ON_DEMAND, on_demand)
    domains = {placement.failure_domain for placement in markets}
    for offered, market in markets.items():
        supply = market.supply if math.isfinite(costs[offered]) else 0
        network.add_edge(offered.machine_class, offered, supply)
        network.add_edge(offered, offered.failure_domain, supply, costs[offered])
    for domain in sorted(domains):
        network.add_edge(domain, SINK, max_per_domain)
    if network.send(SOURCE, SINK, total) < total:
        return _Allocation()
    counts = {
        placement: network.get_flow(placement.machine_class, placement)
        for placement in markets
    }
    counts = {placement: count for placement, count in counts.items() if count}
    return _Allocation(counts, _add_costs(counts, costs))


def _allocate_evenly(
    wanted: int,
    markets: Mapping[Placement, Market],
    costs: Mapping[Placement, float],
    bounds: Bounds,
) -> _Allocation:
    for total in range(wanted, 0, -1):
        for max_per_domain in range(1, total + 1):
            allocation = _allocate(total, max_per_domain, markets, costs, bounds)
            if math.isfinite(allocation.cost):
                return allocation
    return _Allocation({}, 0)


def _find_effective_price(market: Market, start_hours: float) -> float:
    """Return the price of an hour of actual availability."""
    availability = 1 - market.reclaims * start_hours
    if availability < MIN_AVAILABILITY:
        return math.inf
    return market.price / availability


def _is_good_enough(
    request: PlanRequest,
    allocation: _Allocation,
    wanted: int,
    min_remaining: int,
    costs: Mapping[Placement, float],
) -> bool:
    total = sum(request.running.values())
    domains: dict[FailureDomainId, int] = {}
    for placement, count in request.running.items():
        before = domains.get(placement.failure_domain, 0)
        domains[placement.failure_domain] = before + count
    if total < wanted or total - max(domains.values(), default=0) < min_remaining:
        return False
    cost = _add_costs(request.running, costs)
    return cost <= allocation.cost * (1 + MIN_SAVING)


def _add_costs(
    counts: Mapping[Placement, int], costs: Mapping[Placement, float]
) -> float:
    return sum(
        count * costs.get(placement, math.inf) for placement, count in counts.items()
    )


def _make_plan(
    request: PlanRequest,
    allocation: _Allocation,
    markets: Mapping[Placement, Market],
    wanted: int,
    survives: bool,
) -> Plan:
    starts: dict[Placement, int] = {}
    stops: dict[Placement, int] = {}
    target = dict(allocation.counts)
    for placement in target.keys() | request.running.keys():
        running = request.running.get(placement, 0)
        if request.scale_in_protected:
            target[placement] = max(target.get(placement, 0), running)
        change = target.get(placement, 0) - running
        if change > 0:
            starts[placement] = change
        if change < 0:
            stops[placement] = -change
    cost = sum(
        count * markets[used].price for used, count in target.items() if used in markets
    )
    short = max(wanted - sum(target.values()), 0)
    return Plan(request.version, target, starts, stops, cost, short, survives)
