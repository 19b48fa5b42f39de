"""Counts and rate limits of a daemon's calls to the store, by kind."""

from collections import Counter
from collections.abc import Mapping
from enum import Enum
from threading import Lock

from fireflyhitch_model.clock import Clock

# Unused budget accumulates for this long, for bursts at startup or reconnection.
BURST_SECONDS = 2.0


class CallKind(Enum):
    """The kind of a store call; a waiting watch counts as one call."""

    READ = 'read'
    WRITE = 'write'
    LEASE = 'lease'
    WATCH = 'watch'


# Calls per second of one daemon. Nine daemons stay within half of the store's
# 2,000 reads and several hundred writes per second; in a larger fleet each gets less.
DEFAULT_BUDGET: Mapping[CallKind, float] = {
    CallKind.READ: 100,
    CallKind.WRITE: 20,
    CallKind.LEASE: 10,
    CallKind.WATCH: 10,
}


class CallBudget:
    """A thread-safe token bucket for each kind of call.

    A daemon that calls in a loop because of a fault exhausts its own budget
    instead of overloading the store for all daemons.

    :param budget: calls per second by kind.
    """

    def __init__(
        self, clock: Clock, budget: Mapping[CallKind, float] = DEFAULT_BUDGET
    ) -> None:
        self._clock = clock
        self._budget = dict(budget)
        self._lock = Lock()
        self._tokens = {
            kind: rate * BURST_SECONDS for kind, rate in self._budget.items()
        }
        self._refilled_at = clock.monotonic()
        self._counts: Counter[CallKind] = Counter()
        self._refused: Counter[CallKind] = Counter()

    def take(self, kind: CallKind) -> bool:
        """Consume one token for a call.

        :returns: ``False`` if the budget is exhausted.
        """
        with self._lock:
            self._refill()
            if self._tokens[kind] < 1:
                self._refused[kind] += 1
                return False
            self._tokens[kind] -= 1
            self._counts[kind] += 1
            return True

    def counts(self) -> dict[CallKind, int]:
        """Return the number of calls by kind since startup."""
        with self._lock:
            return {kind: self._counts[kind] for kind in CallKind}

    def refused(self) -> dict[CallKind, int]:
        """Return the number of refused calls by kind since startup."""
        with self._lock:
            return {kind: self._refused[kind] for kind in CallKind}

    def _refill(self) -> None:
        now = self._clock.monotonic()
        elapsed = now - self._refilled_at
        self._refilled_at = now
        for kind, rate in self._budget.items():
            tokens = self._tokens[kind] + rate * elapsed
            self._tokens[kind] = min(tokens, rate * BURST_SECONDS)
