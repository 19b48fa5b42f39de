"""Tests of a daemon's lease, and of its effect on the store's health."""

import asyncio
import random

from virtual_store import StoreClient, VirtualStore
from virtual_time import LoopClock, run_virtual

from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.states import Step
from fireflyhitch_serving.leases import LeaderLease
from fireflyhitch_serving.store_eras import EraTracker
from fireflyhitch_serving.store_health import StoreHealth


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
