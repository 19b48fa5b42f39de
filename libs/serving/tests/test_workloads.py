"""Tests of what is learned of engines' work, and how many servers follow from it."""

import random

from fireflyhitch_model.ids import DeploymentId
from fireflyhitch_serving.workloads import PrefillModel, Workloads

SERVICE = DeploymentId('assistant')
OTHER = DeploymentId('drafts')
FAST = 1 / 93_000
SLOW = 1 / 20_000
FIRST_SECONDS = 0.08


def answer(
    workloads: Workloads,
    seconds_per_token: float,
    *,
    read_part: float,
    answers: int = 400,
) -> None:
    """Let engines answer requests of all sizes, as fast as they read."""
    rng = random.Random(5)  # noqa: S311
    for _ in range(answers):
        units = rng.randrange(500, 40_000)
        tokens = int(units * read_part)
        workloads.record_units(units)
        workloads.record_prompt_tokens(SERVICE, tokens)
        seconds = FIRST_SECONDS + tokens * seconds_per_token
        workloads.prefill_model(SERVICE).add_sample(
            tokens, seconds * rng.uniform(0.9, 1.1)
        )


class TestPace:
    def test_it_is_learned_from_answers(self) -> None:
        for seconds_per_token in (FAST, SLOW):
            workloads = Workloads()
            answer(workloads, seconds_per_token, read_part=1)
            learned = workloads.prefill_model(SERVICE).seconds_per_token
            assert abs(learned / seconds_per_token - 1) < 0.15

    def test_answers_that_a_fault_held_up_count_little(self) -> None:
        workloads = Workloads()
        answer(workloads, FAST, read_part=1)
        for _ in range(4):
            workloads.prefill_model(SERVICE).add_sample(20_000, 8)
        assert workloads.prefill_model(SERVICE).seconds_per_token < 1.3 * FAST

    def test_engines_that_turn_slow_are_known_as_slow(self) -> None:
        workloads = Workloads()
        answer(workloads, FAST, read_part=1)
        answer(workloads, SLOW, read_part=1, answers=1500)
        assert workloads.prefill_model(SERVICE).seconds_per_token > 0.8 * SLOW

    def test_equal_prompts_leave_it_within_bounds(self) -> None:
        pace = PrefillModel()
        for _ in range(1000):
            pace.add_sample(1000, 0.1)
        assert 0 < pace.seconds_per_token < 1 / 5_000


class TestBusySeconds:
    def test_fast_engines_with_cached_prompts_need_fewer_servers(self) -> None:
        # The load of a customer whose engines read twice as fast as assumed and have
        # half of each prompt: by a fixed number of tokens a server, three times as
        # many servers were paid for.
        workloads = Workloads()
        before = workloads.find_busy_seconds(SERVICE, 200_000)
        answer(workloads, FAST, read_part=0.5)
        assert workloads.find_busy_seconds(SERVICE, 200_000) < 0.45 * before

    def test_slow_engines_need_more(self) -> None:
        # Before, callers of slow engines waited behind prompts for which there were
        # too few servers.
        workloads = Workloads()
        before = workloads.find_busy_seconds(SERVICE, 200_000)
        answer(workloads, SLOW, read_part=0.7)
        assert workloads.find_busy_seconds(SERVICE, 200_000) > 2 * before

    def test_each_service_has_its_part_of_the_units(self) -> None:
        workloads = Workloads()
        answer(workloads, FAST, read_part=1)
        for _ in range(400):
            workloads.record_units(10_000)
            workloads.record_prompt_tokens(OTHER, 10_000)
        first = workloads.find_busy_seconds(SERVICE, 100_000)
        assert workloads.find_busy_seconds(OTHER, 100_000) > first
