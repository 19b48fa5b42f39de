"""Tests of what a server's answer says of its limit."""

import asyncio

from scene import RequestHarness, run_scenario
from scripted_servers import close_connection

from fireflyhitch_model.ids import BackendServerId
from fireflyhitch_standins.scripted_server import SeenRequest


class Answers:
    """A server's script: one head after the other, each with an empty body."""

    def __init__(self, *heads: str) -> None:
        self._heads = list(heads)

    async def answer(self, request: SeenRequest, writer: asyncio.StreamWriter) -> None:
        """Answer with the next head."""
        head = self._heads.pop(0)
        writer.write(
            f'HTTP/1.1 {head}\r\nX-Id: {request.request_id}\r\n'
            'Content-Length: 0\r\n\r\n'.encode()
        )


NAMED = '200 OK\r\nX-Signed: 1\r\nX-Limit: 50'
SIGNED = '200 OK\r\nX-Signed: 1'
ANOTHER = '421 Misdirected Request\r\nX-Not-Run: 1'


def find_named(*heads: str) -> bool:
    """Return whether a limit stands after answers with these heads."""
    named: list[bool] = []

    async def script(scene: RequestHarness) -> None:
        await scene.add('i-1', Answers(*heads).answer)
        for number, _ in enumerate(heads):
            await scene.ask(request_id=f'r{number}')
        named.append(scene.limits.has_limits)

    run_scenario(RequestHarness(), script)
    return named[0]


class TestRequestsThatWaitForTurns:
    """Guards against a promise that a request has not run, though a server had it."""

    def test_one_that_a_server_had_is_not_refused_as_not_run(self) -> None:
        async def script(scene: RequestHarness) -> None:
            await scene.add('a', close_connection())
            await scene.add('b', Answers().answer)
            limited = scene.book.all()[BackendServerId('b')]
            now = scene.clock.monotonic()
            server_id = limited.server.server_id
            scene.limits.record_response(limited.process, server_id, 0.0, now, now)
            while scene.limits.may_send(limited.process):
                scene.limits.record_sent(limited.process)
            got = await scene.ask()
            assert (got.status, got.headers['x-outcome']) == (502, 'unknown')

        run_scenario(RequestHarness(), script)


class TestNamedLimits:
    def test_an_answer_names_a_limit_and_one_without_it_ends_it(self) -> None:
        assert find_named(NAMED)
        assert not find_named(NAMED, SIGNED)

    def test_what_another_server_says_at_its_address_does_not_end_it(self) -> None:
        assert find_named(NAMED, ANOTHER)
