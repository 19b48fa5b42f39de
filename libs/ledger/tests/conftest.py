"""Fixtures: ledgers of three daemons with one store, on a manual clock."""

from dataclasses import replace

import pytest

from fireflyhitch_ledger.keys import CallKey, choose_shard, digest_body, digest_key
from fireflyhitch_ledger.ledger import Ledger
from fireflyhitch_ledger.settings import DEFAULT_SETTINGS
from fireflyhitch_model.calls import Call
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.hashing import rank_by_hash
from fireflyhitch_model.ids import CustomerId, DaemonId, DeploymentId, IdempotencyKey
from fireflyhitch_model.peers import Daemon
from fireflyhitch_model.states import Priority
from fireflyhitch_standins.keyvalue import MemoryKeyValueStore
from fireflyhitch_standins.peers import MemoryPeerNetwork


class LedgerCluster:
    """Ledgers of three daemons with their store, network and clock."""

    body = digest_body('POST', '/services/bookings/visits', b'{"van": 1}')
    other_body = digest_body('POST', '/services/bookings/visits', b'{"van": 2}')

    def __init__(self, clock=None, **changes):
        self.clock = clock or ManualClock()
        self.store = MemoryKeyValueStore(self.clock)
        self.network = MemoryPeerNetwork()
        self.settings = replace(DEFAULT_SETTINGS, **changes)
        self.ledgers = {}
        self.names = [DaemonId(name) for name in ('gent', 'brugge', 'aalst')]
        for name in self.names:
            self.restart(name)

    def restart(self, name):
        daemon = Daemon(name, 'domain', '', '')
        messenger = self.network.join(daemon)
        self.ledgers[name] = Ledger(
            name, self.store, messenger, self.clock, self.settings
        )

    def key(self, text='k1', customer='c1'):
        return CallKey(
            CustomerId(customer), DeploymentId('bookings'), IdempotencyKey(text)
        )

    def rank(self, key):
        shard = choose_shard(digest_key(key), self.settings.shards)
        return rank_by_hash(f'ledger/{shard}', self.names)

    def call(self, seconds=30.0):
        now = self.clock.monotonic()
        return Call(
            'r', 'c1', 'bookings', 'POST', Priority.NORMAL, 0, 0, (), now, now + seconds
        )

    def claim(self, name, key, body=body):
        return self.ledgers[name].claim(key, body, self.call())


@pytest.fixture
def cluster():
    return LedgerCluster()


@pytest.fixture
def make_cluster():
    return LedgerCluster
