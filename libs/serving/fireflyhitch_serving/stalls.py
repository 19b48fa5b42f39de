"""Detects that this process was frozen, and discards the messages that queued up.

Peers' messages wait in the socket while an instance is frozen or suspended. Read all at
once afterwards, they report seconds of work as if it happened in one moment, and
customers within their limits are refused for seconds. Peers send their state again
within a tenth of a second, so the queued messages are dropped.
"""

from collections.abc import Callable

from loguru import logger

# The loop ticks every 0.1 to 0.5 s; a busy core delays that by some tenths of a second.
STALL_SECONDS = 1.0
# Time after a stall in which messages are dropped. Dropping some hundred queued ones
# takes less, and each peer's next state arrives later.
DROP_SECONDS = 0.25


class StallDetector:
    """Detects missing iterations of a loop."""

    def __init__(
        self, boot_clock: Callable[[], float], on_stall: Callable[[], None]
    ) -> None:
        """Create a detector for a running loop.

        :param boot_clock: seconds that also pass while the instance is suspended.
        :param on_stall: called after each stall, before any message is processed.
        """
        self._clock = boot_clock
        self._on_stall = on_stall
        self._last_tick = boot_clock()
        self._discard_until = float('-inf')

    def tick(self) -> None:
        """Record an iteration of the loop."""
        self._check()
        self._last_tick = self._clock()

    def is_discarding(self) -> bool:
        """Return whether a message read now may have been queued during a stall."""
        self._check()
        return self._clock() < self._discard_until

    def _check(self) -> None:
        now = self._clock()
        elapsed = now - self._last_tick
        if elapsed <= STALL_SECONDS:
            return
        logger.bind(seconds=round(elapsed, 2)).warning('stalled')
        self._last_tick = now
        self._discard_until = now + DROP_SECONDS
        self._on_stall()
