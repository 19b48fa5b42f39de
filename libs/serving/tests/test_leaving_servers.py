"""Tests that every daemon knows of a leaving server before its drain time is over."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from daemons_scene import Daemons, is_change
from virtual_time import run_virtual

# The shortest drain time that deployments have.
DRAIN_SECONDS = 2.0
SERVER = 'i-1'
# Daemons of two failure domains, and seeds; the last size is known by summaries.
SIZES = ((8, 4, 5), (3, 3, 5), (15, 14, 1))
# How old reads are that may be old, while the store's copies are behind.
BEHIND_SECONDS = 6.0

Fault = Callable[[Daemons], Awaitable[None]]


async def lose_messages_of_watchers_that_end(scene: Daemons) -> None:
    """Lose all that tells a daemon of the change, and end those who passed it on."""
    watchers = scene.find_watchers('gent')
    missed = next(name for name in scene.daemons if name not in watchers)
    scene.net.should_drop = lambda sender, to, data: to == missed and is_change(data)
    scene.leave(SERVER)
    await asyncio.sleep(0.1)
    for name in watchers:
        scene.kill(name)


async def cut_watchers_off_from_the_store(scene: Daemons) -> None:
    """Have the store answer none of a failure domain's watchers."""
    scene.store.unresponsive_to.update(scene.find_watchers('gent'))
    scene.leave(SERVER)


async def keep_watches_without_answers(scene: Daemons) -> None:
    """Have the waiting watches of a failure domain never get their answer."""
    scene.store.stalled_watchers.update(scene.find_watchers('gent'))
    scene.leave(SERVER)


async def end_both_watchers(scene: Daemons) -> None:
    """End a failure domain's watchers just before the change."""
    for name in scene.find_watchers('gent'):
        scene.kill(name)
    scene.leave(SERVER)


async def start_unheard(scene: Daemons) -> None:
    """Start a daemon that its neighbours do not hear until after the change."""
    scene.net.should_drop = lambda sender, to, data: sender == 'gent-9'
    scene.start('gent-9')
    await asyncio.sleep(0.05)
    scene.leave(SERVER)
    await asyncio.sleep(0.5)
    scene.net.should_drop = lambda sender, to, data: False


class TestLateKnowledge:
    @pytest.mark.parametrize(
        'fault',
        [
            lose_messages_of_watchers_that_end,
            cut_watchers_off_from_the_store,
            keep_watches_without_answers,
            end_both_watchers,
            start_unheard,
        ],
    )
    def test_nobody_sends_to_a_server_that_has_drained(self, fault: Fault) -> None:
        """Guards against requests to leaving servers by daemons that missed the word."""
        for near, far, seeds in SIZES:
            for seed in range(seeds):
                assert not find_outdated(fault, near, far, seed), (near, far, seed)

    @pytest.mark.parametrize(
        ('names', 'sizes'),
        [
            (('kranj', 'aalst'), (7, 5)),
            (('gent', 'aalst'), (7, 5)),
            (('gent', 'aalst'), (12, 12)),
            (('gent', 'aalst'), (33, 33)),
        ],
    )
    def test_a_failure_domain_that_the_store_turns_away_is_told(
        self, names: tuple[str, str], sizes: tuple[int, int]
    ) -> None:
        """Guards against daemons without the store that are helped by nobody."""
        silent = names[-1]
        unaware: list[str] = []

        async def script() -> None:
            scene = Daemons(0, **dict(zip(names, sizes, strict=True)))
            await scene.start_all()
            scene.store.unresponsive_to.update(scene.find_daemons(silent))
            await asyncio.sleep(3)
            scene.leave(SERVER)
            await asyncio.sleep(DRAIN_SECONDS)
            unaware.extend(scene.find_outdated(SERVER))

        run_virtual(script())
        assert not unaware


def find_outdated(fault: Fault, near: int, far: int, seed: int) -> list[str]:
    """Play a fault; return who sends to a server after its drain time.

    Daemons that the store does not answer are left out.
    """
    unaware: list[str] = []

    async def script() -> None:
        scene = Daemons(seed, gent=near, aalst=far)
        await scene.start_all()
        await asyncio.sleep(seed / 3)
        scene.store.stale_seconds = BEHIND_SECONDS
        await fault(scene)
        await asyncio.sleep(DRAIN_SECONDS)
        silent = scene.store.unresponsive_to
        unaware.extend(
            name for name in scene.find_outdated(SERVER) if name not in silent
        )

    run_virtual(script())
    return unaware
