"""Tests of the limits that servers report in their responses."""

import asyncio

from scene import RequestHarness, run_scenario
from scripted_servers import close_connection

from fireflyhitch_model.ids import BackendServerId
from fireflyhitch_standins.scripted_server import ReceivedRequest


class ScriptedResponses:
    """A server's script: one response head after the other, with empty bodies."""

    def __init__(self, *heads: str) -> None:
        self._heads = list(heads)

    async def answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Send the next head."""
        head = self._heads.pop(0)
        writer.write(
            f'HTTP/1.1 {head}\r\nX-Id: {request.request_id}\r\n'
            'Content-Length: 0\r\n\r\n'.encode()
        )


WITH_LIMIT = '200 OK\r\nX-Signed: 1\r\nX-Limit: 50'
SIGNED = '200 OK\r\nX-Signed: 1'
OTHER_SERVER = '421 Misdirected Request\r\nX-Not-Run: 1'


def has_limit_after(*heads: str) -> bool:
    """Return whether a limit is in effect after responses with these heads."""
    has_limit: list[bool] = []

    async def script(harness: RequestHarness) -> None:
        await harness.add('i-1', ScriptedResponses(*heads).answer)
        for number, _ in enumerate(heads):
            await harness.ask(request_id=f'r{number}')
        has_limit.append(harness.limits.has_limits)

    run_scenario(RequestHarness(), script)
    return has_limit[0]


class TestQueuedRequests:
    """Guards against a request reported as not run although a server had it."""

    def test_a_request_that_reached_a_server_is_not_refused_as_not_run(self) -> None:
        async def script(harness: RequestHarness) -> None:
            await harness.add('a', close_connection())
            await harness.add('b', ScriptedResponses().answer)
            limited = harness.registry.all()[BackendServerId('b')]
            now = harness.clock.monotonic()
            server_id = limited.server.server_id
            harness.limits.record_response(limited.process, server_id, 0.0, now, now)
            while harness.limits.may_send(limited.process):
                harness.limits.record_sent(limited.process)
            response = await harness.ask()
            assert (response.status, response.headers['x-outcome']) == (502, 'unknown')

        run_scenario(RequestHarness(), script)


class TestReportedLimits:
    def test_a_response_sets_a_limit_and_one_without_it_removes_it(self) -> None:
        assert has_limit_after(WITH_LIMIT)
        assert not has_limit_after(WITH_LIMIT, SIGNED)

    def test_a_response_of_another_server_at_its_address_does_not_remove_it(
        self,
    ) -> None:
        assert has_limit_after(WITH_LIMIT, OTHER_SERVER)
