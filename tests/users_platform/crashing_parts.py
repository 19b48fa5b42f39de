"""Model engines that crash on a part of a prompt, with daemons and callers."""

import asyncio
from collections import Counter
from collections.abc import Sequence
from itertools import count

from cluster import KEY, Cluster, make_configuration
from scene import ReceivedResponse

from fireflyhitch_serving.messages import Headers, render_head
from fireflyhitch_standins.scripted_server import ReceivedRequest, ScriptedServer
from fireflyhitch_standins.users_formats import render_route

SERVERS = 6
RESTART_SECONDS = 0.5
# From the arrival of a prompt to the first event, and from one event to the next.
PREFILL_SECONDS = 0.05
EVENT_SECONDS = 0.1
EVENTS = 8


class Engines:
    """Servers that stream; each that begins a response to a bad part crashes.

    :ivar crashed_at: loop times of crashes.
    :ivar arrived: by bad part, the loop times at which requests with it arrived.
    """

    def __init__(self, cluster: Cluster, bad_parts: Sequence[str]) -> None:
        self._cluster = cluster
        self._bad_parts = bad_parts
        self._starts = count(1)
        self._writers: dict[str, set[asyncio.StreamWriter]] = {}
        self._restarts: set[asyncio.Task[None]] = set()
        self._running: dict[str, ScriptedServer] = {}
        self.crashed_at: dict[str, list[float]] = {part: [] for part in bad_parts}
        self.arrived: dict[str, list[float]] = {part: [] for part in bad_parts}

    async def start(self) -> None:
        """Start a server under a new name."""
        name = f'i-{next(self._starts)}'
        self._writers[name] = set()

        async def answer(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await self._answer(name, request, writer)

        self._running[name] = await self._cluster.add_server(name, answer, slots=16)

    def crash_one(self) -> None:
        """Crash a server for a reason that no request has."""
        if self._running:
            self._crash(min(self._running))

    async def _answer(
        self, name: str, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self._writers[name].add(writer)
        loop = asyncio.get_running_loop()
        prefix = request.find('prompt-prefix')
        bad = [part for part in self._bad_parts if f'{part}:' in prefix]
        for part in bad:
            self.arrived[part].append(loop.time())
        await asyncio.sleep(PREFILL_SECONDS)
        if bad:
            if name in self._running:
                self.crashed_at[bad[0]].append(loop.time())
                self._crash(name)
            return
        await _stream(request, writer)

    def _crash(self, name: str) -> None:
        self._running.pop(name).stop()
        for writer in self._writers.pop(name):
            writer.transport.abort()
        restart = asyncio.create_task(self._replace(name))
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _replace(self, name: str) -> None:
        await asyncio.sleep(RESTART_SECONDS)
        self._cluster.store.delete(f'servers/{name}')
        await self.start()


async def _stream(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    headers: Headers = [
        (b'Request-Id', request.find('request-id').encode()),
        (b'Response-Stamp', b's.1'),
        (b'Content-Type', b'text/event-stream'),
        (b'Transfer-Encoding', b'chunked'),
    ]
    writer.write(render_head(200, headers))
    for number in range(1, EVENTS + 1):
        if writer.transport.is_closing():
            return
        event = b'id: %d\ndata: t\n\n' % number
        writer.write(b'%x\r\n%b\r\n' % (len(event), event))
        await asyncio.sleep(EVENT_SECONDS)
    writer.write(b'0\r\n\r\n')


class PartScenario:
    """Daemons, engines, and callers with sound prompts and bad ones.

    :ivar asked: sound requests, by first part.
    :ivar served: those that were answered whole.
    :ivar held: sound requests that a daemon held back.
    """

    def __init__(
        self, cluster: Cluster, daemons: Sequence[str], bad_parts: Sequence[str] = ()
    ) -> None:
        self.cluster = cluster
        self.daemons = list(daemons)
        self.engines = Engines(cluster, bad_parts)
        self.asked: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.held = 0
        self._numbers = count()

    async def start(self) -> None:
        """Start engines and daemons."""
        route = {
            **render_route('r-ask', 'streaming', prefix='ask'),
            'sticky': True,
            'resumable': True,
            'gap_target_ms': 500,
        }
        self.cluster.store.put('op/config', make_configuration(routes=(route,)))
        for _ in range(SERVERS):
            await self.engines.start()
        await self.start_daemons()

    async def start_daemons(self) -> None:
        """Start all daemons and wait until they serve."""
        for daemon in self.daemons:
            self.cluster.start(daemon)
        await self.cluster.wait_ready(*self.daemons)

    async def replace_daemons(self, *daemons: str) -> None:
        """Kill all daemons and start others in their place."""
        for daemon in self.daemons:
            self.cluster.kill(daemon)
        self.daemons = list(daemons)
        await self.start_daemons()

    async def send(self, *parts: str) -> ReceivedResponse:
        """Send a request to the next daemon, with a last part of its own."""
        number = next(self._numbers)
        prompt = (*parts, f'own{number}')
        daemon = self.daemons[number % len(self.daemons)]
        prefix = ','.join(f'{part}:100' for part in prompt)
        return await self.cluster.send_request(
            daemon,
            '/ask/1',
            'POST',
            request_id=f'r{number}',
            body=f'ask {number}'.encode(),
            headers=[
                (b'Model', b'm'),
                (b'Token-Usage', b'300,40'),
                (b'Prompt-Prefix', prefix.encode()),
            ],
            key=KEY,
        )

    async def ask_sound(self, *parts: str) -> None:
        """Send a sound request and count its outcome."""
        response = await self.send(*parts)
        self.asked[parts[0]] += 1
        self.served[parts[0]] += response.status == 200 and response.whole
        self.held += b'"held"' in response.body

    async def load(
        self,
        seconds: float,
        sound: Sequence[tuple[str, ...]],
        bad: Sequence[tuple[str, ...]] = (),
        bad_interval: float = 0.5,
    ) -> None:
        """Send sound requests all the time and bad ones now and then; count anew."""
        self.asked.clear()
        self.served.clear()
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        async with asyncio.TaskGroup() as callers:
            next_bad = loop.time()
            for turn in count():
                if loop.time() >= until:
                    break
                callers.create_task(self.ask_sound(*sound[turn % len(sound)]))
                if bad and loop.time() >= next_bad:
                    next_bad += bad_interval
                    callers.create_task(self.send(*bad[turn % len(bad)]))
                await asyncio.sleep(0.05)

    def count_late(self, part: str, contact_seconds: float) -> int:
        """Return how many requests with a part arrived too long after the fifth crash."""
        crashed_at = self.engines.crashed_at[part]
        if len(crashed_at) < 5:
            return 0
        since = crashed_at[4] + contact_seconds
        return sum(at > since for at in self.engines.arrived[part])

    def find_share_served(self, part: str) -> float:
        """Return which part of the sound requests with a first part were answered."""
        return self.served[part] / self.asked[part]
