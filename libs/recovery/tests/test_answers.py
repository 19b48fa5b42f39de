"""Tests of answer logs: order, holds, attempts and readers."""

import threading
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fireflyhitch_model.clock import ManualClock, SystemClock
from fireflyhitch_model.errors import InvariantError, RequestError
from fireflyhitch_model.ids import DaemonId
from fireflyhitch_recovery.answers import (
    AnswerCopy,
    AnswerEnd,
    AnswerLog,
    AnswerReader,
    LogState,
)
from fireflyhitch_recovery.events import (
    START,
    EventId,
    LineageEntry,
    format_event_id,
    parse_event_id,
)

NOW = timedelta()


@pytest.fixture
def log():
    return AnswerLog(DaemonId('gent'))


def read(log, number=0):
    return log.read_after(number).events


class TestEventIds:
    """Event ids in ``Last-Event-ID``."""

    @pytest.mark.parametrize('text', ['0', '12', '7.2-1a2b'])
    def test_ids_round_trip(self, text):
        event = parse_event_id(text)
        assert format_event_id(event.number, event.attempt) == text

    def test_malformed_id_is_rejected(self):
        with pytest.raises(RequestError) as caught:
            parse_event_id('x9')
        assert caught.value.status == 400


class TestHold:
    """Holding, releasing and moving an answer."""

    def test_held_events_wait_until_the_hold_is_released(self, log):
        stream = log.current()
        assert stream.append(b'1')
        copy = log.hold()
        assert not stream.append(b'2')
        assert (copy.events, read(log)) == ((b'1',), (b'1',))
        log.release_hold()
        assert read(log) == (b'1', b'2')
        assert stream.append(b'3')

    def test_moved_answer_does_not_change(self, log):
        log.current().append(b'1')
        log.hold()
        log.move()
        log.release_hold()
        assert not log.current().append(b'2')
        assert log.state is LogState.MOVED
        assert read(log) == (b'1',)
        assert log.open_attempt() is None

    def test_end_after_a_hold_is_not_reported(self, log):
        stream = log.current()
        stream.append(b'1')
        log.hold()
        stream.append(b'2')
        stream.finish(AnswerEnd.COMPLETE)
        assert log.read_after(0).end is None
        log.release_hold()
        assert log.read_after(0).end is AnswerEnd.COMPLETE

    def test_hold_with_a_concurrent_writer_neither_loses_nor_repeats(self, log):
        """One thread appends without a lock while another holds and releases.

        Events that the writer may relay precede the hold, so a held answer must
        not grow. In the end each event must be present once, in order.
        """
        stream = log.current()
        total = 20000
        not_relayed = []

        def write():
            for number in range(total):
                if not stream.append(b'%d' % number):
                    not_relayed.append(number)

        writer = threading.Thread(target=write)
        writer.start()
        cuts = []
        while writer.is_alive():
            cuts.append(len(log.hold().events))
            assert len(read(log)) == cuts[-1]
            log.release_hold()
        writer.join()
        assert cuts == sorted(cuts)
        assert read(log) == tuple(b'%d' % number for number in range(total))


class TestAttempts:
    """Answers that a second attempt continues."""

    def test_late_event_of_the_previous_attempt_is_dropped(self, log):
        old = log.current()
        old.append(b'1')
        new = log.open_attempt()
        assert not old.append(b'old')
        new.append(b'2')
        assert read(log) == (b'1', b'2')
        assert log.lineage[-1].first == 2

    def test_caller_with_another_continuation_is_rejected(self, log):
        """Two daemons continued one answer during a network partition.

        The caller read events 2 and 3 from one and requests the rest from the
        other. It must get an error instead of a mixed answer.
        """
        log.current().append(b'1')
        log.open_attempt().extend([b'2', b'3', b'4'])
        other = AnswerLog(DaemonId('aalst'), log.copy())
        elsewhere = EventId(3, LineageEntry(2, '2-ffff').attempt)
        with pytest.raises(RequestError) as caught:
            other.wait_after(elsewhere, ManualClock(), NOW)
        assert caught.value.code == 'answer_diverged'
        same = EventId(3, log.lineage[-1].attempt)
        assert other.wait_after(same, ManualClock(), NOW).events == (b'4',)

    def test_caller_ahead_of_a_copy_gets_no_events(self, log):
        log.current().append(b'1')
        assert not log.wait_after(EventId(5), ManualClock(), NOW).events

    def test_copy_with_a_gap_violates_the_invariant(self):
        with pytest.raises(InvariantError):
            AnswerLog(
                DaemonId('gent'),
                AnswerCopy(
                    (b'1',), (LineageEntry(1, ''), LineageEntry(9, 'x')), 2, None
                ),
            )


class TestReaders:
    """Readers that wait for events."""

    def test_waiting_reader_is_woken_by_the_next_event(self, log):
        reader = AnswerReader(log, START)
        received = []
        waiter = threading.Thread(
            target=lambda: received.append(
                reader.read(SystemClock(), timedelta(seconds=30))
            )
        )
        waiter.start()
        while not log.waiters:
            threading.Event().wait(0.001)
        log.current().append(b'1')
        waiter.join()
        assert received[0].events == (b'1',)
        assert reader.last == EventId(1)

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(st.lists(st.sampled_from(('event', 'hold', 'lift', 'attempt', 'read'))))
    def test_reader_gets_each_event_once_in_order(self, steps):
        log = AnswerLog(DaemonId('gent'))
        reader = AnswerReader(log, START)
        streams = [log.current()]
        received = []
        for number, step in enumerate(steps):
            if step == 'event':
                streams[-1].append(b'%d' % number)
            elif step == 'hold':
                log.hold()
            elif step == 'lift':
                log.release_hold()
            elif step == 'attempt':
                streams.append(log.open_attempt() or streams[-1])
            else:
                received.extend(reader.read(ManualClock(), NOW).events)
        log.release_hold()
        received.extend(reader.read(ManualClock(), NOW).events)
        assert tuple(received) == read(log)
