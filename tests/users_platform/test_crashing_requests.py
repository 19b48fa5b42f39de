"""Tests of requests under which servers end, beside whole daemons."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

from scene import ReceivedResponse
from site_of_daemons import Site, answer_signed, make_configuration, play

from fireflyhitch_standins.scripted_server import ScriptedServer, SeenRequest

DAEMONS = ('d1', 'd2', 'd3')
SUCCESSORS = ('e1', 'e2', 'e3')
CRASHING = b'crashing'
# As the platform has it: in this time daemons that hear each other know.
CONTACT_SECONDS = 3.0
# After the third server has ended.
MOST_REPEATS = 3
START_SECONDS = 0.3


class CrashingServers:
    """Servers whose processes end under one request, and start again elsewhere."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._starts = 0
        self.ended: list[str] = []

    async def start(self) -> None:
        """Start a server under a new name."""
        self._starts += 1
        name = f'i-{self._starts}'
        server = await self._site.add_server(name, self._answer)
        server.script = lambda request, writer: self._answer_on(server, request, writer)

    async def _answer(self, request: SeenRequest, writer: asyncio.StreamWriter) -> None:
        """Answer nothing; each server has a script of its own as soon as it is made."""

    async def _answer_on(
        self,
        server: ScriptedServer,
        request: SeenRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        if request.body != CRASHING:
            await answer_signed()(request, writer)
            return
        self.ended.append(server.name)
        server.stop()
        writer.close()
        asyncio.get_running_loop().call_later(
            START_SECONDS, lambda: asyncio.create_task(self._replace(server.name))
        )

    async def _replace(self, name: str) -> None:
        self._site.store.delete(f'servers/{name}')
        await self.start()


class CrashingSite:
    """Daemons, servers, and callers of two requests: one harmless, one not."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.servers = CrashingServers(site)
        self.daemons = DAEMONS
        self.harmless: list[ReceivedResponse] = []

    async def start(self) -> None:
        """Start six servers and all daemons."""
        self.site.store.put('op/config', make_configuration())
        for _ in range(6):
            await self.servers.start()
        await self.start_daemons()

    async def start_daemons(self) -> None:
        """Start all daemons, and wait until they know each other."""
        for daemon in self.daemons:
            self.site.start(daemon)
        await self.site.wait_ready(*self.daemons)
        await asyncio.sleep(CONTACT_SECONDS)

    async def replace_daemons(self) -> None:
        """Have all daemons end without a word, and others start in their place."""
        for daemon in self.daemons:
            self.site.kill(daemon)
        self.daemons = SUCCESSORS
        await self.start_daemons()

    async def ask_crashing(self, times: int) -> list[ReceivedResponse]:
        """Have a caller try at each daemon in turn; servers that end start again."""
        got = []
        for turn in range(times):
            daemon = self.daemons[turn % len(self.daemons)]
            got.append(await self.site.ask(daemon, body=CRASHING, method='POST'))
            for other in self.daemons:
                self.harmless.append(
                    await self.site.ask(other, body=b'harmless', method='POST')
                )
            await asyncio.sleep(2 * START_SECONDS)
        return got

    async def crash_three(self) -> None:
        """Have callers ask until three servers have ended, and all may know it."""
        while len(self.servers.ended) < 3:
            await self.ask_crashing(1)
        await asyncio.sleep(CONTACT_SECONDS)


Play = Callable[[CrashingSite], Awaitable[None]]


def play_crashing(folder: Path, script: Play) -> None:
    """Play a script on a site with all that it takes."""

    async def begin(site: Site) -> None:
        scene = CrashingSite(site)
        await scene.start()
        await script(scene)

    play(folder, begin)


class TestRequestsThatEndServers:
    def test_a_request_that_ended_three_servers_is_held_by_all_daemons(
        self, tmp_path
    ) -> None:
        # Callers try again under new ids at other daemons, and servers go on ending.
        async def script(scene: CrashingSite) -> None:
            await scene.crash_three()
            before = len(scene.servers.ended)
            tries = await scene.ask_crashing(8)
            assert len(scene.servers.ended) - before <= MOST_REPEATS
            assert tries[-1].status == 503
            assert all(got.status == 200 for got in scene.harmless)

        play_crashing(tmp_path, script)

    def test_it_is_held_by_daemons_that_started_after_all_were_killed(
        self, tmp_path
    ) -> None:
        # What daemons only tell each other is lost when all of them end at once.
        async def script(scene: CrashingSite) -> None:
            await scene.crash_three()
            before = len(scene.servers.ended)
            await scene.replace_daemons()
            tries = await scene.ask_crashing(8)
            assert len(scene.servers.ended) - before <= MOST_REPEATS
            assert tries[-1].status == 503

        play_crashing(tmp_path, script)
