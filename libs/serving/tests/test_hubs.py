"""Tests of the hubs that merge the states of a failure domain's daemons."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

import pytest
from daemons_scene import Daemons
from virtual_time import run_virtual

# A daemon's messages per second: to the hub, its successor and the leader.
MAX_SENT = 14
SECONDS = 5
# Time after which the state is correct again after a fault: detection of the hub's
# loss, its successor's first message, and expiry of stopped daemons' state.
SETTLE_SECONDS = 4.0

Fault = Callable[[Daemons], Awaitable[None]]


async def kill_hub(scene: Daemons) -> None:
    """Kill a failure domain's hub."""
    scene.kill(scene.find_hubs('gent')[0])


async def kill_hub_and_successor(scene: Daemons) -> None:
    """Kill a hub, and then the successor that replaced it."""
    await kill_hub(scene)
    await asyncio.sleep(1.5)
    await kill_hub(scene)


async def drop_messages(scene: Daemons) -> None:
    """Drop one message in ten from now on."""
    rng = scene.rng
    scene.net.should_drop = lambda sender, to, data: rng.random() < 0.1


async def restart_hub(scene: Daemons) -> None:
    """Kill a hub, and restart it at once."""
    hub = scene.find_hubs('gent')[0]
    scene.kill(hub)
    await asyncio.sleep(0.5)
    scene.start(hub)


async def change_nothing(scene: Daemons) -> None:
    """Cause no fault."""


class TestSums:
    @pytest.mark.parametrize(
        'fault',
        [
            change_nothing,
            kill_hub,
            kill_hub_and_successor,
            restart_hub,
            drop_messages,
        ],
    )
    def test_each_daemon_counts_each_request_once(self, fault: Fault) -> None:
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

    def test_each_failure_domain_has_one_hub(self) -> None:
        """Guards against two hubs that merge the same states, and none after a start."""
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
    @pytest.mark.parametrize('daemons_per_domain', [12, 33])
    def test_message_rate_of_a_daemon_is_bounded(self, daemons_per_domain: int) -> None:
        """Guards against a message rate that grows with the failure domain."""
        sent: Counter[str] = Counter()
        hubs: list[str] = []

        async def script() -> None:
            scene = Daemons(4, gent=daemons_per_domain, aalst=daemons_per_domain)
            await scene.start_all()
            hubs.extend([*scene.find_hubs('gent'), *scene.find_hubs('aalst')])

            def count(sender: str, to: str, data: bytes) -> bool:
                sent[sender] += 1
                return False

            scene.net.should_drop = count
            await asyncio.sleep(SECONDS)

        run_virtual(script())
        others = [count for name, count in sent.items() if name not in hubs]
        assert max(others) <= MAX_SENT * SECONDS
