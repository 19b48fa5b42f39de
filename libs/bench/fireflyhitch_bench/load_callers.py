"""A process of open-loop callers: each call is sent when it is due.

``python -m fireflyhitch_bench.load_callers PLAN RESULTS`` reads a ``CallerPlan`` and
writes the results of its calls. How late calls were sent is part of the results.
"""

import asyncio
import gc
import sys
from collections import defaultdict
from contextlib import suppress
from http import HTTPStatus
from pathlib import Path
from time import monotonic

from pydantic import TypeAdapter

from fireflyhitch_bench.load_calls import Call, CallerPlan, CallResult, Try
from fireflyhitch_serving.client import MAX_BODY_BYTES
from fireflyhitch_serving.connections import Address, ServerConnection, connect
from fireflyhitch_serving.errors import ServerError
from fireflyhitch_serving.messages import Headers, find_header
from fireflyhitch_standins.users_formats import render_call

PLAN = TypeAdapter(CallerPlan)
RESULTS = TypeAdapter(list[CallResult])
# After the time limit, in which a daemon's own answer still arrives.
PATIENCE_SECONDS = 1.0
# As the callers of the platform do: of the time that is left.
MAX_RETURN_PART = 1 / 3
DEFAULT_RETURN_SECONDS = 0.05


class Callers:
    """All callers of one process."""

    def __init__(self, plan: CallerPlan) -> None:
        """Create callers without connections."""
        self._plan = plan
        self._fronts = [Address.parse(front) for front in plan.fronts]
        self._idle: defaultdict[int, list[ServerConnection]] = defaultdict(list)

    async def run(self) -> list[CallResult]:
        """Send each call when it is due, and wait for all responses."""
        tasks = []
        for call in self._plan.calls:
            wait = self._plan.begin + call.at - monotonic()
            await asyncio.sleep(max(wait, 0))
            tasks.append(asyncio.create_task(self._make_call(call)))
        return await asyncio.gather(*tasks)

    async def _make_call(self, call: Call) -> CallResult:
        due = self._plan.begin + call.at
        late = monotonic() - due
        ends = due + self._plan.limit
        tries: list[Try] = []
        for place, daemon in enumerate(call.daemons):
            left = ends - monotonic()
            if left <= 0:
                break
            request_id = f'{self._plan.label}-{call.number}-{place}'
            one, wait = await self._try_once(call, daemon, request_id, left)
            tries.append(one)
            if one.status == HTTPStatus.OK:
                break
            if place + 1 < len(call.daemons):
                await asyncio.sleep(
                    min(wait, max(ends - monotonic(), 0) * MAX_RETURN_PART)
                )
        return CallResult(call.number, late, monotonic() - due, tuple(tries))

    async def _try_once(
        self, call: Call, daemon: int, request_id: str, left: float
    ) -> tuple[Try, float]:
        """Send one request; also return the seconds after which it may be repeated."""
        request = render_call(
            f'/{call.route}/1',
            call.customer,
            request_id,
            deadline_ms=max(int(left * 1000), 1),
        )
        sent = monotonic()
        status: int | None = None
        headers: Headers = []
        with suppress(ServerError, OSError, TimeoutError):
            async with asyncio.timeout(left + PATIENCE_SECONDS):
                status, headers = await self._exchange(daemon, request)
        wait = float(find_header(headers, b'retry-after') or DEFAULT_RETURN_SECONDS)
        return Try(request_id, status, monotonic() - sent), wait

    async def _exchange(self, daemon: int, request: bytes) -> tuple[int, Headers]:
        connection = await self._find_connection(daemon)
        done = False
        try:
            connection.send(request)
            head = await connection.read_head()
            await connection.read_whole_body(MAX_BODY_BYTES)
            done = connection.finish(monotonic())
        finally:
            if not done:
                connection.close()
        if done:
            self._idle[daemon].append(connection)
        return head.status, head.headers

    async def _find_connection(self, daemon: int) -> ServerConnection:
        idle = self._idle[daemon]
        while idle:
            connection = idle.pop()
            if connection.is_fresh(monotonic()):
                return connection
            connection.close()
        return await connect(self._fronts[daemon], PATIENCE_SECONDS)


def main() -> None:
    """Make the calls of a plan."""
    source, target = map(Path, sys.argv[1:])
    plan = PLAN.validate_json(source.read_bytes())
    # A collection of garbage would delay calls that are due.
    gc.disable()
    results = asyncio.run(Callers(plan).run())
    target.write_bytes(RESULTS.dump_json(results))


if __name__ == '__main__':
    main()
