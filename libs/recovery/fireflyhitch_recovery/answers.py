"""The events of one answer, in order, while attempts and readers come and go."""

import threading
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum, StrEnum
from typing import Final

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import DaemonId
from fireflyhitch_model.invariants import Invariant, invariant
from fireflyhitch_model.states import Step
from fireflyhitch_recovery.events import (
    FIRST_LINEAGE,
    AttemptTag,
    EventId,
    Lineage,
    LineageEntry,
    check_lineage,
    find_attempt,
    make_attempt_tag,
)


class AnswerEnd(StrEnum):
    """How an answer ended."""

    COMPLETE = 'complete'
    FAILED = 'failed'


class LogState(Enum):
    """Whether an answer's events can be relayed here."""

    OPEN = 'open'
    HELD = 'held'
    MOVED = 'moved'


class _Hold(Enum):
    MARK = 'hold'


_HOLD: Final = _Hold.MARK


class AttemptStream:
    """What one attempt adds to an answer; one thread appends to it.

    Appending takes no lock. The list itself is the order: a hold is an element
    of it, events before it are of the answer, and events behind it wait or are
    dropped. ``list.append`` and ``del list[i]`` are single steps under the
    interpreter's lock, so that there is no gap between check and append.
    """

    __slots__ = ('_log', 'end', 'events', 'held', 'tag')

    def __init__(
        self, log: 'AnswerLog', tag: AttemptTag, events: list[bytes | _Hold]
    ) -> None:
        self._log = log
        self.tag = tag
        self.events = events
        self.held = False
        self.end: AnswerEnd | None = None

    def append(self, event: bytes) -> bool:
        """Add an event.

        ``held`` is set before the mark is appended: whoever finds it unset
        after its own append stands before the mark.

        :returns: whether it may be relayed now; if not, ask ``AnswerLog.state``
            and read on from the last event relayed.
        """
        self.events.append(event)
        if self.held:
            return False
        if self._log.waiters:
            self._log.wake()
        return True

    def extend(self, events: list[bytes]) -> bool:
        """Add the events that came in one read; as ``append``."""
        self.events.extend(events)
        if self.held:
            return False
        if self._log.waiters:
            self._log.wake()
        return True

    def finish(self, end: AnswerEnd) -> None:
        """Mark the answer's end; nothing is appended behind it."""
        self.end = end
        self._log.wake()


@dataclass(frozen=True, slots=True)
class AnswerPart:
    """The events behind one that a reader holds.

    :param first: the number of the first of the events.
    :param end: how the answer ended, if these are its last events.
    """

    first: int
    events: tuple[bytes, ...]
    state: LogState
    end: AnswerEnd | None = None

    @property
    def last(self) -> int:
        """The number of the last event read so far."""
        return self.first + len(self.events) - 1


@dataclass(frozen=True, slots=True)
class AnswerCopy:
    """An answer so far, for a peer to go on with."""

    events: tuple[bytes, ...]
    lineage: Lineage
    attempts: int
    end: AnswerEnd | None


EMPTY_COPY = AnswerCopy((), FIRST_LINEAGE, 1, None)


class AnswerLog:
    """One answer: its current attempt, its readers, and whether it is held."""

    def __init__(self, daemon: DaemonId, copy: AnswerCopy = EMPTY_COPY) -> None:
        self.waiters: list[threading.Event] = []
        self._daemon = daemon
        self._lock = threading.Lock()
        self._attempts = copy.attempts
        self._lineage = copy.lineage
        self._state = LogState.OPEN
        self._hold_index = 0
        newest = copy.lineage[-1]
        invariant(
            newest.first <= len(copy.events) + 1,
            Invariant.ANSWER_ORDER,
            'an attempt that starts behind the answer',
            step=Step.HAND_OVER,
        )
        tag = newest.attempt
        self._stream = AttemptStream(self, tag, list(copy.events))
        self._stream.end = copy.end

    @property
    def state(self) -> LogState:
        """Whether events can be relayed from here."""
        return self._state

    @property
    def lineage(self) -> Lineage:
        """Which attempt each part of the answer is of."""
        return self._lineage

    @property
    def end(self) -> AnswerEnd | None:
        """How the answer ended, if it has."""
        return self._stream.end

    def current(self) -> AttemptStream:
        """Return the current attempt, as for going on with an engine's stream."""
        return self._stream

    def count(self) -> int:
        """Return how many events the answer has so far."""
        return len(self.read_after(0).events)

    def open_attempt(self) -> AttemptStream | None:
        """Start an attempt that goes on behind the events so far.

        The old attempt's late events land behind its hold and reach nobody.

        :returns: ``None`` while the answer is held or once it has moved, since
            a peer may be going on from the same place.
        """
        with self._lock:
            if self._state is not LogState.OPEN:
                return None
            events = self._hold_stream()
            self._attempts += 1
            tag = make_attempt_tag(self._daemon, self._attempts)
            self._lineage = (*self._lineage, LineageEntry(len(events) + 1, tag))
            self._stream = AttemptStream(self, tag, list(events))
            self._state = LogState.OPEN
        self.wake()
        return self._stream

    def hold(self) -> AnswerCopy:
        """Stop relaying and return the answer up to here."""
        with self._lock:
            events = self._hold_stream()
            if self._state is LogState.OPEN:
                self._state = LogState.HELD
            return AnswerCopy(
                events, self._lineage, self._attempts, self._find_held_end()
            )

    def release_hold(self) -> None:
        """Relay again, with what came meanwhile."""
        with self._lock:
            if self._state is not LogState.HELD:
                return
            del self._stream.events[self._hold_index]
            self._stream.held = False
            self._state = LogState.OPEN
        self.wake()

    def move(self) -> None:
        """Leave a held answer to the peer that has it now."""
        with self._lock:
            self._hold_stream()
            self._state = LogState.MOVED
        self.wake()

    def copy(self) -> AnswerCopy:
        """Return the answer so far without holding it."""
        part = self.read_after(0)
        return AnswerCopy(part.events, self._lineage, self._attempts, part.end)

    def read_after(self, number: int) -> AnswerPart:
        """Return the events behind an event, without waiting."""
        stream = self._stream
        # The end first: events are complete once it is set.
        end = stream.end
        events = stream.events[number:]
        if _HOLD in events:
            end = None
            events = events[: events.index(_HOLD)]
        readable = tuple(event for event in events if event is not _HOLD)
        return AnswerPart(number + 1, readable, self._state, end)

    def wait_after(self, last: EventId, clock: Clock, timeout: timedelta) -> AnswerPart:
        """Return the events behind an event, waiting until there is one.

        :returns: a part without events if nothing came in time, the answer has
            ended, or it has moved.
        :raises RequestError: if the event is not of this answer.
        """
        check_lineage(self._lineage, last)
        signal = threading.Event()
        with self._lock:
            self.waiters.append(signal)
        try:
            part = self.read_after(last.number)
            if not _should_return(part):
                clock.wait(signal, timeout)
                part = self.read_after(last.number)
        finally:
            with self._lock:
                self.waiters.remove(signal)
        # An attempt may have started while this waited.
        check_lineage(self._lineage, last)
        return part

    def wake(self) -> None:
        """Wake the readers that wait for an event."""
        for signal in tuple(self.waiters):
            signal.set()

    def _hold_stream(self) -> tuple[bytes, ...]:
        stream = self._stream
        if not stream.held:
            stream.held = True
            stream.events.append(_HOLD)
            self._hold_index = stream.events.index(_HOLD)
        before = stream.events[: self._hold_index]
        return tuple(event for event in before if event is not _HOLD)

    def _find_held_end(self) -> AnswerEnd | None:
        has_later_events = len(self._stream.events) > self._hold_index + 1
        return None if has_later_events else self._stream.end


class AnswerReader:
    """One caller's place in an answer.

    :param last: the last event that the caller has.
    """

    def __init__(self, log: AnswerLog, last: EventId) -> None:
        self._log = log
        self._last = last

    @property
    def last(self) -> EventId:
        """The last event that was read."""
        return self._last

    def read(self, clock: Clock, timeout: timedelta) -> AnswerPart:
        """Return the next events; see ``AnswerLog.wait_after``.

        :raises InvariantError: if they do not follow on the last ones.
        """
        part = self._log.wait_after(self._last, clock, timeout)
        invariant(
            part.first == self._last.number + 1,
            Invariant.ANSWER_ORDER,
            f'{part.first} after {self._last.number}',
        )
        if part.events:
            attempt = find_attempt(self._log.lineage, part.last)
            self._last = EventId(part.last, attempt)
        return part


def _should_return(part: AnswerPart) -> bool:
    return bool(part.events) or part.end is not None or part.state is LogState.MOVED
