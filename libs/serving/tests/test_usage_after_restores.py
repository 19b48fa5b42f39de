"""Tests of usage reports when leaders follow each other round a restore of the store."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import pytest
from daemons_scene import USAGE_WINDOW_SECONDS, Daemons, UsageReport
from virtual_time import run_virtual

from fireflyhitch_model.ids import CustomerId

CUSTOMERS = tuple(CustomerId(name) for name in ('bakery', 'school'))
REQUEST_SECONDS = 0.05
# Until a killed process runs again.
RESTART_SECONDS = 0.6
# Time that a process has for a graceful stop.
GRACE_SECONDS = 3.0
# A lease, the wait of the others, and a claim.
MAX_IDLE_SECONDS = 8.0
PLAY_SECONDS = 40.0
MAX_COPY_SECONDS = 15.0
MAX_PAUSE_SECONDS = 6.0


class Successions:
    """Daemons that count requests, end and start, beside a store that is restored."""

    def __init__(self, seed: int) -> None:
        self.cluster = Daemons(seed, gent=3, aalst=2)
        self.cluster.store.expires_leases = True
        self.reports: list[UsageReport] = []
        self.cluster.net.accepted_reports = self.reports
        self.rng = self.cluster.rng
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start all daemons and the callers, until some windows have been reported."""
        await self.cluster.start_all()
        self._begin(self._call())
        await asyncio.sleep(4 * USAGE_WINDOW_SECONDS)

    async def _call(self) -> None:
        while True:
            await asyncio.sleep(REQUEST_SECONDS)
            daemons = list(self.cluster.daemons.values())
            if daemons:
                self.rng.choice(daemons).count_request(self.rng.choice(CUSTOMERS))

    def restore(self, seconds: float | None = None) -> None:
        """Bring the store back from an older copy.

        :param seconds: the copy's age; any by default.
        """
        if seconds is None:
            seconds = self.rng.uniform(0.5, MAX_COPY_SECONDS)
        self.cluster.store.restore(seconds)

    def find_leader(self) -> str | None:
        """Return the daemon that leads, if one does."""
        daemons = self.cluster.daemons
        return next((name for name in daemons if daemons[name].leads()), None)

    async def wait_for_leader(self) -> str:
        """Wait until a daemon leads."""
        async with asyncio.timeout(2 * MAX_IDLE_SECONDS):
            while self.find_leader() is None:
                await asyncio.sleep(REQUEST_SECONDS)
        return str(self.find_leader())

    def kill(self, *names: str) -> None:
        """Kill daemons, which start again a moment later."""
        for name in names:
            self.cluster.kill(name)
            self._begin(self._restart(name))

    def stop(self, name: str) -> None:
        """Stop a daemon gracefully; it starts again afterwards."""
        self._begin(self._stop(name))

    async def _stop(self, name: str) -> None:
        daemon = self.cluster.daemons[name]
        daemon.stop()
        await asyncio.sleep(GRACE_SECONDS)
        if self.cluster.daemons.get(name) is daemon:
            self.cluster.kill(name)
            await self._restart(name)

    async def _restart(self, name: str) -> None:
        await asyncio.sleep(self.rng.uniform(0, 2 * RESTART_SECONDS))
        self.cluster.start(name)

    def _begin(self, script: Awaitable[None]) -> None:
        task = asyncio.ensure_future(script)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def play(self) -> None:
        """Restore the store and end leaders again and again, at random."""
        ends = asyncio.get_running_loop().time() + PLAY_SECONDS
        while asyncio.get_running_loop().time() < ends:
            self.rng.choice((self.restore, self._end_leader, self._end_all))()
            await asyncio.sleep(self.rng.uniform(0, MAX_PAUSE_SECONDS))
        await asyncio.sleep(2 * MAX_IDLE_SECONDS)

    def _end_leader(self) -> None:
        leader = self.find_leader()
        if leader is not None:
            self.rng.choice((self.kill, self.stop))(leader)

    def _end_all(self) -> None:
        if self.rng.random() < 1 / 3:
            self.kill(*self.cluster.daemons)


def find_conflicts(reports: Sequence[UsageReport]) -> list[UsageReport]:
    """Return the reports of a window that differ from its first one."""
    first: dict[int, UsageReport] = {}
    conflicts: list[UsageReport] = []
    for report in reports:
        if first.setdefault(report.window, report).counts != report.counts:
            conflicts.append(report)
    return conflicts


def run_play(seed: int, play: Callable[[Successions], Awaitable[None]]) -> Successions:
    """Run a play and return its scene."""
    scene = Successions(seed)

    async def script() -> None:
        await scene.start()
        await play(scene)

    run_virtual(script())
    return scene


async def end_leader_of_new_era(scene: Successions) -> None:
    """Kill the leader as the store comes back, and its successor as soon as it leads."""
    scene.kill(await scene.wait_for_leader())
    scene.restore(MAX_COPY_SECONDS)
    scene.kill(await scene.wait_for_leader())


async def end_leader_that_leads_on(scene: Successions) -> None:
    """Kill the leader of before the restore when it has written its key again."""
    leader = await scene.wait_for_leader()
    scene.restore(MAX_COPY_SECONDS)
    while scene.cluster.find_stored_leader() != leader:
        await asyncio.sleep(0.001)
    scene.kill(leader)


async def end_all_and_first_leader(scene: Successions) -> None:
    """Kill all daemons as the store comes back, and the first that leads again."""
    scene.kill(*scene.cluster.daemons)
    scene.restore(MAX_COPY_SECONDS)
    scene.kill(await scene.wait_for_leader())


async def end_all_before_any_record(scene: Successions) -> None:
    """Kill all daemons, and bring the store back as it was before any of them."""
    scene.kill(*scene.cluster.daemons)
    scene.restore(asyncio.get_running_loop().time() - 0.1)


async def stop_leaders_in_turn(scene: Successions) -> None:
    """Stop the leader gracefully, restore the store, and stop the successor."""
    scene.stop(await scene.wait_for_leader())
    await asyncio.sleep(GRACE_SECONDS / 2)
    scene.restore(MAX_COPY_SECONDS)
    scene.stop(await scene.wait_for_leader())


SUCCESSIONS = (
    end_leader_of_new_era,
    end_leader_that_leads_on,
    end_all_and_first_leader,
    end_all_before_any_record,
    stop_leaders_in_turn,
)


class TestUsageReports:
    @pytest.mark.parametrize('seed', range(5))
    @pytest.mark.parametrize('succession', SUCCESSIONS)
    def test_no_window_is_reported_twice_after_a_succession(
        self, succession: Callable[[Successions], Awaitable[None]], seed: int
    ) -> None:
        """What a leader still had to do for a new era was lost when it ended."""

        async def play(scene: Successions) -> None:
            await succession(scene)
            await asyncio.sleep(3 * MAX_IDLE_SECONDS)
            now = asyncio.get_running_loop().time()
            # A window's report is due some 4 s after its end.
            assert scene.reports[-1].window >= now // USAGE_WINDOW_SECONDS - 2

        assert not find_conflicts(run_play(seed, play).reports)

    @pytest.mark.parametrize('seed', range(20))
    def test_no_window_is_reported_twice_round_restores(self, seed: int) -> None:
        """A successor counted a window anew that a leader of an earlier era had reported."""
        reports = run_play(seed, Successions.play).reports
        assert not find_conflicts(reports)
        numbers = [report.fencing for report in reports]
        assert numbers == sorted(numbers)
