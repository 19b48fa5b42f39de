"""Tests of usage reports when leaders follow each other round a restore of the store."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Sequence

import pytest
from daemons_scene import USAGE_WINDOW_SECONDS, Daemons, UsageReport
from virtual_time import run_virtual

from fireflyhitch_model.ids import CustomerId
from fireflyhitch_serving.fixed_counts import (
    COMPLETE_SINCE_KEY,
    USAGE_PREFIX,
)
from fireflyhitch_serving.peers import MAX_DATAGRAM_BYTES

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
# Two daemons agree on the mean of their clocks.
JUMP_SECONDS = 14.0
WINDOW = 3


class Successions:
    """Daemons that count requests, end and start, beside a store that is restored."""

    def __init__(self, seed: int, gent: int = 3, aalst: int = 2) -> None:
        self.cluster = Daemons(seed, gent=gent, aalst=aalst)
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


def run_play(
    seed: int,
    play: Callable[[Successions], Awaitable[None]],
    scene: Successions | None = None,
) -> Successions:
    """Run a play and return its scene."""
    scene = scene or Successions(seed)

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


async def write_key_with_many_digits(scene: Successions) -> None:
    """Have another writer leave a window's key with a number of 5,000 digits."""
    scene.cluster.store.put(f'{USAGE_PREFIX}{"9" * 5000}', b'{}')
    scene.kill(await scene.wait_for_leader())


async def record_completeness_of_far_future(scene: Successions) -> None:
    """Have the record name a window that is far ahead, as a wrong clock makes it."""
    value = json.dumps({'era': scene.cluster.store.era, 'window': 10**9}).encode()
    scene.cluster.store.put(COMPLETE_SINCE_KEY, value)
    scene.kill(await scene.wait_for_leader())


async def jump_clock(scene: Successions) -> None:
    """Kill all when a leader reports whose clock has jumped, as the store comes back."""
    leader = scene.cluster.daemons[await scene.wait_for_leader()]
    leader.clock_error = JUMP_SECONDS
    await asyncio.sleep(2 * USAGE_WINDOW_SECONDS)
    before = len(scene.reports)
    while len(scene.reports) == before:
        await asyncio.sleep(0.001)
    scene.kill(*scene.cluster.daemons)
    scene.restore(MAX_COPY_SECONDS)


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

    @pytest.mark.parametrize(
        'fault', [write_key_with_many_digits, record_completeness_of_far_future]
    )
    def test_windows_are_reported_after_an_odd_entry(
        self, fault: Callable[[Successions], Awaitable[None]]
    ) -> None:
        """An entry that no daemon writes, or a wrong clock, ended all reports for good."""

        async def play(scene: Successions) -> None:
            await fault(scene)
            await asyncio.sleep(4 * MAX_IDLE_SECONDS)
            now = asyncio.get_running_loop().time()
            assert scene.reports[-1].window >= now // USAGE_WINDOW_SECONDS - 2

        assert not find_conflicts(run_play(1, play).reports)

    def test_a_clock_that_jumps_makes_no_window_reported_twice(self) -> None:
        """A leader took a window for running that its predecessor had reported early."""

        async def play(scene: Successions) -> None:
            await jump_clock(scene)
            await asyncio.sleep(4 * MAX_IDLE_SECONDS)

        reports = run_play(1, play, Successions(1, gent=1, aalst=1)).reports
        assert not find_conflicts(reports)


class TestFixedCounts:
    def test_fixed_counts_of_many_customers_fit_into_datagrams(self) -> None:
        """Counts of all windows together grew too large, and no peer learned any."""
        sizes: list[int] = []

        def record(sender: str, to: str, data: bytes) -> bool:
            sizes.append(len(data))
            return False

        async def script() -> None:
            cluster = Daemons(1, gent=2, aalst=1)
            cluster.net.should_drop = record
            await cluster.start_all()
            counts = {CustomerId(f'customer-{number}'): 1000 for number in range(800)}
            fixed = cluster.daemons['gent-1'].fixed_counts
            await fixed.load(WINDOW)
            for window in range(WINDOW, WINDOW + 8):
                await fixed.fix(window, counts)
            await asyncio.sleep(1)
            assert cluster.daemons['aalst-1'].fixed_counts.find(WINDOW) == counts

        run_virtual(script())
        assert max(sizes) <= MAX_DATAGRAM_BYTES
