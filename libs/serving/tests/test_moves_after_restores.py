"""Tests of moves when leaders follow each other round a restore of the store."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from moves_scene import (
    CLAIM_SECONDS,
    DURATION_SECONDS,
    OLD,
    Moves,
)
from virtual_time import run_virtual

NEW = 'v2'
FIRST = 'v9'
SETTLE_SECONDS = 2.0

Succession = Callable[[Moves, float], Awaitable[None]]


async def replace_leader(scene: Moves, age: float) -> None:
    """Restore the store; a process that has just started leads."""
    await scene.restore(age)
    await scene.replace_leader()


async def replace_leader_that_wrote_again(scene: Moves, age: float) -> None:
    """Kill the leader of before once it has written again what it knows."""
    await scene.restore(age)
    await asyncio.sleep(CLAIM_SECONDS)
    await scene.replace_leader()


async def replace_leaders_in_turn(scene: Moves, age: float) -> None:
    """Kill the leader as the store comes back, and its successor after a while."""
    await scene.restore(age)
    await scene.replace_leader()
    await asyncio.sleep(SETTLE_SECONDS)
    await scene.replace_leader()


async def restore_again(scene: Moves, age: float) -> None:
    """Restore the store twice, and replace the leader each time."""
    await scene.restore(age)
    await scene.replace_leader()
    await asyncio.sleep(SETTLE_SECONDS)
    await scene.restore(age / 2)
    await scene.replace_leader()


async def lead_on(scene: Moves, age: float) -> None:
    """Restore the store beside a leader that goes on."""
    await scene.restore(age)
    await asyncio.sleep(CLAIM_SECONDS)


async def replace_by_one_that_knows(scene: Moves, age: float) -> None:
    """Restore the store, and kill the leader; a daemon of before leads."""
    await scene.restore(age)
    scene.kill(scene.find_leader())
    await asyncio.sleep(CLAIM_SECONDS)
    scene.let_lead(next(iter(scene.daemons)))


SUCCESSIONS = (
    replace_leader,
    replace_leader_that_wrote_again,
    replace_leaders_in_turn,
    restore_again,
    lead_on,
    replace_by_one_that_knows,
)


def run_moves(
    seed: int, faulty: frozenset[str], play: Callable[[Moves], Awaitable[None]]
) -> Moves:
    """Run a play and return its scene."""
    scene = Moves(seed, faulty)

    async def script() -> None:
        await scene.start()
        await play(scene)

    run_virtual(script())
    return scene


async def run_first_move(scene: Moves) -> None:
    """Have an earlier order of the service end."""
    scene.order(FIRST)
    await scene.wait_for_end(FIRST)


class TestEnds:
    @pytest.mark.parametrize('seed', range(4))
    @pytest.mark.parametrize('faulty', [frozenset(), frozenset((NEW,))])
    @pytest.mark.parametrize('held', ['running', 'nothing begun', 'earlier order'])
    @pytest.mark.parametrize('succession', SUCCESSIONS)
    def test_a_move_ends_once(
        self, succession: Succession, held: str, faulty: frozenset[str], seed: int
    ) -> None:
        """A leader that had started after a move's end ended it again in another way."""
        former: set[str] = set()
        times: list[float] = []

        async def play(scene: Moves) -> None:
            await run_first_move(scene)
            loop = asyncio.get_running_loop()
            at_first_end = loop.time()
            await asyncio.sleep(1)
            scene.order(NEW)
            ordered_at = loop.time()
            while scene.store.states[-1][0] != NEW:
                await asyncio.sleep(0.001)
            begun_at = loop.time()
            await scene.wait_for_end(NEW)
            await asyncio.sleep(SETTLE_SECONDS)
            former.update(scene.daemons)
            times.append(loop.time())
            moments = {
                'running': begun_at + 0.01,
                'nothing begun': (ordered_at + begun_at) / 2,
                'earlier order': at_first_end - 0.1,
            }
            await succession(scene, loop.time() - moments[held])
            await asyncio.sleep(2 * DURATION_SECONDS)

        scene = run_moves(seed, faulty, play)
        assert len(scene.find_later_states(NEW)) == 1
        assert len(scene.find_later_states(FIRST)) == 1
        version = OLD if faulty else NEW
        shares = {daemon.find_share() for daemon in scene.daemons.values()}
        assert shares == {float(version == NEW)}
        assert scene.find_versions(former, after=times[0]) == {version}
