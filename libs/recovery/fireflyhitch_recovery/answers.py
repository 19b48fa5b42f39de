"""Ordered event log of one answer, shared by its attempts and readers."""

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
    """Final state of an answer."""

    COMPLETE = 'complete'
    FAILED = 'failed'


class LogState(Enum):
    """Whether this daemon may relay an answer's events."""

    OPEN = 'open'
    HELD = 'held'
    MOVED = 'moved'


class _Hold(Enum):
    MARK = 'hold'


_HOLD: Final = _Hold.MARK


class AttemptStream:
    """Events that one attempt appends to an answer, from a single thread.

    Appending takes no lock. A hold is a marker in the event list: events before
    it belong to the answer, events after it wait or are dropped. ``list.append``
    and ``del list[i]`` are atomic under the GIL, so that no event can slip in
    between a check and an append.
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
        """Append an event.

        ``held`` is set before the marker is appended. If it is still unset after
        an append, that event precedes the marker.

        :returns: whether the event may be relayed now; if not, check
            ``AnswerLog.state`` and read on after the last relayed event.
        """
        self.events.append(event)
        if self.held:
            return False
        if self._log.waiters:
            self._log.wake()
        return True

    def extend(self, events: list[bytes]) -> bool:
        """Append the events of one read; see ``append``."""
        self.events.extend(events)
        if self.held:
            return False
        if self._log.waiters:
            self._log.wake()
        return True

    def finish(self, end: AnswerEnd) -> None:
        """Set how the answer ended; nothing may be appended afterwards."""
        self.end = end
        self._log.wake()


@dataclass(frozen=True, slots=True)
class AnswerPart:
    """The events after the last one that a reader has.

    :param first: number of the first of these events.
    :param end: how the answer ended, if these are its last events.
    """

    first: int
    events: tuple[bytes, ...]
    state: LogState
    end: AnswerEnd | None = None

    @property
    def last(self) -> int:
        """Number of the last event read so far."""
        return self.first + len(self.events) - 1


@dataclass(frozen=True, slots=True)
class AnswerCopy:
    """A partial answer that a peer can continue."""

    events: tuple[bytes, ...]
    lineage: Lineage
    attempts: int
    end: AnswerEnd | None


EMPTY_COPY = AnswerCopy((), FIRST_LINEAGE, 1, None)


class AnswerLog:
    """One answer with its current attempt, its readers and its hold."""

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
        """Whether this daemon may relay events."""
        return self._state

    @property
    def lineage(self) -> Lineage:
        """The attempts that generated the answer, with the first event of each."""
        return self._lineage

    @property
    def end(self) -> AnswerEnd | None:
        """How the answer ended, if it has."""
        return self._stream.end

    def current(self) -> AttemptStream:
        """Return the current attempt, for example to continue an engine stream."""
        return self._stream

    def count(self) -> int:
        """Return how many events the answer has so far."""
        return len(self.read_after(0).events)

    def open_attempt(self) -> AttemptStream | None:
        """Start an attempt that continues after the events so far.

        Late events of the previous attempt are appended after its hold marker
        and are not relayed.

        :returns: ``None`` while the answer is held or once it has moved, since
            a peer may be continuing it from the same event.
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
        """Stop relaying and return the partial answer."""
        with self._lock:
            events = self._hold_stream()
            if self._state is LogState.OPEN:
                self._state = LogState.HELD
            return AnswerCopy(
                events, self._lineage, self._attempts, self._find_held_end()
            )

    def release_hold(self) -> None:
        """Resume relaying, including events appended since the hold."""
        with self._lock:
            if self._state is not LogState.HELD:
                return
            del self._stream.events[self._hold_index]
            self._stream.held = False
            self._state = LogState.OPEN
        self.wake()

    def move(self) -> None:
        """Stop relaying for good, as a peer has taken the answer over."""
        with self._lock:
            self._hold_stream()
            self._state = LogState.MOVED
        self.wake()

    def copy(self) -> AnswerCopy:
        """Return the partial answer without holding it."""
        part = self.read_after(0)
        return AnswerCopy(part.events, self._lineage, self._attempts, part.end)

    def read_after(self, number: int) -> AnswerPart:
        """Return the events after an event, without waiting."""
        stream = self._stream
        # Read ``end`` first: once it is set, no more events are appended.
        end = stream.end
        events = stream.events[number:]
        if _HOLD in events:
            end = None
            events = events[: events.index(_HOLD)]
        readable = tuple(event for event in events if event is not _HOLD)
        return AnswerPart(number + 1, readable, self._state, end)

    def wait_after(self, last: EventId, clock: Clock, timeout: timedelta) -> AnswerPart:
        """Return the events after an event; wait until there is one.

        :returns: a part without events on a timeout, or if the answer has ended
            or moved.
        :raises RequestError: if the event does not belong to this answer.
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
        # An attempt may have started during the wait.
        check_lineage(self._lineage, last)
        return part

    def wake(self) -> None:
        """Wake the waiting readers."""
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
    """One caller's read position in an answer.

    :param last: the last event that the caller has received.
    """

    def __init__(self, log: AnswerLog, last: EventId) -> None:
        self._log = log
        self._last = last

    @property
    def last(self) -> EventId:
        """Id of the last event read."""
        return self._last

    def read(self, clock: Clock, timeout: timedelta) -> AnswerPart:
        """Return the next events; see ``AnswerLog.wait_after``.

        :raises InvariantError: if they do not follow the last event read.
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
