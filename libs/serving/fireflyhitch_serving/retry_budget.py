"""Limits the retries that a daemon may send to a service.

The platform bounds the retries of each service, summed over all daemons, by a fraction
of the requests in a window plus a constant. It counts each arrival of a request at a
server after the first as a retry. Each daemon keeps to its own requests and an equal
share of the constant, so the sum holds without communication.

It also holds when daemons are killed: a process cannot know what the one before it has
used, so it takes that daemon's share of the constant as used up for a whole window,
unless there was none before it. The fraction of requests needs no such care, as a process
counts only requests of its own.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from fireflyhitch_model.ids import DeploymentId
from fireflyhitch_model.records import immutable

# The daemon counts requests on arrival, and the platform's window may begin a little
# later, so part of the allowed ratio is left unused.
USED_FRACTION = 0.75
# A daemon that is no longer listed may be cut off, and go on using the share that it had.
KEPT_SHARE_SECONDS = 60.0


@immutable
class RetryBounds:
    """The platform's bound on retries.

    :param ratio: allowed retries in a window as a fraction of its requests.
    :param slack: further allowed retries in a window, summed over all daemons.
    :param window: length of the window in seconds.
    """

    ratio: float = 0.2
    slack: float = 0
    window: float = 10.0


@immutable
class BudgetUse:
    """What one daemon has used of a service's budget in the current window.

    :param requests: callers' requests.
    :param retries: retries taken.
    :param limit: retries that it may take.
    :param daemons: daemons among which the constant is divided.
    """

    requests: int
    retries: int
    limit: float
    daemons: int


@dataclass(slots=True)
class _Counts:
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


def _assume_predecessor() -> bool:
    """Return that another process may have used this daemon's share."""
    return True


class RetryBudget:
    """The retry budgets of one daemon, by service."""

    def __init__(
        self,
        bounds: RetryBounds,
        started: float,
        had_predecessor: Callable[[], bool] = _assume_predecessor,
    ) -> None:
        """Create a budget from which this process has taken no retry.

        :param started: monotonic seconds at which this process started.
        :param had_predecessor: returns whether another process may have run on this
            instance lately.
        """
        self.bounds = bounds
        self._started = started
        self._had_predecessor = had_predecessor
        self._services: dict[DeploymentId, _Counts] = {}
        # By number of daemons: when it was last counted, in monotonic seconds.
        self._counted_at: dict[int, float] = {}

    def update_daemons(self, daemons: int, now: float) -> None:
        """Set the number of daemons that share the constant, this one included."""
        self._counted_at[daemons] = now
        since = now - KEPT_SHARE_SECONDS
        self._counted_at = {
            count: at for count, at in self._counted_at.items() if at >= since
        }

    def record_request(self, service: DeploymentId, now: float) -> None:
        """Count a caller's request."""
        counts = self._find(service)
        counts.requests.append(now)
        self._drop_expired(counts, now)

    def take(self, service: DeploymentId, now: float) -> bool:
        """Take a retry from the budget if one is left."""
        use = self.find_use(service, now)
        if use.retries + 1 > use.limit:
            return False
        self._find(service).retries.append(now)
        return True

    def find_use(self, service: DeploymentId, now: float) -> BudgetUse:
        """Return what is used of a service's budget."""
        counts = self._find(service)
        self._drop_expired(counts, now)
        limit = self.bounds.ratio * len(counts.requests) + self._find_share(now)
        return BudgetUse(
            len(counts.requests),
            len(counts.retries),
            limit * USED_FRACTION,
            self._count_sharing(),
        )

    def _find_share(self, now: float) -> float:
        """Return this daemon's share of the constant."""
        if now - self._started < self.bounds.window and self._had_predecessor():
            return 0
        return self.bounds.slack / self._count_sharing()

    def _count_sharing(self) -> int:
        """Return how many daemons may use a share."""
        return max(self._counted_at, default=1)

    def _find(self, service: DeploymentId) -> _Counts:
        return self._services.setdefault(service, _Counts())

    def _drop_expired(self, counts: _Counts, now: float) -> None:
        since = now - self.bounds.window
        for times in (counts.requests, counts.retries):
            while times and times[0] < since:
                times.popleft()
