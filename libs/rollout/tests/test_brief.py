"""Tests of moves that are judged by a few dozen answers, by played moves."""

import random

import pytest

from fireflyhitch_rollout.short_moves import (
    MoveEnd,
    MoveEvidence,
    RouteResults,
    find_end,
    find_fault,
    find_share,
)

RATE = 0.14
SECONDS = 12.0


def play(
    draw: random.Random, failing: float, from_second: float = 0
) -> tuple[str, int]:
    """Play a move of 12 s at 30 requests a second.

    :param failing: part of the new version's answers that fail beyond the usual.
    :param from_second: at which the fault begins.
    :returns: how it ended, and how many requests the new version got.
    """
    old = RouteResults()
    new = RouteResults()
    now = 0.0
    while True:
        now += 1 / 30
        evidence = MoveEvidence({'r': old}, {'r': new})
        end = find_end(evidence, now, SECONDS)
        if end is not None:
            return end.value, new.calls
        failed = draw.random() < RATE
        if draw.random() < find_share(evidence, 0.1):
            bad = now >= from_second and draw.random() < failing
            new = new.add(RouteResults(1, int(failed or bad)))
        else:
            old = old.add(RouteResults(1, int(failed)))


class TestMoves:
    def test_good_versions_are_completed(self) -> None:
        draw = random.Random(1)  # noqa: S311
        ends = [play(draw, 0)[0] for _ in range(200)]
        assert ends.count('completed') >= 190

    @pytest.mark.parametrize('failing', [0.5, 0.8, 1])
    def test_bad_versions_are_taken_back_after_few_requests(
        self, failing: float
    ) -> None:
        draw = random.Random(2)  # noqa: S311
        played = [play(draw, failing) for _ in range(100)]
        assert sum(end == 'taken-back' for end, _ in played) >= 85
        # The platform allows a tenth of the requests and 50 more: 86 of 360.
        assert max(calls for _, calls in played) <= 86

    def test_a_fault_that_comes_late_is_mostly_found(self) -> None:
        draw = random.Random(3)  # noqa: S311
        ends = [play(draw, 1, from_second=4)[0] for _ in range(100)]
        assert ends.count('taken-back') >= 60


class TestVerdict:
    def test_three_failures_of_a_clean_service_are_enough(self) -> None:
        old = {'r': RouteResults(100, 0)}
        assert find_fault(MoveEvidence(old, {'r': RouteResults(3, 3)})) is not None
        assert find_fault(MoveEvidence(old, {'r': RouteResults(2, 2)})) is None

    def test_a_fault_on_one_route_is_not_hidden_by_the_others(self) -> None:
        old = {'a': RouteResults(500, 10), 'b': RouteResults(50, 1)}
        new = {'a': RouteResults(300, 6), 'b': RouteResults(6, 5)}
        assert 'b:' in (find_fault(MoveEvidence(old, new)) or '')

    def test_slow_answers_are_a_fault(self) -> None:
        old = {'r': RouteResults(100, 0, 1)}
        assert find_fault(MoveEvidence(old, {'r': RouteResults(8, 0, 6)})) is not None

    def test_too_little_to_judge_is_taken_back_by_its_date(self) -> None:
        evidence = MoveEvidence({'r': RouteResults(100, 0)}, {'r': RouteResults(2, 0)})
        assert find_end(evidence, 9.5, SECONDS) is None
        assert find_end(evidence, 10.1, SECONDS) is MoveEnd.ROLLED_BACK
