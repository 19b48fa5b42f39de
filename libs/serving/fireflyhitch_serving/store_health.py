"""Tracks whether the store answers, and whether keys it lacks are gone for good."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import PlatformError

# Live servers are listed again within 2 s of the store's return.
SETTLE_SECONDS = 2.3
# Shorter outages expire no lease: the shortest lease lasts three heartbeats, some 3 s.
MIN_OUTAGE_SECONDS = 0.6
# An answer proves the store reachable for this long; daemons that follow it call more
# often.
RECENT_SECONDS = 2.0

Answer = TypeVar('Answer')


class StoreHealth:
    """Whether the store answers this daemon, by all of its calls.

    An open watch may return what was lost in an outage before any other call shows that
    there was one; the probes of the watchers show it sooner. Most daemons do not call
    the store while peers send them all changes, so they depend on the peers' reports.
    """

    def __init__(self, clock: Clock) -> None:
        """Create the health of a store that answers."""
        self._clock = clock
        self._failing_since: float | None = None
        self._returned_at = float('-inf')
        self._first_answer_at: float | None = None
        self._answered_at = float('-inf')
        self._on_return: list[Callable[[], None]] = []
        # Returns whether a responsive peer reports that the store was not interrupted.
        self.is_settled_for_peers: Callable[[], bool] = bool

    def add_return_callback(self, callback: Callable[[], None]) -> None:
        """Add a callback for each return of the store after an outage."""
        self._on_return.append(callback)

    def record_failure(self, error: PlatformError) -> None:
        """Record a call that was refused or got no answer."""
        if self._failing_since is None:
            self._failing_since = self._clock.monotonic()
            logger.bind(error=str(error), step=error.step.value).warning('store lost')

    def record_success(self) -> None:
        """Record a call that was answered."""
        since = self._failing_since
        self._failing_since = None
        now = self._clock.monotonic()
        self._answered_at = now
        if self._first_answer_at is None:
            self._first_answer_at = now
        if since is None:
            return
        logger.bind(seconds=round(now - since, 2)).info('store regained')
        if now - since >= MIN_OUTAGE_SECONDS:
            self._record_return()

    def record_restore(self) -> None:
        """Record that the store came back from an older copy.

        It lacks keys that live servers write again, as after an outage.
        """
        self._record_return()

    def _record_return(self) -> None:
        self._returned_at = self._clock.monotonic()
        for callback in self._on_return:
            callback()

    async def track(self, call: Awaitable[Answer]) -> Answer:
        """Await a store call, and record that it was answered."""
        answer = await call
        self.record_success()
        return answer

    @property
    def answers(self) -> bool:
        """Return whether the store answered the last call."""
        return self._failing_since is None

    def is_settled(self) -> bool:
        """Return whether keys that the store lacks now are gone for good.

        If only this daemon lost the store, by a network cut or because the store
        refused it, no entry of a live server expired: peers that reached the store
        throughout report this. Keeping missing entries nevertheless would send requests
        to a server that left without notice for longer than is allowed.

        While this daemon cannot reach the store or does not call it, only the peers'
        reports count.
        """
        if self.is_reachable() and self._has_settled_since(self._returned_at):
            return True
        return self.is_settled_for_peers()

    def is_stable(self) -> bool:
        """Return whether this daemon has reached the store without recent interruption.

        A process that has just started cannot know of an interruption before its start.
        """
        if not self.is_reachable() or self._first_answer_at is None:
            return False
        return self._has_settled_since(max(self._returned_at, self._first_answer_at))

    def is_reachable(self) -> bool:
        """Return whether the store has answered this daemon a moment ago."""
        if self._failing_since is not None:
            return False
        return self._clock.monotonic() - self._answered_at <= RECENT_SECONDS

    def _has_settled_since(self, since: float) -> bool:
        return self._clock.monotonic() - since >= SETTLE_SECONDS
