"""What a run of the routing benchmark comes to."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from fireflyhitch_bench.routing_shapes import Shape
from fireflyhitch_bench.routing_world import Flight, World
from fireflyhitch_settings.schema import LatencyTarget

TARGET = LatencyTarget()
SERVICE_SECONDS = 2.0
SECONDS_AN_HOUR = 3600


@dataclass(frozen=True, slots=True)
class Measure:
    """Figures of one run, or of several added up.

    :param offered: calls that arrived after the warm-up.
    :param met: of those, how many were answered in full within the target.
    :param busy_cost: price of the time in which servers had work.
    :param slot_cost: price of the slots that calls held for their time.
    :param recomputed: prompt tokens computed though computed before.
    """

    offered: int = 0
    met: int = 0
    refused: int = 0
    attempts: int = 0
    busy_cost: float = 0
    slot_cost: float = 0
    recomputed: int = 0

    @property
    def target_met(self) -> float:
        """Return the share of offered calls that were served within the target."""
        return self.met / max(self.offered, 1)

    @property
    def cost(self) -> float:
        """Return the cost of a thousand calls served within the target."""
        return self.busy_cost / max(self.met, 1) * 1000

    @property
    def cost_of_slots(self) -> float:
        """Return the same by slots held."""
        return self.slot_cost / max(self.met, 1) * 1000

    @property
    def recomputed_per_call(self) -> float:
        """Return recomputed tokens for each call that was answered in time."""
        return self.recomputed / max(self.met, 1)


def add_up(measures: Iterable[Measure]) -> Measure:
    """Add measures of several runs."""
    parts = list(measures)
    return Measure(
        sum(one.offered for one in parts),
        sum(one.met for one in parts),
        sum(one.refused for one in parts),
        sum(one.attempts for one in parts),
        sum(one.busy_cost for one in parts),
        sum(one.slot_cost for one in parts),
        sum(one.recomputed for one in parts),
    )


def measure(world: World, counts: Callable[[Flight], bool]) -> Measure:
    """Measure a finished run.

    :param counts: which calls count.
    """
    flights = [flight for flight in world.flights if counts(flight)]
    busy = sum(
        site.engine.busy_seconds * site.server.price for site in world.sites.values()
    )
    busy -= world.busy_before
    return Measure(
        offered=len(flights),
        met=sum(1 for flight in flights if is_met(world.shape, flight)),
        refused=sum(1 for flight in flights if flight.refused),
        attempts=sum(flight.attempts for flight in flights),
        busy_cost=busy / SECONDS_AN_HOUR,
        slot_cost=sum(flight.slot_cost for flight in flights) / SECONDS_AN_HOUR,
        recomputed=sum(max(0, one.computed - one.fresh) for one in flights),
    )


def is_met(shape: Shape, flight: Flight) -> bool:
    """Tell whether a call was answered in full and within its target."""
    if flight.ended_at is None or flight.first_token_at is None:
        return False
    call = flight.arrival.call
    if call.deployment == shape.service:
        return flight.ended_at - call.arrived <= SERVICE_SECONDS
    if flight.first_token_at - call.arrived > TARGET.first_token_seconds:
        return False
    gaps = max(flight.arrival.answer - 1, 1)
    gap = (flight.ended_at - flight.first_token_at) / gaps
    return gap <= TARGET.between_tokens_seconds
