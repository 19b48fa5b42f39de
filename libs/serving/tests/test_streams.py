"""Tests of streams, silence and time limits, from what callers get."""

import asyncio
from contextlib import suppress
from dataclasses import replace

from scene import BOOK, CHAT, KEY, ROUTE, RequestHarness, make_catalog, run_scenario
from scripted_servers import answer, stay_silent, stream

from fireflyhitch_model.ids import BackendServerId
from fireflyhitch_serving.connections import connect


class TestStreams:
    def test_events_are_relayed_in_order(self) -> None:
        async def script(scene: RequestHarness) -> None:
            await scene.add('a', stream(1, 2, 3))
            got = await scene.ask('/chat/1', 'POST')
            assert got.whole
            assert got.body == b''.join(
                b'id: %d\ndata: t%d\n\n' % (number, number) for number in (1, 2, 3)
            )

        run_scenario(RequestHarness(), script)

    def test_a_broken_stream_goes_on_behind_its_last_whole_event(self) -> None:
        # A server dies in the middle of event 3. The caller gets 1 and 2 from it and
        # the rest from another server, which repeats event 2 by mistake; nothing
        # comes twice, nothing is missing, and half an event is never passed on.
        async def script(scene: RequestHarness) -> None:
            await scene.add(
                'a', stream(1, 2, whole=False, torn=b'id: 3\nda'), slots=100
            )
            second = await scene.add('b', stream(2, 3, 4), slots=4)
            got = await scene.ask('/chat/1', 'POST')
            assert got.whole
            assert got.body.count(b'id: ') == 4
            assert got.body.endswith(b'id: 4\ndata: t4\n\n')
            assert second.seen[0].find('x-last') == '2'

        run_scenario(RequestHarness(), script)

    def test_a_begun_stream_whose_last_server_goes_breaks_off_visibly(self) -> None:
        # It waits for a place at another server; a second head must not follow its events.
        async def script(scene: RequestHarness) -> None:
            await scene.add('a', stream(1, whole=False), slots=100)
            await scene.add('b', stream(2))
            busy = scene.book.all()[BackendServerId('b')]
            busy.requests = busy.server.slots
            reader, writer = await asyncio.open_connection(
                scene.address.host, scene.address.port
            )
            writer.write(
                b'POST /chat/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: r1\r\n'
                b'X-Key: %b\r\nContent-Length: 0\r\n\r\n' % KEY.encode()
            )
            await reader.readuntil(b'data: t1')
            scene.book.remove(busy.server.server_id)
            with suppress(ConnectionError):
                assert b'HTTP/1.1' not in await reader.read()
            writer.close()

        run_scenario(RequestHarness(), script)

    def test_a_stream_that_may_not_be_resumed_breaks_off_visibly(self) -> None:
        # The server dies in mid stream. The caller must see that its answer is not
        # whole: the chunked body has no end.
        async def script(scene: RequestHarness) -> None:
            await scene.add('a', stream(1, 2, whole=False), slots=100)
            second = await scene.add('b', stream(3), slots=4)
            got = await scene.ask('/once/1', 'POST')
            assert not got.whole
            assert not second.seen

        run_scenario(RequestHarness(), script)

    def test_a_gap_between_events_never_reaches_the_caller(self) -> None:
        async def script(scene: RequestHarness) -> None:
            await scene.add('a', stream(1, 3), slots=100)
            await scene.add('b', stream(2, 3), slots=4)
            got = await scene.ask('/chat/1', 'POST')
            assert got.body.split(b'\n\n')[:3] == [
                b'id: 1\ndata: t1',
                b'id: 2\ndata: t2',
                b'id: 3\ndata: t3',
            ]

        run_scenario(RequestHarness(), script)

    def test_an_end_in_mid_event_is_no_whole_answer(self) -> None:
        async def script(scene: RequestHarness) -> None:
            await scene.add('a', stream(1, torn=b'id: 2\nda'))
            got = await scene.ask('/once/1', 'POST')
            assert not got.whole

        run_scenario(RequestHarness(), script)


class TestTimes:
    def test_the_route_s_time_ends_a_request_with_a_final_answer(self) -> None:
        async def script(scene: RequestHarness) -> None:
            server = await scene.add('a', stay_silent())
            got = await scene.ask('/book/1', 'POST')
            assert got.status == 504
            assert got.headers['x-outcome'] == 'unknown'
            await server.seen[0].closed.wait()

        run_scenario(
            RequestHarness(make_catalog(routes=(replace(BOOK, timeout=0.2),))), script
        )

    def test_a_server_is_told_the_time_that_is_left(self) -> None:
        async def script(scene: RequestHarness) -> None:
            server = await scene.add('a', answer())
            await scene.ask()
            assert 0 < float(server.seen[0].find('x-time-left')) <= ROUTE.timeout

        run_scenario(RequestHarness(), script)

    def test_a_caller_that_leaves_takes_its_request_with_it(self) -> None:
        # The caller closes its connection while a server works. The server's
        # connection is closed at once, so that it stops and nothing is repeated.
        async def script(scene: RequestHarness) -> None:
            server = await scene.add('a', stay_silent())
            caller = await connect(scene.address, 5)
            caller.send(b'GET /read/1 HTTP/1.1\r\nHost: shop.example\r\n')
            caller.send(b'X-Id: r1\r\nX-Key: key-1\r\n\r\n')
            await server.arrived.wait()
            caller.close()
            await server.seen[0].closed.wait()
            assert len(server.seen) == 1

        run_scenario(RequestHarness(), script)


class TestSilence:
    def test_silence_ends_no_answer_that_cannot_go_on_elsewhere(self) -> None:
        # A stream pauses for longer than its aim, and nothing is left of the budget
        # for repeats. The caller still gets the whole answer, only late.
        async def script(scene: RequestHarness) -> None:
            scene.budget.bounds = replace(scene.budget.bounds, slack=0)

            async def pausing(request, writer):  # type: ignore[no-untyped-def]
                await stream(1, whole=False)(request, _KeepOpen(writer))
                await writer.drain()
                await asyncio.sleep(0.4)
                writer.write(b'10\r\nid: 2\ndata: t2\n\n\r\n0\r\n\r\n')

            await scene.add('a', pausing, slots=100)
            await scene.add('b', stream(2), slots=4)
            got = await scene.ask('/chat/1', 'POST')
            assert got.whole
            assert got.body.endswith(b'id: 2\ndata: t2\n\n')

        route = replace(CHAT, gap_target=0.1)
        run_scenario(RequestHarness(make_catalog(routes=(route,))), script)


class _KeepOpen:
    """A writer that a script cannot close."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer

    def write(self, data: bytes) -> None:
        self._writer.write(data)

    def close(self) -> None:
        """Leave the connection open."""
