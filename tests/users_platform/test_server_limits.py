"""Tests that daemons respect the rate limits that servers report."""

import asyncio
from collections.abc import Awaitable, Callable
from itertools import count
from pathlib import Path

from cluster import Cluster, answer_signed, make_configuration, run_scenario, wait_for
from scene import ReceivedResponse

from fireflyhitch_standins.arrivals import count_peak_arrivals
from fireflyhitch_standins.scripted_server import ReceivedRequest
from fireflyhitch_standins.users_formats import render_signed_response

DAEMONS = ('d1', 'd2', 'd3', 'd4', 'd5')
# The platform's bound: in any window of this length a server may get at most
# ``TOLERANCE_FACTOR`` times its limit plus ``MAX_EXTRA_REQUESTS``.
WINDOW_SECONDS = 4.0
TOLERANCE_FACTOR = 1.5
MAX_EXTRA_REQUESTS = 5
# Time from the first response that reports a limit until it must be respected.
PROPAGATION_SECONDS = 3.0
# Fraction of a server's limit that must be used while the load exceeds it.
MIN_USED_FRACTION = 0.75
REQUEST_INTERVAL_SECONDS = 0.05


class LimitedServer:
    """A server that reports its limit, unless that is ``None``."""

    def __init__(self, limit: float) -> None:
        self.limit: float | None = limit
        self.arrivals: list[float] = []

    async def answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Respond at once to any request."""
        self.arrivals.append(asyncio.get_running_loop().time())
        request_id = request.find('request-id')
        writer.write(
            render_signed_response(request_id, 's.1', b'done', limit=self.limit)
        )

    def count_peak_arrivals(self, after: float) -> int:
        """Return the most arrivals within a window, counted from a given time."""
        later = [at for at in self.arrivals if at >= after]
        return count_peak_arrivals(later, WINDOW_SECONDS)


class LimitScenario:
    """Daemons with servers that report limits, and a load on all daemons."""

    def __init__(self, cluster: Cluster, *limits: float) -> None:
        self.cluster = cluster
        self.servers = [LimitedServer(limit) for limit in limits]
        self.answers: list[ReceivedResponse] = []
        self._numbers = count()

    async def start(self) -> None:
        """Start servers and daemons, and wait until these have discovered each other."""
        self.cluster.store.put('op/config', make_configuration())
        for number, server in enumerate(self.servers):
            await self.cluster.add_server(f'i-{number}', server.answer)
        for daemon in DAEMONS:
            self.cluster.start(daemon)
        await self.cluster.wait_ready(*DAEMONS)
        await asyncio.sleep(1)

    async def send_requests(self, seconds: float) -> float:
        """Send requests to all daemons in turn.

        :returns: the time from which the limits must be respected.
        """
        loop = asyncio.get_running_loop()
        begin = loop.time()
        async with asyncio.TaskGroup() as callers:
            while loop.time() < begin + seconds:
                callers.create_task(self._send_request())
                await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
        return begin + PROPAGATION_SECONDS

    async def _send_request(self) -> None:
        number = next(self._numbers)
        daemon = DAEMONS[number % len(DAEMONS)]
        self.answers.append(
            await self.cluster.send_request(daemon, request_id=f'r{number}')
        )


Scenario = Callable[[LimitScenario], Awaitable[None]]


def run_limit_scenario(folder: Path, script: Scenario, *limits: float) -> None:
    """Run a scenario with one server per limit."""

    async def begin(cluster: Cluster) -> None:
        scenario = LimitScenario(cluster, *limits)
        await scenario.start()
        await script(scenario)

    run_scenario(folder, begin)


class TestServerLimits:
    def test_daemons_together_respect_a_servers_limit_and_use_it(
        self, tmp_path
    ) -> None:
        async def script(scenario: LimitScenario) -> None:
            await scenario.cluster.add_server('i-free', answer_signed())
            # A daemon that has not received the entry yet may refuse.
            programs = scenario.cluster.programs.values()
            await wait_for(
                lambda: all(p.store_state.count_servers() == 2 for p in programs)
            )
            settled_at = await scenario.send_requests(13)
            server = scenario.servers[0]
            assert (
                server.count_peak_arrivals(settled_at)
                <= TOLERANCE_FACTOR * WINDOW_SECONDS + MAX_EXTRA_REQUESTS
            )
            later = [at for at in server.arrivals if at >= settled_at]
            assert len(later) >= MIN_USED_FRACTION * 10
            assert all(got.status == 200 for got in scenario.answers)

        run_limit_scenario(tmp_path, script, 1.0)

    def test_with_only_limited_servers_requests_up_to_the_limits_succeed(
        self, tmp_path
    ) -> None:
        async def script(scenario: LimitScenario) -> None:
            settled_at = await scenario.send_requests(13)
            for server in scenario.servers:
                max_arrivals = (
                    TOLERANCE_FACTOR * WINDOW_SECONDS * 4 + MAX_EXTRA_REQUESTS
                )
                assert server.count_peak_arrivals(settled_at) <= max_arrivals
                later = [at for at in server.arrivals if at >= settled_at]
                assert len(later) >= MIN_USED_FRACTION * 40
            assert {got.status for got in scenario.answers} == {200, 503}

        run_limit_scenario(tmp_path, script, 4.0, 4.0)

    def test_a_limit_that_is_no_longer_reported_is_no_longer_applied(
        self, tmp_path
    ) -> None:
        async def script(scenario: LimitScenario) -> None:
            await scenario.send_requests(4)
            scenario.servers[0].limit = None
            settled_at = await scenario.send_requests(6)
            later = [at for at in scenario.servers[0].arrivals if at >= settled_at]
            assert len(later) >= MIN_USED_FRACTION * 3 / REQUEST_INTERVAL_SECONDS

        run_limit_scenario(tmp_path, script, 1.0)
