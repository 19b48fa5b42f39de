"""Retry budgets: whether an attempt may be retried.

In an outage every call fails; if each were retried a few times, the remaining servers
would get a multiple of the load. Two budgets bound the retries. The daemon's budget
keeps attempts below ``1 + DAEMON_SHARE`` times the accepted calls, apart from a small
burst. The customer's budget keeps one customer's failing calls from using up the
daemon's budget.
"""

import threading
from dataclasses import dataclass

from fireflyhitch_model.calls import Call
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import CustomerId
from fireflyhitch_model.invariants import Invariant, invariant
from fireflyhitch_model.states import Outcome, Step

# With eight daemons and some 60 calls each in a short outage, a share of 6% and a burst
# of two retries per daemon keep all attempts below 1.1 times the calls.
DAEMON_SHARE = 0.06
DAEMON_BURST = 2.0
CUSTOMER_SHARE = 0.2
CUSTOMER_BURST = 3.0
ROUNDING_TOLERANCE = 1e-6


@dataclass(slots=True)
class _Allowance:
    share: float
    burst: float
    left: float = 0
    calls: int = 0
    retries: int = 0

    def __post_init__(self) -> None:
        self.left = self.burst

    def add_call(self) -> None:
        self.calls += 1
        self.left = min(self.burst, self.left + self.share)

    def add_retry(self) -> None:
        self.left -= 1
        self.retries += 1
        limit = self.burst + self.share * self.calls + ROUNDING_TOLERANCE
        invariant(
            self.retries <= limit,
            Invariant.BUDGET_HOLDS,
            f'{self.retries} retries of {self.calls} calls',
            step=Step.SEND,
        )


class RetryBudget:
    """The retry budget of one daemon; thread-safe."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._daemon = _Allowance(DAEMON_SHARE, DAEMON_BURST)
        self._customers: dict[CustomerId, _Allowance] = {}

    def record_call(self, customer: CustomerId) -> None:
        """Count an accepted call; call this once, before its first attempt."""
        with self._lock:
            self._daemon.add_call()
            self._find_allowance(customer).add_call()

    def take(self, call: Call, outcome: Outcome, expected_seconds: float = 0) -> bool:
        """Take a retry from the budget if the call may be retried.

        :param outcome: whether the failed attempt was executed, as far as known.
        :param expected_seconds: minimum duration of the next attempt.
        :returns: whether to retry; if not, the caller gets its final response at once.
        """
        if outcome is not Outcome.NOT_RUN and not call.repeatable:
            return False
        if self._clock.monotonic() + expected_seconds >= call.deadline:
            return False
        with self._lock:
            allowance = self._find_allowance(call.customer)
            if allowance.left < 1 or self._daemon.left < 1:
                return False
            allowance.add_retry()
            self._daemon.add_retry()
        return True

    def _find_allowance(self, customer: CustomerId) -> _Allowance:
        return self._customers.setdefault(
            customer, _Allowance(CUSTOMER_SHARE, CUSTOMER_BURST)
        )
