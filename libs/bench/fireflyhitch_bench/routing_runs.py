"""The runs of the routing benchmark: phases, a larger size, a burst, an outage."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from fireflyhitch_bench import routing_policies as policies
from fireflyhitch_bench.routing_load import Arrival, draw_arrivals, draw_burst
from fireflyhitch_bench.routing_measures import Measure, measure
from fireflyhitch_bench.routing_shapes import PLANS, Phase, Shape
from fireflyhitch_bench.routing_world import Flight, PassedClock, World
from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.ids import BackendServerId, CustomerId, DaemonId
from fireflyhitch_model.peers import Daemon
from fireflyhitch_routing.admission import Admission
from fireflyhitch_routing.router import Router
from fireflyhitch_routing.subset import choose_subsets
from fireflyhitch_standins.engine_messages import EngineFaults
from fireflyhitch_standins.peers import MemoryPeerNetwork

SECONDS = 120.0
WARM_UP = 30.0
SETTLE = 20.0
NOTICE_AT = 45.0
GONE_AT = 55.0
BACK_AT = 90.0
BURST_AT = 50.0
BURST_END = 90.0
BURST_LOAD = 3.0

Make = Callable[[PassedClock, Shape, int], policies.Policy]


@dataclass(frozen=True, slots=True)
class Run:
    """A run's figures and the world it left."""

    measure: Measure
    world: World


def make_router(clock: PassedClock, shape: Shape, number: int) -> Router:
    """Return a daemon's router, as the daemon sets it up."""
    router = Router(clock, name_daemon(number), random.Random(number))  # noqa: S311
    router.configure(shape.configuration(1))
    router.set_daemon_count(shape.daemons)
    return router


def make_simple(
    build: Callable[[PassedClock, random.Random], policies.SimplePolicy],
) -> Make:
    """Return a maker of a baseline policy."""

    def make(clock: PassedClock, shape: Shape, number: int) -> policies.Policy:
        return build(clock, random.Random(number))  # noqa: S311

    return make


ROUTER = 'router'
ROUND_ROBIN = 'round robin'
LEAST_LATENCY = 'least latency'
MAKERS: dict[str, Make] = {
    ROUND_ROBIN: make_simple(policies.make_round_robin),
    LEAST_LATENCY: make_simple(policies.make_least_latency),
    'least in flight': make_simple(policies.make_least_in_flight),
    'power of two': make_simple(policies.make_power_of_two),
    'wardrop': make_simple(policies.make_wardrop),
    ROUTER: make_router,
}


def name_daemon(number: int) -> DaemonId:
    """Return a daemon's id."""
    return DaemonId(f'daemon-{number}')


def run_phase(shape: Shape, phase: Phase, make: Make, seed: int) -> Run:
    """Run one policy through one phase."""
    plan = PLANS[phase]
    world = _make_world(shape, make, plan.lag)
    if plan.reclaim:
        domain = shape.domains[0]
        world.at(NOTICE_AT, lambda: world.notify_leaving(domain))
        world.at(GONE_AT, lambda: world.take_away(domain))
        world.at(BACK_AT, lambda: world.give_back(domain))
    return _finish(world, draw_arrivals(shape, plan.load, SECONDS, seed))


def run_large(shape: Shape, factor: int, make: Make, seed: int) -> Run:
    """Run the steady phase at a multiple of the size, with subsets."""
    large = shape.scale(factor)
    world = _make_world(large, make, 1)
    world.subsets = find_subsets(large)
    for policy in world.policies:
        if isinstance(policy, Router):
            policy.set_daemon_count(count_sharing(large, world.subsets))
    load = PLANS[Phase.STEADY].load
    arrivals = draw_arrivals(large, load, SECONDS / 2, seed)
    return _finish(world, arrivals)


def find_subsets(shape: Shape) -> list[frozenset[BackendServerId]]:
    """Return the subset of each daemon, over both deployments."""
    daemons = [name_daemon(number) for number in range(shape.daemons)]
    pools: dict[str, list[BackendServerId]] = {}
    for server in shape.servers():
        pools.setdefault(server.deployment, []).append(server.server_id)
    parts = [choose_subsets(daemons, pool) for pool in pools.values()]
    return [frozenset().union(*(part[daemon] for part in parts)) for daemon in daemons]


def count_sharing(shape: Shape, subsets: list[frozenset[BackendServerId]]) -> int:
    """Return how many daemons use the same server, on average."""
    return round(sum(map(len, subsets)) / len(shape.servers()))


def run_burst(shape: Shape, make: Make, seed: int) -> tuple[float, float]:
    """Let the largest customer send three times the capacity for a while.

    :returns: the share of small customers' calls during the burst that met the
        target, and of the large one's.
    """
    world = _make_world(shape, make, 1)
    _admit_by_limits(world, shape.capacity())
    load = PLANS[Phase.STEADY].load
    arrivals = draw_arrivals(shape, load, SECONDS, seed)
    arrivals += draw_burst(shape, BURST_LOAD, BURST_AT, BURST_END, seed)
    large = frozenset(shape.customers()[:1])
    _finish(world, arrivals)
    return (
        measure(world, _during_burst(large, inside=False)).target_met,
        measure(world, _during_burst(large, inside=True)).target_met,
    )


def run_outage(shape: Shape, make: Make, seed: int) -> Measure:
    """Let most calls fail on every server for a while."""
    world = _make_world(shape, make, 1)

    def set_faults(faults: EngineFaults) -> None:
        for site in world.sites.values():
            site.engine.faults = faults

    world.at(BURST_AT, lambda: set_faults(EngineFaults(fail_share=0.8)))
    world.at(BURST_END, lambda: set_faults(EngineFaults()))
    world.run(
        draw_arrivals(shape, PLANS[Phase.STEADY].load, SECONDS, seed), SECONDS + SETTLE
    )
    return measure(world, _is_in_outage)


def _make_world(shape: Shape, make: Make, lag: float) -> World:
    clock = PassedClock()
    daemons = [make(clock, shape, number) for number in range(shape.daemons)]
    return World(shape, daemons, clock, lag=lag)


def _finish(world: World, arrivals: list[Arrival]) -> Run:
    world.at(WARM_UP, world.end_warm_up)
    last = max(arrival.call.arrived for arrival in arrivals)
    world.run(arrivals, last + SETTLE)
    return Run(measure(world, _is_after_warm_up), world)


def _admit_by_limits(world: World, limit_requests: float) -> None:
    """Put the daemons' admission in front of the calls."""
    network = MemoryPeerNetwork()
    admissions = []
    for number in range(world.shape.daemons):
        name = name_daemon(number)
        messenger = network.join(Daemon(name, world.shape.domains[0], '', ''))
        admission = Admission(world.clock, name, messenger)
        admission.configure(world.shape.configuration(limit_requests))
        admissions.append(admission)

    def admit(daemon: int, arrival: Arrival) -> bool:
        try:
            permit = admissions[daemon].admit(arrival.call)
        except RequestError:
            return False
        used = arrival.call.prompt_tokens + arrival.answer
        world.at(
            world.clock.seconds + 1, lambda: admissions[daemon].release(permit, used)
        )
        return True

    def exchange() -> None:
        for admission in admissions:
            admission.exchange()

    world.admit = admit
    world.tick = exchange


def _is_after_warm_up(flight: Flight) -> bool:
    return flight.arrival.call.arrived >= WARM_UP


def _is_in_outage(flight: Flight) -> bool:
    return BURST_AT <= flight.arrival.call.arrived < BURST_END


def _during_burst(
    large: frozenset[CustomerId], *, inside: bool
) -> Callable[[Flight], bool]:
    def counts(flight: Flight) -> bool:
        if not _is_in_outage(flight):
            return False
        return (flight.arrival.call.customer in large) is inside

    return counts
