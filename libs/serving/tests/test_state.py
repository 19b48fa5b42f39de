"""Tests of retry budgets, usage, health and events, without a network."""

import math
import random
from dataclasses import dataclass, field, replace

import pytest

from fireflyhitch_model.ids import CustomerId, DeploymentId
from fireflyhitch_serving.events import EventOrderError, EventSplitter
from fireflyhitch_serving.health import EXCESS_FAILURE_RATE, Ending, ServerHealth
from fireflyhitch_serving.retry_budget import (
    KEPT_SHARE_SECONDS,
    RetryBounds,
    RetryBudget,
)
from fireflyhitch_serving.usage import UsageTracker

SERVICE = DeploymentId('bookings')
BAKERY = CustomerId('bakery')
BOUNDS = RetryBounds(ratio=0.2, slack=54, window=10)


@dataclass(slots=True)
class Outage:
    """Daemons in an outage in which each request fails, and would be retried once.

    :param now: monotonic seconds.
    """

    daemons: int
    seed: int = 5
    now: float = 0
    requested_at: list[float] = field(default_factory=list)
    retried_at: list[float] = field(default_factory=list)
    budgets: list[RetryBudget] = field(default_factory=list)
    rng: random.Random = field(init=False)

    def __post_init__(self) -> None:
        """Start all daemons."""
        self.rng = random.Random(self.seed)  # noqa: S311
        self.budgets = [self._start() for _ in range(self.daemons)]

    def play(self, seconds: float, restarts_per_second: float = 0) -> None:
        """Send a hundred requests a second to random daemons, and restart some."""
        until = self.now + seconds
        while self.now < until:
            self.now += 0.01
            if self.rng.random() < restarts_per_second / 100:
                self.budgets[self.rng.randrange(self.daemons)] = self._start()
            budget = self.rng.choice(self.budgets)
            budget.record_request(SERVICE, self.now)
            self.requested_at.append(self.now)
            if budget.take(SERVICE, self.now):
                self.retried_at.append(self.now)

    def find_excess(self) -> float:
        """Return by how much retries exceed the bound in the worst window."""
        return max(
            self._count(self.retried_at, end)
            - BOUNDS.ratio * self._count(self.requested_at, end)
            - BOUNDS.slack
            for end in self.retried_at
        )

    def _start(self) -> RetryBudget:
        budget = RetryBudget(BOUNDS, self.now)
        budget.update_daemons(self.daemons, self.now)
        return budget

    def _count(self, times: list[float], end: float) -> int:
        return sum(end - BOUNDS.window < at <= end for at in times)


class TestRetryBudget:
    @pytest.mark.parametrize('daemons', [1, 7, 75])
    def test_all_daemons_together_keep_to_the_budget_in_an_outage(
        self, daemons: int
    ) -> None:
        # The daemons do not communicate, and each gets a random part of the traffic.
        outage = Outage(daemons)
        outage.play(25)
        assert outage.find_excess() <= 0
        assert len(outage.retried_at) > BOUNDS.ratio * len(outage.requested_at) / 2

    @pytest.mark.parametrize('restarts_per_second', [0.1, 1, 3])
    @pytest.mark.parametrize('seed', range(5))
    def test_they_keep_to_it_while_their_processes_restart(
        self, seed: int, restarts_per_second: float
    ) -> None:
        outage = Outage(7, seed)
        outage.play(25, restarts_per_second)
        assert outage.find_excess() <= 0

    def test_a_process_without_a_predecessor_uses_its_share_at_once(self) -> None:
        bounds = RetryBounds(ratio=0, slack=4)
        assert RetryBudget(bounds, 0, bool).take(SERVICE, 0)
        assert not RetryBudget(bounds, 0).take(SERVICE, 0)

    def test_shares_do_not_grow_while_some_daemons_do_not_see_the_others(self) -> None:
        # A leader that hears nothing from three of seven daemons removes them.
        budgets = [RetryBudget(replace(BOUNDS, ratio=0), started=0) for _ in range(7)]
        for budget in budgets:
            budget.update_daemons(7, 20)
        for budget in budgets[:4]:
            budget.update_daemons(4, 40)
        shares = [one.find_use(SERVICE, 40).limit for one in budgets]
        assert sum(shares) <= BOUNDS.slack

    def test_the_share_of_daemons_that_are_gone_is_used_in_the_end(self) -> None:
        budget = RetryBudget(RetryBounds(ratio=0, slack=8), started=0)
        budget.update_daemons(2, 20)
        budget.update_daemons(1, 21)
        assert budget.find_use(SERVICE, 21).daemons == 2
        budget.update_daemons(1, 21 + KEPT_SHARE_SECONDS)
        assert budget.find_use(SERVICE, 21 + KEPT_SHARE_SECONDS).daemons == 1

    def test_old_retries_expire(self) -> None:
        budget = RetryBudget(RetryBounds(ratio=0, slack=4, window=10), -math.inf)
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
