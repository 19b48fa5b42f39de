"""Tests of many daemons, in virtual time, whose store comes back from an older copy."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import cbor2
import pytest
from daemons_scene import READY, SERVERS, Daemons
from virtual_time import run_virtual

from fireflyhitch_model.eras import UNKNOWN_ERA, find_era, make_revision
from fireflyhitch_model.ids import ABSENT, Revision, StoreEra
from fireflyhitch_platform.keyvalue import KeyValue, Listing
from fireflyhitch_serving.changes import (
    CHANGES,
    Change,
    ChangeMessage,
    ChangeSpan,
    decode_changes,
    encode_changes,
)
from fireflyhitch_serving.leases import FIREFLYHITCH_PREFIX
from fireflyhitch_serving.peer_listings import decode_listing, encode_listing
from fireflyhitch_serving.store_eras import ERA

# Time from the store's acknowledgement until a change is known everywhere.
MAX_DELAY_SECONDS = 2.0
# Age of the copy that the store comes back from.
COPY_SECONDS = 3.0
# Until servers and operators have written again what the copy lacks.
REWRITE_SECONDS = 1.0
# A lease, the wait of the others, and a claim.
MAX_IDLE_SECONDS = 7.0
# Reads a second that the store takes, and the machines that it takes them from.
READS_PER_SECOND = 2000
MACHINES = 300
# Daemons in two failure domains. Clusters of the last size exchange summaries.
SIZES = ((3, 3), (12, 12), (15, 14))
SERVER = 'i-1'
CHECK_SECONDS = 0.05
# Longer than a lease.
CUT_OFF_SECONDS = 6.0


class Restores:
    """Daemons whose store is restored while something else fails."""

    def __init__(self, seed: int, sizes: tuple[int, int]) -> None:
        self.cluster = Daemons(seed, gent=sizes[0], aalst=sizes[1])
        self.cluster.store.expires_leases = True
        self.most_leaders = 0
        self.idle_seconds = 0.0
        self.longest_idle = 0.0

    async def start(self) -> None:
        """Start all daemons, and write some changes that the copy will lack."""
        await self.cluster.start_all()
        self._watching = asyncio.create_task(self._watch_leaders())
        await self.write_some()

    async def write_some(self) -> None:
        """Write changes that a copy of some seconds ago lacks."""
        for number in range(8):
            self.cluster.store.put(f'{SERVERS}i-new-{number}', READY)
            await asyncio.sleep(0.2)

    async def restore(self) -> None:
        """Restore the store, and have servers write again what it has lost."""
        lost = self.cluster.store.restore(COPY_SECONDS)
        await asyncio.sleep(self.cluster.rng.uniform(0, REWRITE_SECONDS))
        for key, value in lost.items():
            if not key.startswith(FIREFLYHITCH_PREFIX):
                self.cluster.store.put(key, value)

    async def check_change(self) -> None:
        """Have a server drain, and check that all daemons hear of it in time."""
        self.cluster.leave(SERVER)
        await asyncio.sleep(MAX_DELAY_SECONDS)
        assert not self.cluster.find_outdated(SERVER)

    async def check_leaders(self) -> None:
        """Check that at most one daemon led at any time, and that one leads again."""
        await asyncio.sleep(MAX_IDLE_SECONDS)
        self._watching.cancel()
        assert self.most_leaders == 1
        assert self.longest_idle <= MAX_IDLE_SECONDS

    def find_leader(self) -> str:
        """Return the daemon that leads."""
        daemons = self.cluster.daemons
        return next(name for name in daemons if daemons[name].leads())

    async def _watch_leaders(self) -> None:
        while True:
            leaders = sum(daemon.leads() for daemon in self.cluster.daemons.values())
            self.most_leaders = max(self.most_leaders, leaders)
            idle = 0 if leaders else self.idle_seconds + CHECK_SECONDS
            self.idle_seconds = idle
            self.longest_idle = max(self.longest_idle, idle)
            await asyncio.sleep(CHECK_SECONDS)


async def restore_once(scene: Restores) -> None:
    """Restore the store once."""
    await scene.restore()


async def restore_in_series(scene: Restores) -> None:
    """Restore the store again and again, amid what the last time entailed."""
    for pause in (0.3, 0.0, 1.1):
        await scene.restore()
        await scene.write_some()
        await asyncio.sleep(pause)
    await scene.restore()


async def restore_and_kill_leader(scene: Restores) -> None:
    """Kill the leader as the store comes back."""
    scene.cluster.kill(scene.find_leader())
    await scene.restore()


async def restore_and_kill_watchers(scene: Restores) -> None:
    """Kill a failure domain's watchers just after the store is back."""
    watchers = scene.cluster.find_watchers('gent')
    scene.cluster.store.restore(COPY_SECONDS)
    await asyncio.sleep(0.01)
    for name in watchers[:-1]:
        scene.cluster.kill(name)


async def restore_and_cut_watchers(scene: Restores) -> None:
    """Cut a failure domain's watchers off from the store as it comes back."""
    scene.cluster.store.unresponsive_to.update(scene.cluster.find_watchers('gent'))
    await scene.restore()


async def restore_and_cut_domain(scene: Restores) -> None:
    """Cut a whole failure domain off from the store before it is restored."""
    scene.cluster.store.unresponsive_to.update(scene.cluster.find_daemons('gent'))
    await asyncio.sleep(3)
    await scene.restore()


async def restore_and_start(scene: Restores) -> None:
    """Start a daemon as the store comes back."""
    scene.cluster.store.restore(COPY_SECONDS)
    scene.cluster.start('gent-99')
    await asyncio.sleep(REWRITE_SECONDS)


async def restore_to_before_any_leader_and_start(scene: Restores) -> None:
    """Start daemons beside a leader that is cut off, and a copy that names none."""
    scene.cluster.store.unresponsive_to.add(scene.find_leader())
    scene.cluster.store.restore(asyncio.get_running_loop().time() - 0.05)
    for name in ('brugge-1', 'lier-1', 'kortrijk-1'):
        scene.cluster.start(name)
    scene.cluster.store.put(f'{SERVERS}{SERVER}', READY)
    await asyncio.sleep(REWRITE_SECONDS)


FAULTS = (
    restore_once,
    restore_in_series,
    restore_and_kill_leader,
    restore_and_kill_watchers,
    restore_and_cut_watchers,
    restore_and_cut_domain,
    restore_and_start,
    restore_to_before_any_leader_and_start,
)


class TestChanges:
    @pytest.mark.parametrize('sizes', SIZES)
    @pytest.mark.parametrize('fault', FAULTS)
    def test_all_daemons_hear_of_a_change_in_time(
        self, fault: Callable[[Restores], Awaitable[None]], sizes: tuple[int, int]
    ) -> None:
        """Daemons ignored changes with lower revisions than before the restore."""

        async def script() -> None:
            scene = Restores(sum(sizes), sizes)
            await scene.start()
            await fault(scene)
            await scene.check_change()
            await scene.check_leaders()

        run_virtual(script())

    def test_a_restore_stays_within_the_stores_rates(self) -> None:
        """Watchers listed dozens of times a second after a restore."""

        async def script() -> None:
            scene = Restores(1, SIZES[-1])
            await scene.start()
            calls = scene.cluster.store.calls
            await scene.restore()
            for _ in range(5):
                before = sum(calls.values())
                await asyncio.sleep(1)
                made = sum(calls.values()) - before
                daemons = len(scene.cluster.daemons)
                assert made <= READS_PER_SECOND * daemons / MACHINES

        run_virtual(script())


class TestLeaders:
    @pytest.mark.parametrize('sizes', SIZES)
    def test_a_process_that_hears_of_an_era_late_leads_beside_nobody(
        self, sizes: tuple[int, int]
    ) -> None:
        """A process waited from its start, not from when it first heard of the store."""
        newcomers = ('brugge-1', 'lier-1', 'kortrijk-1')

        async def script() -> None:
            scene = Restores(sum(sizes), sizes)
            cluster = scene.cluster
            await scene.start()
            cluster.store.unresponsive_to.update(newcomers)
            for name in newcomers:
                cluster.start(name)
            await asyncio.sleep(CUT_OFF_SECONDS)
            cluster.store.unresponsive_to.difference_update(newcomers)
            cluster.store.unresponsive_to.add(scene.find_leader())
            cluster.store.restore(asyncio.get_running_loop().time() - 0.05)
            await scene.check_leaders()

        run_virtual(script())


class TestEarlierVersions:
    def test_daemons_that_tell_no_era_mislead_nobody(self) -> None:
        """Daemons of an earlier version go on with the revisions of before."""
        old = frozenset(('gent-1', 'aalst-1'))

        async def script() -> None:
            scene = Restores(1, (4, 4))
            await scene.start()
            scene.cluster.net.rewrite = lambda sender, data: (
                drop_eras(data) if sender in old else data
            )
            await scene.restore()
            scene.cluster.leave(SERVER)
            await asyncio.sleep(MAX_DELAY_SECONDS)
            assert old.issuperset(scene.cluster.find_outdated(SERVER))

        run_virtual(script())

    def test_changes_without_an_era_belong_to_the_first_one_known(self) -> None:
        span = ChangeSpan(
            SERVERS, [Change('a', b'', make_revision(StoreEra(3), 7))], ABSENT, ABSENT
        )
        data = drop_eras(encode_changes(ChangeMessage('d/1', span)))
        message = decode_changes(data, StoreEra(2))
        assert message is not None
        assert message.span.changes[0].revision == make_revision(StoreEra(2), 7)


class TestMessages:
    @pytest.mark.parametrize('seed', range(5))
    def test_changes_of_several_eras_are_read_as_sent(self, seed: int) -> None:
        rng = random.Random(seed)  # noqa: S311
        revisions = [
            make_revision(StoreEra(rng.randrange(3)), rng.randrange(1, 99))
            for _ in range(5)
        ]
        changes = [Change(f'k{at}', b'', at) for at in revisions]
        message = ChangeMessage('d/1', ChangeSpan('k', changes, *sorted(revisions)[:2]))
        assert decode_changes(encode_changes(message), UNKNOWN_ERA) == message

    def test_keys_of_an_earlier_era_hide_no_later_change(self) -> None:
        """A key's number of before the restore may be higher than a later change's."""
        before = make_revision(StoreEra(1), 90)
        listing = Listing(
            make_revision(StoreEra(2), 50), (KeyValue('a', b'', before, before),)
        )
        read = decode_listing(encode_listing(listing), StoreEra(2))
        assert read.revision == listing.revision
        assert ABSENT < read.items[0].revision < make_revision(StoreEra(2), 2)

    def test_revisions_of_a_later_era_are_higher(self) -> None:
        first: Revision = make_revision(StoreEra(1), 10**9)
        second = make_revision(StoreEra(2), 1)
        assert first < second
        assert (find_era(first), find_era(second)) == (1, 2)


def drop_eras(data: bytes) -> bytes:
    """Return a datagram as daemons send it that know of no eras."""
    message = cbor2.loads(data)
    rows = message.get(CHANGES)
    if rows is not None:
        return cbor2.dumps({CHANGES: rows[:1]})
    message.get('newest', {}).pop(ERA, None)
    return cbor2.dumps(message)
