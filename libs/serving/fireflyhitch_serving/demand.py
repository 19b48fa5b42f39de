"""What customers ask of a daemon, as a rate."""

import math
from dataclasses import dataclass

# Demand is averaged over about this long: shorter than the window that limits are
# counted in, longer than the gap between two messages of a peer.
DEMAND_SECONDS = 2.0


@dataclass(slots=True)
class DemandMeter:
    """Units asked for a second, as an exponentially fading average.

    Each unit counts as one in the end, however seldom a daemon is asked. With an average
    that faded linearly, a request that came alone counted half: 75 daemons together
    showed half of their customers' demand, and half of the servers were ordered.
    """

    rate: float = 0
    at: float = 0

    def add(self, units: float, now: float) -> None:
        """Count units that were asked for."""
        self.rate = self.read(now) + units / DEMAND_SECONDS
        self.at = now

    def read(self, now: float) -> float:
        """Return units a second."""
        return self.rate * math.exp((self.at - now) / DEMAND_SECONDS)
