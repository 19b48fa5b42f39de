"""Tests of streams, silent servers and time limits by the responses callers get."""

import asyncio
from contextlib import suppress
from dataclasses import replace

from scene import BOOK, CHAT, KEY, ROUTE, RequestHarness, make_catalog, run_scenario
from scripted_servers import respond, stay_silent, stream

from fireflyhitch_model.ids import BackendServerId
from fireflyhitch_serving.connections import connect


class TestStreams:
    def test_events_are_forwarded_in_order(self) -> None:
        async def script(harness: RequestHarness) -> None:
            await harness.add('a', stream(1, 2, 3))
            response = await harness.ask('/chat/1', 'POST')
            assert response.whole
            assert response.body == b''.join(
                b'id: %d\ndata: t%d\n\n' % (number, number) for number in (1, 2, 3)
            )

        run_scenario(RequestHarness(), script)

    def test_interrupted_stream_resumes_after_last_complete_event(self) -> None:
        # A server crashes within event 3. The caller gets 1 and 2 from it and the rest
        # from another server, which wrongly repeats event 2. Each event must be
        # forwarded exactly once, and incomplete ones never.
        async def script(harness: RequestHarness) -> None:
            await harness.add(
                'a', stream(1, 2, whole=False, incomplete=b'id: 3\nda'), slots=100
            )
            second = await harness.add('b', stream(2, 3, 4), slots=4)
            response = await harness.ask('/chat/1', 'POST')
            assert response.whole
            assert response.body.count(b'id: ') == 4
            assert response.body.endswith(b'id: 4\ndata: t4\n\n')
            assert second.seen[0].find('x-last') == '2'

        run_scenario(RequestHarness(), script)

    def test_started_stream_is_aborted_if_last_server_is_removed(self) -> None:
        # The retry waits for a free slot. When it fails, no second head may follow the
        # events already sent.
        async def script(harness: RequestHarness) -> None:
            await harness.add('a', stream(1, whole=False), slots=100)
            await harness.add('b', stream(2))
            busy = harness.registry.all()[BackendServerId('b')]
            busy.requests = busy.server.slots
            reader, writer = await asyncio.open_connection(
                harness.address.host, harness.address.port
            )
            writer.write(
                b'POST /chat/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: r1\r\n'
                b'X-Key: %b\r\nContent-Length: 0\r\n\r\n' % KEY.encode()
            )
            await reader.readuntil(b'data: t1')
            harness.registry.remove(busy.server.server_id)
            with suppress(ConnectionError):
                assert b'HTTP/1.1' not in await reader.read()
            writer.close()

        run_scenario(RequestHarness(), script)

    def test_non_resumable_stream_is_aborted(self) -> None:
        # The server crashes within the stream. The caller must see that the response is
        # incomplete: the chunked body is not terminated.
        async def script(harness: RequestHarness) -> None:
            await harness.add('a', stream(1, 2, whole=False), slots=100)
            second = await harness.add('b', stream(3), slots=4)
            response = await harness.ask('/once/1', 'POST')
            assert not response.whole
            assert not second.seen

        run_scenario(RequestHarness(), script)

    def test_stream_with_missing_event_is_resumed(self) -> None:
        async def script(harness: RequestHarness) -> None:
            await harness.add('a', stream(1, 3), slots=100)
            await harness.add('b', stream(2, 3), slots=4)
            response = await harness.ask('/chat/1', 'POST')
            assert response.body.split(b'\n\n')[:3] == [
                b'id: 1\ndata: t1',
                b'id: 2\ndata: t2',
                b'id: 3\ndata: t3',
            ]

        run_scenario(RequestHarness(), script)

    def test_stream_that_ends_within_event_is_incomplete(self) -> None:
        async def script(harness: RequestHarness) -> None:
            await harness.add('a', stream(1, incomplete=b'id: 2\nda'))
            response = await harness.ask('/once/1', 'POST')
            assert not response.whole

        run_scenario(RequestHarness(), script)


class TestTimeLimits:
    def test_request_times_out_with_final_response(self) -> None:
        async def script(harness: RequestHarness) -> None:
            server = await harness.add('a', stay_silent())
            response = await harness.ask('/book/1', 'POST')
            assert response.status == 504
            assert response.headers['x-outcome'] == 'unknown'
            await server.seen[0].closed.wait()

        run_scenario(
            RequestHarness(make_catalog(routes=(replace(BOOK, timeout=0.2),))), script
        )

    def test_server_receives_time_left_until_deadline(self) -> None:
        async def script(harness: RequestHarness) -> None:
            server = await harness.add('a', respond())
            await harness.ask()
            assert 0 < float(server.seen[0].find('x-time-left')) <= ROUTE.timeout

        run_scenario(RequestHarness(), script)

    def test_request_is_cancelled_if_caller_disconnects(self) -> None:
        # The connection to the server is closed at once, so that the server stops and
        # the request is not retried.
        async def script(harness: RequestHarness) -> None:
            server = await harness.add('a', stay_silent())
            caller = await connect(harness.address, 5)
            caller.send(b'GET /read/1 HTTP/1.1\r\nHost: shop.example\r\n')
            caller.send(b'X-Id: r1\r\nX-Key: key-1\r\n\r\n')
            await server.arrived.wait()
            caller.close()
            await server.seen[0].closed.wait()
            assert len(server.seen) == 1

        run_scenario(RequestHarness(), script)


class TestSilentServers:
    def test_silent_stream_is_kept_if_it_cannot_be_retried(self) -> None:
        # A stream pauses for longer than its gap target, and the retry budget is
        # exhausted. The caller still gets the complete response, only late.
        async def script(harness: RequestHarness) -> None:
            harness.budget.bounds = replace(harness.budget.bounds, slack=0)

            async def pausing(request, writer):  # type: ignore[no-untyped-def]
                await stream(1, whole=False)(request, _UnclosableWriter(writer))
                await writer.drain()
                await asyncio.sleep(0.4)
                writer.write(b'10\r\nid: 2\ndata: t2\n\n\r\n0\r\n\r\n')

            await harness.add('a', pausing, slots=100)
            await harness.add('b', stream(2), slots=4)
            response = await harness.ask('/chat/1', 'POST')
            assert response.whole
            assert response.body.endswith(b'id: 2\ndata: t2\n\n')

        route = replace(CHAT, gap_target=0.1)
        run_scenario(RequestHarness(make_catalog(routes=(route,))), script)


class _UnclosableWriter:
    """A writer whose ``close`` leaves the connection open."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer

    def write(self, data: bytes) -> None:
        self._writer.write(data)

    def close(self) -> None:
        """Leave the connection open."""
