"""Clock interface, injected so that decisions never read the system time directly."""

import threading
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

MANUAL_START = datetime.fromisoformat('2026-01-01T00:00:00+00:00')


class Clock(Protocol):
    """Wall clock time for display and dates, monotonic time for durations."""

    def now(self) -> datetime:
        """Return the wall clock time in UTC; it may jump."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; they never decrease."""

    def wait(self, event: threading.Event, duration: timedelta) -> bool:
        """Wait for an event or until the duration has passed.

        :returns: whether the event was set.
        """


class SystemClock:
    """The operating system's clock."""

    def now(self) -> datetime:
        """Return the wall clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return the system's monotonic seconds."""
        return time.monotonic()

    def wait(self, event: threading.Event, duration: timedelta) -> bool:
        """Wait for an event or until the duration has passed."""
        return event.wait(duration.total_seconds())


class ManualClock:
    """A clock that is advanced explicitly, for tests and benchmarks."""

    def __init__(self, start: datetime | None = None) -> None:
        self._start = start or MANUAL_START
        self._elapsed = 0.0
        self._wall_jump = timedelta()

    def now(self) -> datetime:
        """Return the wall clock time in UTC, with all jumps applied."""
        return self._start + timedelta(seconds=self._elapsed) + self._wall_jump

    def monotonic(self) -> float:
        """Return the seconds advanced so far."""
        return self._elapsed

    def wait(self, event: threading.Event, duration: timedelta) -> bool:
        """Advance by the duration at once, unless the event is already set."""
        if event.is_set():
            return True
        self.advance(duration)
        return event.is_set()

    def advance(self, duration: timedelta) -> None:
        """Advance wall clock and monotonic time."""
        self._elapsed += duration.total_seconds()

    def jump_wall_clock(self, duration: timedelta) -> None:
        """Shift only the wall clock, as a time correction does."""
        self._wall_jump += duration
