"""Whether the store answers this daemon, and what a break means for what it lacks."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import PlatformError

# Living servers are back in the list within 2 s of the store's return.
RETURN_SECONDS = 2.3
# Shorter breaks lose no lease: the shortest are three heartbeats, some 3 s.
LEAST_BREAK_SECONDS = 0.6
# An answer tells of the store for so long; those who follow it ask more often.
RECENT_SECONDS = 2.0

Answer = TypeVar('Answer')


class StoreHealth:
    """Whether the store answers this daemon, by all of its calls.

    A watch that waits may tell what was lost in an outage before anything else shows
    that there was one; the probes of those who watch show it sooner. Most daemons ask
    the store for nothing while others tell them all, and know nothing of it by
    themselves.
    """

    def __init__(self, clock: Clock) -> None:
        """Make a store that answers."""
        self._clock = clock
        self._failing_since: float | None = None
        self._returned_at = float('-inf')
        self._first_answer_at: float | None = None
        self._answered_at = float('-inf')
        self._on_return: list[Callable[[], None]] = []
        # Whether some peer that is heard now vouches that the store was not away.
        self.others_settled: Callable[[], bool] = bool

    def tell_return(self, tell: Callable[[], None]) -> None:
        """Have someone told each time that the store is back after an outage."""
        self._on_return.append(tell)

    def record_failure(self, error: PlatformError) -> None:
        """Note a call without an answer, or one that was refused."""
        if self._failing_since is None:
            self._failing_since = self._clock.monotonic()
            logger.bind(error=str(error), step=error.step.value).warning('store lost')

    def record_response(self) -> None:
        """Note a call that was answered."""
        since = self._failing_since
        self._failing_since = None
        now = self._clock.monotonic()
        self._answered_at = now
        if self._first_answer_at is None:
            self._first_answer_at = now
        if since is None:
            return
        logger.bind(seconds=round(now - since, 2)).info('store regained')
        if now - since >= LEAST_BREAK_SECONDS:
            self._returned_at = now
            for tell in self._on_return:
                tell()

    async def track(self, call: Awaitable[Answer]) -> Answer:
        """Make a call, and note that the store has answered."""
        answer = await call
        self.record_response()
        return answer

    @property
    def answers(self) -> bool:
        """Tell whether the store's last answer was one."""
        return self._failing_since is None

    def is_settled(self) -> bool:
        """Tell whether what the store lacks now is gone for good.

        A break that this daemon had alone, by a cut or as the store turned it away, let
        no entry of a living server lapse: peers that heard the store all the while
        tell it. Holding such entries all the same gives a server that left without
        notice requests for longer than is allowed.

        While it does not hear the store, or asks it for nothing, its peers' word alone
        counts.
        """
        if self._hears_now() and self._has_lasted(self._returned_at):
            return True
        return self.others_settled()

    def vouches(self) -> bool:
        """Tell whether this daemon has heard the store without a break for a while.

        A process that has just started cannot tell whether there was one before it.
        """
        if not self._hears_now() or self._first_answer_at is None:
            return False
        return self._has_lasted(max(self._returned_at, self._first_answer_at))

    def _hears_now(self) -> bool:
        if self._failing_since is not None:
            return False
        return self._clock.monotonic() - self._answered_at <= RECENT_SECONDS

    def _has_lasted(self, since: float) -> bool:
        return self._clock.monotonic() - since >= RETURN_SECONDS
