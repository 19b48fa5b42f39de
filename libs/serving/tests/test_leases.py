"""Tests of a daemon's lease, and of its effect on the store's health."""

import asyncio
import random

from virtual_store import StoreClient, VirtualStore
from virtual_time import LoopClock, run_virtual

from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.states import Step
from fireflyhitch_serving.leases import LEADER_KEY, LEASE_SECONDS, LeaderLease
from fireflyhitch_serving.store_eras import EraTracker
from fireflyhitch_serving.store_health import StoreHealth


def make_lease(store: VirtualStore, name: str, eras: EraTracker) -> LeaderLease:
    """Return the lease of a daemon that claims first."""
    clock = LoopClock()
    lease = LeaderLease(
        StoreClient(store, name, eras),
        clock.monotonic,
        f'{name}/a1',
        random.Random(1),  # noqa: S311
        StoreHealth(clock),
        int,
        eras,
    )
    lease.mark_keys_listed()
    return lease


def apply_stored(store: VirtualStore, lease: LeaderLease) -> None:
    """Apply the leader's key as the store holds it."""
    now = asyncio.get_running_loop().time()
    items = store.read(LEADER_KEY, now).items
    found = next(item for item in items if item.key == LEADER_KEY)
    lease.apply_leader(found.value, found.revision)


class TestRestore:
    def test_a_lease_of_an_earlier_era_is_renewed_for_nobody(self) -> None:
        """A cut-off leader led on by an id that the store had given to another lease."""

        async def script() -> None:
            store = VirtualStore()
            store.put('servers/i-1', b'ready')
            await asyncio.sleep(1)
            eras = EraTracker(LoopClock())
            lease = make_lease(store, 'gent-1', eras)
            task = asyncio.create_task(lease.run())
            await asyncio.sleep(2)
            apply_stored(store, lease)
            assert lease.current_leadership() is not None
            store.unresponsive_to.add('gent-1')
            store.restore(2.5)
            eras.record(store.era, 'peer')
            await asyncio.sleep(2 * LEASE_SECONDS)
            other = StoreClient(store, 'gent-2', EraTracker(LoopClock()))
            for _ in range(3):
                await other.grant_lease(10 * LEASE_SECONDS)
            store.unresponsive_to.clear()
            await asyncio.sleep(3)
            assert lease.current_leadership() is None
            task.cancel()

        run_virtual(script())


class TestHealth:
    def test_a_waiting_lease_does_not_count_as_a_store_response(self) -> None:
        """Guards against a partitioned daemon that reports the store as reachable."""

        async def script() -> None:
            store = VirtualStore()
            clock = LoopClock()
            health = StoreHealth(clock)
            eras = EraTracker(clock)
            lease = LeaderLease(
                StoreClient(store, 'gent-1', eras),
                clock.monotonic,
                'gent-1/a1',
                random.Random(1),  # noqa: S311
                health,
                int,
                eras,
            )
            lease.mark_keys_listed()
            task = asyncio.create_task(lease.run())
            await asyncio.sleep(0.3)
            assert health.answers
            store.unresponsive_to.add('gent-1')
            health.record_failure(PlatformError('no answer', step=Step.STORE_WATCH))
            for _ in range(30):
                await asyncio.sleep(0.1)
                assert not health.answers
            task.cancel()

        run_virtual(script())
