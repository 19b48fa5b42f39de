"""Tests of the etcd client against the stand-in over HTTP."""

import threading
from datetime import timedelta

import pytest
import urllib3

from fireflyhitch_model.clock import SystemClock
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import ABSENT, LeaseId, Revision
from fireflyhitch_model.states import Outcome
from fireflyhitch_platform.etcd import EtcdKeyValueStore
from fireflyhitch_platform.keyvalue import Conflict, WatchCompacted, Written
from fireflyhitch_platform.rates import CallBudget, CallKind
from fireflyhitch_standins.etcd_server import EtcdServer
from fireflyhitch_standins.faults import Fault


@pytest.fixture(scope='module')
def server():
    standin = EtcdServer(SystemClock())
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def store(server):
    server.store.faults.clear_all()
    for item in server.store.get_prefix('').items:
        server.store.delete_if(item.key, item.revision)
    clock = SystemClock()
    return EtcdKeyValueStore(server.url, clock, CallBudget(clock))


def set_faults(server, faults):
    urllib3.request('PUT', f'{server.url}/standin/faults', json=faults)


class TestReadsAndWrites:
    """Range and transaction."""

    def test_round_trip_of_bytes(self, store):
        value = bytes(range(256))
        written = store.put_if('a/ž', value, ABSENT)
        assert isinstance(written, Written)
        found = store.get('a/ž')
        assert (found.value, found.revision) == (value, written.revision)
        assert store.get('a/') is None
        assert [one.key for one in store.get_prefix('a/').items] == ['a/ž']

    def test_conflict_returns_the_current_value(self, store):
        first = store.put_if('a', b'1', ABSENT)
        assert store.put_if('a', b'2', ABSENT) == Conflict(store.get('a'))
        assert isinstance(store.delete_if('a', first.revision), Written)
        assert store.delete_if('a', first.revision) == Conflict(None)

    def test_exhausted_budget_is_not_run(self, server):
        clock = SystemClock()
        budget = CallBudget(clock, dict.fromkeys(CallKind, 0.0))
        with pytest.raises(PlatformError) as caught:
            EtcdKeyValueStore(server.url, clock, budget).put_if('a', b'', ABSENT)
        assert caught.value.outcome is Outcome.NOT_RUN


class TestLeases:
    """Grant, renewal and revocation."""

    def test_key_is_deleted_with_its_lease(self, store):
        lease = store.grant_lease(timedelta(seconds=30))
        store.put_if('a', b'1', ABSENT, lease)
        assert store.keep_lease(lease)
        store.revoke_lease(lease)
        store.revoke_lease(lease)
        assert store.get('a') is None
        assert not store.keep_lease(lease)

    def test_write_with_an_unknown_lease_is_not_run(self, store):
        with pytest.raises(PlatformError) as caught:
            store.put_if('a', b'1', ABSENT, LeaseId(7))
        assert caught.value.outcome is Outcome.NOT_RUN


class TestFailures:
    """Outcomes of failed calls."""

    def test_lost_response_is_unknown_and_not_retried(self, server, store):
        """The write takes effect, but its response is lost.

        The outcome is unknown. The client must not retry by itself: the key's
        revision has changed, so it would report a conflict with its own write.
        """
        set_faults(server, {'lost_answers': 1})
        with pytest.raises(PlatformError) as caught:
            store.put_if('a', b'1', ABSENT)
        assert caught.value.outcome is Outcome.UNKNOWN
        assert store.get('a').value == b'1'

    def test_outage_is_not_run_until_it_ends(self, server, store):
        set_faults(server, {'outage': True})
        with pytest.raises(PlatformError) as caught:
            store.put_if('a', b'1', ABSENT)
        assert caught.value.outcome is Outcome.NOT_RUN
        set_faults(server, {})
        assert store.get('a') is None

    def test_refused_connection_is_not_run(self):
        clock = SystemClock()
        nobody = EtcdKeyValueStore('http://127.0.0.1:9', clock, CallBudget(clock))
        with pytest.raises(PlatformError) as caught:
            nobody.put_if('a', b'1', ABSENT)
        assert caught.value.outcome is Outcome.NOT_RUN

    def test_read_is_retried(self, server, store):
        store.put_if('a', b'1', ABSENT)
        server.store.faults.queue('get', Fault.LOST_ANSWER)
        assert store.get('a').value == b'1'


class TestWatch:
    """The stream of changes."""

    def test_changes_during_a_watch_are_in_order(self, server, store):
        first = store.put_if('w/1', b'1', ABSENT)
        events = store.watch('w/', first.revision, timedelta(seconds=20))
        before = server.store.calls['watch']
        timer = threading.Timer(0.1, store.put_if, ('w/2', b'2', ABSENT))
        timer.start()
        second = next(events)
        assert (second.key, second.value) == ('w/2', b'2')
        server.store.delete_if('w/2', second.revision)
        third = next(events)
        assert third.value is None
        events.close()
        timer.join()
        assert server.store.calls['watch'] == before + 1

    def test_compacted_revision_is_reported(self, server, store):
        store.put_if('w/1', b'1', ABSENT)
        server.store.compact()
        with pytest.raises(WatchCompacted):
            list(store.watch('w/', Revision(0), timedelta(seconds=5)))

    def test_watch_ends_at_its_timeout(self, store):
        assert not list(store.watch('w/', Revision(10**6), timedelta()))
