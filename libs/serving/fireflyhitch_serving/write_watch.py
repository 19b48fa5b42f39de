"""Gives up callers that read nothing of what was sent to them.

The kernel of such a caller still acknowledges probes, so its connection never ends by
itself, not even once it is closed here.
"""

import asyncio
from collections.abc import Callable


class WriteWatch:
    """Watches whether the write buffer of one connection shrinks."""

    def __init__(
        self,
        get_size: Callable[[], int],
        get_seconds: Callable[[], float],
        give_up: Callable[[], None],
    ) -> None:
        """Create a watch that has not started.

        :param get_size: returns the bytes that were not sent.
        :param get_seconds: returns the seconds within which some have to be.
        :param give_up: called once if none were.
        """
        self._get_size = get_size
        self._get_seconds = get_seconds
        self._give_up = give_up
        self._last_size = 0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to watch until the buffer is empty."""
        if self._timer is None and self._get_size():
            self._schedule()

    def stop(self) -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self) -> None:
        self._last_size = self._get_size()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._get_seconds(), self._check)

    def _check(self) -> None:
        self._timer = None
        size = self._get_size()
        if size and size >= self._last_size:
            self._give_up()
        elif size:
            self._schedule()
