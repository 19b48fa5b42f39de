"""The clock as an interface, so that no decision reads the time by itself."""

import threading
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

MANUAL_START = datetime.fromisoformat('2026-01-01T00:00:00+00:00')


class Clock(Protocol):
    """Wall time for people and dates; monotonic time for every duration."""

    def now(self) -> datetime:
        """Return the wall time, in UTC; it may jump."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; it never goes back."""

    def wait(self, event: threading.Event, duration: timedelta) -> bool:
        """Wait for an event or until the duration has passed.

        :returns: whether the event was set.
        """


class SystemClock:
    """The operating system's clock."""

    def now(self) -> datetime:
        """Return the wall time, in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return the system's monotonic seconds."""
        return time.monotonic()

    def wait(self, event: threading.Event, duration: timedelta) -> bool:
        """Wait for an event or until the duration has passed."""
        return event.wait(duration.total_seconds())


class ManualClock:
    """A clock that moves only when told to, for tests and benchmarks."""

    def __init__(self, start: datetime | None = None) -> None:
        self._start = start or MANUAL_START
        self._elapsed = 0.0
        self._wall_jump = timedelta()

    def now(self) -> datetime:
        """Return the wall time, in UTC, with any jump applied."""
        return self._start + timedelta(seconds=self._elapsed) + self._wall_jump

    def monotonic(self) -> float:
        """Return the seconds advanced so far."""
        return self._elapsed

    def wait(self, event: threading.Event, duration: timedelta) -> bool:
        """Let the duration pass at once unless the event is set already."""
        if event.is_set():
            return True
        self.advance(duration)
        return event.is_set()

    def advance(self, duration: timedelta) -> None:
        """Move both clocks forward."""
        self._elapsed += duration.total_seconds()

    def jump_wall(self, duration: timedelta) -> None:
        """Move the wall clock alone, as a time correction does."""
        self._wall_jump += duration
