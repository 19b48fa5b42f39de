"""The fractions of requests to admit while a service has too little capacity for all.

This answers demand above the capacity of a service's servers that lasts for tenths of a
second or longer. Each daemon decides by the same figures, those of all daemons, and uses
the fractions as probabilities; so the sum over the daemons fits without a message for
each request.

The most urgent levels are admitted first, and nothing is reserved for the others. A
reserved part would be admitted into queues that serve urgent requests first, so it would
wait in vain there, and be refused later than without it.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from fireflyhitch_model.ids import CustomerId
from fireflyhitch_model.records import immutable
from fireflyhitch_routing.service_demand import (
    NO_DEMAND,
    DemandByLevel,
    LevelDemand,
)

# Requests are shed while they would wait for longer than this part of their target.
WAIT_FRACTION = 0.5
# At least this part of the capacity is taken to be left for the level that waits.
MIN_REST = 0.1
# Shedding ends below this load, or while the servers have so few requests, and so small a
# part of the accepted wait, that some are idle.
END_LOAD = 0.9
IDLE_USE = 0.8
IDLE_WAIT_FRACTION = 0.2
# Time in which a wait that is too long is reduced. The load information is up to half a
# second old; a shorter time makes the wait oscillate.
DRAIN_SECONDS = 0.7
# With less, capacity idles, and requests are refused that would be served late.
MIN_DRAIN_FACTOR = 0.8
MAX_DRAIN_FACTOR = 1.3
# The estimated cost of requests may be wrong. It is corrected by this fraction per second
# while the wait is too long or too short, within bounds.
CORRECTION_PER_SECOND = 0.5
MAX_INTERVAL_SECONDS = 0.4
MIN_CORRECTION = 0.95
MAX_CORRECTION = 1.5
# A level whose demand, with that of the more urgent ones, exceeds the capacity by this
# much is reduced in full for a long wait; one that fits is not.
FULL_DRAIN_EXCESS = 0.2
# Relative error of the demand, in standard deviations, above which it counts as exceeding
# the capacity. A small service gets few requests in the time over which demand is
# averaged.
NOISE_DEVIATIONS = 2.5
MAX_NOISE_MARGIN = 0.6
# Above this margin, an overload counts only if it is found so often in a row.
NOISY_MARGIN = 0.3
CONFIRMATIONS = 3


@immutable
class ServiceLoad:
    """The load of a service's servers.

    :param demand: of all daemons' callers, by urgency.
    :param capacity: seconds of slots and of reading time that the servers have per
        second.
    :param wait: expected seconds until a new request of the first level that does not
        fit is run.
    :param use: requests in flight as a fraction of the servers' slots.
    :param targets: latency targets in seconds, by urgency.
    :param default_target: of levels whose target is not known.
    :param samples: requests that the averages of the demand are made of.
    """

    demand: DemandByLevel
    capacity: LevelDemand
    wait: float
    use: float
    targets: Mapping[int, float]
    default_target: float = 1
    samples: float = math.inf

    @property
    def total(self) -> LevelDemand:
        """Return the demand of all levels."""
        return sum_levels(self.demand)

    def find_ratio(self) -> float:
        """Return the demand as a multiple of the capacity."""
        return find_load_ratio(self.total, self.capacity)

    def find_accepted_wait(self) -> float:
        """Return the wait above which requests are shed.

        The requests that wait are of the first level that does not fit. The more urgent
        ones are served before them, and leave them only the rest of the capacity; the
        less urgent ones would wait for ever. Since servers run what they were sent in
        about its order, the more urgent ones wait too, but for no longer than ``wait``.

        :returns: comparable with ``wait``, at the full capacity.
        """
        waiting = find_waiting_level(self.demand, self.capacity)
        before = sum_levels(
            {
                urgency: level
                for urgency, level in self.demand.items()
                if urgency < waiting
            }
        )
        rest = max(1 - find_load_ratio(before, self.capacity), MIN_REST)
        targets = [
            self._find_target(urgency) for urgency in self.demand if urgency < waiting
        ]
        shortest = min(targets, default=math.inf)
        return WAIT_FRACTION * min(shortest, rest * self._find_target(waiting))

    def _find_target(self, urgency: int) -> float:
        return self.targets.get(urgency, self.default_target)

    def find_noise_margin(self) -> float:
        """Return by how much the ratio may exceed the true one by chance."""
        if not self.samples:
            return MAX_NOISE_MARGIN
        return min(NOISE_DEVIATIONS / math.sqrt(self.samples), MAX_NOISE_MARGIN)


@immutable
class CustomerDemand:
    """A customer's part of the demand of one urgency.

    :param demand: in any unit that is the same for all customers.
    :param weight: of its fair share, in the same unit.
    """

    demand: float
    weight: float


@dataclass(slots=True)
class SheddingState:
    """Whether requests of a service are shed.

    :param correction: the capacity as a multiple of the computed one, learned while
        shedding.
    """

    active: bool = False
    correction: float = 1
    _updated_at: float = 0
    _exceeded: int = 0

    def update(self, load: ServiceLoad, now: float) -> None:
        """Begin or end shedding, and learn by the wait that it has led to."""
        ratio = load.find_ratio()
        accepted_wait = load.find_accepted_wait()
        if not self.active:
            margin = load.find_noise_margin()
            exceeds = ratio > 1 + margin and load.wait > accepted_wait
            self._exceeded = self._exceeded + 1 if exceeds else 0
            needed = CONFIRMATIONS if margin > NOISY_MARGIN else 1
            self.active = self._exceeded >= needed
            self.correction = 1
        elif ratio < END_LOAD or _has_idle_servers(load):
            self.active = False
        else:
            self._learn(1 - load.wait / accepted_wait, now - self._updated_at)
        self._updated_at = now

    def find_fractions(self, load: ServiceLoad) -> dict[int, float]:
        """Return the fraction of each urgency's requests to admit."""
        if not self.active:
            return dict.fromkeys(load.demand, 1.0)
        excess = load.find_accepted_wait() - load.wait
        drain = 1 + excess / DRAIN_SECONDS
        drain = min(max(drain, MIN_DRAIN_FACTOR), MAX_DRAIN_FACTOR)
        return fill_levels(load.demand, load.capacity.scale(self.correction), drain)

    def _learn(self, error: float, seconds: float) -> None:
        seconds = min(seconds, MAX_INTERVAL_SECONDS)
        change = CORRECTION_PER_SECOND * min(max(error, -1), 1) * seconds
        corrected = self.correction * (1 + change)
        self.correction = min(max(corrected, MIN_CORRECTION), MAX_CORRECTION)


def sum_levels(demand: DemandByLevel) -> LevelDemand:
    """Return the demand of all levels."""
    total = NO_DEMAND
    for level in demand.values():
        total = total.add(level)
    return total


def find_load_ratio(demand: LevelDemand, capacity: LevelDemand) -> float:
    """Return the demand for the scarcer resource as a multiple of its capacity."""
    return max(
        _divide(demand.slot_seconds, capacity.slot_seconds),
        _divide(demand.prompt_seconds, capacity.prompt_seconds),
    )


def find_waiting_level(demand: DemandByLevel, capacity: LevelDemand) -> int:
    """Return the most urgent level that does not fit, or else the least urgent."""
    total = NO_DEMAND
    for urgency in sorted(demand):
        total = total.add(demand[urgency])
        if find_load_ratio(total, capacity) > 1:
            return urgency
    return max(demand, default=0)


def fill_levels(
    demand: DemandByLevel, capacity: LevelDemand, drain: float = 1
) -> dict[int, float]:
    """Return the fraction of each level that fits, the most urgent levels first.

    What a level cannot use, since the other resource is used up, is open to the next.

    :param drain: multiplies the capacity, to shorten or lengthen the wait. Below 1 it
        counts only for levels that may be the ones that wait: not for those that fit
        together with all more urgent ones, unless no less urgent requests are left.
    """
    fractions = {}
    admitted = NO_DEMAND
    demanded = NO_DEMAND
    least_urgent = max(demand, default=0)
    for urgency in sorted(demand):
        level = demand[urgency]
        demanded = demanded.add(level)
        excess = (find_load_ratio(demanded, capacity) - 1) / FULL_DRAIN_EXCESS
        part = 1.0
        if drain < 1 and urgency != least_urgent:
            part = min(max(excess, 0), 1)
        left = capacity.scale(1 + part * (drain - 1)).subtract(admitted)
        ratio = find_load_ratio(level, left)
        fractions[urgency] = 1 / ratio if ratio > 1 else 1.0
        admitted = admitted.add(level.scale(fractions[urgency]))
    return fractions


def share_fairly(
    customers: Mapping[CustomerId, CustomerDemand], fraction: float
) -> dict[CustomerId, float]:
    """Return the fraction of each customer's requests to admit.

    The shares are max-min fair by weight: one who asks for less than its share is served
    in full, and what it leaves is shared by the others.

    :param fraction: the fraction of all their demand that is admitted.
    """
    left = fraction * sum(customer.demand for customer in customers.values())
    weight = sum(customer.weight for customer in customers.values())
    shares = {}
    for name, customer in sorted(customers.items(), key=_find_excess):
        share = _divide(left * customer.weight, weight)
        admitted = min(customer.demand, share)
        shares[name] = _divide(admitted, customer.demand) if customer.demand else 1.0
        left -= admitted
        weight -= customer.weight
    return shares


def _find_excess(item: tuple[CustomerId, CustomerDemand]) -> float:
    return _divide(item[1].demand, item[1].weight)


def _has_idle_servers(load: ServiceLoad) -> bool:
    idle_wait = load.find_accepted_wait() * IDLE_WAIT_FRACTION
    return load.use < IDLE_USE and load.wait < idle_wait


def _divide(value: float, by: float) -> float:
    if by > 0:
        return value / by
    return math.inf if value > 0 else 0
