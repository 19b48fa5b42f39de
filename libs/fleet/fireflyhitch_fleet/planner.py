"""Chooses the cheapest instances that carry the load and survive a loss."""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import cache
from typing import NamedTuple

from fireflyhitch_fleet.flows import FlowNetwork
from fireflyhitch_model.ids import FailureDomainId, VersionId
from fireflyhitch_model.states import MachineClass

SOURCE = 'source'
SINK = 'sink'
# A placement whose instances are away more than this is not worth its price.
LEAST_AVAILABILITY = 0.1
# Instances stay unless stopping them saves this part of the cost: each stop
# and start anew loads weights and empties a prefix cache.
LEAST_SAVING = 0.05


class Placement(NamedTuple):
    """Where an instance runs and how it is paid for."""

    failure_domain: FailureDomainId
    machine_class: MachineClass


@dataclass(frozen=True, slots=True)
class Market:
    """What the cloud gives in one placement.

    :param price: currency units an hour.
    :param supply: how many instances it can have at most; what runs already
        after a refused start.
    :param reclaims: reclaims an instance and hour, as measured.
    """

    price: float
    supply: int
    reclaims: float = 0


@dataclass(frozen=True, slots=True)
class PlanRequest:
    """What one version has to carry.

    :param servers: servers that carry the load at the latency target at the
        time at which an instance ordered now is ready.
    :param running: instances there are, by placement.
    :param scale_in_protected: never stop one, since a move's way back rests on them.
    """

    version: VersionId
    servers: int
    running: Mapping[Placement, int]
    scale_in_protected: bool = False


@dataclass(frozen=True, slots=True)
class Bounds:
    """The operator's bounds.

    :param survive_domain_loss: part of the load that the loss of any one failure domain
        leaves served.
    """

    survive_domain_loss: float
    min_servers: int
    max_servers: int
    max_on_demand: int


@dataclass(frozen=True, slots=True)
class Plan:
    """Instances to run, start and stop.

    :param cost: currency units an hour when all runs.
    :param short: how many servers could not be placed.
    :param survives: whether the loss of any one failure domain leaves the part
        of the load that the operator set.
    """

    version: VersionId
    target: Mapping[Placement, int]
    starts: Mapping[Placement, int]
    stops: Mapping[Placement, int]
    cost: float
    short: int = 0
    survives: bool = True


@dataclass(frozen=True, slots=True)
class _Mix:
    counts: Mapping[Placement, int] = field(default_factory=dict)
    cost: float = math.inf


def plan_version(
    need: PlanRequest,
    markets: Mapping[Placement, Market],
    bounds: Bounds,
    start_hours: float,
) -> Plan:
    """Plan one version's instances.

    :param start_hours: from order to ready, with the wait for weights; an
        instance that is reclaimed is missing for so long.
    """
    wanted = min(max(need.servers, bounds.min_servers), bounds.max_servers)
    left = math.ceil(bounds.survive_domain_loss * wanted)
    costs = {
        placement: _weigh_price(market, start_hours)
        for placement, market in markets.items()
    }
    mix = _find_cheapest(wanted, left, markets, costs, bounds)
    survives = math.isfinite(mix.cost)
    if not survives:
        # What there is falls short of the aim: spread it as evenly as it goes.
        mix = _spread_best(wanted, markets, costs, bounds)
    if survives and _is_good_enough(need, mix, wanted, left, costs):
        mix = _Mix(dict(need.running), _add_costs(need.running, costs))
    return _compare(need, mix, markets, wanted, survives)


def _find_cheapest(
    wanted: int,
    left: int,
    markets: Mapping[Placement, Market],
    costs: Mapping[Placement, float],
    bounds: Bounds,
) -> _Mix:
    """Find the total at which the cheapest mix costs least.

    With a total of ``t`` no failure domain may hold more than ``t - left``. A
    greater total costs more instances but lets more of them be in the cheap
    domains; the cost is convex in the total, so that the first total after
    which it grows is the best.
    """

    @cache
    def mix(total: int) -> _Mix:
        return _mix_total(total, total - left, markets, costs, bounds)

    low = max(wanted, left + 1)
    low = _find_first(
        low, bounds.max_servers, lambda total: math.isfinite(mix(total).cost)
    )
    if low > bounds.max_servers:
        return _Mix()
    best = _find_first(
        low,
        bounds.max_servers - 1,
        lambda total: mix(total + 1).cost >= mix(total).cost,
    )
    return mix(min(best, bounds.max_servers))


def _find_first(low: int, high: int, holds: Callable[[int], bool]) -> int:
    """Return the first number from which on something holds, or one too many."""
    for number in range(low, high + 1):
        if holds(number):
            return number
    return high + 1


def _mix_total(
    total: int,
    most_in_domain: int,
    markets: Mapping[Placement, Market],
    costs: Mapping[Placement, float],
    bounds: Bounds,
) -> _Mix:
    network = FlowNetwork()
    on_demand = min(bounds.max_on_demand, total)
    network.connect(SOURCE, MachineClass.RECLAIMABLE, total)
    network.connect(SOURCE, MachineClass.ON_DEMAND, on_demand)
    domains = {placement.failure_domain for placement in markets}
    for offered, market in markets.items():
        supply = market.supply if math.isfinite(costs[offered]) else 0
        network.connect(offered.machine_class, offered, supply)
        network.connect(offered, offered.failure_domain, supply, costs[offered])
    for domain in sorted(domains):
        network.connect(domain, SINK, most_in_domain)
    if network.push(SOURCE, SINK, total) < total:
        return _Mix()
    counts = {
        placement: network.read(placement.machine_class, placement)
        for placement in markets
    }
    counts = {placement: count for placement, count in counts.items() if count}
    return _Mix(counts, _add_costs(counts, costs))


def _spread_best(
    wanted: int,
    markets: Mapping[Placement, Market],
    costs: Mapping[Placement, float],
    bounds: Bounds,
) -> _Mix:
    for total in range(wanted, 0, -1):
        for most_in_domain in range(1, total + 1):
            mix = _mix_total(total, most_in_domain, markets, costs, bounds)
            if math.isfinite(mix.cost):
                return mix
    return _Mix({}, 0)


def _weigh_price(market: Market, start_hours: float) -> float:
    """Return the price of an hour in which the instance is really there."""
    availability = 1 - market.reclaims * start_hours
    if availability < LEAST_AVAILABILITY:
        return math.inf
    return market.price / availability


def _is_good_enough(
    need: PlanRequest,
    mix: _Mix,
    wanted: int,
    left: int,
    costs: Mapping[Placement, float],
) -> bool:
    total = sum(need.running.values())
    domains: dict[FailureDomainId, int] = {}
    for place, count in need.running.items():
        before = domains.get(place.failure_domain, 0)
        domains[place.failure_domain] = before + count
    if total < wanted or total - max(domains.values(), default=0) < left:
        return False
    cost = _add_costs(need.running, costs)
    return cost <= mix.cost * (1 + LEAST_SAVING)


def _add_costs(
    counts: Mapping[Placement, int], costs: Mapping[Placement, float]
) -> float:
    return sum(
        count * costs.get(placement, math.inf) for placement, count in counts.items()
    )


def _compare(
    need: PlanRequest,
    mix: _Mix,
    markets: Mapping[Placement, Market],
    wanted: int,
    survives: bool,
) -> Plan:
    starts: dict[Placement, int] = {}
    stops: dict[Placement, int] = {}
    target = dict(mix.counts)
    for place in target.keys() | need.running.keys():
        running = need.running.get(place, 0)
        if need.scale_in_protected:
            target[place] = max(target.get(place, 0), running)
        change = target.get(place, 0) - running
        if change > 0:
            starts[place] = change
        if change < 0:
            stops[place] = -change
    cost = sum(
        count * markets[placement].price
        for placement, count in target.items()
        if placement in markets
    )
    short = max(wanted - sum(target.values()), 0)
    return Plan(need.version, target, starts, stops, cost, short, survives)
