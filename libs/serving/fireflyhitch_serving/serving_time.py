"""Until when requests are served: each until its deadline, all until the process stops."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from fireflyhitch_model.clock import Clock


class ServingTime:
    """The time limits of the requests that are served."""

    def __init__(self, clock: Clock) -> None:
        """Create a state without requests or a common end."""
        self._clock = clock
        self._end: float | None = None
        self._running: set[asyncio.Timeout] = set()

    @contextmanager
    def track(self, timeout: asyncio.Timeout) -> Iterator[None]:
        """Let the limit of a request that is served end with the common one."""
        self._running.add(timeout)
        self._shorten(timeout)
        try:
            yield
        finally:
            self._running.discard(timeout)

    def end_all_by(self, end: float) -> None:
        """Let all requests end by a monotonic time, also those that come later."""
        self._end = end
        for timeout in tuple(self._running):
            self._shorten(timeout)

    def is_cut(self, deadline: float) -> bool:
        """Tell whether a deadline is later than the common end."""
        return self._end is not None and self._end < deadline

    def _shorten(self, timeout: asyncio.Timeout) -> None:
        if self._end is None:
            return
        left = self._end - self._clock.monotonic()
        end = asyncio.get_running_loop().time() + left
        when = timeout.when()
        if when is not None and when > end:
            timeout.reschedule(end)
