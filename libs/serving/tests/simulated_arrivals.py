"""The moments at which callers ask, between daemons' news of each other."""

import random
from collections.abc import Iterator
from typing import Protocol


class PlayedFleet(Protocol):
    """Daemons and engines that a test plays."""

    def complete_until(self, now: float) -> None:
        """End the requests that are over by now."""

    def exchange_state(self, now: float) -> None:
        """Let each daemon hear of the others."""


def simulate_arrivals(
    fleet: PlayedFleet,
    rng: random.Random,
    *,
    arrivals_per_second: float,
    exchange_seconds: float,
    seconds: float,
) -> Iterator[float]:
    """Return the moments at which a request comes, with all that is over by then done.

    :param arrivals_per_second: requests.
    :param exchange_seconds: between daemons' news.
    """
    now = 0.0
    told_at = 0.0
    while now < seconds:
        now += rng.expovariate(arrivals_per_second)
        fleet.complete_until(now)
        if now - told_at > exchange_seconds:
            fleet.exchange_state(now)
            told_at = now
        yield now
