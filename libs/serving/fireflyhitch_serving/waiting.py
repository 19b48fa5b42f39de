"""Requests that wait for a place at a server, for its rate limit or for its rest."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from functools import partial

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import DeploymentId
from fireflyhitch_routing.request_queue import (
    RequestQueue,
    StartRate,
    WaitingRequest,
    find_late_starts,
    starts_too_late,
)
from fireflyhitch_serving.admission import RefusedError
from fireflyhitch_serving.forwarding import Peer
from fireflyhitch_serving.placement import Placement

# Waiting requests are tried again after this, whatever happens: reports from peers and
# servers lose their effect with time, and ejections end.
RECHECK_SECONDS = 0.1
# Times of the next permit are rounded up by this, so that it has been issued.
TIMER_MARGIN_SECONDS = 0.001
# Expected waits are computed again after this.
REVIEW_SECONDS = 0.05

Destination = Placement | Peer


class WaitEnd(Enum):
    """Why a request waits no longer, although it has got no place."""

    EXPIRED = 'expired'
    TOO_LATE = 'expected too late'
    QUEUE_FULL = 'queue full'


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits, and what is done when it is its turn.

    :param place: chooses a target for it; ``None`` if there is no place.
    :param find_rate: returns how fast such requests start, ``None`` if unknown.
    :param log_queued: logs its place and its expected wait when it begins to wait.
    :param expected: seconds of waiting expected then, ``None`` if unknown.
    """

    request: WaitingRequest
    place: Callable[[], Destination | None]
    find_rate: Callable[[], StartRate | None]
    log_queued: Callable[[int, float | None], None]
    expected: float | None = None
    result: 'asyncio.Future[Destination | WaitEnd] | None' = None

    def end(self, result: Destination | WaitEnd) -> None:
        """Resume its task with a result."""
        if self.result is not None and not self.result.done():
            self.result.set_result(result)

    def fail(self, error: RefusedError) -> None:
        """Resume its task with an error."""
        if self.result is not None and not self.result.done():
            self.result.set_exception(error)


@dataclass(slots=True)
class _Rates:
    """The start rates known since some time, by need and urgency."""

    at: float = float('-inf')
    known: dict[object, StartRate | None] = field(default_factory=dict)


@dataclass(slots=True)
class _ServiceQueue:
    queue: RequestQueue = field(default_factory=RequestQueue)
    waiters: dict[WaitingRequest, Waiter] = field(default_factory=dict)
    rates: _Rates = field(default_factory=_Rates)
    reviewed_at: float = float('-inf')
    is_scheduled: bool = False
    timer: asyncio.TimerHandle | None = None

    def find_rate(self, request: WaitingRequest, now: float) -> StartRate | None:
        """Return how fast requests like one of the waiting ones start."""
        if now - self.rates.at > REVIEW_SECONDS:
            self.rates = _Rates(now)
        key = (request.need, request.urgency)
        known = self.rates.known
        if key not in known:
            known[key] = self.waiters[request].find_rate()
        return known[key]

    def cancel_timer(self) -> None:
        """Cancel the timer, if there is one."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class WaitingRequests:
    """The waiting requests of each service, all on one event loop.

    They are tried in order, one at a time: the next one only after the task of the one
    before has sent its request, so that its place counts as taken.
    """

    def __init__(
        self, clock: Clock, find_next_change: Callable[[DeploymentId], float]
    ) -> None:
        """Create a state without waiting requests.

        :param find_next_change: returns the seconds until a service's servers may take
            requests again by their rate limits and rests.
        """
        self._clock = clock
        self._find_next_change = find_next_change
        self._services: dict[DeploymentId, _ServiceQueue] = {}

    def count(self, service: DeploymentId) -> int:
        """Return how many requests wait for servers of a service."""
        state = self._services.get(service)
        return 0 if state is None else len(state.queue)

    def count_by_urgency(self, service: DeploymentId) -> Counter[int]:
        """Return how many requests of each urgency wait for servers of a service."""
        state = self._services.get(service)
        waiters = () if state is None else state.waiters
        return Counter(request.urgency for request in waiters)

    def wake(self, service: DeploymentId) -> None:
        """Try the requests that wait for a service soon."""
        state = self._services.get(service)
        if state is None or state.is_scheduled:
            return
        state.is_scheduled = True
        asyncio.get_running_loop().call_soon(self._run, service, state)

    def wake_all(self) -> None:
        """Try all waiting requests soon."""
        for service in self._services:
            self.wake(service)

    async def wait(
        self, service: DeploymentId, waiter: Waiter
    ) -> Destination | WaitEnd:
        """Wait for a place.

        :raises RefusedError: if the request is refused when it is tried.
        """
        now = self._clock.monotonic()
        state = self._services.setdefault(service, _ServiceQueue())
        waiter.result = asyncio.get_running_loop().create_future()
        is_tried = not len(state.queue)
        request = waiter.request
        state.waiters[request] = waiter
        try:
            turned_away = state.queue.add(request, now)
            if turned_away is not None:
                state.waiters[turned_away].end(WaitEnd.QUEUE_FULL)
            if turned_away is request:
                return WaitEnd.QUEUE_FULL
            if self._starts_too_late(state, waiter, now, is_tried=is_tried):
                return WaitEnd.TOO_LATE
            self.wake(service)
            return await waiter.result
        finally:
            self._leave(service, state, request)

    def _leave(
        self, service: DeploymentId, state: _ServiceQueue, request: WaitingRequest
    ) -> None:
        state.queue.remove(request)
        state.waiters.pop(request)
        self._close_if_empty(service, state)

    def _starts_too_late(
        self, state: _ServiceQueue, waiter: Waiter, now: float, *, is_tried: bool
    ) -> bool:
        """Set a new request's expected wait; tell whether it is too long.

        The first one with its need may find a place, unless that has been tried.
        """
        rate = state.find_rate(waiter.request, now)
        place = state.queue.count_before(waiter.request)
        waiter.expected = None if rate is None else rate.estimate_wait(place)
        waiter.log_queued(place, waiter.expected)
        is_blocked = is_tried or place > 0
        return is_blocked and starts_too_late(waiter.request, place, rate, now)

    def _run(self, service: DeploymentId, state: _ServiceQueue) -> None:
        """Start the first request that can start, and end those that never will."""
        state.is_scheduled = False
        now = self._clock.monotonic()
        for request in state.queue.advance(now):
            state.waiters[request].end(WaitEnd.EXPIRED)
        if state.queue.start_next(partial(_try_start, state)):
            self.wake(service)
        elif now - state.reviewed_at > REVIEW_SECONDS:
            self._review(state, now)
        self._close_if_empty(service, state)
        self._set_timer(service, state, now)

    def _review(self, state: _ServiceQueue, now: float) -> None:
        state.reviewed_at = now
        for request in find_late_starts(
            state.queue.list_in_order(),
            partial(state.find_rate, now=now),
            now,
        ):
            state.queue.remove(request)
            state.waiters[request].end(WaitEnd.TOO_LATE)

    def _set_timer(
        self, service: DeploymentId, state: _ServiceQueue, now: float
    ) -> None:
        state.cancel_timer()
        if not len(state.queue):
            return
        seconds = min(
            RECHECK_SECONDS,
            state.queue.find_next_expiry() - now,
            self._find_next_change(service),
        )
        state.timer = asyncio.get_running_loop().call_later(
            max(seconds, 0) + TIMER_MARGIN_SECONDS, self.wake, service
        )

    def _close_if_empty(self, service: DeploymentId, state: _ServiceQueue) -> None:
        if not state.waiters and self._services.get(service) is state:
            state.cancel_timer()
            self._services.pop(service)


def _try_start(state: _ServiceQueue, request: WaitingRequest) -> bool:
    """Try a request; return whether it waits no longer."""
    waiter = state.waiters[request]
    try:
        target = waiter.place()
    except RefusedError as error:
        waiter.fail(error)
        return True
    if target is None:
        return False
    waiter.end(target)
    return True
