"""Tests of retry budgets, usage, health and events, without a network."""

import random

import pytest

from fireflyhitch_model.ids import CustomerId, DeploymentId
from fireflyhitch_serving.events import EventOrderError, EventSplitter
from fireflyhitch_serving.health import EXCESS_FAILURE_RATE, Ending, ServerHealth
from fireflyhitch_serving.retry_budget import RetryBounds, RetryBudget
from fireflyhitch_serving.usage import UsageTracker

SERVICE = DeploymentId('bookings')
BAKERY = CustomerId('bakery')


class TestRetryBudget:
    @pytest.mark.parametrize('daemons', [1, 7, 75])
    def test_all_daemons_together_keep_to_the_budget_in_an_outage(
        self, daemons: int
    ) -> None:
        # Every request fails and would be retried. The daemons do not communicate, and
        # each gets a random part of the traffic.
        rng = random.Random(5)  # noqa: S311
        bounds = RetryBounds(ratio=0.2, slack=54, window=10)
        budgets = [RetryBudget(bounds) for _ in range(daemons)]
        retries: list[float] = []
        requests = 0
        now = 0.0
        while now < 10:
            now += 0.01
            budget = rng.choice(budgets)
            budget.daemons = daemons
            budget.record_request(SERVICE, now)
            requests += 1
            if budget.take(SERVICE, now):
                retries.append(now)
        assert len(retries) <= bounds.ratio * requests + bounds.slack

    def test_old_retries_expire(self) -> None:
        budget = RetryBudget(RetryBounds(ratio=0, slack=4, window=10))
        taken = [budget.take(SERVICE, 0) for _ in range(5)]
        assert not taken[-1]
        assert budget.take(SERVICE, 11)


class TestUsage:
    def test_repeated_or_late_counts_are_counted_once(self) -> None:
        tracker = UsageTracker('local', 5)
        tracker.count(BAKERY, 12)
        tracker.merge_counts('remote', {2: {BAKERY: 5}})
        tracker.merge_counts('remote', {2: {BAKERY: 3}})
        tracker.merge_counts('remote', {2: {BAKERY: 5}})
        assert tracker.sum_window(2) == {BAKERY: 6}

    def test_a_restarted_process_adds_to_its_earlier_counts(self) -> None:
        tracker = UsageTracker('local', 5)
        tracker.merge_counts('d2/1', {2: {BAKERY: 5}})
        tracker.merge_counts('d2/2', {2: {BAKERY: 1}})
        assert tracker.sum_window(2) == {BAKERY: 6}


class TestHealth:
    def test_a_failing_server_is_ejected_and_comes_back_on_probation(self) -> None:
        health = ServerHealth()
        ejected = [health.record(Ending.FAILED, 0.1, now) for now in range(12)]
        assert any(ejected)
        assert health.is_ejected(ejected.index(True) + 0.5)
        assert not health.is_ejected(ejected.index(True) + 10)

    def test_failures_that_all_servers_have_eject_none(self) -> None:
        # A service fails 14 requests in 100 on its own. Ejecting servers for that would
        # exclude one healthy server after the other.
        rng = random.Random(6)  # noqa: S311
        health = ServerHealth()
        ejected = 0
        for now in range(2000):
            failed = rng.random() < 0.14
            ending = Ending.FAILED if failed else Ending.GOOD
            ejected += health.record(ending, 0.14, float(now))
        assert ejected <= 5
        assert EXCESS_FAILURE_RATE > 0.14

    def test_an_unreachable_server_is_ejected_at_once(self) -> None:
        assert ServerHealth().record(Ending.UNREACHED, 0, 0)

    def test_cancelled_requests_do_not_count(self) -> None:
        health = ServerHealth()
        for now in range(20):
            health.record(Ending.CANCELLED, 0, now)
        assert health.rate == 0


class TestEvents:
    def test_events_split_anywhere_come_out_complete(self) -> None:
        data = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(1, 30))
        for size in (1, 2, 7, 100):
            splitter = EventSplitter()
            out = [
                splitter.feed(data[start : start + size])
                for start in range(0, len(data), size)
            ]
            assert b''.join(out) == data
            assert all(not part or part.endswith(b'\n\n') for part in out)
            assert not splitter.has_partial_event

    def test_a_missing_event_is_an_error_and_a_repeated_one_is_dropped(self) -> None:
        splitter = EventSplitter(last_id=4)
        assert splitter.feed(b'id: 4\n\nid: 5\n\n') == b'id: 5\n\n'
        with pytest.raises(EventOrderError):
            splitter.feed(b'id: 7\n\n')
