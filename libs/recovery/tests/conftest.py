"""Fixtures: daemons that hand requests over to each other, on a manual clock."""

from dataclasses import replace
from datetime import timedelta

import pytest

from fireflyhitch_model.calls import Call
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.ids import DaemonId
from fireflyhitch_model.peers import Daemon
from fireflyhitch_model.states import Priority
from fireflyhitch_recovery.handover import HandOver
from fireflyhitch_recovery.inflight import InFlight, make_request_id
from fireflyhitch_recovery.requests import (
    AcceptedRequest,
    CompletionKind,
    Placement,
)
from fireflyhitch_recovery.settings import DEFAULT_SETTINGS
from fireflyhitch_standins.peers import MemoryPeerNetwork

TIME_LEFT = timedelta(seconds=10)


class Node:
    """The recovery components of one daemon."""

    def __init__(self, cluster, name, domain):
        self.name = DaemonId(name)
        self.capacity = 100
        self.taken_over = []
        self.in_flight = InFlight(self.name, cluster.clock)
        daemon = Daemon(self.name, domain, '', '')
        self.hand_over = HandOver(
            daemon,
            cluster.network.join(daemon),
            cluster.clock,
            self.in_flight,
            self.taken_over.append,
            lambda: self.capacity - len(self.in_flight.list()),
            cluster.settings,
        )

    def move(self, *tracked):
        ids = [one.accepted.call.request_id for one in tracked]
        return self.hand_over.hand_over(ids, TIME_LEFT)

    def find(self, tracked):
        return self.in_flight.find(tracked.accepted.call.request_id)

    def locate(self, tracked):
        location = self.hand_over.locations.find(tracked.accepted.call.request_id)
        return location.daemon_id if location else None

    def check(self):
        self.hand_over.handover_receiver.check_senders()
        self.hand_over.check_peers()


class Cluster:
    """Two daemons in one failure domain and one in each of two others."""

    def __init__(self, **changes):
        self.clock = ManualClock()
        self.network = MemoryPeerNetwork()
        self.settings = replace(DEFAULT_SETTINGS, **changes)
        self.nodes = {}
        layout = (('a1', 'a'), ('a2', 'a'), ('b1', 'b'), ('c1', 'c'))
        for name, domain in layout:
            self.nodes[name] = Node(self, name, domain)

    def accept(self, name='a1', events=(b'1', b'2'), body=b'{}'):
        node = self.nodes[name]
        now = self.clock.monotonic()
        call = Call(
            make_request_id(node.name),
            'customer',
            'model',
            'chat',
            Priority.NORMAL,
            100,
            50,
            (),
            now,
            now + 60,
        )
        accepted = AcceptedRequest(call, CompletionKind.CHAT, body, streaming=True)
        tracked = node.in_flight.register(accepted)
        tracked.placement = Placement('server', '10.0.0.1:80', 'attempt')
        tracked.log.current().extend(list(events))
        return tracked

    def holders(self, tracked):
        return [name for name, node in self.nodes.items() if node.find(tracked)]

    def holder(self, tracked):
        holders = self.holders(tracked)
        assert len(holders) == 1
        return holders[0]

    def advance(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))

    def kill(self, name):
        self.network.dead.add(name)
        self.nodes.pop(name)

    def drop_replies(self, sender, receiver):
        self.network.cut.add((receiver, sender))


@pytest.fixture
def cluster():
    return Cluster()


@pytest.fixture
def make_cluster():
    return Cluster
