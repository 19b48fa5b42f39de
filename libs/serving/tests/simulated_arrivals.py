"""Simulated request arrivals, between which daemons exchange their states."""

import random
from collections.abc import Iterator
from typing import Protocol


class SimulatedFleet(Protocol):
    """Simulated daemons and engines."""

    def complete_until(self, now: float) -> None:
        """Complete the requests that end by ``now``."""

    def exchange_state(self, now: float) -> None:
        """Send each daemon's state to the others."""


def simulate_arrivals(
    fleet: SimulatedFleet,
    rng: random.Random,
    *,
    arrivals_per_second: float,
    exchange_seconds: float,
    seconds: float,
) -> Iterator[float]:
    """Yield the arrival times of requests, with all events due by then processed.

    :param arrivals_per_second: requests per second.
    :param exchange_seconds: interval between the daemons' state exchanges.
    """
    now = 0.0
    exchanged_at = 0.0
    while now < seconds:
        now += rng.expovariate(arrivals_per_second)
        fleet.complete_until(now)
        if now - exchanged_at > exchange_seconds:
            fleet.exchange_state(now)
            exchanged_at = now
        yield now
