"""Tests of which aborted responses count as server crashes."""

import asyncio

from scene import RequestHarness, run_scenario

from fireflyhitch_model.ids import BackendServerId, ContentId
from fireflyhitch_routing.quarantine import Hold
from fireflyhitch_standins.scripted_server import (
    ReceivedRequest,
    Script,
    ScriptedServer,
)

# The first probes are some hundredths and some tenths of a second after the abort.
DETECTION_SECONDS = 0.5


def crash_server(servers: list[ScriptedServer]) -> Script:
    """Return a script with which the last server exits on any request."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        servers[-1].stop()
        writer.close()

    return script


async def abort_response(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Close the connection in the middle of a response, and stay up."""
    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf')
    writer.close()


def count_crashes(harness: RequestHarness) -> int:
    """Return how many servers have crashed under the only request."""
    return sum(
        len(suspect.crashes) for suspect in harness.crashes.tracker.all().values()
    )


class TestCrashDetection:
    def test_a_server_that_stops_listening_has_crashed_under_its_request(self) -> None:
        async def script(harness: RequestHarness) -> None:
            await harness.add('i-1', crash_server(harness.servers))
            assert (await harness.ask()).status == 502
            await asyncio.sleep(DETECTION_SECONDS)
            assert count_crashes(harness) == 1

        run_scenario(RequestHarness(), script)

    def test_a_crash_counts_if_no_other_server_was_up_at_the_time(self) -> None:
        # Nothing is reached then, as in a partition of the daemon.
        async def script(harness: RequestHarness) -> None:
            (await harness.add('i-2', abort_response, slots=1)).stop()
            harness.registry.all()[BackendServerId('i-2')].requests = 2
            await harness.add('i-1', crash_server(harness.servers), slots=1000)
            assert (await harness.ask('/book/1', 'POST')).status == 502
            assert harness.reachability.lost
            await harness.add('i-3', abort_response)
            run = asyncio.create_task(harness.reachability.run())
            async with asyncio.timeout(5):
                while not count_crashes(harness):
                    await asyncio.sleep(0.05)
            run.cancel()

        run_scenario(RequestHarness(), script)

    def test_a_partition_of_the_daemon_is_no_crash(self) -> None:
        async def script(harness: RequestHarness) -> None:
            server = await harness.add('i-1', abort_response)
            await harness.add('i-2', abort_response)
            harness.reachability.lost = True
            record = harness.registry.all()[BackendServerId('i-1')]
            harness.crashes.detector.record_broken_response(
                record, ContentId('held'), harness.clock.monotonic()
            )
            await asyncio.sleep(DETECTION_SECONDS)
            harness.reachability.lost = False
            await asyncio.sleep(DETECTION_SECONDS)
            assert not count_crashes(harness)
            assert not server.seen

        run_scenario(RequestHarness(), script)

    def test_a_server_that_aborts_a_response_and_stays_up_has_not_crashed(self) -> None:
        async def script(harness: RequestHarness) -> None:
            await harness.add('i-1', abort_response)
            assert (await harness.ask()).status == 502
            await asyncio.sleep(DETECTION_SECONDS)
            assert not count_crashes(harness)

        run_scenario(RequestHarness(), script)

    def test_the_exit_of_a_leaving_server_is_not_a_crash(self) -> None:
        async def script(harness: RequestHarness) -> None:
            async def leave(
                request: ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                harness.registry.remove(BackendServerId('i-1'))
                harness.servers[-1].stop()
                writer.close()

            await harness.add('i-1', leave)
            assert (await harness.ask()).status == 502
            await asyncio.sleep(DETECTION_SECONDS)
            assert not count_crashes(harness)

        run_scenario(RequestHarness(), script)

    def test_a_held_request_is_refused_at_once_and_reaches_no_server(self) -> None:
        async def script(harness: RequestHarness) -> None:
            server = await harness.add('i-1', crash_server(harness.servers))
            await harness.ask()
            await asyncio.sleep(DETECTION_SECONDS)
            content = list(harness.crashes.tracker.all())[0]
            hold = Hold(harness.clock.monotonic() + 30, frozenset())
            harness.crashes.quarantine.add_hold(
                content, hold, harness.clock.monotonic()
            )
            response = await harness.ask(request_id='r2')
            assert response.status == 503
            assert response.headers['x-outcome'] == 'not-run'
            assert 29 < float(response.headers['retry-after']) <= 30
            assert len(server.seen) == 1

        run_scenario(RequestHarness(), script)
