"""Tests of the key-value stand-in, whose guarantees other tests rely on."""

from datetime import timedelta

import pytest

from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import ABSENT, Revision
from fireflyhitch_model.states import Outcome
from fireflyhitch_platform.keyvalue import Conflict, WatchCompacted, Written
from fireflyhitch_standins.faults import Fault
from fireflyhitch_standins.keyvalue import MemoryKeyValueStore


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def store(clock):
    return MemoryKeyValueStore(clock)


class TestCompareAndSwap:
    """Conditional writes."""

    def test_write_with_another_revision_has_no_effect(self, store):
        written = store.put_if('a', b'1', ABSENT)
        assert isinstance(written, Written)
        conflict = store.put_if('a', b'2', ABSENT)
        assert conflict == Conflict(store.get('a'))
        assert store.get('a').value == b'1'

    def test_write_with_lost_response_takes_effect(self, store):
        store.faults.queue('put_if', Fault.LOST_ANSWER)
        with pytest.raises(PlatformError) as caught:
            store.put_if('a', b'1', ABSENT)
        assert caught.value.outcome is Outcome.UNKNOWN
        assert store.get('a').value == b'1'


class TestLeases:
    """Keys bound to a lease."""

    def test_key_is_deleted_when_its_lease_expires(self, store, clock):
        lease = store.grant_lease(timedelta(seconds=5))
        store.put_if('a', b'1', ABSENT, lease)
        clock.advance(timedelta(seconds=4))
        assert store.keep_lease(lease)
        clock.advance(timedelta(seconds=4))
        assert store.get('a') is not None
        clock.advance(timedelta(seconds=2))
        assert store.get('a') is None
        assert not store.keep_lease(lease)


class TestWatch:
    """Changes after a revision."""

    def test_changes_are_in_order(self, store):
        store.put_if('a/1', b'1', ABSENT)
        store.put_if('b/1', b'1', ABSENT)
        store.put_if('a/2', b'2', ABSENT)
        events = list(store.watch('a/', Revision(0), timedelta()))
        assert [event.key for event in events] == ['a/1', 'a/2']

    def test_compacted_revision_is_refused(self, store):
        store.put_if('a/1', b'1', ABSENT)
        store.compact()
        with pytest.raises(WatchCompacted):
            list(store.watch('a/', Revision(0), timedelta()))

    def test_waiting_watch_counts_as_one_call(self, store):
        list(store.watch('a/', Revision(0), timedelta(seconds=30)))
        assert store.calls['watch'] == 1

    def test_write_during_a_watch_is_seen(self, store):
        polls = []

        def write_at_second_poll(operation):
            polls.append(operation)
            if polls == ['watch', 'watch']:
                store.faults.before(None)
                store.put_if('a/1', b'1', ABSENT)

        store.faults.before(write_at_second_poll)
        events = list(store.watch('a/', Revision(0), timedelta(seconds=1)))
        assert [event.value for event in events] == [b'1']
