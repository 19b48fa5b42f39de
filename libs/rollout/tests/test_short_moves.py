"""Tests of moves that are decided by a few dozen answers, by simulation."""

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


def simulate(
    rng: random.Random, failing: float, from_second: float = 0
) -> tuple[str, int]:
    """Simulate a move of 12 s at 30 requests a second.

    :param failing: additional failure rate of the new version.
    :param from_second: second at which the fault begins.
    :returns: how the move ended, and the number of requests to the new version.
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
        failed = rng.random() < RATE
        if rng.random() < find_share(evidence, 0.1):
            bad = now >= from_second and rng.random() < failing
            new = new.add(RouteResults(1, int(failed or bad)))
        else:
            old = old.add(RouteResults(1, int(failed)))


class TestMoves:
    def test_good_versions_are_completed(self) -> None:
        rng = random.Random(1)  # noqa: S311
        ends = [simulate(rng, 0)[0] for _ in range(200)]
        assert ends.count('completed') >= 190

    @pytest.mark.parametrize('failing', [0.5, 0.8, 1])
    def test_bad_versions_are_rolled_back_after_few_requests(
        self, failing: float
    ) -> None:
        rng = random.Random(2)  # noqa: S311
        results = [simulate(rng, failing) for _ in range(100)]
        assert sum(end == 'taken-back' for end, _ in results) >= 85
        # The platform allows a tenth of the requests plus 50: 86 of 360.
        assert max(calls for _, calls in results) <= 86

    def test_late_faults_are_usually_found(self) -> None:
        rng = random.Random(3)  # noqa: S311
        ends = [simulate(rng, 1, from_second=4)[0] for _ in range(100)]
        assert ends.count('taken-back') >= 60


class TestVerdict:
    def test_three_failures_against_a_clean_history_are_a_fault(self) -> None:
        old = {'r': RouteResults(100, 0)}
        assert find_fault(MoveEvidence(old, {'r': RouteResults(3, 3)})) is not None
        assert find_fault(MoveEvidence(old, {'r': RouteResults(2, 2)})) is None

    def test_fault_on_one_route_is_not_hidden_by_the_others(self) -> None:
        old = {'a': RouteResults(500, 10), 'b': RouteResults(50, 1)}
        new = {'a': RouteResults(300, 6), 'b': RouteResults(6, 5)}
        assert 'b:' in (find_fault(MoveEvidence(old, new)) or '')

    def test_slow_answers_are_a_fault(self) -> None:
        old = {'r': RouteResults(100, 0, 1)}
        assert find_fault(MoveEvidence(old, {'r': RouteResults(8, 0, 6)})) is not None

    def test_too_little_evidence_is_rolled_back_by_the_deadline(self) -> None:
        evidence = MoveEvidence({'r': RouteResults(100, 0)}, {'r': RouteResults(2, 0)})
        assert find_end(evidence, 9.5, SECONDS) is None
        assert find_end(evidence, 10.1, SECONDS) is MoveEnd.ROLLED_BACK
