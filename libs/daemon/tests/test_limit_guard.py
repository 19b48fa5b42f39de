"""Tests of rate limits that servers announce in their answers."""

import time

from fireflyhitch_standins.arrivals import count_peak_arrivals
from fireflyhitch_standins.service_server import ServiceServer, ServiceSettings

PATH = '/services/bookings/visits'
LIMIT = 2.0
# The most calls that a server may get in any four seconds.
WINDOW_SECONDS = 4
MAX_IN_WINDOW = 1.5 * WINDOW_SECONDS * LIMIT + 5
PROPAGATION_SECONDS = 3
TEST_SECONDS = 9
# More calls than both servers allow together, but within the caller's own limit.
CALL_INTERVAL_SECONDS = 0.1


def record_arrivals(cluster, limit):
    """Make plain services announce a limit; return each one's arrival times."""
    arrivals = {}
    for instance, server in cluster.platform.world.servers.items():
        if isinstance(server, ServiceServer):
            server.settings = ServiceSettings(limit=limit)
            arrivals[instance] = []
            record_server_arrivals(server, arrivals[instance])
    return arrivals


def record_server_arrivals(server, arrivals):
    run = server._run

    def record_and_run(request, reply):
        arrivals.append(time.monotonic())
        run(request, reply)

    server._run = record_and_run


class TestServerLimits:
    """Servers announce a limit while two daemons send them calls."""

    def test_daemons_together_respect_and_use_a_servers_limit(self, fresh_cluster):
        arrivals = record_arrivals(fresh_cluster, LIMIT)
        begin = time.monotonic()
        statuses = set()
        turn = 0
        while time.monotonic() < begin + TEST_SECONDS:
            turn += 1
            statuses.add(fresh_cluster.call(turn % 2, 'GET', PATH).status)
            time.sleep(CALL_INTERVAL_SECONDS)
        assert statuses == {200, 503}
        for one in arrivals.values():
            late = [at for at in one if at >= begin + PROPAGATION_SECONDS]
            assert count_peak_arrivals(late, WINDOW_SECONDS) <= MAX_IN_WINDOW
            assert len(late) >= 0.75 * LIMIT * (TEST_SECONDS - PROPAGATION_SECONDS)
