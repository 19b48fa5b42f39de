"""Tests of holds, in virtual time, when the store comes back from an older copy."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from daemons_scene import Daemons
from virtual_time import run_virtual

from fireflyhitch_model.ids import ContentId
from fireflyhitch_serving.holds import HOLDS_PREFIX

CRASHING = ContentId('crashing')
CRASHES = 3
RETRY_INTERVAL_SECONDS = 0.5
# Until all daemons have heard of a crash or a response, and reviewed their holds.
SETTLE_SECONDS = 3.0
# A lease, the wait of the others, a claim, and the discovery of peers.
SUCCESSION_SECONDS = 10.0
CHECK_SECONDS = 0.001
WATCH_SECONDS = 0.05
DISTURBANCES = 4
MAX_COPY_SECONDS = 15.0
# Until the leader or its deputies have written what a copy lacks.
WRITE_SECONDS = 1.5


class Holds:
    """Daemons that hold a request back, beside a store that is restored."""

    def __init__(self, seed: int) -> None:
        self.cluster = Daemons(seed, gent=3, aalst=2)
        self.cluster.store.expires_leases = True
        self.longest_holding = 0.0

    async def start(self) -> None:
        """Start all daemons."""
        await self.cluster.start_all()

    async def crash_servers(self) -> None:
        """Have servers crash under the request until it is held."""
        for number in range(CRASHES):
            await self.crash_server(number)
        await asyncio.sleep(SETTLE_SECONDS)
        assert self.find_holding() == set(self.cluster.daemons)

    async def crash_server(self, number: int) -> None:
        """Have a server crash under the request, which a daemon of its own sent."""
        name = list(self.cluster.daemons)[number]
        self.cluster.daemons[name].record_crash(CRASHING, number)
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    def find_holding(self) -> set[str]:
        """Return the daemons that hold the request back."""
        daemons = self.cluster.daemons.items()
        return {name for name, daemon in daemons if daemon.holds(CRASHING)}

    async def watch_holding(self) -> None:
        """Note for how long any daemon has held the request back without a break."""
        since = asyncio.get_running_loop().time()
        while True:
            now = asyncio.get_running_loop().time()
            since = since if self.find_holding() else now
            self.longest_holding = max(self.longest_holding, now - since)
            await asyncio.sleep(WATCH_SECONDS)

    def is_stored(self) -> bool:
        """Return whether the store has the hold."""
        now = asyncio.get_running_loop().time()
        return bool(self.cluster.store.read(HOLDS_PREFIX, now).items)

    def restore(self, copied_at: float) -> None:
        """Bring the store back from a copy."""
        now = asyncio.get_running_loop().time()
        self.cluster.store.restore(now - copied_at)

    async def restart(self, *names: str) -> None:
        """Kill daemons, and start them again."""
        for name in names:
            self.cluster.kill(name)
        for name in names:
            self.cluster.start(name)
        await asyncio.sleep(SUCCESSION_SECONDS)

    def find_leaders(self) -> list[str]:
        """Return the daemon that leads, if one does."""
        daemons = self.cluster.daemons
        return [name for name in daemons if daemons[name].leads()]


def run_play(seed: int, play: Callable[[Holds], Awaitable[None]]) -> None:
    """Run a play beside a scene of its own."""

    async def script() -> None:
        scene = Holds(seed)
        await scene.start()
        await play(scene)

    run_virtual(script())


class TestReleasedHolds:
    @pytest.mark.parametrize('seed', range(4))
    @pytest.mark.parametrize('age', [10.0, 100.0])
    def test_a_released_hold_in_the_copy_holds_nothing_back(
        self, seed: int, age: float
    ) -> None:
        """Daemons that had started since the release held a harmless request back."""

        async def play(scene: Holds) -> None:
            await scene.crash_servers()
            copied_at = asyncio.get_running_loop().time()
            responder, *others = scene.cluster.daemons
            tracker = scene.cluster.daemons[responder].crashes.tracker
            tracker.record_response(CRASHING, copied_at)
            await asyncio.sleep(SETTLE_SECONDS)
            assert not scene.find_holding()
            assert not scene.is_stored()
            await scene.restart(*others)
            await asyncio.sleep(age)
            scene.cluster.store.restore(asyncio.get_running_loop().time() - copied_at)
            assert scene.is_stored()
            await asyncio.sleep(SETTLE_SECONDS)
            assert not scene.find_holding()
            await asyncio.sleep(SUCCESSION_SECONDS)
            assert not scene.is_stored()

        run_play(seed, play)

    @pytest.mark.parametrize('seed', range(4))
    @pytest.mark.parametrize('age', [10.0, 100.0])
    def test_records_saved_by_an_ended_domain_hold_nothing_back(
        self, seed: int, age: float
    ) -> None:
        """New daemons loaded records that nobody had deleted, and knew of no answer."""

        async def play(scene: Holds) -> None:
            await scene.crash_servers()
            leader = scene.find_leaders()[0]
            domain = scene.cluster.find_daemons(leader.partition('-')[0])
            for name in domain:
                scene.cluster.kill(name)
            await asyncio.sleep(SUCCESSION_SECONDS)
            responder = next(iter(scene.cluster.daemons.values()))
            now = asyncio.get_running_loop().time()
            responder.crashes.tracker.record_response(CRASHING, now)
            await asyncio.sleep(age)
            assert not scene.find_holding()
            for name in domain:
                scene.cluster.start(name)
            await asyncio.sleep(SETTLE_SECONDS)
            assert not scene.find_holding()
            await asyncio.sleep(SUCCESSION_SECONDS)
            assert not scene.find_holding()
            assert not scene.is_stored()

        run_play(seed, play)


class TestLostHolds:
    @pytest.mark.parametrize('seed', range(4))
    @pytest.mark.parametrize('lead', [0.7, 1.5])
    def test_a_hold_that_the_copy_lacks_is_written_at_once(
        self, seed: int, lead: float
    ) -> None:
        """All daemons ended while the leader took a lost hold for one that may return."""

        async def play(scene: Holds) -> None:
            copied_at = asyncio.get_running_loop().time()
            await scene.crash_servers()
            scene.cluster.store.restore(asyncio.get_running_loop().time() - copied_at)
            await asyncio.sleep(lead)
            await scene.restart(*scene.cluster.daemons)
            assert scene.find_holding() == set(scene.cluster.daemons)

        run_play(seed, play)

    @pytest.mark.parametrize('seed', range(4))
    def test_a_hold_is_written_again_if_nobody_saw_it_stored(self, seed: int) -> None:
        """A hold that was written just before the copy's loss was taken for stored."""

        async def play(scene: Holds) -> None:
            store = scene.cluster.store
            store.stalled_watchers.update(scene.cluster.daemons)
            writing = asyncio.ensure_future(scene.crash_servers())
            while not scene.is_stored():
                await asyncio.sleep(CHECK_SECONDS)
            await asyncio.sleep(CHECK_SECONDS)
            store.restore(RETRY_INTERVAL_SECONDS / 2)
            store.stalled_watchers.clear()
            await writing
            await scene.restart(*scene.cluster.daemons)
            assert scene.find_holding() == set(scene.cluster.daemons)

        run_play(seed, play)


class TestSavedCrashes:
    @pytest.mark.parametrize('seed', range(4))
    @pytest.mark.parametrize('copied_crashes', [0, 1])
    def test_records_that_the_copy_lacks_are_saved_again(
        self, seed: int, copied_crashes: int
    ) -> None:
        """Servers went on to crash when all daemons ended after a restore."""

        async def play(scene: Holds) -> None:
            for number in range(copied_crashes):
                await scene.crash_server(number)
            copied_at = asyncio.get_running_loop().time()
            for number in range(copied_crashes, CRASHES - 1):
                await scene.crash_server(number)
            scene.restore(copied_at)
            await asyncio.sleep(SETTLE_SECONDS)
            await scene.restart(*scene.cluster.daemons)
            await scene.crash_server(CRASHES - 1)
            await asyncio.sleep(SETTLE_SECONDS)
            assert scene.find_holding() == set(scene.cluster.daemons)

        run_play(seed, play)

    @pytest.mark.parametrize('seed', range(4))
    def test_records_are_saved_after_the_restore_lost_their_key(
        self, seed: int
    ) -> None:
        """No later record was saved, as the key's revision of before was expected."""

        async def play(scene: Holds) -> None:
            copied_at = asyncio.get_running_loop().time()
            await scene.crash_server(0)
            scene.restore(copied_at)
            await asyncio.sleep(SETTLE_SECONDS)
            await scene.crash_server(1)
            await asyncio.sleep(SETTLE_SECONDS)
            await scene.restart(*scene.cluster.daemons)
            await scene.crash_server(2)
            await asyncio.sleep(SETTLE_SECONDS)
            assert scene.find_holding() == set(scene.cluster.daemons)

        run_play(seed, play)

    @pytest.mark.parametrize('seed', range(4))
    def test_records_outlast_a_restart_of_all_daemons(self, seed: int) -> None:
        """Nothing but the store has the records then."""

        async def play(scene: Holds) -> None:
            for number in range(CRASHES - 1):
                await scene.crash_server(number)
            await scene.restart(*scene.cluster.daemons)
            await scene.crash_server(CRASHES - 1)
            await asyncio.sleep(SETTLE_SECONDS)
            assert scene.find_holding() == set(scene.cluster.daemons)

        run_play(seed, play)


async def disturb(scene: Holds, kept: str | None) -> None:
    """Restore the store and end daemons again and again, at random.

    :param kept: a daemon that does not end; if there is none, all may end at once.
    """
    rng = scene.cluster.rng
    for _ in range(DISTURBANCES):
        scene.cluster.store.restore(rng.uniform(0.5, MAX_COPY_SECONDS))
        await asyncio.sleep(rng.uniform(WRITE_SECONDS, 2 * SETTLE_SECONDS))
        names = [name for name in scene.cluster.daemons if name != kept]
        ended = rng.choice((names, rng.sample(names, 2), scene.find_leaders()))
        for name in ended:
            if name == kept:
                continue
            scene.cluster.kill(name)
            await asyncio.sleep(rng.uniform(0, RETRY_INTERVAL_SECONDS))
            scene.cluster.start(name)
        await asyncio.sleep(rng.uniform(0, SUCCESSION_SECONDS))
    await asyncio.sleep(SUCCESSION_SECONDS)


class TestDisturbances:
    @pytest.mark.parametrize('seed', range(12))
    def test_a_crashing_request_stays_held(self, seed: int) -> None:
        """A hold was lost when restores and ends of daemons followed each other."""

        async def play(scene: Holds) -> None:
            await scene.crash_servers()
            await disturb(scene, None)
            assert scene.find_holding() == set(scene.cluster.daemons)
            assert scene.is_stored()

        run_play(seed, play)

    @pytest.mark.parametrize('seed', range(12))
    def test_an_answered_request_stays_released(self, seed: int) -> None:
        """A released hold came back when restores and ends of daemons followed."""

        async def play(scene: Holds) -> None:
            await scene.crash_servers()
            responder, *_ = scene.cluster.daemons
            tracker = scene.cluster.daemons[responder].crashes.tracker
            now = asyncio.get_running_loop().time()
            tracker.record_response(CRASHING, now)
            await asyncio.sleep(SETTLE_SECONDS)
            watching = asyncio.ensure_future(scene.watch_holding())
            await disturb(scene, responder)
            watching.cancel()
            assert scene.longest_holding <= SETTLE_SECONDS
            assert not scene.find_holding()
            assert not scene.is_stored()

        run_play(seed, play)
