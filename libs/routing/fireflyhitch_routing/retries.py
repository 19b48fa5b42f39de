"""When an attempt may be repeated, and how many repeats there may be.

In an outage every call fails; if each were tried again a few times, the servers
that are left would get a multiple of the work. Two budgets bound the retries: the
daemon's keeps attempts below ``1 + DAEMON_SHARE`` times the accepted calls, but for
the little that it may save up, and the customer's keeps one customer's failing
calls from using up all of it.
"""

import threading
from dataclasses import dataclass

from fireflyhitch_model.calls import Call
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import CustomerId
from fireflyhitch_model.invariants import Invariant, invariant
from fireflyhitch_model.states import Outcome, Step

# With today's eight daemons and some 60 calls each in a short outage, 6% and two
# saved retries a daemon keep the whole below 1.1.
DAEMON_SHARE = 0.06
DAEMON_SAVED = 2.0
CUSTOMER_SHARE = 0.2
CUSTOMER_SAVED = 3.0
ROUNDING = 1e-6


@dataclass(slots=True)
class _Credit:
    share: float
    saved: float
    left: float = 0
    calls: int = 0
    retries: int = 0

    def __post_init__(self) -> None:
        self.left = self.saved

    def earn(self) -> None:
        self.calls += 1
        self.left = min(self.saved, self.left + self.share)

    def spend(self) -> None:
        self.left -= 1
        self.retries += 1
        most = self.saved + self.share * self.calls + ROUNDING
        invariant(
            self.retries <= most,
            Invariant.BUDGET_HOLDS,
            f'{self.retries} retries of {self.calls} calls',
            step=Step.SEND,
        )


class RetryBudget:
    """One daemon's budget of retries; safe to call from any thread."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._daemon = _Credit(DAEMON_SHARE, DAEMON_SAVED)
        self._customers: dict[CustomerId, _Credit] = {}

    def record_call(self, customer: CustomerId) -> None:
        """Count an accepted call, once, before its first attempt."""
        with self._lock:
            self._daemon.earn()
            self._credit_of(customer).earn()

    def take(self, call: Call, outcome: Outcome, expected_seconds: float = 0) -> bool:
        """Take a retry from the budget if the call may be tried again.

        :param outcome: what is known of the failed attempt's execution.
        :param expected_seconds: how long the next attempt takes at least.
        :returns: whether to try again; if not, the caller gets its final answer
            at once.
        """
        if outcome is not Outcome.NOT_RUN and not call.repeatable:
            return False
        if self._clock.monotonic() + expected_seconds >= call.deadline:
            return False
        with self._lock:
            credit = self._credit_of(call.customer)
            if credit.left < 1 or self._daemon.left < 1:
                return False
            credit.spend()
            self._daemon.spend()
        return True

    def _credit_of(self, customer: CustomerId) -> _Credit:
        return self._customers.setdefault(
            customer, _Credit(CUSTOMER_SHARE, CUSTOMER_SAVED)
        )
