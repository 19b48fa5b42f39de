"""Shares the time for reading callers' bytes among their connections.

The event loop reads from each connection that has bytes, so that many callers that send
without a pause, or send what takes long to read, would make every other caller wait for
all of them. Once a pass of the loop has taken its time, what has arrived waits here, and
connections that took little time lately come first.
"""

import asyncio
import heapq
import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from itertools import count

from fireflyhitch_model.clock import Clock

# For reading in one pass of the loop.
PASS_SECONDS = 0.005
# Time taken counts half as much after so long.
HALF_LIFE_SECONDS = 1.0
# Of connections whose times differ by less, the last to arrive is read first: its caller
# is the most likely to wait still.
RANK_SECONDS = 0.001
# Expected time for reading a line of what has arrived. Fields and chunks have lines, a
# body in one piece has next to none.
SECONDS_PER_LINE = 1e-6

Resume = Callable[[], None]


class WorkMeter:
    """How much time reading has taken for one connection lately."""

    def __init__(self) -> None:
        """Create a meter at zero."""
        self._seconds = 0.0
        self._updated = 0.0

    def add(self, seconds: float, now: float) -> None:
        """Add time taken."""
        self._seconds = self.get_seconds(now) + seconds
        self._updated = now

    def get_seconds(self, now: float) -> float:
        """Return the time taken, where less counts of what is past."""
        half_lives = (now - self._updated) / HALF_LIFE_SECONDS
        return self._seconds * math.exp2(-half_lives)


class ReadTurns:
    """The connections of a process that wait until their bytes are read."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty queue."""
        self._clock = clock
        self._waiting: list[tuple[int, int, Resume]] = []
        self._numbers = count()
        self._spent = 0.0
        self._scheduled = False

    def may_read(self) -> bool:
        """Tell whether a connection may be read at once."""
        return not self._waiting and self._spent < PASS_SECONDS

    def wait(self, meter: WorkMeter, lines: int, resume: Resume) -> None:
        """Queue a connection that may not be read yet.

        :param lines: number of lines that wait to be read.
        :param resume: called when it is the connection's turn.
        """
        seconds = meter.get_seconds(self._clock.monotonic()) + lines * SECONDS_PER_LINE
        rank = int(seconds / RANK_SECONDS)
        heapq.heappush(self._waiting, (rank, -next(self._numbers), resume))
        self._schedule()

    @contextmanager
    def measure(self, meter: WorkMeter) -> Iterator[None]:
        """Count the time of a block as time taken for a connection."""
        self._schedule()
        started = self._clock.monotonic()
        try:
            yield
        finally:
            self._record(meter, started)

    def _record(self, meter: WorkMeter, started: float) -> None:
        now = self._clock.monotonic()
        self._spent += now - started
        meter.add(now - started, now)

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_pass)

    def _begin_pass(self) -> None:
        self._scheduled = False
        self._spent = 0.0
        while self._waiting and self._spent < PASS_SECONDS:
            heapq.heappop(self._waiting)[-1]()
        if self._waiting:
            self._schedule()
