"""Two duty keepers on one store."""

import pytest

from fireflyhitch_fleet.duties import DutyManager
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.peers import Daemon
from fireflyhitch_standins.keyvalue import MemoryKeyValueStore

DUTY = 'capacity/answers'


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def store(clock):
    return MemoryKeyValueStore(clock)


@pytest.fixture
def keepers(store, clock):
    daemons = tuple(
        Daemon(f'd{number}', domain, '', '')
        for number, domain in enumerate(('gent', 'brugge'))
    )

    def list_live():
        return daemons

    made = [
        DutyManager(store, clock, daemon.daemon_id, list_live) for daemon in daemons
    ]
    for keeper in made:
        keeper.set_duties([DUTY])
    return made
