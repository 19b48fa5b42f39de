"""Batches of requests for transfer to a peer."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from fireflyhitch_model.ids import DaemonId, RequestId
from fireflyhitch_recovery.answers import LogState
from fireflyhitch_recovery.inflight import measure_request
from fireflyhitch_recovery.requests import TrackedRequest
from fireflyhitch_recovery.settings import HandOverSettings


@dataclass(frozen=True, slots=True)
class HandOverReport:
    """Result of a hand-over.

    :param moved: requests that a peer has taken over.
    :param left: requests that no peer took over in time; they are still answered
        here.
    """

    moved: tuple[RequestId, ...]
    left: tuple[RequestId, ...]


@dataclass(slots=True)
class MovedRequest:
    """A request that a peer has taken over, with its state at the hand-over."""

    tracked: TrackedRequest
    peer: DaemonId


@dataclass(slots=True)
class Batch:
    """The requests of one transfer and their size in bytes."""

    requests: list[TrackedRequest] = field(default_factory=list)
    size: int = 0


def pop_batch(pending: deque[TrackedRequest], settings: HandOverSettings) -> Batch:
    """Remove and return the next requests that fit into one transfer."""
    batch = Batch()
    while pending and len(batch.requests) < settings.batch_requests:
        size = measure_request(pending[0])
        if batch.requests and batch.size + size > settings.batch_bytes:
            break
        batch.requests.append(pending.popleft())
        batch.size += size
    return batch


def is_active(tracked: TrackedRequest) -> bool:
    """Return whether a request has not finished."""
    return tracked.finished is None


def is_taken_over(tracked: TrackedRequest, confirmed: Iterable[RequestId]) -> bool:
    """Return whether a peer has taken a request over."""
    # The peer's location update may arrive before its reply to the confirmation,
    # or the reply may be lost.
    return get_request_id(tracked) in confirmed or tracked.log.state is LogState.MOVED


def get_request_id(tracked: TrackedRequest) -> RequestId:
    """Return the id of a request."""
    return tracked.accepted.call.request_id
