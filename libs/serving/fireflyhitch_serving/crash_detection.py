"""Detects server crashes and records the requests that ran at the time.

A server can abort a response and stay up. If its process exited, it refuses
connections; if its whole instance is gone, it does not respond until it is removed from
the list.
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
from fireflyhitch_serving.reachability import ServerReachability
from fireflyhitch_serving.servers import ServerRecord

# Delays between probes. An exiting process closes its sockets one after the other, and
# an instance that is gone stays listed for some more heartbeats.
PROBE_DELAYS = (0.05, 0.2, 0.8, 1.0, 1.0, 1.0, 2.0)
PROBE_TIMEOUT_SECONDS = 0.3

FindServer = Callable[[BackendServerId], ServerRecord | None]


@dataclass(slots=True)
class _AbortedRequests:
    """Requests whose responses one server process aborted, with their start times."""

    detected_at: float
    began: dict[ContentId, float] = field(default_factory=dict)


class CrashDetector:
    """Probes servers that aborted responses, and records crashes."""

    def __init__(
        self,
        clock: Clock,
        find_server: FindServer,
        tracker: CrashTracker,
        reachability: ServerReachability,
    ) -> None:
        """Create a detector without servers to probe.

        :param find_server: returns a server's record while it is listed.
        """
        self._clock = clock
        self._find_server = find_server
        self._tracker = tracker
        self._reachability = reachability
        self._aborted: dict[int, _AbortedRequests] = {}
        self._probes: set[asyncio.Task[None]] = set()

    def record_broken_response(
        self, record: ServerRecord, content: ContentId, began: float
    ) -> None:
        """Record that a server aborted the response to a request.

        :param began: monotonic seconds at which the request was sent.
        """
        if record.leaving or not record.server.ready:
            # It was leaving, so its exit is expected.
            return
        aborted = self._aborted.get(id(record))
        if aborted is None:
            aborted = _AbortedRequests(self._clock.monotonic())
            self._aborted[id(record)] = aborted
            self._start_probe(record, aborted)
        aborted.began.setdefault(content, began)

    def _start_probe(self, record: ServerRecord, aborted: _AbortedRequests) -> None:
        probe = asyncio.get_running_loop().create_task(
            self._probe_server(record, aborted)
        )
        self._probes.add(probe)
        probe.add_done_callback(self._probes.discard)

    async def _probe_server(
        self, record: ServerRecord, aborted: _AbortedRequests
    ) -> None:
        try:
            if await self._has_crashed(record):
                self._record_crashes(record, aborted)
        finally:
            del self._aborted[id(record)]

    async def _has_crashed(self, record: ServerRecord) -> bool:
        for delay in PROBE_DELAYS:
            await asyncio.sleep(delay)
            if self._find_server(record.server.server_id) is not record:
                return True
            result = await try_connect(record.server.address, PROBE_TIMEOUT_SECONDS)
            if result is ConnectResult.REFUSED:
                await self._reachability.check()
            if self._reachability.lost:
                # The link may be cut, or all servers have crashed.
                continue
            if result is not ConnectResult.UNREACHABLE:
                return result is ConnectResult.REFUSED
        return False

    def _record_crashes(self, record: ServerRecord, aborted: _AbortedRequests) -> None:
        server = record.server
        process = identify_process(server.server_id, server.born)
        now = self._clock.monotonic()
        for content, began in aborted.began.items():
            self._tracker.record_crash(
                content, process, ServerCrash(aborted.detected_at, began), now
            )
        logger.bind(
            server=server.server_id,
            born=server.born,
            contents=sorted(aborted.began),
        ).warning('server ended under requests')
