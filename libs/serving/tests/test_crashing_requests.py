"""Tests of how daemons learn of a request that ends servers, in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from daemons_scene import Daemons
from virtual_time import run_virtual

from fireflyhitch_model.ids import ContentId

CRASHING = ContentId('crashing')
HARMLESS = ContentId('harmless')
# As the platform has it: in this time daemons that it reaches know, of few and of many.
CONTACT_SECONDS = 3.0
CONTACT_SECONDS_OF_MANY = 4.0
FEW = 20
TRY_SECONDS = 0.5

SIZES = [{'gent': 5}, {'gent': 7, 'aalst': 7}, {'gent': 12, 'aalst': 12}]
LARGE = {'gent': 22, 'aalst': 22, 'brugge': 22}

Fault = Callable[[Daemons], Awaitable[None]]


async def change_nothing(scene: Daemons) -> None:
    """Leave all as it is."""


async def lose_messages(scene: Daemons) -> None:
    """Lose one message in ten from now on."""
    rng = scene.rng
    scene.net.should_drop = lambda sender, to, data: rng.random() < 0.1


async def cut_one_off(scene: Daemons) -> None:
    """Cut the last daemon off from all others; the store still answers it."""
    last = list(scene.daemons)[-1]
    scene.net.should_drop = lambda sender, to, data: last in {sender, to}
    await asyncio.sleep(CONTACT_SECONDS_OF_MANY)


async def end_the_hub(scene: Daemons) -> None:
    """End a failure domain's hub, if it has one."""
    for hub in scene.find_hubs('gent')[:1]:
        scene.kill(hub)


def find_bound(scene: Daemons) -> float:
    """Return the seconds in which all have to know."""
    few = len(scene.daemons) <= FEW
    return CONTACT_SECONDS if few else CONTACT_SECONDS_OF_MANY


async def end_three_servers(scene: Daemons, *contents: ContentId) -> None:
    """Have three servers end under requests, each at another daemon."""
    names = list(scene.daemons)
    for number, name in enumerate((names[0], names[-2], names[1])):
        for content in contents:
            scene.daemons[name].record_crash(content, number)
        await asyncio.sleep(TRY_SECONDS)


def find_unknowing(scene: Daemons, content: ContentId) -> list[str]:
    """Return the daemons that would send a request on."""
    return [name for name, daemon in scene.daemons.items() if not daemon.holds(content)]


def play_fault(counts: dict[str, int], fault: Fault, seed: int = 1) -> list[str]:
    """Return who does not hold the request back in time."""
    unknowing: list[str] = []

    async def script() -> None:
        scene = Daemons(seed, **counts)
        await scene.start_all()
        await fault(scene)
        await end_three_servers(scene, CRASHING)
        await asyncio.sleep(find_bound(scene) - TRY_SECONDS)
        unknowing.extend(find_unknowing(scene, CRASHING))

    run_virtual(script())
    return unknowing


class TestKnowledgeOfCrashingRequests:
    @pytest.mark.parametrize('counts', [*SIZES, LARGE])
    @pytest.mark.parametrize(
        'fault', [change_nothing, lose_messages, cut_one_off, end_the_hub]
    )
    def test_all_daemons_hold_it_in_time(
        self, counts: dict[str, int], fault: Fault
    ) -> None:
        assert not play_fault(counts, fault)

    @pytest.mark.parametrize('seed', range(2, 8))
    def test_all_daemons_hold_it_in_time_though_messages_are_lost(
        self, seed: int
    ) -> None:
        assert not play_fault(SIZES[2], lose_messages, seed)

    def test_daemons_that_start_after_all_were_killed_hold_it(self) -> None:
        # Only the store knows it then.
        async def script() -> None:
            scene = Daemons(1, **SIZES[1])
            await scene.start_all()
            await end_three_servers(scene, CRASHING)
            await asyncio.sleep(CONTACT_SECONDS)
            names = list(scene.daemons)
            for name in names:
                scene.kill(name)
            for name in names:
                scene.start(name)
            await asyncio.sleep(CONTACT_SECONDS)
            assert not find_unknowing(scene, CRASHING)

        run_virtual(script())

    def test_what_one_daemon_has_answered_is_held_by_none(self) -> None:
        # Three servers end by another's doing under a request that is well elsewhere.
        async def script() -> None:
            scene = Daemons(1, **LARGE)
            await scene.start_all()
            answerer = list(scene.daemons.values())[-1]
            now = asyncio.get_running_loop().time()
            answerer.crashes.book.record_response(HARMLESS, now)
            await end_three_servers(scene, CRASHING, HARMLESS)
            for _ in range(50):
                assert len(find_unknowing(scene, HARMLESS)) == len(scene.daemons)
                await asyncio.sleep(0.1)
            assert not find_unknowing(scene, CRASHING)

        run_virtual(script())
