"""An event loop whose time passes at once, so that seconds of daemons play quickly."""

import asyncio
import selectors
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from threading import Event
from typing import Any


class _Selector(selectors.DefaultSelector):  # type: ignore[valid-type,misc]
    """Waits by moving the loop's time on."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Pass the time that nothing is due in."""
        if timeout is None:
            raise RuntimeError('all tasks wait for something that never comes')
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting for them."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the seconds that have passed."""
        return self._virtual.now


class LoopClock:
    """The running loop's time as a clock."""

    def now(self) -> datetime:
        """Return the wall time."""
        return datetime.fromtimestamp(self.monotonic(), UTC)

    def monotonic(self) -> float:
        """Return the loop's seconds."""
        return asyncio.get_running_loop().time()

    def wait(self, event: Event, duration: timedelta) -> bool:
        """Refuse: a loop must not block."""
        raise NotImplementedError


def run_virtual(script: Coroutine[Any, Any, None]) -> None:
    """Run a script to its end in virtual time, and end what it started."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(script)
