"""The moments at which callers ask, between daemons' news of each other."""

import random
from collections.abc import Iterator
from typing import Protocol


class PlayedFleet(Protocol):
    """Daemons and engines that a test plays."""

    def end_until(self, now: float) -> None:
        """End the requests that are over by now."""

    def tell_all(self, now: float) -> None:
        """Let each daemon hear of the others."""


def pass_moments(
    fleet: PlayedFleet,
    draw: random.Random,
    *,
    a_second: float,
    news_seconds: float,
    seconds: float,
) -> Iterator[float]:
    """Return the moments at which a request comes, with all that is over by then done.

    :param a_second: requests.
    :param news_seconds: between daemons' news.
    """
    now = 0.0
    told_at = 0.0
    while now < seconds:
        now += draw.expovariate(a_second)
        fleet.end_until(now)
        if now - told_at > news_seconds:
            fleet.tell_all(now)
            told_at = now
        yield now
