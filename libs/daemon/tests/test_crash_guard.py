"""Tests of calls that crash the servers they run on."""

import json
import threading
import time

from fireflyhitch_model.states import MachineClass
from fireflyhitch_platform.services import InstanceOrder
from fireflyhitch_standins.service_server import ServiceServer

PATH = '/services/bookings/visits'
CRASHING = 'crashing'
# Crashes allowed after the third one was reported to all daemons.
MAX_CRASHES_AFTER_HOLD = 3
PROPAGATION_SECONDS = 3
MAX_TRIES = 100


class CrashingServices:
    """Makes plain services crash on one body and starts replacements."""

    def __init__(self, cluster):
        self.ended = 0
        self._servers = cluster.platform.world.servers
        self._cloud = cluster.platform.world.cloud
        for instance, server in list(self._servers.items()):
            if isinstance(server, ServiceServer):
                self._watch(instance, server)

    def _watch(self, instance, server):
        run = server._run

        def run_or_crash(request, reply):
            if request.body != CRASHING.encode():
                run(request, reply)
                return
            self.ended += 1
            reply.abort()
            threading.Thread(target=self._replace, args=(instance,)).start()

        server._run = run_or_crash

    def _replace(self, instance):
        """Kill an instance without notice and start another."""
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


def send_call(cluster, number, body):
    return cluster.call(number, 'PUT', PATH, body=body)


def call_until_served(cluster, number):
    """Retry until a server is available, slowly enough to stay in the limit."""
    for _ in range(MAX_TRIES):
        answer = send_call(cluster, number, 'harmless')
        if answer.status == 200:
            return
        assert json.loads(answer.data)['error']['code'] != 'held'
        time.sleep(0.2)
    raise AssertionError('no server became available')


class TestCrashingCalls:
    """A call that crashes every server it is sent to, repeated at two daemons."""

    def test_a_call_that_crashed_three_servers_is_held_by_all_daemons(
        self, fresh_cluster
    ):
        services = CrashingServices(fresh_cluster)
        for turn in range(8):
            send_call(fresh_cluster, turn % 2, CRASHING)
            call_until_served(fresh_cluster, 1)
            time.sleep(1)
            if services.ended >= 3:
                break
        time.sleep(PROPAGATION_SECONDS)
        before = services.ended
        answers = []
        for turn in range(6):
            call_until_served(fresh_cluster, 1)
            answers.append(send_call(fresh_cluster, turn % 2, CRASHING))
        assert services.ended - before <= MAX_CRASHES_AFTER_HOLD
        assert answers[-1].status == 503
        assert answers[-1].headers['Fireflyhitch-Outcome'] == 'not-run'
        assert json.loads(answers[-1].data)['error']['code'] == 'held'
        call_until_served(fresh_cluster, 0)
