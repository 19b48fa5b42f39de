"""Simulated request arrivals, between which daemons exchange their states."""

import random
from collections.abc import Iterator
from typing import Protocol


class SimulatedFleet(Protocol):
    """Simulated daemons and engines."""

    def end_until(self, now: float) -> None:
        """Complete the requests that end by ``now``."""

    def tell_all(self, now: float) -> None:
        """Send each daemon's state to the others."""


def pass_moments(
    fleet: SimulatedFleet,
    draw: random.Random,
    *,
    a_second: float,
    news_seconds: float,
    seconds: float,
) -> Iterator[float]:
    """Yield the arrival times of requests, with all events due by then processed.

    :param a_second: requests per second.
    :param news_seconds: interval between the daemons' state exchanges.
    """
    now = 0.0
    exchanged_at = 0.0
    while now < seconds:
        now += draw.expovariate(a_second)
        fleet.end_until(now)
        if now - exchanged_at > news_seconds:
            fleet.tell_all(now)
            exchanged_at = now
        yield now
