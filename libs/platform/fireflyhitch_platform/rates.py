"""Calls to the store: counted by kind, and held within a daemon's own budget."""

from collections import Counter
from collections.abc import Mapping
from enum import Enum
from threading import Lock

from fireflyhitch_model.clock import Clock

# A budget may be saved up for this long, for a burst at start or on return.
BURST_SECONDS = 2.0


class CallKind(Enum):
    """What a call costs the store; a waiting watch is one call."""

    READ = 'read'
    WRITE = 'write'
    LEASE = 'lease'
    WATCH = 'watch'


# Calls a second for one daemon. Nine of them stay within half of the store's
# 2,000 reads and several hundred writes a second; a larger fleet gets less each.
DEFAULT_BUDGET: Mapping[CallKind, float] = {
    CallKind.READ: 100,
    CallKind.WRITE: 20,
    CallKind.LEASE: 10,
    CallKind.WATCH: 10,
}


class CallBudget:
    """A token bucket for each kind of call; safe to use from any thread.

    A fault that makes a daemon call in a loop costs that daemon its budget, and
    not all others the store.

    :param budget: calls a second by kind.
    """

    def __init__(
        self, clock: Clock, budget: Mapping[CallKind, float] = DEFAULT_BUDGET
    ) -> None:
        self._clock = clock
        self._budget = dict(budget)
        self._lock = Lock()
        self._saved = {
            kind: rate * BURST_SECONDS for kind, rate in self._budget.items()
        }
        self._filled = clock.monotonic()
        self._counts: Counter[CallKind] = Counter()
        self._refused: Counter[CallKind] = Counter()

    def take(self, kind: CallKind) -> bool:
        """Count a call.

        :returns: whether the budget has room for it.
        """
        with self._lock:
            self._fill()
            if self._saved[kind] < 1:
                self._refused[kind] += 1
                return False
            self._saved[kind] -= 1
            self._counts[kind] += 1
            return True

    def counts(self) -> dict[CallKind, int]:
        """Return the calls made since the start."""
        with self._lock:
            return {kind: self._counts[kind] for kind in CallKind}

    def refused(self) -> dict[CallKind, int]:
        """Return the calls held back since the start."""
        with self._lock:
            return {kind: self._refused[kind] for kind in CallKind}

    def _fill(self) -> None:
        now = self._clock.monotonic()
        passed = now - self._filled
        self._filled = now
        for kind, rate in self._budget.items():
            saved = self._saved[kind] + rate * passed
            self._saved[kind] = min(saved, rate * BURST_SECONDS)
