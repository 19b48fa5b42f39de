"""Tests that all daemons learn of a draining server before its drain time is over."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from daemons_scene import Daemons, is_change_message
from virtual_time import run_virtual

# The shortest drain time of all deployments.
DRAIN_SECONDS = 2.0
SERVER = 'i-1'
# Daemons in the local and in the remote failure domain, and number of seeds. Clusters of
# the last size exchange summaries.
SIZES = ((8, 4, 5), (3, 3, 5), (15, 14, 1))
# Staleness of non-linearizable reads while the store's replicas lag.
STALE_SECONDS = 6.0

Fault = Callable[[Daemons], Awaitable[None]]


async def drop_messages_of_killed_watchers(cluster: Daemons) -> None:
    """Drop all messages of the change to one daemon, and kill their senders."""
    watchers = cluster.find_watchers('gent')
    missed = next(name for name in cluster.daemons if name not in watchers)
    cluster.net.should_drop = lambda sender, to, data: (
        to == missed and is_change_message(data)
    )
    cluster.leave(SERVER)
    await asyncio.sleep(0.1)
    for name in watchers:
        cluster.kill(name)


async def partition_watchers_from_store(cluster: Daemons) -> None:
    """Make the store unresponsive to a failure domain's watchers."""
    cluster.store.unresponsive_to.update(cluster.find_watchers('gent'))
    cluster.leave(SERVER)


async def partition_all_watchers_from_store(cluster: Daemons) -> None:
    """Make the store unresponsive to the watchers of all failure domains at once."""
    for domain in ('gent', 'aalst'):
        cluster.store.unresponsive_to.update(cluster.find_watchers(domain))
    cluster.leave(SERVER)


async def stall_watches(cluster: Daemons) -> None:
    """Keep the pending watches of a failure domain from ever receiving a change."""
    cluster.store.stalled_watchers.update(cluster.find_watchers('gent'))
    cluster.leave(SERVER)


async def kill_watchers(cluster: Daemons) -> None:
    """Kill a failure domain's watchers just before the change."""
    for name in cluster.find_watchers('gent'):
        cluster.kill(name)
    cluster.leave(SERVER)


async def start_unheard_daemon(cluster: Daemons) -> None:
    """Start a daemon whose messages are dropped until after the change."""
    cluster.net.should_drop = lambda sender, to, data: sender == 'gent-9'
    cluster.start('gent-9')
    await asyncio.sleep(0.05)
    cluster.leave(SERVER)
    await asyncio.sleep(0.5)
    cluster.net.should_drop = lambda sender, to, data: False


class TestStateDelay:
    @pytest.mark.parametrize(
        'fault',
        [
            drop_messages_of_killed_watchers,
            partition_watchers_from_store,
            partition_all_watchers_from_store,
            stall_watches,
            kill_watchers,
            start_unheard_daemon,
        ],
    )
    def test_no_daemon_sends_to_drained_server(self, fault: Fault) -> None:
        """Guards against requests to drained servers by daemons without the change."""
        for local, remote, seeds in SIZES:
            for seed in range(seeds):
                assert not find_outdated(fault, local, remote, seed), (
                    local,
                    remote,
                    seed,
                )

    @pytest.mark.parametrize(
        ('names', 'sizes'),
        [
            (('kranj', 'aalst'), (7, 5)),
            (('gent', 'aalst'), (7, 5)),
            (('gent', 'aalst'), (12, 12)),
            (('gent', 'aalst'), (33, 33)),
        ],
    )
    def test_failure_domain_without_store_learns_of_drain(
        self, names: tuple[str, str], sizes: tuple[int, int]
    ) -> None:
        """Guards against daemons without the store that get no changes from others."""
        partitioned = names[-1]
        outdated: list[str] = []

        async def script() -> None:
            cluster = Daemons(0, **dict(zip(names, sizes, strict=True)))
            await cluster.start_all()
            cluster.store.unresponsive_to.update(cluster.find_daemons(partitioned))
            await asyncio.sleep(3)
            cluster.leave(SERVER)
            await asyncio.sleep(DRAIN_SECONDS)
            outdated.extend(cluster.find_outdated(SERVER))

        run_virtual(script())
        assert not outdated


class TestFastLinks:
    @pytest.mark.parametrize(
        'fault', [kill_watchers, partition_watchers_from_store, stall_watches]
    )
    def test_no_daemon_sends_to_drained_server_after_loss_of_the_fast_watchers(
        self, fault: Fault
    ) -> None:
        # Only two daemons of each domain watch if their links are fast; both fail.
        assert not find_outdated(fault, 15, 14, 1, find_link_mbps=find_unequal_link)

    def test_slow_links_do_not_carry_watches(self) -> None:
        # Each change of a large configuration filled a slow watcher's link for a second.
        watchers: list[str] = []

        async def script() -> None:
            cluster = Daemons(1, gent=15, aalst=14)
            cluster.net.find_link_mbps = find_unequal_link
            await cluster.start_all()
            watchers.extend(cluster.find_watchers('gent'))

        run_virtual(script())
        assert sorted(watchers) == ['gent-1', 'gent-2']


def find_unequal_link(daemon: str) -> float:
    """Return the rate of a link; two daemons of each failure domain have a fast one."""
    return 100 if daemon.rpartition('-')[2] in {'1', '2'} else 5


def find_equal_link(daemon: str) -> float:
    """Return the rate of a link, which is the same for all daemons."""
    return 10


def find_outdated(
    fault: Fault,
    local: int,
    remote: int,
    seed: int,
    find_link_mbps: Callable[[str], float] = find_equal_link,
) -> list[str]:
    """Inject a fault; return the daemons that still use a server after its drain time.

    Daemons without access to the store are left out.
    """
    outdated: list[str] = []

    async def script() -> None:
        cluster = Daemons(seed, gent=local, aalst=remote)
        cluster.net.find_link_mbps = find_link_mbps
        await cluster.start_all()
        await asyncio.sleep(seed / 3)
        cluster.store.stale_seconds = STALE_SECONDS
        await fault(cluster)
        await asyncio.sleep(DRAIN_SECONDS)
        partitioned = cluster.store.unresponsive_to
        outdated.extend(
            name for name in cluster.find_outdated(SERVER) if name not in partitioned
        )

    run_virtual(script())
    return outdated
