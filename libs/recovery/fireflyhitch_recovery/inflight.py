"""Requests that this daemon answers, and its recently finished answers."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from threading import Lock

from cachetools import TTLCache

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.ids import CustomerId, DaemonId, RequestId
from fireflyhitch_model.invariants import Invariant, invariant
from fireflyhitch_model.states import Step
from fireflyhitch_recovery.answers import (
    EMPTY_COPY,
    AnswerCopy,
    AnswerEnd,
    AnswerLog,
)
from fireflyhitch_recovery.requests import AcceptedRequest, TrackedRequest

EVENT_OVERHEAD_BYTES = 48
REQUEST_OVERHEAD_BYTES = 2048
MAX_FINISHED_BYTES = 33554432
RETENTION = timedelta(minutes=2)
TAG_DIGITS = 8
TAG_MASK = 0xFFFFFFFF


def make_daemon_tag(daemon: DaemonId) -> str:
    """Return the hash that identifies a daemon in request ids."""
    return f'{hash_text(daemon) & TAG_MASK:0{TAG_DIGITS}x}'


def make_request_id(daemon: DaemonId) -> RequestId:
    """Return a new request id that contains the tag of the accepting daemon.

    A request that was never handed over is thus found without a directory.
    """
    return RequestId(f'{make_daemon_tag(daemon)}-{uuid.uuid4().hex}')


@dataclass(frozen=True, slots=True)
class Retention:
    """Maximum age and maximum total size of stored finished answers."""

    duration: timedelta = RETENTION
    max_bytes: int = MAX_FINISHED_BYTES


DEFAULT_RETENTION = Retention()


class InFlight:
    """In-flight requests, and finished ones for callers that reconnect.

    Safe to call from any thread. No method is called per event.
    """

    def __init__(
        self,
        daemon: DaemonId,
        clock: Clock,
        retention: Retention = DEFAULT_RETENTION,
    ) -> None:
        self._daemon = daemon
        self._lock = Lock()
        self._active: dict[RequestId, TrackedRequest] = {}
        self._observers: list[Callable[[RequestId], None]] = []
        self._finished: TTLCache[RequestId, TrackedRequest] = TTLCache(
            retention.max_bytes,
            retention.duration.total_seconds(),
            clock.monotonic,
            measure_request,
        )

    def register(
        self,
        accepted: AcceptedRequest,
        copy: AnswerCopy = EMPTY_COPY,
        generation: int = 0,
    ) -> TrackedRequest:
        """Add a request that this daemon answers from now on.

        :param copy: the partial answer, if another daemon had the request before.
        :raises InvariantError: if it is registered here with the same or a
            higher generation.
        """
        request_id = accepted.call.request_id
        tracked = TrackedRequest(
            accepted, AnswerLog(self._daemon, copy), generation=generation
        )
        with self._lock:
            previous = self._active.get(request_id)
            newer = previous is None or previous.generation < generation
            if newer:
                self._active[request_id] = tracked
        invariant(newer, Invariant.ANSWER_OWNER, request_id, step=Step.ADMIT)
        if previous is not None:
            previous.log.move()
        return tracked

    def find(self, request_id: RequestId) -> TrackedRequest | None:
        """Return an in-flight or recently finished request."""
        with self._lock:
            active = self._active.get(request_id)
            return active or self._finished.get(request_id)

    def find_for_customer(
        self, request_id: RequestId, customer: CustomerId
    ) -> TrackedRequest | None:
        """Return a request to its own customer, and ``None`` to any other."""
        tracked = self.find(request_id)
        if tracked is None or tracked.accepted.call.customer != customer:
            return None
        return tracked

    def finish(self, tracked: TrackedRequest, end: AnswerEnd) -> None:
        """Mark a request as finished after its last event and store its answer."""
        request_id = tracked.accepted.call.request_id
        tracked.finished = end
        if tracked.log.end is None:
            tracked.log.current().finish(end)
        with self._lock:
            if self._active.get(request_id) is not tracked:
                return
            self._active.pop(request_id)
            self._retain(request_id, tracked)
        self._notify(request_id)

    def leave(self, tracked: TrackedRequest) -> None:
        """Remove a request that another daemon has taken over; its readers move."""
        request_id = tracked.accepted.call.request_id
        tracked.log.move()
        with self._lock:
            # The request may have finished here during its hand-over.
            for store in (self._active, self._finished):
                if store.get(request_id) is tracked:
                    store.pop(request_id)
        self._notify(request_id)

    def list(self) -> tuple[TrackedRequest, ...]:
        """Return the in-flight requests."""
        with self._lock:
            return tuple(self._active.values())

    def observe(self, observer: Callable[[RequestId], None]) -> None:
        """Call an observer with the id of each request that finishes or is removed."""
        self._observers.append(observer)

    def _retain(self, request_id: RequestId, tracked: TrackedRequest) -> None:
        if measure_request(tracked) <= self._finished.maxsize:
            self._finished[request_id] = tracked

    def _notify(self, request_id: RequestId) -> None:
        for observer in self._observers:
            observer(request_id)


def measure_request(tracked: TrackedRequest) -> int:
    """Return the approximate memory of a request in bytes."""
    events = tracked.log.read_after(0).events
    answer = sum(map(len, events)) + EVENT_OVERHEAD_BYTES * len(events)
    return REQUEST_OVERHEAD_BYTES + len(tracked.accepted.body) + answer
