"""Daemons with a store, a network and a clock of their own, for move tests."""

import math
from datetime import timedelta

import pytest

from fireflyhitch_fleet.duties import DutyManager
from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.calls import Call
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.peers import Daemon
from fireflyhitch_model.states import MachineClass, Priority
from fireflyhitch_rollout.evidence import EvidenceCollector
from fireflyhitch_rollout.moves import MoveManager
from fireflyhitch_rollout.shares import VersionPicker
from fireflyhitch_rollout.supplies import Supply
from fireflyhitch_settings.schema import (
    Configuration,
    ModelDeployment,
    VersionMove,
)
from fireflyhitch_standins.keyvalue import MemoryKeyValueStore
from fireflyhitch_standins.peers import MemoryPeerNetwork

NAME = 'answers'
DOMAINS = ('gent', 'brugge', 'kortrijk')


def make_server(number, version):
    domain = DOMAINS[number % len(DOMAINS)]
    return BackendServer(
        server_id=f'{version}-{number}',
        instance=f'{version}-i{number}',
        deployment=NAME,
        version=version,
        failure_domain=domain,
        address='127.0.0.1:1',
        machine_class=MachineClass.RECLAIMABLE,
        price=1,
        capacity=8,
    )


def make_call(number, route='chat'):
    return Call(
        request_id=f'request-{number}',
        customer='bakery',
        deployment=NAME,
        route=route,
        priority=Priority.NORMAL,
        prompt_tokens=10,
        max_tokens=10,
        prefix_blocks=(),
        arrived=0,
        deadline=60,
    )


class Node:
    """One daemon's part in the moves."""

    def __init__(self, number, site):
        here = Daemon(f'd{number}', DOMAINS[number % len(DOMAINS)], '', '')
        self.messenger = site.network.join(here)
        self.duties = DutyManager(
            site.store, site.clock, here.daemon_id, self.messenger.live
        )
        self.book = EvidenceCollector(here, self.messenger, site.clock)
        self.picker = VersionPicker()
        self.keeper = MoveManager(
            here,
            site.store,
            self.messenger,
            self.duties,
            self.book,
            self.picker,
            site.clock,
        )

    def step(self):
        self.duties.set_duties(self.keeper.list_duties())
        self.duties.step()
        self.keeper.step()

    @property
    def share(self):
        return self.picker.find(NAME).share

    @property
    def report(self):
        return self.keeper.moves()[0]


class Site:
    """Three daemons in three failure domains, and what they rest on."""

    def __init__(self, daemons=3):
        self.clock = ManualClock()
        self.store = MemoryKeyValueStore(self.clock)
        self.network = MemoryPeerNetwork()
        self.nodes = [Node(number, self) for number in range(daemons)]
        self.deployment = ModelDeployment(
            name=NAME, failure_domains=DOMAINS, version='v1'
        )
        self.revision = 0
        self.fault_rate = 0
        self.calls = 0
        self.configure()
        self.supply(5, 5)

    def configure(self, nodes=None, **changes):
        self.revision += 1
        self.deployment = self.deployment.model_copy(update=changes)
        configuration = Configuration(deployments=(self.deployment,), customers=())
        for node in nodes or self.nodes:
            node.keeper.configure(configuration, self.revision)

    def move(self, version='v2', minutes=60, nodes=None):
        move_by = self.clock.now() + timedelta(minutes=minutes)
        self.configure(nodes, move=VersionMove(to_version=version, move_by=move_by))

    def supply(self, old, new, needed=5):
        servers = [make_server(number, 'v1') for number in range(old)]
        servers += [make_server(number, 'v2') for number in range(new)]
        for node in self.nodes:
            node.keeper.update_supplies({NAME: Supply(tuple(servers), needed)})

    def step(self, seconds=1.0, calls=6, nodes=None):
        self.clock.advance(timedelta(seconds=seconds))
        for node in nodes or self.nodes:
            for _ in range(calls):
                self.serve(node)
            node.step()

    def run(self, seconds, step=2.0, calls=6):
        for _ in range(int(seconds / step)):
            self.step(step, calls)

    def serve(self, node):
        self.calls += 1
        call = make_call(self.calls)
        version = node.picker.pick(call).version
        server = make_server(self.calls % 5, version)
        # The fault rate's calls fail at regular distances: no randomness.
        phase = math.fmod(self.calls * self.fault_rate, 1)
        fails = version == 'v2' and phase < self.fault_rate
        node.book.record(call, server, ok=not fails, first_token=0.3, load=0.6)
        return version

    def states(self):
        return {node.report.state.value for node in self.nodes}


@pytest.fixture
def site():
    return Site()


@pytest.fixture
def site_type():
    return Site
