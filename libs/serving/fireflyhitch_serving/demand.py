"""Measures customers' demand on a daemon as a rate, in all and by priority."""

import math
from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field
from itertools import accumulate

from fireflyhitch_model.records import immutable

# Time constant of the average: shorter than the window in which limits are counted,
# longer than the interval between two messages of a peer.
DEMAND_SECONDS = 2.0
# Time constant of the demand by priority. With many daemons each gets only a few
# requests of a customer per second, and the most urgent ones are a small part of them.
MIX_SECONDS = 10.0
# A request is small with less than this fraction of the mean units of a customer's.
SMALL_FRACTION = 0.2
# A priority without requests for this long is no longer part of a customer's demand.
UNUSED_SECONDS = 30.0


@dataclass(slots=True)
class DemandMeter:
    """Units requested per second, as an exponentially decaying average.

    Over time each unit counts once, however seldom a daemon gets requests. With an
    average that decayed linearly, a request that came alone counted half: 75 daemons
    together reported half of their customers' demand, and half of the servers were
    ordered.

    :param seconds: time constant of the average.
    """

    rate: float = 0
    updated_at: float = 0
    seconds: float = DEMAND_SECONDS

    def add(self, units: float, now: float) -> None:
        """Add units that were requested."""
        self.rate = self.read(now) + units / self.seconds
        self.updated_at = now

    def read(self, now: float) -> float:
        """Return the units requested per second."""
        return self.rate * math.exp((self.updated_at - now) / self.seconds)


@immutable
class DemandParts:
    """A customer's demand as seen from one of its priorities.

    :param more_urgent: fraction that is more urgent.
    :param same: fraction of the priority itself.
    :param largest: units of the largest recent request that is more urgent.
    """

    more_urgent: float
    same: float
    largest: float


ONE_PRIORITY = DemandParts(0, 1, 0)


@dataclass(slots=True)
class _Level:
    meter: DemandMeter = field(default_factory=lambda: DemandMeter(seconds=MIX_SECONDS))
    largest: float = 0

    def add(self, units: float, now: float) -> None:
        # It decays with each request only, or seldom ones would be forgotten.
        decay = math.exp((self.meter.updated_at - now) / MIX_SECONDS)
        self.largest = max(units, self.largest * decay)
        self.meter.add(units, now)


@dataclass(slots=True)
class DemandMix:
    """A customer's demand on this daemon by priority; 0 is the most urgent."""

    _levels: dict[int, _Level] = field(default_factory=dict)
    _requests: DemandMeter = field(
        default_factory=lambda: DemandMeter(seconds=MIX_SECONDS)
    )

    def find_level(self, priority: int, units: float, now: float) -> int:
        """Return the priority at which a request takes its units.

        Refusing a small request leaves room for hardly anything else, so it counts as
        one of the most urgent priority.
        """
        requests = self._requests.read(now)
        total = sum(level.meter.read(now) for level in self._levels.values())
        if requests * units < SMALL_FRACTION * total:
            return min(self._levels)
        return priority

    def add(self, priority: int, units: float, now: float) -> None:
        """Add units that were requested."""
        self._levels.setdefault(priority, _Level()).add(units, now)
        self._requests.add(1, now)

    def split(self, priority: int, now: float) -> DemandParts:
        """Return the parts of the recent demand as seen from a priority."""
        self._drop_unused(now)
        if len(self._levels) < 2:
            return ONE_PRIORITY
        levels = sorted(self._levels)
        rates = [self._levels[level].meter.read(now) for level in levels]
        total = sum(rates)
        if not total:
            return ONE_PRIORITY
        sums = [up_to / total for up_to in accumulate(rates)]
        place = bisect_left(levels, priority)
        upper = bisect_right(levels, priority)
        more_urgent = sums[place - 1] if place else 0
        largest = (self._levels[level].largest for level in levels[:place])
        return DemandParts(
            more_urgent,
            sum(rates[place:upper]) / total,
            max(largest, default=0),
        )

    def _drop_unused(self, now: float) -> None:
        oldest = now - UNUSED_SECONDS
        for level, known in tuple(self._levels.items()):
            if known.meter.updated_at < oldest:
                self._levels.pop(level)
