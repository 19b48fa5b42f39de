"""Tests that daemons hold back requests with a part that crashes servers."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from itertools import count
from pathlib import Path

import pytest
from cluster import Cluster, run_scenario
from crashing_parts import PartScenario

DAEMONS = ('d1', 'd2', 'd3')
# The platform's bound on the time in which connected daemons exchange state.
CONTACT_SECONDS = 3.0
# Requests with a bad part that may arrive later than that after its fifth crash.
MAX_LATE = 3
# Least part of the sound requests that is served while requests with a bad part come.
MIN_SERVED = 0.9
STORM_SECONDS = 7.0
CALM_SECONDS = 3.0

SOUND = (('a', 'b1'), ('a', 'b2'), ('c', 'b3'), ('c', 'b1'))
BAD_MIDDLE = (('a', 'bad'),)
BAD_FIRST = (('bad', 'b1'), ('bad', 'b2'), ('bad', 'b3'))
TWO_BAD = (('a', 'bad'), ('worse', 'b1'), ('a', 'bad'), ('worse', 'b2'))

Script = Callable[[PartScenario], Awaitable[None]]


def run_parts(folder: Path, script: Script, *bad_parts: str) -> None:
    """Run a scenario after starting its engines and daemons."""

    async def begin(cluster: Cluster) -> None:
        scenario = PartScenario(cluster, DAEMONS, bad_parts)
        await scenario.start()
        await scenario.load(2, SOUND)
        await script(scenario)

    run_scenario(folder, begin)


def check_late(scenario: PartScenario) -> None:
    """Check that no bad part arrives too often once daemons could know it."""
    for part, crashed_at in scenario.engines.crashed_at.items():
        assert crashed_at
        late = scenario.count_late(part, CONTACT_SECONDS)
        assert late <= MAX_LATE, (part, late, len(crashed_at))


def check_served(scenario: PartScenario) -> None:
    """Check that sound requests are served, and that none was held back."""
    assert not scenario.held
    for part in scenario.asked:
        assert scenario.find_share_served(part) >= MIN_SERVED, part


class TestPartsThatCrashServers:
    @pytest.mark.parametrize(
        ('bad', 'names'),
        [
            (BAD_MIDDLE, ('bad',)),
            (BAD_FIRST, ('bad',)),
            (TWO_BAD, ('bad', 'worse')),
        ],
    )
    def test_requests_with_a_part_that_crashes_servers_are_held_by_all_daemons(
        self, tmp_path, bad: Sequence[tuple[str, ...]], names: Sequence[str]
    ) -> None:
        async def script(scenario: PartScenario) -> None:
            await scenario.load(STORM_SECONDS, SOUND, bad)
            await scenario.load(CALM_SECONDS, SOUND, bad)
            check_late(scenario)
            check_served(scenario)

        run_parts(tmp_path, script, *names)

    def test_they_are_held_also_if_all_daemons_are_killed_again_and_again(
        self, tmp_path
    ) -> None:
        # Each time before a part has crashed enough servers to be held.
        async def script(scenario: PartScenario) -> None:
            for turn in range(4):
                await scenario.load(1.5, SOUND, BAD_MIDDLE, 1.0)
                await scenario.replace_daemons(*(f'{name}{turn}' for name in 'efg'))
            await scenario.load(STORM_SECONDS, SOUND, BAD_MIDDLE)
            await scenario.load(CALM_SECONDS, SOUND, BAD_MIDDLE)
            check_late(scenario)
            check_served(scenario)

        run_parts(tmp_path, script, 'bad')

    def test_no_part_is_held_for_crashes_of_another_cause(self, tmp_path) -> None:
        async def script(scenario: PartScenario) -> None:
            numbers = count()

            async def crash() -> None:
                while True:
                    await asyncio.sleep(0.4)
                    scenario.engines.crash_one()

            async def ask_rare() -> None:
                while True:
                    await scenario.ask_sound('a', f'rare{next(numbers) % 5}')

            tasks = [asyncio.create_task(one()) for one in (crash, ask_rare)]
            await scenario.load(STORM_SECONDS, SOUND)
            for task in tasks:
                task.cancel()
            await scenario.load(CALM_SECONDS, (*SOUND, ('a', 'rare1'), ('a', 'rare4')))
            check_served(scenario)

        run_parts(tmp_path, script)
