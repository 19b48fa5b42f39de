"""Tests of limits that servers name, kept by many daemons together."""

import random

import pytest

from fireflyhitch_model.ids import BackendServerId, ProcessId
from fireflyhitch_routing.server_limits import (
    KEPT_SECONDS,
    MOST_KNOWN,
    MOST_TOLD,
    ServerLimits,
)
from fireflyhitch_routing.telling import TELL_SECONDS
from fireflyhitch_standins.arrivals import count_most

SERVER = BackendServerId('i-1')
PROCESS = ProcessId(71)
# What the platform allows in any four seconds.
WINDOW_SECONDS = 4.0
OVER = 1.5
MOST_ON_TOP = 5
# Daemons agree on the time of day to some hundredths of a second.
MOST_AHEAD_SECONDS = 0.05
STEP_SECONDS = 0.02


class Fleet:
    """Daemons that know a server's limit and ask as often as they may."""

    def __init__(self, count: int, rate: float, seed: int = 1) -> None:
        self.now = 1_700_000_000.0
        self.names = [f'gent-{number}' for number in range(count)]
        self.draw = random.Random(seed)  # noqa: S311
        self.rate = rate
        self.sent: list[float] = []
        self.limits = [self.make(name) for name in self.names]

    def make(self, name: str, known: list[str] | None = None) -> ServerLimits:
        """Return a daemon's limits.

        :param known: the daemons that it knows, if not all.
        """
        listed = known or self.names
        ahead = self.draw.uniform(-1, 1) * MOST_AHEAD_SECONDS
        limits = ServerLimits(name, lambda: listed, lambda: self.now + ahead)
        limits.record_response(PROCESS, SERVER, self.rate, self.now, self.now)
        return limits

    def ask(self, limits: ServerLimits) -> None:
        """Have one daemon send, if it may."""
        if limits.may_send(PROCESS):
            limits.record_sent(PROCESS)
            self.sent.append(self.now)

    def run(self, seconds: float, demand: float) -> None:
        """Have all ask for some seconds.

        :param demand: requests a second that each daemon has.
        """
        end = self.now + seconds
        while self.now < end:
            for limits in self.limits:
                if self.draw.random() < demand * STEP_SECONDS:
                    self.ask(limits)
            self.now += STEP_SECONDS

    def count_most(self) -> int:
        """Return the most that the server got in four seconds."""
        return count_most(self.sent, WINDOW_SECONDS)

    def find_allowed(self) -> float:
        """Return what the platform allows."""
        return OVER * WINDOW_SECONDS * self.rate + MOST_ON_TOP


class TestSumOfAll:
    @pytest.mark.parametrize('count', [1, 5, 33, 195, 791])
    @pytest.mark.parametrize('rate', [0.3, 1.0, 7.5, 40.0])
    def test_all_daemons_together_keep_to_it(self, count: int, rate: float) -> None:
        fleet = Fleet(count, rate)
        fleet.run(12, demand=20)
        assert fleet.count_most() <= fleet.find_allowed()

    @pytest.mark.parametrize('count', [5, 33, 195])
    @pytest.mark.parametrize('rate', [1.0, 7.5])
    def test_what_a_server_allows_is_used(self, count: int, rate: float) -> None:
        fleet = Fleet(count, rate)
        fleet.run(20, demand=3)
        assert len(fleet.sent) >= 0.9 * rate * 20

    def test_a_limit_that_is_another_with_each_answer_is_kept(self) -> None:
        fleet = Fleet(5, 1.0)
        for _ in range(600):
            fleet.run(STEP_SECONDS, demand=50)
            named = fleet.draw.uniform(0.8, 1.0)
            for limits in fleet.limits:
                limits.record_response(PROCESS, SERVER, named, fleet.now, fleet.now)
        assert fleet.count_most() <= fleet.find_allowed()

    def test_a_surge_after_quiet_seconds_keeps_to_it(self) -> None:
        # Turns that nobody used must not pile up.
        for seed in range(20):
            fleet = Fleet(7, 1.0, seed)
            fleet.run(10, demand=0)
            fleet.run(8, demand=50)
            assert fleet.count_most() <= fleet.find_allowed()

    def test_daemons_that_disagree_on_who_there_is_keep_to_it(self) -> None:
        # One in seven is listed by half of them only, as while changes spread.
        for seed in range(20):
            fleet = Fleet(21, 3.0, seed)
            fewer = fleet.names[:18]
            for place in range(0, 18, 2):
                fleet.limits[place] = fleet.make(fleet.names[place], fewer)
            fleet.run(12, demand=20)
            assert fleet.count_most() <= fleet.find_allowed()

    def test_turns_go_to_all_daemons_alike(self) -> None:
        fleet = Fleet(10, 1.0)
        fleet.now += 0.5
        turns = [0 for _ in fleet.names]
        for _ in range(2000):
            for place, limits in enumerate(fleet.limits):
                if limits.may_send(PROCESS):
                    limits.record_sent(PROCESS)
                    turns[place] += 1
            fleet.now += 1
        assert sum(turns) == 2000
        assert min(turns) > 130


class TestWhatServersName:
    def test_a_server_that_names_none_may_be_asked(self) -> None:
        limits = ServerLimits('a', lambda: ['a', 'b'], float)
        limits.record_response(PROCESS, SERVER, None, 0, 0)
        assert not limits.has_limits
        assert limits.may_send(PROCESS)

    def test_an_answer_without_it_ends_a_limit(self) -> None:
        fleet = Fleet(2, 0.0)
        limits = fleet.limits[0]
        limits.record_response(PROCESS, SERVER, None, fleet.now + 1, fleet.now + 2)
        assert limits.may_send(PROCESS)
        assert limits.find_local_rate(PROCESS) == float('inf')

    def test_an_answer_to_a_request_sent_before_does_not_end_it(self) -> None:
        fleet = Fleet(2, 0.0)
        limits = fleet.limits[0]
        limits.record_response(PROCESS, SERVER, None, fleet.now - 1, fleet.now + 2)
        assert limits.find_local_rate(PROCESS) < 1

    def test_a_server_that_takes_nothing_is_asked_now_and_again(self) -> None:
        fleet = Fleet(1, 0.0)
        fleet.run(60, demand=50)
        assert 1 <= len(fleet.sent) <= 10

    def test_what_it_says_last_holds_in_whatever_order_it_is_told(self) -> None:
        teller = ServerLimits('a', lambda: ['a', 'b'], float)
        teller.record_response(PROCESS, SERVER, 2.0, 0, 0)
        early = teller.tell(0.1, heard=False)
        teller.record_response(PROCESS, SERVER, None, 1, 1)
        late = teller.tell(1.1, heard=False)
        for notes in ((early, late), (late, early)):
            other = ServerLimits('b', lambda: ['a', 'b'], float)
            for told, at in zip(notes, (1.1, 1.1), strict=True):
                age = 1.0 if told is early else 0
                other.take(
                    {
                        key: note._replace(age=note.age + age)
                        for key, note in told.items()
                    },
                    at,
                )
            assert other.find_local_rate(PROCESS) == float('inf')

    def test_where_none_names_one_any_more_requests_cost_no_look(self) -> None:
        fleet = Fleet(2, 1.0)
        ended, gone = fleet.limits
        ended.record_response(PROCESS, SERVER, None, fleet.now + 1, fleet.now + 2)
        assert not ended.has_limits
        assert gone.has_limits
        gone.tell(fleet.now + 2 * KEPT_SECONDS, heard=False)
        assert not gone.has_limits

    def test_it_is_told_for_a_while_and_stays_bounded(self) -> None:
        limits = ServerLimits('a', lambda: ['a'], float)
        for number in range(MOST_KNOWN + 10):
            limits.record_response(
                ProcessId(number), SERVER, 1.0, number, number / 1000
            )
        now = MOST_KNOWN / 1000
        assert len(limits.tell(now, heard=True)) == MOST_TOLD
        assert not limits.tell(now + 2 * TELL_SECONDS, heard=True)
