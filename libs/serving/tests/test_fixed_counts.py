"""Tests of fixed usage counts when writes are carried out late, in a restored store."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from virtual_store import StoreClient, VirtualStore
from virtual_time import LoopClock, run_virtual

from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import CustomerId, FailureDomainId
from fireflyhitch_platform.keyvalue import Listing
from fireflyhitch_serving.fixed_counts import FixedCounts, KeeperCalls, make_key
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.store_eras import EraTracker

WINDOW = 7
REPORTED = {CustomerId('bakery'): 12}
LATE = b'{"bakery": 9}'
COPY_SECONDS = 5.0


class Stores:
    """A store, and the daemons that know fixed counts."""

    def __init__(self) -> None:
        self.store = VirtualStore()
        self.daemons: list[FixedCounts] = []

    def start(self, name: str) -> FixedCounts:
        """Return the fixed counts of a daemon that has just started."""
        clock = LoopClock()
        eras = EraTracker(clock)
        known = FixedCounts(
            StoreClient(self.store, name, eras),
            eras,
            PeerRegistry(name, FailureDomainId('gent'), clock, clock.monotonic),
            KeeperCalls(lambda data, daemons: None, self._read),
        )
        self.daemons.append(known)
        return known

    async def _read(self, prefix: str, daemons: list[str]) -> list[Listing]:
        return [known.make_listing() for known in self.daemons]

    async def fix_and_restore(self, leader: FixedCounts) -> None:
        """Fix a window's counts, and bring the store back as it was before."""
        self.store.put('servers/i-1', b'ready')
        await asyncio.sleep(COPY_SECONDS)
        await leader.load(WINDOW)
        await leader.fix(WINDOW, REPORTED)
        self.store.restore(COPY_SECONDS / 2)

    def carry_out_late(self) -> None:
        """Write what the leader had sent before, without an answer, for this window."""
        self.store.put(make_key(WINDOW), LATE)


async def take_over(leader: FixedCounts) -> None:
    """Do what a leader does that finds no record of the present era."""
    assert await leader.load(WINDOW) is None
    await leader.ask_peers()
    leader.apply_stored()
    await leader.write_again()
    await leader.record_complete_since(WINDOW)


def run(script: Callable[[Stores], Awaitable[None]]) -> None:
    """Run a script in virtual time."""

    async def start() -> None:
        await script(Stores())

    run_virtual(start())


class TestLateWrites:
    def test_a_leader_keeps_the_counts_that_it_reported(self) -> None:
        """A leader took a late write of its own for what it had reported."""

        async def script(stores: Stores) -> None:
            leader = stores.start('gent-1')
            await stores.fix_and_restore(leader)
            stores.carry_out_late()
            await take_over(leader)
            assert leader.find(WINDOW) == REPORTED

        run(script)

    def test_a_new_leader_asks_peers_before_it_trusts_the_store(self) -> None:
        """A new leader took a late write for what its predecessor had reported."""

        async def script(stores: Stores) -> None:
            await stores.fix_and_restore(stores.start('gent-1'))
            stores.carry_out_late()
            leader = stores.start('gent-2')
            await take_over(leader)
            assert leader.find(WINDOW) == REPORTED

        run(script)

    def test_a_deputy_passes_on_no_counts_of_an_uncertain_store(self) -> None:
        """A leader may hear a deputy that has read a late write before other peers."""

        async def script(stores: Stores) -> None:
            former = stores.start('gent-1')
            await stores.fix_and_restore(former)
            stores.carry_out_late()
            deputy = stores.start('gent-2')
            await deputy.load(WINDOW)
            stores.daemons = [deputy, former]
            leader = stores.start('gent-3')
            await take_over(leader)
            assert leader.find(WINDOW) == REPORTED

        run(script)

    def test_a_later_leader_finds_the_counts_that_were_reported(self) -> None:
        """The store went on to hold a late write, for leaders that know nothing else."""

        async def script(stores: Stores) -> None:
            leader = stores.start('gent-1')
            await stores.fix_and_restore(leader)
            stores.carry_out_late()
            await take_over(leader)
            later = stores.start('gent-2')
            assert await later.load(WINDOW) == WINDOW
            assert later.find(WINDOW) == REPORTED

        run(script)

    def test_a_write_during_a_take_over_is_noticed(self) -> None:
        """Counts were taken for written again though a late write came first."""

        async def script(stores: Stores) -> None:
            leader = stores.start('gent-1')
            await stores.fix_and_restore(leader)
            await leader.load(WINDOW)
            stores.carry_out_late()
            with pytest.raises(PlatformError):
                await leader.write_again()

        run(script)

    def test_a_window_of_which_daemons_know_two_counts_is_not_reported(self) -> None:
        """A leader reported one of two counts, and the other one had been reported."""

        async def script(stores: Stores) -> None:
            former = stores.start('gent-1')
            await stores.fix_and_restore(former)
            stores.carry_out_late()
            other = stores.start('gent-2')
            assert await other.load(WINDOW) is None
            other.apply_stored()
            leader = stores.start('gent-3')
            await take_over(leader)
            assert await leader.fix(WINDOW, REPORTED) is None

        run(script)
