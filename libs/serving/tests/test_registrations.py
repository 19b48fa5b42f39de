"""Tests of what daemons write of themselves into the store."""

import asyncio

import pytest
from daemons_scene import Daemons
from virtual_store import StoreClient, VirtualStore
from virtual_time import LoopClock, run_virtual

from fireflyhitch_model.ids import ABSENT, FailureDomainId, Revision
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.registrations import (
    DAEMONS_PREFIX,
    GONE_SECONDS,
    MOST_GONE_SECONDS,
    Registration,
    RegistrationManager,
    read_registration,
)
from fireflyhitch_serving.store_health import StoreHealth

OWN = Registration(Address('10.1.0.14', 7600), FailureDomainId('gent'), 10)


class TestRegistration:
    def test_it_is_read_as_it_was_written(self) -> None:
        assert read_registration(OWN.render()) == OWN

    def test_one_without_a_link_is_read(self) -> None:
        # While instances are replaced one by one, older versions are listed as well.
        told = read_registration(b'10.1.0.14:7600 gent')
        assert told.address == OWN.address
        assert not told.link_mbps

    @pytest.mark.parametrize('value', [b'', b'10.1.0.14 gent', b'a:b gent', b'\xff'])
    def test_what_is_none_is_said(self, value: bytes) -> None:
        with pytest.raises(ValueError):
            read_registration(value)


def make_keeper(store: VirtualStore) -> RegistrationManager:
    """Return the keeper of a daemon that has just started."""
    clock = LoopClock()
    return RegistrationManager(
        StoreClient(store, 'front-1'),
        PeerRegistry('front-1', OWN.failure_domain, clock, clock.monotonic),
        'front-1',
        OWN,
        StoreHealth(clock),
        clock,
    )


async def keep(keeper: RegistrationManager, seconds: float) -> None:
    """Let a keeper run for some seconds."""
    running = asyncio.create_task(keeper.run())
    await asyncio.sleep(seconds)
    running.cancel()


class TestKeeper:
    def test_a_process_that_starts_again_writes_nothing(self) -> None:
        """Guards against a call of each daemon when all start again at once."""

        async def script() -> None:
            store = VirtualStore()
            written = store.put(f'{DAEMONS_PREFIX}front-1', OWN.render())
            keeper = make_keeper(store)
            keeper.take('front-1', OWN.render(), written)
            keeper.note_listed()
            await keep(keeper, 3)
            assert keeper.is_listed
            assert keeper.has_discovered_peers()
            assert not store.calls

        run_virtual(script())

    @pytest.mark.parametrize('known', [ABSENT, Revision(1)])
    def test_what_stood_there_before_is_replaced(self, known: Revision) -> None:
        """Guards against peers that send to the address of an instance that is gone."""

        async def script() -> None:
            store = VirtualStore()
            store.put(f'{DAEMONS_PREFIX}front-1', b'10.1.0.9:7600 gent 10')
            keeper = make_keeper(store)
            if known:
                keeper.take('front-1', b'10.1.0.9:7600 gent 10', known)
            keeper.note_listed()
            await keep(keeper, 3)
            listed = store.read(DAEMONS_PREFIX, 3).items
            assert [item.value for item in listed] == [OWN.render()]

        run_virtual(script())

    def test_one_that_was_deleted_is_written_again(self) -> None:
        """Guards against a daemon that was frozen for long and that nobody finds."""

        async def script() -> None:
            store = VirtualStore()
            keeper = make_keeper(store)
            keeper.note_listed()
            await keep(keeper, 1)
            deleted = store.put(f'{DAEMONS_PREFIX}front-1', None)
            keeper.take('front-1', None, deleted)
            await keep(keeper, 1)
            assert store.read(DAEMONS_PREFIX, 2).items

        run_virtual(script())


class TestSweeper:
    def test_daemons_that_have_ended_are_deleted_and_those_that_live_are_not(
        self,
    ) -> None:
        """Guards against limits parted among daemons that have ended for good."""

        async def script() -> None:
            scene = Daemons(1, gent=5, aalst=5)
            await scene.start_all()
            for name in ('gent-2', 'aalst-3'):
                scene.kill(name)
            await asyncio.sleep(GONE_SECONDS + 3)
            assert scene.find_listed() == set(scene.daemons)

        run_virtual(script())

    def test_most_daemons_that_have_ended_for_good_are_deleted_later(self) -> None:
        """Guards against limits parted for good with daemons that are not there."""

        async def script() -> None:
            scene = Daemons(1, gent=3, aalst=3)
            await scene.start_all()
            for name in ('gent-1', 'gent-2', 'aalst-1', 'aalst-2'):
                scene.kill(name)
            await asyncio.sleep(MOST_GONE_SECONDS + 6)
            assert scene.find_listed() == set(scene.daemons)

        run_virtual(script())

    def test_a_leader_that_hears_hardly_anybody_deletes_nobody(self) -> None:
        """Guards against a cut-off leader whose side takes the others' limits."""

        async def script() -> None:
            scene = Daemons(1, gent=5, aalst=5)
            await scene.start_all()
            scene.net.should_drop = lambda sender, to, data: True
            await asyncio.sleep(GONE_SECONDS + 5)
            assert scene.find_listed() == set(scene.daemons)

        run_virtual(script())
