"""How many repeats a daemon may send to a service.

The platform bounds the arrivals beyond the first of each request, for each service
and summed over all daemons: a part of the requests in a window and some on top.
Each daemon keeps to its own part of both, so the sum holds without a message.
"""

from collections import deque
from dataclasses import dataclass, field

from fireflyhitch_model.ids import DeploymentId
from fireflyhitch_model.records import immutable

# The daemon counts requests that have come; the platform's window may begin a
# little later, so a part of the ratio is left unused.
USED_PART = 0.75


@immutable
class RetryBounds:
    """The platform's bound.

    :param ratio: of the requests in a window.
    :param slack: repeats on top, over all daemons.
    :param window: seconds.
    """

    ratio: float = 0.2
    slack: float = 0
    window: float = 10.0


@dataclass(slots=True)
class _Counts:
    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


class RetryBudget:
    """One daemon's repeats by service."""

    def __init__(self, bounds: RetryBounds) -> None:
        """Make a budget with nothing spent."""
        self.bounds = bounds
        self._services: dict[DeploymentId, _Counts] = {}
        self.daemons = 1

    def record_request(self, service: DeploymentId, now: float) -> None:
        """Count a caller's request."""
        counts = self._find(service)
        counts.requests.append(now)
        self._forget_old(counts, now)

    def take(self, service: DeploymentId, now: float) -> bool:
        """Take a repeat from the budget, if there is one left."""
        counts = self._find(service)
        self._forget_old(counts, now)
        bounds = self.bounds
        most = bounds.ratio * len(counts.requests) + bounds.slack / self.daemons
        if len(counts.repeats) + 1 > most * USED_PART:
            return False
        counts.repeats.append(now)
        return True

    def _find(self, service: DeploymentId) -> _Counts:
        return self._services.setdefault(service, _Counts())

    def _forget_old(self, counts: _Counts, now: float) -> None:
        since = now - self.bounds.window
        for times in (counts.requests, counts.repeats):
            while times and times[0] < since:
                times.popleft()
