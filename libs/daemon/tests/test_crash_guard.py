"""Tests of calls that end the servers they run on."""

import json
import threading
import time

from fireflyhitch_model.states import MachineClass
from fireflyhitch_platform.services import InstanceOrder
from fireflyhitch_standins.service_server import ServiceServer

PATH = '/services/bookings/visits'
CRASHING = 'crashing'
# After the third server has ended, and all daemons may know it.
MOST_REPEATS = 3
KNOWN_SECONDS = 3
MOST_TRIES = 100


class CrashingServices:
    """Has plain services end under one body, and others start in their place."""

    def __init__(self, site):
        self.ended = 0
        self._servers = site.platform.world.servers
        self._cloud = site.platform.world.cloud
        for instance, server in list(self._servers.items()):
            if isinstance(server, ServiceServer):
                self._watch(instance, server)

    def _watch(self, instance, server):
        run = server._run

        def run_or_end(request, reply):
            if request.body != CRASHING.encode():
                run(request, reply)
                return
            self.ended += 1
            reply.abort()
            threading.Thread(target=self._replace, args=(instance,)).start()

        server._run = run_or_end

    def _replace(self, instance):
        """Have an instance go without notice, and another start."""
        domain = instance.partition('-')[0]
        self._cloud.kill(instance)
        order = InstanceOrder(
            f'after-{instance}',
            'bookings',
            'v1',
            domain,
            MachineClass.RECLAIMABLE,
        )
        successor = self._cloud.start(order)
        self._watch(successor, self._servers[successor])


def ask(site, number, body):
    return site.call(number, 'PUT', PATH, body=body)


def ask_harmless(site, number):
    """Ask until there is a server again; not so often that the limit is reached."""
    for _ in range(MOST_TRIES):
        answer = ask(site, number, 'harmless')
        if answer.status == 200:
            return
        assert json.loads(answer.data)['error']['code'] != 'held'
        time.sleep(0.2)
    raise AssertionError('no server')


class TestCallsThatEndServers:
    def test_a_call_that_ended_three_servers_is_held_by_all_daemons(self, fresh_site):
        services = CrashingServices(fresh_site)
        for turn in range(8):
            ask(fresh_site, turn % 2, CRASHING)
            ask_harmless(fresh_site, 1)
            time.sleep(1)
            if services.ended >= 3:
                break
        time.sleep(KNOWN_SECONDS)
        before = services.ended
        answers = []
        for turn in range(6):
            ask_harmless(fresh_site, 1)
            answers.append(ask(fresh_site, turn % 2, CRASHING))
        assert services.ended - before <= MOST_REPEATS
        assert answers[-1].status == 503
        assert answers[-1].headers['Fireflyhitch-Outcome'] == 'not-run'
        assert json.loads(answers[-1].data)['error']['code'] == 'held'
        ask_harmless(fresh_site, 0)
