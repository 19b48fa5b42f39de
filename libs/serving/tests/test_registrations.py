"""Tests of the registrations that daemons write into the store."""

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
    MAJORITY_GONE_SECONDS,
    Registration,
    RegistrationManager,
    decode_registration,
)
from fireflyhitch_serving.store_eras import EraTracker
from fireflyhitch_serving.store_health import StoreHealth

OWN = Registration(Address('10.1.0.14', 7600), FailureDomainId('gent'), 10)


class TestRegistration:
    def test_encoding_round_trip(self) -> None:
        assert decode_registration(OWN.encode()) == OWN

    def test_registration_without_a_link_is_decoded(self) -> None:
        # During a rolling replacement of instances, older versions are listed as well.
        registration = decode_registration(b'10.1.0.14:7600 gent')
        assert registration.address == OWN.address
        assert not registration.link_mbps

    @pytest.mark.parametrize('value', [b'', b'10.1.0.14 gent', b'a:b gent', b'\xff'])
    def test_invalid_registration_is_rejected(self, value: bytes) -> None:
        with pytest.raises(ValueError):
            decode_registration(value)


def make_manager(store: VirtualStore) -> RegistrationManager:
    """Return the manager of a daemon that has just started."""
    clock = LoopClock()
    eras = EraTracker(clock)
    return RegistrationManager(
        StoreClient(store, 'front-1', eras),
        PeerRegistry('front-1', OWN.failure_domain, clock, clock.monotonic),
        'front-1',
        OWN,
        StoreHealth(clock),
        clock,
        eras,
    )


async def run_manager(manager: RegistrationManager, seconds: float) -> None:
    """Run a manager for some seconds."""
    running = asyncio.create_task(manager.run())
    await asyncio.sleep(seconds)
    running.cancel()


class TestManager:
    def test_restarted_process_makes_no_call(self) -> None:
        """Guards against a call by each daemon when all restart at once."""

        async def script() -> None:
            store = VirtualStore()
            written = store.put(f'{DAEMONS_PREFIX}front-1', OWN.encode())
            manager = make_manager(store)
            manager.apply('front-1', OWN.encode(), written)
            manager.mark_listed()
            await run_manager(manager, 3)
            assert manager.is_listed
            assert manager.has_discovered_peers()
            assert not store.calls

        run_virtual(script())

    @pytest.mark.parametrize('known', [ABSENT, Revision(1)])
    def test_old_registration_is_replaced(self, known: Revision) -> None:
        """Guards against peers that send to the address of an instance that is gone."""

        async def script() -> None:
            store = VirtualStore()
            store.put(f'{DAEMONS_PREFIX}front-1', b'10.1.0.9:7600 gent 10')
            manager = make_manager(store)
            if known:
                manager.apply('front-1', b'10.1.0.9:7600 gent 10', known)
            manager.mark_listed()
            await run_manager(manager, 3)
            listed = store.read(DAEMONS_PREFIX, 3).items
            assert [item.value for item in listed] == [OWN.encode()]

        run_virtual(script())

    def test_deleted_registration_is_written_again(self) -> None:
        """Guards against a daemon that was frozen for long and stays unregistered."""

        async def script() -> None:
            store = VirtualStore()
            manager = make_manager(store)
            manager.mark_listed()
            await run_manager(manager, 1)
            deleted = store.put(f'{DAEMONS_PREFIX}front-1', None)
            manager.apply('front-1', None, deleted)
            await run_manager(manager, 1)
            assert store.read(DAEMONS_PREFIX, 2).items

        run_virtual(script())


class TestSweeper:
    def test_only_stopped_daemons_are_deleted(
        self,
    ) -> None:
        """Guards against limits shared among daemons that have stopped for good."""

        async def script() -> None:
            scene = Daemons(1, gent=5, aalst=5)
            await scene.start_all()
            for name in ('gent-2', 'aalst-3'):
                scene.kill(name)
            await asyncio.sleep(GONE_SECONDS + 3)
            assert scene.find_listed() == set(scene.daemons)

        run_virtual(script())

    def test_majority_that_stopped_is_deleted_later(self) -> None:
        """Guards against limits shared for good with daemons that no longer exist."""

        async def script() -> None:
            scene = Daemons(1, gent=3, aalst=3)
            await scene.start_all()
            for name in ('gent-1', 'gent-2', 'aalst-1', 'aalst-2'):
                scene.kill(name)
            await asyncio.sleep(MAJORITY_GONE_SECONDS + 6)
            assert scene.find_listed() == set(scene.daemons)

        run_virtual(script())

    def test_cut_off_leader_deletes_nothing(self) -> None:
        """Guards against a cut-off leader whose side takes over the others' limits."""

        async def script() -> None:
            scene = Daemons(1, gent=5, aalst=5)
            await scene.start_all()
            scene.net.should_drop = lambda sender, to, data: True
            await asyncio.sleep(GONE_SECONDS + 5)
            assert scene.find_listed() == set(scene.daemons)

        run_virtual(script())


class TestRestores:
    @pytest.mark.parametrize('seed', range(4))
    @pytest.mark.parametrize('delay', [0.001, 0.02, 0.2])
    @pytest.mark.parametrize('is_seen', [True, False])
    def test_registration_lost_as_it_was_written_is_written_again(
        self, seed: int, delay: float, is_seen: bool
    ) -> None:
        """A daemon took its own write for stored, and stayed unregistered."""

        async def script() -> None:
            scene = Daemons(seed, gent=3, aalst=2)
            scene.store.expires_leases = True
            await scene.start_all()
            if not is_seen:
                scene.store.stalled_watchers.update({*scene.daemons, 'gent-4'})
            copied_at = asyncio.get_running_loop().time()
            scene.start('gent-4')
            while 'gent-4' not in scene.find_listed():
                await asyncio.sleep(0.001)
            await asyncio.sleep(delay)
            scene.store.restore(asyncio.get_running_loop().time() - copied_at)
            assert 'gent-4' not in scene.find_listed()
            scene.store.stalled_watchers.clear()
            await asyncio.sleep(GONE_SECONDS)
            assert scene.find_listed() == set(scene.daemons)

        run_virtual(script())

    @pytest.mark.parametrize('seed', range(4))
    @pytest.mark.parametrize('delay', [0, 0.5, 5])
    def test_no_running_daemon_is_deleted_for_long(
        self, seed: int, delay: float
    ) -> None:
        """A leader swept registrations by what a copy listed."""

        async def script() -> None:
            scene = Daemons(seed, gent=4, aalst=3)
            scene.store.expires_leases = True
            await scene.start_all()
            scene.kill('aalst-3')
            await asyncio.sleep(GONE_SECONDS + 3)
            assert 'aalst-3' not in scene.find_listed()
            scene.start('gent-5')
            await asyncio.sleep(delay)
            scene.store.restore(GONE_SECONDS + 3 + delay)
            await asyncio.sleep(3)
            assert scene.find_listed() >= set(scene.daemons)
            for _ in range(300):
                assert scene.find_listed() >= set(scene.daemons)
                await asyncio.sleep(0.1)
            assert scene.find_listed() == set(scene.daemons)

        run_virtual(script())
