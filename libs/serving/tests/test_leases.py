"""Tests of a daemon's lease and of what its calls say of the store."""

import asyncio
import random

from virtual_store import StoreClient, VirtualStore
from virtual_time import LoopClock, run_virtual

from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.states import Step
from fireflyhitch_serving.leases import LeaderLease
from fireflyhitch_serving.store_health import StoreHealth


class TestHealth:
    def test_a_lease_that_waits_does_not_vouch_for_the_store(self) -> None:
        """Guards against a daemon that is cut off and tells that it hears the store."""

        async def script() -> None:
            store = VirtualStore()
            clock = LoopClock()
            health = StoreHealth(clock)
            lease = LeaderLease(
                StoreClient(store, 'gent-1'),
                clock.monotonic,
                'gent-1/a1',
                random.Random(1),  # noqa: S311
                health,
                int,
            )
            lease.mark_keys_listed()
            keeping = asyncio.create_task(lease.run())
            await asyncio.sleep(0.3)
            assert health.answers
            store.unresponsive_to.add('gent-1')
            health.record_failure(PlatformError('no answer', step=Step.STORE_WATCH))
            for _ in range(30):
                await asyncio.sleep(0.1)
                assert not health.answers
            keeping.cancel()

        run_virtual(script())
