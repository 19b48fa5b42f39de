"""Tests that usage counts are saved while no daemon leads, in virtual time.

The simulated store's leases last for ever, so that no successor leads.
"""

import asyncio
import json
from collections import Counter
from collections.abc import Callable

import pytest
from daemons_scene import Daemons
from virtual_time import run_virtual

from fireflyhitch_model.ids import CustomerId
from fireflyhitch_serving.leases import LEASE_SECONDS
from fireflyhitch_serving.saved_counts import SAVED_PREFIX
from fireflyhitch_serving.usage_reports import SAVE_SECONDS

BAKERY = CustomerId('bakery')

Stop = Callable[[Daemons, str], None]


def stop_gracefully(cluster: Daemons, daemon: str) -> None:
    """Stop a daemon that goes on with the requests it has."""
    cluster.daemons[daemon].stop()


def kill(cluster: Daemons, daemon: str) -> None:
    """Kill a daemon."""
    cluster.kill(daemon)


def isolate(cluster: Daemons, daemon: str) -> None:
    """Cut a daemon off from all others and from the store."""
    cluster.store.unresponsive_to.add(daemon)
    cluster.net.should_drop = lambda sender, to, data: daemon in {sender, to}


def find_leader(cluster: Daemons) -> str:
    return next(name for name, daemon in cluster.daemons.items() if daemon.leads())


def count_saved(cluster: Daemons) -> int:
    """Return how many requests are counted in the store, each once."""
    now = asyncio.get_running_loop().time()
    saved: Counter[tuple[str, str]] = Counter()
    for item in cluster.store.read(SAVED_PREFIX, now).items:
        for process, windows in json.loads(item.value).items():
            for window, customers in windows.items():
                saved |= Counter({(process, window): customers.get(BAKERY, 0)})
    return saved.total()


class TestNoLeader:
    @pytest.mark.parametrize('stop', [stop_gracefully, kill, isolate])
    @pytest.mark.parametrize(
        'counts',
        [{'gent': 5}, {'gent': 3, 'aalst': 3}, {'gent': 12, 'aalst': 12}],
    )
    def test_counts_are_saved_before_a_stopped_leader_has_a_successor(
        self, counts: dict[str, int], stop: Stop
    ) -> None:
        # Until the leader's lease had expired nobody saved counts. If all daemons were
        # killed in these four seconds, a window was reported without them.
        saved: list[int] = []

        async def script() -> None:
            cluster = Daemons(1, **counts)
            await cluster.start_all()
            leader = find_leader(cluster)
            stop(cluster, leader)
            others = [name for name in cluster.daemons if name != leader]
            for name in others:
                cluster.daemons[name].count_request(BAKERY)
            await asyncio.sleep(LEASE_SECONDS)
            saved.append(count_saved(cluster) - len(others))

        run_virtual(script())
        assert saved == [0]

    def test_a_daemon_started_after_all_were_killed_knows_what_a_deputy_saved(
        self,
    ) -> None:
        # Deputies save under keys of their own, so that they do not contend with leaders.
        known: list[int] = []

        async def script() -> None:
            cluster = Daemons(1, gent=3, aalst=2)
            await cluster.start_all()
            kill(cluster, find_leader(cluster))
            for daemon in cluster.daemons.values():
                daemon.count_request(BAKERY)
            await asyncio.sleep(LEASE_SECONDS)
            for name in tuple(cluster.daemons):
                cluster.kill(name)
            cluster.start('gent-9')
            await asyncio.sleep(2 * LEASE_SECONDS)
            known.append(cluster.daemons['gent-9'].count_known(BAKERY))

        run_virtual(script())
        assert known == [4]

    @pytest.mark.parametrize('counts', [{'gent': 5}, {'gent': 12, 'aalst': 12}])
    def test_one_daemon_of_a_failure_domain_saves_counts(
        self, counts: dict[str, int]
    ) -> None:
        # Each save is a write; daemons that all saved would load the store.
        writes: list[int] = []

        async def script() -> None:
            cluster = Daemons(1, **counts)
            await cluster.start_all()
            kill(cluster, find_leader(cluster))
            await asyncio.sleep(LEASE_SECONDS)
            for daemon in cluster.daemons.values():
                daemon.count_request(BAKERY)
            before = cluster.store.revision
            await asyncio.sleep(LEASE_SECONDS)
            writes.append(cluster.store.revision - before)

        run_virtual(script())
        assert 0 < writes[0] <= len(counts) * LEASE_SECONDS / SAVE_SECONDS
