"""Tests that daemons share crash records of requests, in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from daemons_scene import Daemons
from virtual_time import run_virtual

from fireflyhitch_model.identity import identify_parts
from fireflyhitch_model.ids import ContentId, DeploymentId

CRASHING = ContentId('crashing')
HARMLESS = ContentId('harmless')
SHARED_PART, CRASHING_PART = identify_parts(DeploymentId('engines'), ('all', 'bad'))
# The platform's bounds, for small and large clusters, on the time until all daemons
# that can communicate hold back a crashing request.
BOUND_SECONDS = 3.0
LARGE_BOUND_SECONDS = 4.0
MAX_SMALL_CLUSTER = 20
RETRY_INTERVAL_SECONDS = 0.5

SIZES = [{'gent': 5}, {'gent': 7, 'aalst': 7}, {'gent': 12, 'aalst': 12}]
LARGE = {'gent': 22, 'aalst': 22, 'brugge': 22}

Fault = Callable[[Daemons], Awaitable[None]]


async def inject_no_fault(cluster: Daemons) -> None:
    """Inject no fault."""


async def lose_messages(cluster: Daemons) -> None:
    """Drop one message in ten from now on."""
    rng = cluster.rng
    cluster.net.should_drop = lambda sender, to, data: rng.random() < 0.1


async def partition_last_daemon(cluster: Daemons) -> None:
    """Partition the last daemon from all others; the store still responds to it."""
    last = list(cluster.daemons)[-1]
    cluster.net.should_drop = lambda sender, to, data: last in {sender, to}
    await asyncio.sleep(LARGE_BOUND_SECONDS)


async def kill_hub(cluster: Daemons) -> None:
    """Kill a failure domain's hub, if it has one."""
    for hub in cluster.find_hubs('gent')[:1]:
        cluster.kill(hub)


def find_bound(cluster: Daemons) -> float:
    """Return the seconds within which all daemons must hold back the request."""
    small = len(cluster.daemons) <= MAX_SMALL_CLUSTER
    return BOUND_SECONDS if small else LARGE_BOUND_SECONDS


async def crash_three_servers(cluster: Daemons, *contents: ContentId) -> None:
    """Have three servers crash under requests, each sent by another daemon."""
    names = list(cluster.daemons)
    for number, name in enumerate((names[0], names[-2], names[1])):
        for content in contents:
            cluster.daemons[name].record_crash(content, number)
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)


async def crash_under_part(cluster: Daemons) -> None:
    """Have three servers crash under requests that share the parts of their prompts."""
    names = list(cluster.daemons)
    for number, name in enumerate((names[0], names[-2], names[1])):
        for content in (ContentId(f'request-{number}'), SHARED_PART, CRASHING_PART):
            cluster.daemons[name].record_crash(content, number)
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)


def find_not_holding(cluster: Daemons, content: ContentId) -> list[str]:
    """Return the daemons that do not hold back a request."""
    return [
        name for name, daemon in cluster.daemons.items() if not daemon.holds(content)
    ]


def run_fault(counts: dict[str, int], fault: Fault, seed: int = 1) -> list[str]:
    """Inject a fault; return the daemons that do not hold back the request in time."""
    not_holding: list[str] = []

    async def script() -> None:
        cluster = Daemons(seed, **counts)
        await cluster.start_all()
        await fault(cluster)
        await crash_three_servers(cluster, CRASHING)
        await asyncio.sleep(find_bound(cluster) - RETRY_INTERVAL_SECONDS)
        not_holding.extend(find_not_holding(cluster, CRASHING))

    run_virtual(script())
    return not_holding


class TestSharedCrashRecords:
    @pytest.mark.parametrize('counts', [*SIZES, LARGE])
    @pytest.mark.parametrize(
        'fault', [inject_no_fault, lose_messages, partition_last_daemon, kill_hub]
    )
    def test_all_daemons_hold_request_in_time(
        self, counts: dict[str, int], fault: Fault
    ) -> None:
        assert not run_fault(counts, fault)

    @pytest.mark.parametrize('seed', range(2, 8))
    def test_all_daemons_hold_request_in_time_despite_lost_messages(
        self, seed: int
    ) -> None:
        assert not run_fault(SIZES[2], lose_messages, seed)

    @pytest.mark.parametrize('counts', [*SIZES, LARGE])
    @pytest.mark.parametrize('fault', [inject_no_fault, lose_messages, kill_hub])
    def test_all_daemons_hold_a_part_in_time_and_none_that_one_of_them_has_answered(
        self, counts: dict[str, int], fault: Fault
    ) -> None:
        async def script() -> None:
            cluster = Daemons(1, **counts)
            await cluster.start_all()
            await fault(cluster)
            now = asyncio.get_running_loop().time()
            responder = list(cluster.daemons.values())[-1]
            responder.crashes.tracker.record_response(SHARED_PART, now)
            await crash_under_part(cluster)
            await asyncio.sleep(find_bound(cluster) - RETRY_INTERVAL_SECONDS)
            assert not find_not_holding(cluster, CRASHING_PART)
            assert len(find_not_holding(cluster, SHARED_PART)) == len(cluster.daemons)

        run_virtual(script())

    def test_hold_survives_restart_of_all_daemons(self) -> None:
        # Only the store has the records then.
        async def script() -> None:
            cluster = Daemons(1, **SIZES[1])
            await cluster.start_all()
            await crash_three_servers(cluster, CRASHING)
            await asyncio.sleep(BOUND_SECONDS)
            names = list(cluster.daemons)
            for name in names:
                cluster.kill(name)
            for name in names:
                cluster.start(name)
            await asyncio.sleep(BOUND_SECONDS)
            assert not find_not_holding(cluster, CRASHING)

        run_virtual(script())

    def test_request_with_complete_response_is_never_held(self) -> None:
        # Three servers crash under a harmless request because of another request. One
        # daemon has a complete response to it, which exonerates it.
        async def script() -> None:
            cluster = Daemons(1, **LARGE)
            await cluster.start_all()
            responder = list(cluster.daemons.values())[-1]
            now = asyncio.get_running_loop().time()
            responder.crashes.tracker.record_response(HARMLESS, now)
            await crash_three_servers(cluster, CRASHING, HARMLESS)
            for _ in range(50):
                assert len(find_not_holding(cluster, HARMLESS)) == len(cluster.daemons)
                await asyncio.sleep(0.1)
            assert not find_not_holding(cluster, CRASHING)

        run_virtual(script())
