"""Tests of servers that name a limit, beside whole daemons."""

import asyncio
from collections.abc import Awaitable, Callable
from itertools import count
from pathlib import Path

from scene import ReceivedResponse
from site_of_daemons import Site, answer_signed, make_configuration, play

from fireflyhitch_standins.arrivals import count_most
from fireflyhitch_standins.scripted_server import SeenRequest
from fireflyhitch_standins.users_formats import render_signed

DAEMONS = ('d1', 'd2', 'd3', 'd4', 'd5')
# As the platform has it: what a server may get in any four seconds.
WINDOW_SECONDS = 4.0
OVER = 1.5
MOST_ON_TOP = 5
# From the first answer that names the limit.
CONTACT_SECONDS = 3.0
# Of what a server allows, while more is asked for.
LEAST_USED = 0.75
ASK_SECONDS = 0.05


class LimitedServer:
    """A server that names a limit, for as long as it has one."""

    def __init__(self, limit: float) -> None:
        self.limit: float | None = limit
        self.arrivals: list[float] = []

    async def answer(self, request: SeenRequest, writer: asyncio.StreamWriter) -> None:
        """Answer at once, whatever was asked."""
        self.arrivals.append(asyncio.get_running_loop().time())
        request_id = request.find('request-id')
        writer.write(render_signed(request_id, 's.1', b'done', limit=self.limit))

    def count_most(self, after: float) -> int:
        """Return the most arrivals in four seconds after some time."""
        late = [at for at in self.arrivals if at >= after]
        return count_most(late, WINDOW_SECONDS)


class LimitedSite:
    """Daemons that are asked for more than one server takes."""

    def __init__(self, site: Site, *limits: float) -> None:
        self.site = site
        self.servers = [LimitedServer(limit) for limit in limits]
        self.answers: list[ReceivedResponse] = []
        self._numbers = count()

    async def start(self) -> None:
        """Start servers and daemons, and wait until these know each other."""
        self.site.store.put('op/config', make_configuration())
        for number, server in enumerate(self.servers):
            await self.site.add_server(f'i-{number}', server.answer)
        for daemon in DAEMONS:
            self.site.start(daemon)
        await self.site.wait_ready(*DAEMONS)
        await asyncio.sleep(1)

    async def ask_for(self, seconds: float) -> float:
        """Ask all daemons in turn; return when limits are known since long."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        async with asyncio.TaskGroup() as callers:
            while loop.time() < begin + seconds:
                callers.create_task(self._ask())
                await asyncio.sleep(ASK_SECONDS)
        return begin + CONTACT_SECONDS

    async def _ask(self) -> None:
        number = next(self._numbers)
        daemon = DAEMONS[number % len(DAEMONS)]
        self.answers.append(await self.site.ask(daemon, request_id=f'r{number}'))


Play = Callable[[LimitedSite], Awaitable[None]]


def play_limited(folder: Path, script: Play, *limits: float) -> None:
    """Play a script on a site whose servers name limits."""

    async def begin(site: Site) -> None:
        scene = LimitedSite(site, *limits)
        await scene.start()
        await script(scene)

    play(folder, begin)


class TestServerLimits:
    def test_all_daemons_together_keep_to_a_servers_limit_and_use_it(
        self, tmp_path
    ) -> None:
        async def script(scene: LimitedSite) -> None:
            await scene.site.add_server('i-free', answer_signed())
            known = await scene.ask_for(13)
            server = scene.servers[0]
            assert server.count_most(known) <= OVER * WINDOW_SECONDS + MOST_ON_TOP
            late = [at for at in server.arrivals if at >= known]
            assert len(late) >= LEAST_USED * 10
            assert all(got.status == 200 for got in scene.answers)

        play_limited(tmp_path, script, 1.0)

    def test_with_limited_servers_only_all_that_they_take_is_answered(
        self, tmp_path
    ) -> None:
        async def script(scene: LimitedSite) -> None:
            known = await scene.ask_for(13)
            for server in scene.servers:
                most = OVER * WINDOW_SECONDS * 4 + MOST_ON_TOP
                assert server.count_most(known) <= most
                late = [at for at in server.arrivals if at >= known]
                assert len(late) >= LEAST_USED * 40
            assert {got.status for got in scene.answers} == {200, 503}

        play_limited(tmp_path, script, 4.0, 4.0)

    def test_a_limit_that_is_named_no_more_is_kept_no_more(self, tmp_path) -> None:
        async def script(scene: LimitedSite) -> None:
            await scene.ask_for(4)
            scene.servers[0].limit = None
            known = await scene.ask_for(6)
            late = [at for at in scene.servers[0].arrivals if at >= known]
            assert len(late) >= LEAST_USED * 3 / ASK_SECONDS

        play_limited(tmp_path, script, 1.0)
