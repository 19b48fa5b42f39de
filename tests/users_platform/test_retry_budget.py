"""Tests that all daemons together keep within the platform's bound on retries."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from itertools import count
from pathlib import Path

import pytest

from fireflyhitch_bench.soak_requests import DEADLINE_MS, KEY
from fireflyhitch_bench.soak_site import DaemonProcess, SoakSite
from fireflyhitch_serving.connections import connect
from fireflyhitch_serving.errors import ServerError
from fireflyhitch_standins.users_formats import render_call

DAEMONS = 4
# The platform's bound, as in the daemons' settings files.
RATIO = 0.2
SLACK = 54
WINDOW_SECONDS = 10.0
REQUEST_INTERVAL_SECONDS = 0.04
LOAD_SECONDS = 14.0
KILL_INTERVAL_SECONDS = 2.5
CALL_SECONDS = 4.0

Disturb = Callable[[SoakSite], Awaitable[None]]


async def disturb_nothing(site: SoakSite) -> None:
    """Let all daemons run."""


async def kill_in_turn(site: SoakSite) -> None:
    """Kill one daemon after the other, and start it again."""
    for number in count():
        await asyncio.sleep(KILL_INTERVAL_SECONDS / DAEMONS)
        await restart(site.daemons[number % DAEMONS])


async def kill_all(site: SoakSite) -> None:
    """Kill all daemons at once again and again, and start them."""
    while True:
        await asyncio.sleep(KILL_INTERVAL_SECONDS)
        await asyncio.gather(*(restart(daemon) for daemon in site.daemons))


async def restart(daemon: DaemonProcess) -> None:
    """Kill a daemon's process and start another one."""
    daemon.send_signal(signal.SIGKILL)
    while daemon.runs:
        await asyncio.sleep(0.01)
    daemon.start()


class BudgetScenario:
    """Daemons as processes, servers that break off each response, and callers."""

    def __init__(self, site: SoakSite) -> None:
        self.site = site
        self.requested_at: list[float] = []
        self._numbers = count()

    async def start(self) -> None:
        """Start the site, and have its servers break off responses once all serve."""
        await self.site.start(DAEMONS)
        for daemon in self.site.daemons:
            while await self._ask(daemon) != 200:
                await asyncio.sleep(0.1)
        for server in self.site.servers.values():
            server.breaks_off = True

    async def load(self) -> None:
        """Send requests to all daemons in turn."""
        loop = asyncio.get_running_loop()
        until = loop.time() + LOAD_SECONDS
        async with asyncio.TaskGroup() as callers:
            while loop.time() < until:
                callers.create_task(self._call())
                await asyncio.sleep(REQUEST_INTERVAL_SECONDS)

    async def _call(self) -> None:
        """Send a request to the next daemon that accepts connections."""
        self.requested_at.append(asyncio.get_running_loop().time())
        for _ in range(DAEMONS):
            number = next(self._numbers)
            daemon = self.site.daemons[number % DAEMONS]
            if await self._ask(daemon):
                return

    async def _ask(self, daemon: DaemonProcess) -> int:
        """Send a request under a new id; return its status, 0 without a response."""
        request_id = f'r{next(self._numbers)}'
        request = render_call('/read/1', KEY, request_id, deadline_ms=DEADLINE_MS)
        with suppress(ServerError, OSError, TimeoutError):
            async with asyncio.timeout(CALL_SECONDS):
                connection = await connect(daemon.front, CALL_SECONDS)
                try:
                    connection.send(request)
                    return (await connection.read_head()).status
                finally:
                    connection.close()
        return 0


def find_excess(requested_at: Sequence[float], retried_at: Sequence[float]) -> float:
    """Return by how much retries exceed the bound in the worst window.

    As on the platform, requests are counted in that window, the one before it or the one
    half a window before it, whichever has most.
    """

    def count_in(times: Sequence[float], end: float) -> int:
        return sum(end - WINDOW_SECONDS < at <= end for at in times)

    excesses: list[float] = [-SLACK]
    for end in retried_at:
        requests = max(
            count_in(requested_at, end - shift * WINDOW_SECONDS)
            for shift in (0, 0.5, 1)
        )
        retries = count_in(retried_at, end)
        excesses.append(retries - RATIO * requests - SLACK)
    return max(excesses)


def measure_excess(folder: Path, disturb: Disturb) -> float:
    """Return the worst window's excess under load."""

    async def run() -> float:
        site = SoakSite(folder)
        try:
            scenario = BudgetScenario(site)
            await scenario.start()
            disturbing = asyncio.create_task(disturb(site))
            await scenario.load()
            disturbing.cancel()
            retried_at = site.runs.retried_at
            assert retried_at
            return find_excess(scenario.requested_at, retried_at)
        finally:
            site.stop()

    return asyncio.run(run())


class TestRetriesOfAllDaemons:
    @pytest.mark.parametrize('disturb', [disturb_nothing, kill_in_turn, kill_all])
    def test_they_keep_to_the_bound_while_servers_break_off_and_daemons_are_killed(
        self, tmp_path, disturb: Disturb
    ) -> None:
        assert measure_excess(tmp_path, disturb) <= 0
