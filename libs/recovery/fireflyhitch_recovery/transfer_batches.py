"""Requests on their way to a peer, in batches."""

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
    """What became of the requests that were to be handed over.

    :param moved: taken by a peer.
    :param left: nobody took them in time; they are still answered here.
    """

    moved: tuple[RequestId, ...]
    left: tuple[RequestId, ...]


@dataclass(slots=True)
class MovedRequest:
    """A request that a peer has, and what it was held as here."""

    tracked: TrackedRequest
    peer: DaemonId


@dataclass(slots=True)
class Batch:
    """What one transfer carries; its size in bytes."""

    requests: list[TrackedRequest] = field(default_factory=list)
    size: int = 0


def pop_batch(pending: deque[TrackedRequest], settings: HandOverSettings) -> Batch:
    """Take the next requests that go into one transfer."""
    batch = Batch()
    while pending and len(batch.requests) < settings.batch_requests:
        size = measure_request(pending[0])
        if batch.requests and batch.size + size > settings.batch_bytes:
            break
        batch.requests.append(pending.popleft())
        batch.size += size
    return batch


def is_active(tracked: TrackedRequest) -> bool:
    """Tell whether a request is still answered."""
    return tracked.finished is None


def is_taken_over(tracked: TrackedRequest, confirmed: Iterable[RequestId]) -> bool:
    """Tell whether a peer has a request."""
    # The peer's word that it has the request may also come before its answer
    # to the confirmation, or in place of it.
    return get_request_id(tracked) in confirmed or tracked.log.state is LogState.MOVED


def get_request_id(tracked: TrackedRequest) -> RequestId:
    """Return a request's id."""
    return tracked.accepted.call.request_id
