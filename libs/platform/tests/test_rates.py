"""Tests of the call budget."""

from datetime import timedelta

from fireflyhitch_model.clock import ManualClock
from fireflyhitch_platform.rates import CallBudget, CallKind


class TestCallBudget:
    """Calls counted by kind and refused above a rate."""

    def test_burst_is_bounded_and_refills(self):
        clock = ManualClock()
        budget = CallBudget(clock, dict.fromkeys(CallKind, 5.0))
        taken = [budget.take(CallKind.READ) for _ in range(12)]
        assert taken.count(True) == 10
        assert budget.take(CallKind.WRITE)
        clock.advance(timedelta(seconds=1))
        assert budget.take(CallKind.READ)
        assert budget.counts()[CallKind.READ] == 11
        assert budget.refused()[CallKind.READ] == 2
