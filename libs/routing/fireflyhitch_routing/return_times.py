"""When refused requests may return.

Requests that are all told the same time come back as one wave and are refused again.
This answers load beyond a limit or beyond the servers' capacity that lasts for seconds.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

# Callers wait for at most a third of their remaining time, and requests have time
# limits of up to 12 s.
MAX_RETURN_SECONDS = 4.0
# The same for requests refused in an overload of a service. News of its end takes up to
# half a second, and a second after the end no more of them may be on their way back.
MAX_OVERLOAD_RETURN_SECONDS = 0.5
# Requests return up to this fraction later than they are expected to fit. Those that do
# not fit within the maximum return over the same fraction of the time before it.
RETURN_SPREAD = 0.25
OVERFLOW_SPREAD = 0.5


@dataclass(slots=True)
class ReturnSchedule:
    """The return times given to the refused requests of one customer or service.

    The refused requests form a virtual queue that drains at the rate of the latest
    call.

    :param random_float: returns numbers from 0 to 1.
    :param max_seconds: latest return time.
    :ivar backlog: amount of the refused requests that have not yet returned.
    """

    random_float: Callable[[], float] = random.random
    max_seconds: float = MAX_RETURN_SECONDS
    backlog: float = 0
    updated_at: float = 0

    def reserve(
        self, amount: float, rate: float, now: float, delay: float = 0
    ) -> float:
        """Return the seconds after which a refused request is expected to fit.

        A request that does not fit within ``max_seconds`` reserves nothing.

        :param amount: what it needs, in the unit of the rate.
        :param rate: what becomes free per second for this daemon's callers.
        :param delay: seconds from now before which nothing becomes free.
        """
        self._drain(rate, now)
        wait = delay + _divide(self.backlog + amount, rate)
        jitter = self.random_float()
        if wait > self.max_seconds:
            return self.max_seconds * (1 - OVERFLOW_SPREAD * jitter)
        self.backlog += amount
        return min(wait * (1 + RETURN_SPREAD * jitter), self.max_seconds)

    def _drain(self, rate: float, now: float) -> None:
        elapsed = now - self.updated_at
        if elapsed > 0:
            self.backlog = max(self.backlog - elapsed * rate, 0)
            self.updated_at = now


def make_overload_schedule() -> ReturnSchedule:
    """Return the schedule of a service's requests that are refused in an overload."""
    return ReturnSchedule(max_seconds=MAX_OVERLOAD_RETURN_SECONDS)


def _divide(amount: float, rate: float) -> float:
    if math.isinf(rate):
        return 0
    return amount / rate if rate > 0 else math.inf
