"""Tests of what counts as a server's end under a request."""

import asyncio

from scene import RequestHarness, run_scenario

from fireflyhitch_model.ids import BackendServerId
from fireflyhitch_routing.quarantine import Hold
from fireflyhitch_standins.scripted_server import Script, ScriptedServer, SeenRequest

# The watch looks first after some hundredths of a second, and again after some tenths.
LOOK_SECONDS = 0.5


def end_server(servers: list[ScriptedServer]) -> Script:
    """Return a script of the last server, whose process ends under any request."""

    async def script(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
        servers[-1].stop()
        writer.close()

    return script


async def cut_answer_off(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
    """End a connection in the middle of an answer, and live on."""
    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf')
    writer.close()


def count_ends(scene: RequestHarness) -> int:
    """Return how many servers have ended under the one request."""
    return sum(len(suspect.crashes) for suspect in scene.crashes.book.all().values())


class TestServerEnds:
    def test_a_server_that_listens_no_more_has_ended_under_its_request(self) -> None:
        async def script(scene: RequestHarness) -> None:
            await scene.add('i-1', end_server(scene.servers))
            assert (await scene.ask()).status == 502
            await asyncio.sleep(LOOK_SECONDS)
            assert count_ends(scene) == 1

        run_scenario(RequestHarness(), script)

    def test_a_server_that_cuts_an_answer_off_and_lives_on_has_not(self) -> None:
        async def script(scene: RequestHarness) -> None:
            await scene.add('i-1', cut_answer_off)
            assert (await scene.ask()).status == 502
            await asyncio.sleep(LOOK_SECONDS)
            assert not count_ends(scene)

        run_scenario(RequestHarness(), script)

    def test_a_server_that_was_leaving_ends_by_order(self) -> None:
        async def script(scene: RequestHarness) -> None:
            async def leave(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
                scene.book.remove(BackendServerId('i-1'))
                scene.servers[-1].stop()
                writer.close()

            await scene.add('i-1', leave)
            assert (await scene.ask()).status == 502
            await asyncio.sleep(LOOK_SECONDS)
            assert not count_ends(scene)

        run_scenario(RequestHarness(), script)

    def test_a_held_request_is_refused_at_once_and_reaches_no_server(self) -> None:
        async def script(scene: RequestHarness) -> None:
            server = await scene.add('i-1', end_server(scene.servers))
            await scene.ask()
            await asyncio.sleep(LOOK_SECONDS)
            content = list(scene.crashes.book.all())[0]
            hold = Hold(scene.clock.monotonic() + 30, frozenset())
            scene.crashes.quarantine.add_hold(content, hold)
            got = await scene.ask(request_id='r2')
            assert got.status == 503
            assert got.headers['x-outcome'] == 'not-run'
            assert 29 < float(got.headers['retry-after']) <= 30
            assert len(server.seen) == 1

        run_scenario(RequestHarness(), script)
