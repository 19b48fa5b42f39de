"""Tests of the platform clients against the stand-ins over HTTP."""

import socket
from datetime import timedelta

import pytest
import urllib3

from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.states import InstanceState, MachineClass, Outcome
from fireflyhitch_platform.cloud import HttpCloud
from fireflyhitch_platform.http import CallCounts, CallPolicy
from fireflyhitch_platform.instance_list import HttpInstanceList
from fireflyhitch_platform.services import InstanceOrder
from fireflyhitch_platform.weights import HttpWeightStore
from fireflyhitch_standins.faults import Fault
from fireflyhitch_standins.platform_server import PlatformServer
from fireflyhitch_standins.world import DeploymentServers, WorldSettings

ORDER = InstanceOrder('one', 'm', 'v1', 'gent', MachineClass.RECLAIMABLE)


@pytest.fixture(scope='module')
def platform():
    settings = WorldSettings(
        deployments={'m': DeploymentServers()}, list_lag_seconds=0, start_seconds=0
    )
    server = PlatformServer(settings)
    server.start()
    yield server
    server.stop()


@pytest.fixture
def url(platform):
    yield f'http://{platform.address}'
    urllib3.request('DELETE', f'http://{platform.address}/standin/faults')


@pytest.fixture
def set_fault(url):
    def put(service, operation, fault, count):
        wanted = {'service': service, 'operation': operation, 'count': count}
        document = {**wanted, 'fault': fault.value}
        urllib3.request('PUT', f'{url}/standin/faults', json=document)

    return put


@pytest.fixture
def counts():
    return CallCounts()


@pytest.fixture
def policy(counts):
    return CallPolicy(observer=counts.observe, sleep=lambda _: None)


class TestCloud:
    """Orders, notices and prices."""

    def test_instance_is_started_listed_and_reclaimed(self, url, policy):
        cloud = HttpCloud(f'{url}/cloud', policy)
        listed = HttpInstanceList(f'{url}/instances', policy)
        instance = cloud.start(ORDER)
        entry = listed.read().instances[0]
        assert (entry.instance_id, entry.state) == (instance, InstanceState.LIVE)
        assert entry.server.deployment == 'm'
        wave = {'notice_seconds': 60, 'failure_domain': 'gent'}
        urllib3.request('POST', f'{url}/standin/reclaims', json=wave)
        assert cloud.read_notices()[0].instance_id == instance
        assert listed.read().instances[0].state is InstanceState.LEAVING
        cloud.stop(instance)
        cloud.stop(instance)
        assert not listed.read().instances
        assert cloud.read_prices() == ()

    def test_lost_response_to_an_order_starts_one_instance(
        self, platform, url, policy, counts, set_fault
    ):
        """The response is lost after the instance has started, and the client retries.

        The retry has the same order id, so the cloud returns the instance that it
        already started. Both calls count against the rate limits.
        """
        set_fault('cloud', 'start', Fault.LOST_ANSWER, 1)
        cloud = HttpCloud(f'{url}/cloud', policy)
        instance = cloud.start(ORDER)
        assert len(platform.world.cloud.list_instances().instances) == 1
        assert counts.count('cloud', 'start', Outcome.UNKNOWN) == 1
        assert counts.count('cloud', 'start', Outcome.RAN) == 1
        cloud.stop(instance)

    def test_refused_start_is_no_error(self, platform, url, policy):
        place = ('gent', MachineClass.RECLAIMABLE)
        platform.world.cloud.refuse(*place, refused=True)
        assert HttpCloud(f'{url}/cloud', policy).start(ORDER) is None
        platform.world.cloud.refuse(*place, refused=False)


class TestInstanceList:
    """Reads of the instance list."""

    def test_unchanged_list_is_not_resent(self, url, policy):
        listed = HttpInstanceList(f'{url}/instances', policy)
        first = listed.read()
        assert listed.read() is first

    def test_outage_is_an_error_after_all_attempts(
        self, url, policy, counts, set_fault
    ):
        set_fault('instance_list', 'read', Fault.REFUSED, 0)
        listed = HttpInstanceList(f'{url}/instances', policy)
        caught = pytest.raises(PlatformError, listed.read)
        assert caught.value.outcome is Outcome.NOT_RUN
        assert counts.count('instance-list', 'read', Outcome.NOT_RUN) == 3


class TestWeightStore:
    """Reservations, which must not be made twice."""

    def test_refused_reservation_is_retried(self, url, policy, set_fault):
        set_fault('weight_store', 'reserve', Fault.REFUSED, 2)
        store = HttpWeightStore(f'{url}/weights', policy)
        assert store.reserve('m', 'v1') >= timedelta()

    def test_lost_response_is_not_retried(self, url, policy, counts, set_fault):
        """The response is lost, so a slot may have been taken.

        A retry would take a second slot, and many daemons doing so would starve
        the store. The outcome is reported as unknown instead.
        """
        set_fault('weight_store', 'reserve', Fault.LOST_ANSWER, 1)
        store = HttpWeightStore(f'{url}/weights', policy)
        caught = pytest.raises(PlatformError, store.reserve, 'm', 'v1')
        assert caught.value.outcome is Outcome.UNKNOWN
        assert counts.count('weight-store', 'reserve', Outcome.RAN) == 0


class TestConnections:
    """Outcomes of calls without a response."""

    def test_refused_connection_is_not_run(self, policy):
        cloud = HttpCloud('http://127.0.0.1:1/cloud', policy)
        caught = pytest.raises(PlatformError, cloud.start, ORDER)
        assert caught.value.outcome is Outcome.NOT_RUN
        assert caught.value.peer == 'http://127.0.0.1:1/cloud/instances'

    def test_unresponsive_service_has_unknown_outcome(self):
        with socket.create_server(('127.0.0.1', 0)) as silent:
            host, port = silent.getsockname()
            policy = CallPolicy(read_seconds=0.05, attempts=1)
            cloud = HttpCloud(f'http://{host}:{port}', policy)
            caught = pytest.raises(PlatformError, cloud.start, ORDER)
        assert caught.value.outcome is Outcome.UNKNOWN
