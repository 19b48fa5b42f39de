"""Tests of the hubs that join the news of a failure domain's daemons, in virtual time."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

import pytest
from daemons_scene import Daemons
from virtual_time import run_virtual

# A daemon's messages a second: to two hubs, and to the leader.
MOST_SENT = 14
SECONDS = 5
# In which the state after a fault is known: a hub's silence, its successor's first
# message, and what was noted of daemons that have ended.
SETTLE_SECONDS = 4.0

Fault = Callable[[Daemons], Awaitable[None]]


async def end_the_hub(scene: Daemons) -> None:
    """End a failure domain's hub."""
    scene.kill(scene.find_hubs('gent')[0])


async def end_the_hub_and_its_successor(scene: Daemons) -> None:
    """End a hub, and the one that takes its place as soon as it does."""
    await end_the_hub(scene)
    await asyncio.sleep(1.5)
    await end_the_hub(scene)


async def lose_messages(scene: Daemons) -> None:
    """Lose one message in ten from now on."""
    rng = scene.rng
    scene.net.should_drop = lambda sender, to, data: rng.random() < 0.1


async def start_the_hub_again(scene: Daemons) -> None:
    """End a hub, and have it start again at once."""
    hub = scene.find_hubs('gent')[0]
    scene.kill(hub)
    await asyncio.sleep(0.5)
    scene.start(hub)


async def change_nothing(scene: Daemons) -> None:
    """Leave all as it is."""


class TestSums:
    @pytest.mark.parametrize(
        'fault',
        [
            change_nothing,
            end_the_hub,
            end_the_hub_and_its_successor,
            start_the_hub_again,
            lose_messages,
        ],
    )
    def test_each_request_counts_once_at_each_daemon(self, fault: Fault) -> None:
        """Guards against engines that look idle, or twice as busy as they are."""
        counted: Counter[int] = Counter()
        running: list[int] = []

        async def script() -> None:
            scene = Daemons(4, gent=12, aalst=12)
            await scene.start_all()
            await fault(scene)
            await asyncio.sleep(SETTLE_SECONDS)
            counted.update(scene.count_work())
            running.append(len(scene.daemons))

        run_virtual(script())
        assert set(counted) == set(running)

    def test_there_is_one_hub_a_failure_domain(self) -> None:
        """Guards against two that join the same news, and none after a start."""
        hubs: list[list[str]] = []

        async def script() -> None:
            scene = Daemons(4, gent=12, aalst=12)
            await scene.start_all()
            for _ in range(20):
                hubs.extend(scene.find_hubs(domain) for domain in ('gent', 'aalst'))
                await asyncio.sleep(0.1)

        run_virtual(script())
        assert {len(found) for found in hubs} == {1}


class TestMessages:
    @pytest.mark.parametrize('near', [12, 33])
    def test_a_daemon_sends_as_little_however_many_there_are(self, near: int) -> None:
        """Guards against messages that grow with the failure domain."""
        sent: Counter[str] = Counter()
        hubs: list[str] = []

        async def script() -> None:
            scene = Daemons(4, gent=near, aalst=near)
            await scene.start_all()
            hubs.extend([*scene.find_hubs('gent'), *scene.find_hubs('aalst')])

            def count(sender: str, to: str, data: bytes) -> bool:
                sent[sender] += 1
                return False

            scene.net.should_drop = count
            await asyncio.sleep(SECONDS)

        run_virtual(script())
        others = [count for name, count in sent.items() if name not in hubs]
        assert max(others) <= MOST_SENT * SECONDS
