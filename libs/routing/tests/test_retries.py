"""Tests of retries: which calls may be retried, and how often."""

from datetime import timedelta

from fireflyhitch_model.calls import Call
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.states import Outcome, Priority
from fireflyhitch_routing.retries import RetryBudget


def make_call(customer='c1', deadline=1000.0, repeatable=True):
    return Call(
        'r', customer, 'm', 'chat', Priority.NORMAL, 1, 1, (), 0, deadline, repeatable
    )


class TestRetryBudget:
    """Budgets of a daemon and of its customers."""

    def test_retries_do_not_multiply_the_load_in_an_outage(self):
        """Every attempt fails, and every failure asks for a retry.

        Without a budget each call would be sent again and again; with it there are
        fewer than 1.1 attempts per call.
        """
        budget = RetryBudget(ManualClock())
        retries = 0
        for number in range(1000):
            budget.record_call(str(number % 5))
            call = make_call(str(number % 5))
            retries += sum(budget.take(call, Outcome.UNKNOWN) for _ in range(3))
        assert 50 <= retries <= 100

    def test_one_customer_does_not_use_the_whole_budget(self):
        budget = RetryBudget(ManualClock())
        taken = 0
        for number in range(1000):
            budget.record_call('failing' if number % 10 == 0 else 'well')
            taken += budget.take(make_call('failing'), Outcome.UNKNOWN)
        assert taken <= 3 + 0.2 * 100
        assert budget.take(make_call('well'), Outcome.UNKNOWN)

    def test_non_repeatable_call_is_retried_only_if_it_did_not_run(self):
        budget = RetryBudget(ManualClock())
        call = make_call(repeatable=False)
        assert not budget.take(call, Outcome.UNKNOWN)
        assert not budget.take(call, Outcome.RAN)
        assert budget.take(call, Outcome.NOT_RUN)

    def test_no_retry_that_would_end_after_the_deadline(self):
        clock = ManualClock()
        budget = RetryBudget(clock)
        clock.advance(timedelta(seconds=9))
        assert not budget.take(make_call(deadline=10), Outcome.NOT_RUN, 2)
        assert budget.take(make_call(deadline=10), Outcome.NOT_RUN, 0.5)
