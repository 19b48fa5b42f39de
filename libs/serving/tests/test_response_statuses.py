"""Tests of servers whose responses have a status that is none."""

import pytest
from scene import RequestHarness, run_scenario
from scripted_servers import respond

from fireflyhitch_model.clock import SystemClock
from fireflyhitch_serving.client import HttpClient
from fireflyhitch_serving.errors import ServerError
from fireflyhitch_standins.scripted_server import ScriptedServer

NO_STATUSES = (
    '000',
    '001',
    '099',
    '0200',
    '600',
    '999',
    '-1',
    '2000',
    '',
    '20',
    '2 0',
    '2OO',
    '+20',
    '0x1',
    '٢٠٠',
)


def parametrize(function):  # type: ignore[no-untyped-def]
    return pytest.mark.parametrize('status', NO_STATUSES)(function)


class TestStatuses:
    @parametrize
    @pytest.mark.parametrize('path', ['/book/1', '/once/1'])
    def test_no_caller_gets_it(self, status: str, path: str) -> None:
        # Guards against a server in trouble whose response passes for one.
        async def script(harness: RequestHarness) -> None:
            await harness.add('a', respond(status))  # type: ignore[arg-type]
            got = await harness.ask(path, 'POST')
            assert got.status == 502
            assert harness.clock.monotonic() - began < 0.5

        harness = RequestHarness()
        began = harness.clock.monotonic()
        run_scenario(harness, script)

    @parametrize
    def test_a_repeatable_request_is_served_elsewhere(self, status: str) -> None:
        # Guards against waiting at such a server until the deadline.
        async def script(harness: RequestHarness) -> None:
            await harness.add('a', respond(status), slots=100)  # type: ignore[arg-type]
            await harness.add('b', respond())
            for number in range(4):
                assert (await harness.ask(request_id=f'r{number}')).status == 200

        run_scenario(RequestHarness(), script)

    @parametrize
    def test_no_daemon_passes_it_on_to_another(self, status: str) -> None:
        # Guards against the same at a request that was forwarded, at either daemon.
        async def script(harness: RequestHarness) -> None:
            harness.reachability.lost = True
            broken = ScriptedServer('broken', respond(status))  # type: ignore[arg-type]
            harness.peers['broken'] = await broken.start()
            assert (await harness.ask('/book/1', 'POST')).status == 502
            broken.stop()
            async with RequestHarness() as peer:
                await peer.add('a', respond(status))  # type: ignore[arg-type]
                del harness.peers['broken']
                harness.peers['peer'] = peer.peer_address
                assert (await harness.ask('/book/1', 'POST')).status == 502

        run_scenario(RequestHarness(), script)

    @parametrize
    def test_a_call_ends_with_an_error(self, status: str) -> None:
        # Guards against the same in what the platform responds.
        async def script(harness: RequestHarness) -> None:
            server = ScriptedServer('platform', respond(status))  # type: ignore[arg-type]
            client = HttpClient(await server.start(), SystemClock())
            with pytest.raises(ServerError, match='HTTP answer|status'):
                await client.call(b'GET', b'/api/call', timeout=1)
            server.stop()

        run_scenario(RequestHarness(), script)
