"""Finds that this process was frozen, and keeps old messages from being taken for new.

Messages of peers wait in the socket while an instance is frozen or suspended. Read all
at once afterwards they tell of seconds of work as if it were done in one moment, and
callers within their limits are refused for seconds. Peers tell their state again within
a tenth of a second, so that what waited is dropped.
"""

from collections.abc import Callable

from loguru import logger

# The loop ticks each 0.1 to 0.5 s; a busy core delays that by some tenths.
STALL_SECONDS = 1.0
# Dropping some hundred messages takes less; the next state of each peer comes later.
DROP_SECONDS = 0.25


class StallDetector:
    """Is told of each turn of a loop, and tells whether some are missing."""

    def __init__(
        self, boot_clock: Callable[[], float], on_stall: Callable[[], None]
    ) -> None:
        """Make a watch for a loop that runs.

        :param boot_clock: seconds that also pass while the instance is suspended.
        :param on_stall: told after each stall, before anything else is taken in.
        """
        self._clock = boot_clock
        self._note_stall = on_stall
        self._ticked = boot_clock()
        self._drops_until = float('-inf')

    def tick(self) -> None:
        """Note that the loop runs."""
        self._look()
        self._ticked = self._clock()

    def is_discarding(self) -> bool:
        """Tell whether a message that is read now may have waited for long."""
        self._look()
        return self._clock() < self._drops_until

    def _look(self) -> None:
        now = self._clock()
        missing = now - self._ticked
        if missing <= STALL_SECONDS:
            return
        logger.bind(seconds=round(missing, 2)).warning('stalled')
        self._ticked = now
        self._drops_until = now + DROP_SECONDS
        self._note_stall()
