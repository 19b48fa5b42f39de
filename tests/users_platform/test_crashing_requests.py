"""Tests that daemons hold back requests that crash servers."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

from cluster import Cluster, answer_signed, make_configuration, run_scenario
from scene import ReceivedResponse

from fireflyhitch_standins.scripted_server import ReceivedRequest, ScriptedServer

DAEMONS = ('d1', 'd2', 'd3')
REPLACEMENT_DAEMONS = ('e1', 'e2', 'e3')
CRASHING_BODY = b'crashing'
# The platform's bound on the time in which connected daemons exchange state.
PROPAGATION_SECONDS = 3.0
# Further servers that may crash after the third.
MAX_FURTHER_CRASHES = 3
RESTART_SECONDS = 0.3


class CrashingServers:
    """Servers that crash on one request and are replaced by servers with new names."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._starts = 0
        self.crashed: list[str] = []

    async def start(self) -> None:
        """Start a server under a new name."""
        self._starts += 1
        name = f'i-{self._starts}'
        server = await self._cluster.add_server(name, self._answer)
        server.script = lambda request, writer: self._answer_on(server, request, writer)

    async def _answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Return no answer; ``start`` replaces this script at once."""

    async def _answer_on(
        self,
        server: ScriptedServer,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        if request.body != CRASHING_BODY:
            await answer_signed()(request, writer)
            return
        self.crashed.append(server.name)
        server.stop()
        writer.close()
        asyncio.get_running_loop().call_later(
            RESTART_SECONDS, lambda: asyncio.create_task(self._replace(server.name))
        )

    async def _replace(self, name: str) -> None:
        self._cluster.store.delete(f'servers/{name}')
        await self.start()


class CrashScenario:
    """Daemons and servers whose callers send a harmless and a crashing request."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.servers = CrashingServers(cluster)
        self.daemons = DAEMONS
        self.harmless: list[ReceivedResponse] = []

    async def start(self) -> None:
        """Start six servers and all daemons."""
        self.cluster.store.put('op/config', make_configuration())
        for _ in range(6):
            await self.servers.start()
        await self.start_daemons()

    async def start_daemons(self) -> None:
        """Start all daemons, and wait until they have discovered each other."""
        for daemon in self.daemons:
            self.cluster.start(daemon)
        await self.cluster.wait_ready(*self.daemons)
        await asyncio.sleep(PROPAGATION_SECONDS)

    async def replace_daemons(self) -> None:
        """Kill all daemons and start others in their place."""
        for daemon in self.daemons:
            self.cluster.kill(daemon)
        self.daemons = REPLACEMENT_DAEMONS
        await self.start_daemons()

    async def send_crashing_requests(self, times: int) -> list[ReceivedResponse]:
        """Send the crashing request to each daemon in turn; crashed servers restart."""
        got = []
        for turn in range(times):
            daemon = self.daemons[turn % len(self.daemons)]
            got.append(
                await self.cluster.send_request(
                    daemon, body=CRASHING_BODY, method='POST'
                )
            )
            for other in self.daemons:
                self.harmless.append(
                    await self.cluster.send_request(
                        other, body=b'harmless', method='POST'
                    )
                )
            await asyncio.sleep(2 * RESTART_SECONDS)
        return got

    async def crash_three(self) -> None:
        """Send requests until three servers have crashed and all daemons are informed."""
        while len(self.servers.crashed) < 3:
            await self.send_crashing_requests(1)
        await asyncio.sleep(PROPAGATION_SECONDS)


Scenario = Callable[[CrashScenario], Awaitable[None]]


def run_crash_scenario(folder: Path, script: Scenario) -> None:
    """Run a scenario after starting its servers and daemons."""

    async def begin(cluster: Cluster) -> None:
        scenario = CrashScenario(cluster)
        await scenario.start()
        await script(scenario)

    run_scenario(folder, begin)


class TestRequestsThatCrashServers:
    def test_a_request_that_crashed_three_servers_is_held_by_all_daemons(
        self, tmp_path
    ) -> None:
        # Callers retry under new ids at other daemons, which would crash more servers.
        async def script(scenario: CrashScenario) -> None:
            await scenario.crash_three()
            before = len(scenario.servers.crashed)
            tries = await scenario.send_crashing_requests(8)
            assert len(scenario.servers.crashed) - before <= MAX_FURTHER_CRASHES
            assert tries[-1].status == 503
            assert all(got.status == 200 for got in scenario.harmless)

        run_crash_scenario(tmp_path, script)

    def test_it_is_held_by_daemons_started_after_all_were_killed(
        self, tmp_path
    ) -> None:
        # State kept only in the daemons' memory is lost when all are killed at once.
        async def script(scenario: CrashScenario) -> None:
            await scenario.crash_three()
            before = len(scenario.servers.crashed)
            await scenario.replace_daemons()
            tries = await scenario.send_crashing_requests(8)
            assert len(scenario.servers.crashed) - before <= MAX_FURTHER_CRASHES
            assert tries[-1].status == 503

        run_crash_scenario(tmp_path, script)
