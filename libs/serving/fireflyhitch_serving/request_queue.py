"""Requests that a caller has sent ahead, before earlier ones had their responses."""

from collections import deque

from fireflyhitch_model.records import immutable
from fireflyhitch_serving.messages import CallerRequest

# While so many or so large ones wait, nothing is read from their connection.
MAX_PIPELINED = 8
MAX_PIPELINED_BYTES = 65_536


@immutable
class QueuedRequest:
    """A request that waits for those before it.

    :param keep_alive: whether its caller keeps its connection.
    :param held_bytes: memory that it uses.
    """

    request: CallerRequest
    keep_alive: bool
    held_bytes: int


class RequestQueue:
    """The requests of one connection that wait, and what is served of them."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._waiting: deque[QueuedRequest] = deque()
        self._waiting_bytes = 0
        self._served_bytes = 0

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def held_bytes(self) -> int:
        """Return the memory of the requests that wait, and of the one that is served."""
        return self._waiting_bytes + self._served_bytes

    @property
    def room(self) -> int:
        """Return how many more requests may wait."""
        return MAX_PIPELINED - len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Tell whether no more is to be read for now."""
        return self.room <= 0 or self._waiting_bytes > MAX_PIPELINED_BYTES

    def append(self, queued: QueuedRequest) -> None:
        """Queue a request."""
        self._waiting.append(queued)
        self._waiting_bytes += queued.held_bytes

    def begin_next(self) -> QueuedRequest:
        """Return the next request, which is served from now on."""
        queued = self._waiting.popleft()
        self._waiting_bytes -= queued.held_bytes
        self._served_bytes = queued.held_bytes
        return queued

    def end_current(self) -> None:
        """End the request that was served."""
        self._served_bytes = 0

    def clear(self) -> None:
        """Drop the requests that wait."""
        self._waiting.clear()
        self._waiting_bytes = 0
