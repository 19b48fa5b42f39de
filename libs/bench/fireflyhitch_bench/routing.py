"""Measures the router against other policies, in passed time, with equal seeds."""

import json
import random
import statistics
from collections.abc import Callable

from fireflyhitch_bench import routing_policies as policies
from fireflyhitch_bench.routing_load import draw_arrivals
from fireflyhitch_bench.routing_measures import Measure, add_up, measure
from fireflyhitch_bench.routing_shapes import (
    FLANDERS,
    LJUBLJANA,
    PLANS,
    Phase,
    Shape,
)
from fireflyhitch_bench.routing_world import Flight, PassedClock, World
from fireflyhitch_model.ids import DaemonId
from fireflyhitch_routing.router import Router

SEEDS = (11, 12, 13)
SECONDS = 150.0
WARM_UP = 30.0
SETTLE = 20.0
NOTICE_AT = 60.0
GONE_AT = 70.0
BACK_AT = 110.0

Make = Callable[[PassedClock, Shape, int], policies.Policy]


def make_router(clock: PassedClock, shape: Shape, number: int) -> Router:
    """Return a daemon's router, as the daemon sets it up."""
    daemon = DaemonId(f'daemon-{number}')
    router = Router(clock, daemon, random.Random(number))  # noqa: S311
    router.configure(shape.configuration(1000))
    router.share_with(shape.daemons)
    return router


def make_simple(
    build: Callable[[PassedClock, random.Random], policies.SimplePolicy],
) -> Make:
    """Return a maker of a baseline policy."""

    def make(clock: PassedClock, shape: Shape, number: int) -> policies.Policy:
        return build(clock, random.Random(number))  # noqa: S311

    return make


MAKERS: dict[str, Make] = {
    'round robin': make_simple(policies.make_round_robin),
    'least latency': make_simple(policies.make_least_latency),
    'least in flight': make_simple(policies.make_least_in_flight),
    'power of two': make_simple(policies.make_power_of_two),
    'wardrop': make_simple(policies.make_wardrop),
    'router': make_router,
}


def run_phase(
    shape: Shape, phase: Phase, make: Make, seed: int
) -> tuple[Measure, World]:
    """Run one policy through one phase."""
    plan = PLANS[phase]
    clock = PassedClock()
    routers = [make(clock, shape, number) for number in range(shape.daemons)]
    world = World(shape, routers, clock, lag=plan.lag)
    if plan.reclaim:
        domain = shape.domains[0]
        world.at(NOTICE_AT, lambda: world.notify_leaving(domain))
        world.at(GONE_AT, lambda: world.take_away(domain))
        world.at(BACK_AT, lambda: world.give_back(domain))
    world.at(WARM_UP, world.end_warm_up)
    world.run(draw_arrivals(shape, plan.load, SECONDS, seed), SECONDS + SETTLE)
    return measure(world, _after_warm_up), world


def _after_warm_up(flight: Flight) -> bool:
    return flight.arrival.call.arrived >= WARM_UP


def main() -> None:
    """Run everything and print the table and the line of JSON."""
    for phase in Phase:
        for name, make in MAKERS.items():
            parts = []
            decisions: list[float] = []
            for shape in (FLANDERS, LJUBLJANA):
                for seed in SEEDS:
                    result, world = run_phase(shape, phase, make, seed)
                    parts.append(result)
                    decisions += world.decision_seconds
            total = add_up(parts)
            print(
                f'{phase.value:18} {name:16} met {total.target_met:6.3f}'
                f' cost {total.cost:7.3f} slots {total.cost_of_slots:7.3f}'
                f' recomputed {total.recomputed_per_call:7.1f}'
                f' refused {total.refused:5} of {total.offered}'
                f' attempts {total.attempts}'
                f' decision {statistics.median(decisions) * 1e6:5.1f} us'
            )
    print(json.dumps({}))


if __name__ == '__main__':
    main()
