"""Limits the time until what is expected next from a caller."""

import asyncio
import math
from collections.abc import Callable

from fireflyhitch_model.clock import Clock
from fireflyhitch_serving.catalog import CallerLimits
from fireflyhitch_serving.request_heads import Reason

# Until a connection from which nothing is read is checked again.
PAUSED_CHECK_SECONDS = 0.5


class InputTimer:
    """The only timer for what one connection receives."""

    def __init__(
        self,
        get_limits: Callable[[], CallerLimits],
        clock: Clock,
        is_reading: Callable[[], bool],
        give_up: Callable[[Reason | None], None],
    ) -> None:
        """Create a timer that does not run.

        :param is_reading: returns whether the connection is read at this moment. If not,
            its caller may have sent what is waited for.
        :param give_up: called at the end of the time, with the reason to refuse the
            request that did not arrive; ``None`` if no request has begun.
        """
        self._get_limits = get_limits
        self._clock = clock
        self._is_reading = is_reading
        self._give_up = give_up
        self._timer: asyncio.TimerHandle | None = None
        self._reason: Reason | None = None
        self._read_at = 0.0
        self._body_deadline = math.inf

    def stop(self) -> None:
        """Stop waiting."""
        self._reason = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def begin_body(self, deadline: float) -> None:
        """Set until when, at most, to wait for the body that begins.

        :param deadline: monotonic time.
        """
        self._body_deadline = deadline

    def await_request(self) -> None:
        """Wait for the next request to begin."""
        self._start(self._get_limits().idle_seconds, None)

    def await_head(self) -> None:
        """Wait for the rest of a head, however its parts arrive."""
        if self._reason is not Reason.HEAD_TIMEOUT:
            self._start(self._get_limits().header_seconds, Reason.HEAD_TIMEOUT)

    def await_body(self) -> None:
        """Wait for the next part of a body."""
        self._read_at = self._clock.monotonic()
        if self._reason is not Reason.BODY_TIMEOUT:
            self._start(self._find_body_seconds(), Reason.BODY_TIMEOUT)

    def _find_body_seconds(self) -> float:
        """Return how much longer to wait for the rest of a body."""
        idle_until = self._read_at + self._get_limits().idle_seconds
        return min(idle_until, self._body_deadline) - self._clock.monotonic()

    def _start(self, seconds: float, reason: Reason | None) -> None:
        self.stop()
        self._reason = reason
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._end, reason)

    def _end(self, reason: Reason | None) -> None:
        self._reason = None
        if reason is not None and not self._is_reading():
            self._start(PAUSED_CHECK_SECONDS, reason)
        elif reason is Reason.BODY_TIMEOUT and self._find_body_seconds() > 0:
            self._start(self._find_body_seconds(), reason)
        else:
            self._give_up(reason)
