"""Tests of servers that name a limit in their answers."""

import time

from fireflyhitch_standins.arrivals import count_most
from fireflyhitch_standins.service_server import ServiceServer, ServiceSettings

PATH = '/services/bookings/visits'
LIMIT = 2.0
# What a server may get in any four seconds.
WINDOW_SECONDS = 4
MOST_IN_WINDOW = 1.5 * WINDOW_SECONDS * LIMIT + 5
KNOWN_SECONDS = 3
ASKED_SECONDS = 9
# Both servers together get more than they take, and the caller stays in its own limit.
ASK_SECONDS = 0.1


def watch_arrivals(site, limit):
    """Have plain services name a limit; return when each gets a call."""
    arrivals = {}
    for instance, server in site.platform.world.servers.items():
        if isinstance(server, ServiceServer):
            server.settings = ServiceSettings(limit=limit)
            arrivals[instance] = []
            note_arrivals(server, arrivals[instance])
    return arrivals


def note_arrivals(server, arrivals):
    run = server._run

    def note_and_run(request, reply):
        arrivals.append(time.monotonic())
        run(request, reply)

    server._run = note_and_run


class TestServerLimits:
    def test_daemons_together_keep_to_a_servers_limit_and_use_it(self, fresh_site):
        arrivals = watch_arrivals(fresh_site, LIMIT)
        begin = time.monotonic()
        statuses = set()
        turn = 0
        while time.monotonic() < begin + ASKED_SECONDS:
            turn += 1
            statuses.add(fresh_site.call(turn % 2, 'GET', PATH).status)
            time.sleep(ASK_SECONDS)
        assert statuses == {200, 503}
        for one in arrivals.values():
            late = [at for at in one if at >= begin + KNOWN_SECONDS]
            assert count_most(late, WINDOW_SECONDS) <= MOST_IN_WINDOW
            assert len(late) >= 0.75 * LIMIT * (ASKED_SECONDS - KNOWN_SECONDS)
