"""Tests of requests to cold servers: the sum over all daemons, and what callers get."""

import asyncio
import random
from datetime import timedelta

import pytest
from scene import LOCAL_DOMAIN, SERVICE, RequestHarness, run_scenario

from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.ids import BackendServerId
from fireflyhitch_serving.catalog import ColdStart
from fireflyhitch_serving.cold_servers import (
    ColdBounds,
    ColdServers,
    make_cold_permits,
)
from fireflyhitch_serving.connection_pools import ConnectionPool
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.health import ServerHealth
from fireflyhitch_serving.servers import ServerEntry, ServerRecord
from fireflyhitch_standins.arrivals import count_peak_arrivals
from fireflyhitch_standins.scripted_server import ReceivedRequest

COLD_START = ColdStart(seconds=3, requests_per_second=6.9)
# The platform's bound on the requests within any second.
BOUNDS = ColdBounds(factor=1.5, slack=5)
STEP_SECONDS = 0.02
MAX_CLOCK_SKEW_SECONDS = 0.05
LINK_DELAY_SECONDS = 0.002
# Fraction of the rate that a cold server gets while there is more load than that.
MIN_USED_FRACTION = 0.6


def make_cold_record() -> ServerRecord:
    """Return a server that has just been listed as cold."""
    entry = ServerEntry(
        BackendServerId('i-1'),
        SERVICE,
        Address('127.0.0.1', 1),
        LOCAL_DOMAIN,
        'v1',
        12,
        ready=True,
        cold_seconds=COLD_START.seconds,
    )
    return ServerRecord(entry, ConnectionPool(), ServerHealth())


class Sender:
    """A daemon's view of one cold server."""

    def __init__(self, clock: ManualClock, name: str, listed: list[str]) -> None:
        skew = random.Random(name).uniform(-1, 1) * MAX_CLOCK_SKEW_SECONDS  # noqa: S311
        self.record = make_cold_record()
        self.cold_servers = ColdServers(
            clock,
            make_cold_permits(
                name, lambda: listed, lambda: 1.7e9 + clock.monotonic() + skew
            ),
            lambda service: COLD_START,
        )
        self.cold_servers.bounds = BOUNDS

    def learn(self) -> None:
        """Learn that the server is cold."""
        self.cold_servers.record_listed(self.record)

    def send(self) -> bool:
        """Send a request if a permit is left."""
        if not self.cold_servers.may_send(self.record):
            return False
        self.cold_servers.record_sent(self.record)
        return True


class Fleet:
    """Daemons that all would like to send to one cold server."""

    def __init__(self, count: int, unlisted: int = 0) -> None:
        """Create the daemons.

        :param unlisted: daemons that the others take for gone, and that still send.
        """
        self.clock = ManualClock()
        names = [f'd{number}' for number in range(count)]
        listed = names[unlisted:]
        self.senders = [
            Sender(self.clock, name, names if number < unlisted else listed)
            for number, name in enumerate(names)
        ]
        for sender in self.senders:
            sender.learn()
        self.sent: list[float] = []

    def run(self, seconds: float, demand: float) -> None:
        """Let all daemons send.

        :param demand: requests a second of all daemons together.
        """
        rng = random.Random(1)  # noqa: S311
        chance = demand * STEP_SECONDS / len(self.senders)
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            for sender in self.senders:
                if rng.random() < chance and sender.send():
                    self.sent.append(self.clock.monotonic())
            self.clock.advance(timedelta(seconds=STEP_SECONDS))

    def count_peak(self) -> int:
        """Return the most requests that the server got within a second."""
        return count_peak_arrivals(self.sent, 1)


def max_within_second() -> float:
    """Return the most requests that the platform allows within a second."""
    return BOUNDS.factor * COLD_START.requests_per_second + BOUNDS.slack


class TestTotalRate:
    @pytest.mark.parametrize('count', [1, 5, 33, 82, 320, 791])
    def test_a_cold_server_gets_no_more_than_it_tolerates(self, count: int) -> None:
        # To each daemon it looked idle, and all sent to it at the same moment.
        fleet = Fleet(count)
        fleet.run(COLD_START.seconds - STEP_SECONDS, demand=400)
        assert fleet.count_peak() <= max_within_second()

    @pytest.mark.parametrize('count', [5, 82, 320])
    def test_its_rate_is_used(self, count: int) -> None:
        # With permits that lie at daemons without requests it would get nothing.
        fleet = Fleet(count)
        fleet.run(COLD_START.seconds - STEP_SECONDS, demand=3 * count)
        used = len(fleet.sent) / (COLD_START.seconds * COLD_START.requests_per_second)
        assert used >= MIN_USED_FRACTION

    @pytest.mark.parametrize(('count', 'unlisted'), [(6, 2), (82, 27), (320, 105)])
    def test_daemons_that_are_taken_for_gone_do_not_break_the_bound(
        self, count: int, unlisted: int
    ) -> None:
        # A third of the daemons was cut off, no longer listed, and still sent.
        fleet = Fleet(count, unlisted)
        fleet.run(COLD_START.seconds - STEP_SECONDS, demand=400)
        assert fleet.count_peak() <= max_within_second()

    def test_a_daemon_that_does_not_know_the_others_sends_nothing(self) -> None:
        # Each process of a fleet that has just restarted took all permits.
        clock = ManualClock()
        sender = Sender(clock, 'd1', [])
        sender.learn()
        assert not sender.send()


class TestBelief:
    def test_a_cold_server_becomes_warm(self) -> None:
        # The time that an entry states was never counted down.
        clock = ManualClock()
        sender = Sender(clock, 'd1', ['d1'])
        sender.learn()
        assert sender.record.is_cold(clock.monotonic())
        clock.advance(timedelta(seconds=COLD_START.seconds))
        assert not sender.cold_servers.has_cold
        assert all(sender.send() for _ in range(50))

    @pytest.mark.parametrize('event', ['unreachable', 'return'])
    def test_a_server_that_was_away_is_taken_for_cold(self, event: str) -> None:
        # Its entry says so only after the next heartbeat.
        clock = ManualClock()
        sender = Sender(clock, 'd1', ['d1'])
        if event == 'unreachable':
            sender.cold_servers.record_unreachable(sender.record)
        else:
            sender.cold_servers.record_return([sender.record])
        assert sum(sender.send() for _ in range(50)) <= max_within_second()


async def answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Respond at once."""
    writer.write(
        b'HTTP/1.1 200 OK\r\nX-Signed: 1\r\nX-Id: '
        + request.request_id.encode()
        + b'\r\nContent-Length: 2\r\n\r\nok'
    )


class TestCallers:
    def test_warm_servers_take_what_a_cold_one_may_not_get(self) -> None:
        # Callers were refused although other servers had room.
        harness = RequestHarness()

        async def script(harness: RequestHarness) -> None:
            cold = await harness.add('cold', answer, slots=1000)
            warm = await harness.add('warm', answer)
            record = harness.registry.find(BackendServerId('cold'))
            assert record is not None
            harness.cold_servers.record_unreachable(record)
            for number in range(30):
                response = await harness.ask(request_id=f'r{number}')
                assert response.status == 200
            assert len(cold.seen) <= 9
            assert len(warm.seen) >= 21

        run_scenario(harness, script)

    def test_requests_beyond_the_rate_of_cold_servers_wait_or_are_refused_at_once(
        self,
    ) -> None:
        # All servers are cold for longer than callers wait: what cannot be sent in time
        # was held until its deadline.
        harness = RequestHarness()
        harness.cold_start = ColdStart(seconds=60, requests_per_second=2)

        async def script(harness: RequestHarness) -> None:
            await harness.add('cold', answer)
            record = harness.registry.find(BackendServerId('cold'))
            assert record is not None
            harness.cold_servers.record_unreachable(record)
            begin = asyncio.get_running_loop().time()
            responses = await asyncio.gather(
                *(harness.ask(request_id=f'r{number}') for number in range(30))
            )
            elapsed = asyncio.get_running_loop().time() - begin
            refused = [one for one in responses if one.status == 503]
            answered = [one for one in responses if one.status == 200]
            assert len(answered) + len(refused) == 30
            assert len(answered) >= 4
            assert all(one.headers['x-outcome'] == 'not-run' for one in refused)
            assert all(float(one.headers['retry-after']) > 0 for one in refused)
            assert elapsed < 6

        run_scenario(harness, script)
