"""Tests of requests that are in progress, or arrive, while a daemon stops."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest
from scene import (
    BOOK,
    CHAT,
    ROUTE,
    SERVICE,
    ReceivedResponse,
    RequestHarness,
    exchange,
    make_catalog,
    run_scenario,
)
from scripted_servers import respond, stay_silent

from fireflyhitch_model.ids import BackendServerId
from fireflyhitch_serving.connections import connect
from fireflyhitch_serving.errors import ServerError
from fireflyhitch_serving.forwarded_requests import ForwardedRequest, add_header
from fireflyhitch_serving.lifecycle import Lifecycle
from fireflyhitch_serving.messages import CallerRequest, render_request
from fireflyhitch_serving.placement import MAX_LOAD_FACTOR
from fireflyhitch_standins.scripted_server import ReceivedRequest

# Of the grace period, the time until requests must have ended, and of the balancer.
GRACE_SECONDS = 1.4
LEAVE_SECONDS = 0.1
LONG_SECONDS = 30
SHORT_SECONDS = 0.2
ROUTES = (
    replace(ROUTE, timeout=SHORT_SECONDS),
    replace(BOOK, timeout=LONG_SECONDS),
    replace(CHAT, timeout=LONG_SECONDS),
)
LONG_HEAD = (
    b'POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: r9\r\nX-Key: key-1\r\n'
)
# Of the same method, so that its first byte is the same.
SHORT_HEAD = LONG_HEAD.replace(b'/book', b'/read')
STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n'
)
CLOSE = b'Connection: close\r\n'
NO_BODY = b'Content-Length: 0\r\n\r\n'
SHORT = SHORT_HEAD + NO_BODY
BODY = b'Content-Length: 10\r\n\r\n'


@pytest.fixture(autouse=True)
def _short_leave(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(f'{Lifecycle.__module__}.BALANCER_LEAVE_SECONDS', LEAVE_SECONDS)


@asynccontextmanager
async def stop(harness: RequestHarness) -> AsyncIterator[None]:
    """Stop the daemon as a signal does; at the end, close what a process leaves open."""
    lifecycle = Lifecycle(
        harness.front,
        harness.clock,
        lambda: None,
        GRACE_SECONDS,
        lambda: harness.handler.forwarded_in_progress,
        harness.handler.serving_time.end_all_by,
    )
    stopping = asyncio.create_task(lifecycle.stop())
    try:
        while lifecycle.shutdown_deadline is None:
            await asyncio.sleep(0.01)
        harness.shutdown_deadline = lifecycle.shutdown_deadline
        end = asyncio.create_task(exit_after(stopping, harness))
        yield
        await end
    finally:
        stopping.cancel()


async def exit_after(stopping: 'asyncio.Task[None]', harness: RequestHarness) -> None:
    await stopping
    for connection in tuple(harness.front.connections):
        connection.abort()  # type: ignore[attr-defined]


def run(script: Callable[[RequestHarness], Awaitable[None]]) -> None:
    run_scenario(RequestHarness(make_catalog(routes=ROUTES)), script)


async def begin(
    harness: RequestHarness, path: str = '/book/1'
) -> 'asyncio.Task[ReceivedResponse]':
    asked = asyncio.create_task(harness.ask(path, 'POST'))
    await asyncio.sleep(0.05)
    return asked


class RawCaller:
    """A caller that writes bytes of its own."""

    def __init__(self, harness: RequestHarness) -> None:
        self._harness = harness

    async def __aenter__(self) -> 'RawCaller':
        self._connection = await connect(self._harness.address, 1)
        return self

    async def __aexit__(self, *details: object) -> None:
        self._connection.close()

    def send(self, *parts: bytes) -> None:
        self._connection.send(b''.join(parts))

    async def read_status(self) -> int:
        """Read a response and return its status."""
        response = await self._connection.read_head()
        part = b' '
        while part:
            part = await self._connection.read_body()
        return response.status

    async def is_closed(self) -> bool:
        """Wait until the daemon has closed the connection, without further bytes."""
        try:
            await self._connection.read_head()
        except ServerError:
            return True
        return False


@asynccontextmanager
async def stop_within(
    harness: RequestHarness, caller: RawCaller
) -> AsyncIterator[None]:
    """Stop the daemon once a caller has sent the first byte of its request.

    Connections without a request are closed.
    """
    caller.send(LONG_HEAD[:1])
    await asyncio.sleep(0.05)
    async with stop(harness):
        yield


class TestRequestsInProgress:
    def test_work_that_outlasts_the_grace_is_answered_as_unknown(self) -> None:
        # Guards against a connection that ends without a response when the grace does.
        async def script(harness: RequestHarness) -> None:
            server = await harness.add('a', stay_silent())
            asked = await begin(harness)
            async with stop(harness):
                got = await asked
                assert (got.status, got.headers['x-outcome']) == (504, 'unknown')
                assert got.headers['connection'] == 'close'
            assert len(server.seen) == 1

        run(script)

    def test_a_request_of_another_daemon_is_answered_too(self) -> None:
        # Guards against forwarded requests that are cut with the process.
        async def script(harness: RequestHarness) -> None:
            server = await harness.add('a', stay_silent())
            request = add_header(
                CallerRequest(b'POST', b'/book/1', [(b'X-Id', b'r1')], b'', 0),
                ForwardedRequest('d1', SERVICE, ROUTES[1], None, usage_counted=True),
            )
            headers = [(b'Host', b'shop.example'), *request.headers]
            data = render_request(b'POST', b'/book/1', headers, b'')
            asked = asyncio.create_task(exchange(harness.peer_address, data))
            await server.arrived.wait()
            async with stop(harness):
                assert (await asked).status == 504

        run(script)


class TestStreams:
    def test_a_stream_that_outlasts_the_grace_is_seen_to_be_cut_off(self) -> None:
        # Guards against a part of a stream that passes for a whole one.
        async def stream_on(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(STREAM_HEAD)
            writer.write(b'10\r\nid: 1\ndata: t1\n\n\r\n')
            await request.closed.wait()
            writer.close()

        async def script(harness: RequestHarness) -> None:
            await harness.add('a', stream_on)
            asked = await begin(harness, '/chat/1')
            async with stop(harness):
                got = await asked
            assert (got.status, got.body.count(b'id: ')) == (200, 1)
            assert not got.whole

        run(script)


class TestWaitingRequests:
    def test_a_request_without_a_place_is_refused_and_never_sent(self) -> None:
        # Guards against a request that is sent, or cut unsent, when the grace ends.
        async def script(harness: RequestHarness) -> None:
            server = await harness.add('a', respond(), slots=1)
            record = harness.registry.all()[BackendServerId('a')]
            record.requests = int(record.server.slots * MAX_LOAD_FACTOR)
            waiting = await begin(harness)
            started = harness.clock.monotonic()
            async with stop(harness):
                got = await waiting
                assert (got.status, got.body) == (503, b'stopping')
                assert harness.clock.monotonic() - started < GRACE_SECONDS / 2
            assert not server.seen

        run(script)


class TestPipelinedRequests:
    def test_requests_sent_ahead_get_their_responses_first(self) -> None:
        # Guards against a close behind the first response, when others were read.
        async def script(harness: RequestHarness) -> None:
            await harness.add('a', respond())
            async with RawCaller(harness) as caller, stop_within(harness, caller):
                caller.send(SHORT[1:], SHORT * 2)
                assert [await caller.read_status() for _ in range(3)] == [200, 200, 200]
                assert await caller.is_closed()

        run(script)

    def test_those_behind_long_work_are_refused_when_it_ends(self) -> None:
        # Guards against requests that are cut, or sent, after the one before them.
        async def script(harness: RequestHarness) -> None:
            server = await harness.add('a', stay_silent())
            async with RawCaller(harness) as caller:
                caller.send((LONG_HEAD + NO_BODY) * 2)
                await server.arrived.wait()
                async with stop(harness):
                    assert await caller.read_status() == 504
                    assert await caller.read_status() == 503
                    assert await caller.is_closed()
            assert len(server.seen) == 1

        run(script)

    def test_nothing_sent_after_the_last_response_is_passed_on(self) -> None:
        # Guards against work for a caller whose connection is about to close.
        async def script(harness: RequestHarness) -> None:
            server = await harness.add('a', respond())
            async with RawCaller(harness) as caller, stop_within(harness, caller):
                caller.send(SHORT_HEAD[1:], CLOSE, NO_BODY, SHORT)
                assert await caller.read_status() == 200
                assert await caller.is_closed()
            assert len(server.seen) == 1

        run(script)


class TestArrivingRequests:
    def test_long_work_is_refused_before_its_body(self) -> None:
        # Guards against a body that is read in vain, and cut when the grace ends.
        async def script(harness: RequestHarness) -> None:
            server = await harness.add('a', respond())
            async with RawCaller(harness) as caller:
                caller.send(SHORT)
                assert await caller.read_status() == 200
                async with stop_within(harness, caller):
                    caller.send(LONG_HEAD[1:], BODY)
                    async with asyncio.timeout(0.3):
                        assert await caller.read_status() == 503
            assert len(server.seen) == 1

        run(script)

    def test_a_body_that_arrives_over_the_stop_is_not_passed_on(self) -> None:
        # Guards against long work that begins late in the grace.
        async def script(harness: RequestHarness) -> None:
            server = await harness.add('a', respond())
            async with RawCaller(harness) as caller:
                caller.send(LONG_HEAD, BODY, b'12345')
                await asyncio.sleep(0.05)
                async with stop(harness):
                    caller.send(b'67890')
                    assert await caller.read_status() == 503
            assert not server.seen

        run(script)
