"""Whether a server that broke off an answer has ended, and under which requests.

An answer may be cut off by a server that lives on. One whose process has ended refuses
connections, or, where its whole instance is gone, is silent until it is listed no more.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.identity import identify_process
from fireflyhitch_model.ids import BackendServerId, ContentId
from fireflyhitch_routing.crashes import CrashTracker, ServerCrash
from fireflyhitch_serving.connections import ConnectResult, try_connect
from fireflyhitch_serving.servers import ServerRecord

# Between looks: a process that ends closes its sockets one after the other. An instance that is
# gone is listed for some heartbeats more.
LOOK_SECONDS = (0.05, 0.2, 0.8, 1.0, 1.0, 1.0, 2.0)
REACH_SECONDS = 0.3

FindServer = Callable[[BackendServerId], ServerRecord | None]


@dataclass(slots=True)
class _BrokenRuns:
    """Requests whose answers one server's process broke off, with their begin."""

    at: float
    began: dict[ContentId, float] = field(default_factory=dict)


class CrashDetector:
    """Looks after servers that broke off answers, and keeps the evidence."""

    def __init__(
        self, clock: Clock, find_server: FindServer, book: CrashTracker
    ) -> None:
        """Make a watch that looks after none.

        :param find_server: returns a server's record while it is listed.
        """
        self._clock = clock
        self._find_server = find_server
        self._book = book
        self._broken: dict[int, _BrokenRuns] = {}
        self._looks: set[asyncio.Task[None]] = set()

    def record_broken_response(
        self, record: ServerRecord, content: ContentId, began: float
    ) -> None:
        """Take in that a server broke off the answer to a request.

        :param began: monotonic seconds at which the request was sent.
        """
        if not record.server.ready:
            # It was leaving, and ends by order.
            return
        runs = self._broken.get(id(record))
        if runs is None:
            runs = _BrokenRuns(self._clock.monotonic())
            self._broken[id(record)] = runs
            self._start_look(record, runs)
        runs.began.setdefault(content, began)

    def _start_look(self, record: ServerRecord, runs: _BrokenRuns) -> None:
        look = asyncio.get_running_loop().create_task(self._look(record, runs))
        self._looks.add(look)
        look.add_done_callback(self._looks.discard)

    async def _look(self, record: ServerRecord, runs: _BrokenRuns) -> None:
        try:
            if await self._has_ended(record):
                self._note_end(record, runs)
        finally:
            del self._broken[id(record)]

    async def _has_ended(self, record: ServerRecord) -> bool:
        for seconds in LOOK_SECONDS:
            await asyncio.sleep(seconds)
            if self._find_server(record.server.server_id) is not record:
                return True
            found = await try_connect(record.server.address, REACH_SECONDS)
            if found is not ConnectResult.UNREACHABLE:
                return found is ConnectResult.REFUSED
        return False

    def _note_end(self, record: ServerRecord, runs: _BrokenRuns) -> None:
        server = record.server
        process = identify_process(server.server_id, server.born)
        now = self._clock.monotonic()
        for content, began in runs.began.items():
            self._book.record_crash(content, process, ServerCrash(runs.at, began), now)
        logger.bind(
            server=server.server_id,
            born=server.born,
            contents=sorted(runs.began),
        ).warning('server ended under requests')
