"""Measures customers' demand on a daemon as a rate."""

import math
from dataclasses import dataclass

# Time constant of the average: shorter than the window in which limits are counted,
# longer than the interval between two messages of a peer.
DEMAND_SECONDS = 2.0


@dataclass(slots=True)
class DemandMeter:
    """Units requested per second, as an exponentially decaying average.

    Over time each unit counts once, however seldom a daemon gets requests. With an
    average that decayed linearly, a request that came alone counted half: 75 daemons
    together reported half of their customers' demand, and half of the servers were
    ordered.
    """

    rate: float = 0
    updated_at: float = 0

    def add(self, units: float, now: float) -> None:
        """Add units that were requested."""
        self.rate = self.read(now) + units / DEMAND_SECONDS
        self.updated_at = now

    def read(self, now: float) -> float:
        """Return the units requested per second."""
        return self.rate * math.exp((self.updated_at - now) / DEMAND_SECONDS)
