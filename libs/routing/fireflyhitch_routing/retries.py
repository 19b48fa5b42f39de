"""When an attempt may be repeated, and how many repeats a customer has.

In an outage every call fails; if each were tried again a few times, the servers
that are left would get a multiple of the work. The budget bounds retries by the
calls that were accepted: sent attempts stay below ``1 + RETRY_SHARE`` times the
calls, but for a small amount that lets a quiet customer retry at all.
"""

import threading
from dataclasses import dataclass

from fireflyhitch_model.calls import Call
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import CustomerId
from fireflyhitch_model.invariants import Invariant, invariant
from fireflyhitch_model.states import Outcome, Step

RETRY_SHARE = 0.09
FIRST_CREDIT = 2.0
MOST_CREDIT = 10.0
ROUNDING = 1e-6


@dataclass(slots=True)
class _Credit:
    left: float = FIRST_CREDIT
    calls: int = 0
    retries: int = 0


class RetryBudget:
    """Counts calls and retries by customer; safe to call from any thread."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._credits: dict[CustomerId, _Credit] = {}

    def record_call(self, customer: CustomerId) -> None:
        """Count an accepted call, once, before its first attempt."""
        with self._lock:
            credit = self._credits.setdefault(customer, _Credit())
            credit.calls += 1
            credit.left = min(MOST_CREDIT, credit.left + RETRY_SHARE)

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
            credit = self._credits.setdefault(call.customer, _Credit())
            if credit.left < 1:
                return False
            credit.left -= 1
            credit.retries += 1
            most = FIRST_CREDIT + RETRY_SHARE * credit.calls + ROUNDING
            invariant(
                credit.retries <= most,
                Invariant.BUDGET_HOLDS,
                f'{credit.retries} retries of {credit.calls} calls',
                step=Step.SEND,
            )
        return True
