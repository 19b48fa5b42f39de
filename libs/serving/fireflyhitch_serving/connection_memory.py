"""What one caller's connection holds, and for how long its caller lets it be held."""

import asyncio

from fireflyhitch_model.clock import Clock
from fireflyhitch_serving.caller_memory import CallerMemory, Holder
from fireflyhitch_serving.connections import MAX_UNREAD_BYTES
from fireflyhitch_serving.eviction import ConnectionId, Holding
from fireflyhitch_serving.request_queue import RequestQueue
from fireflyhitch_serving.request_reader import RequestReader
from fireflyhitch_serving.sockets import (
    LARGE_RECEIVE_BUFFER,
    SMALL_RECEIVE_BUFFER,
    set_receive_buffer,
)

# The reader and the transport of a connection.
CONNECTION_BYTES = 12_000
# Most that the kernel keeps unread of a connection, as a multiple of its buffer's size.
UNREAD_FACTOR = 1.5


class ConnectionMemory:
    """The share of one connection in what all of them hold.

    :ivar unread_since: monotonic time since which its caller takes too little of what is
        sent to it; ``None`` if it takes enough.
    :ivar has_served: whether a request of it has been served.
    :ivar refused: whether the connection only waits to be closed.
    """

    def __init__(
        self,
        memory: CallerMemory,
        clock: Clock,
        reader: RequestReader,
        queue: RequestQueue,
    ) -> None:
        """Create the share of a connection that is not open yet."""
        self.unread_since: float | None = None
        self.has_served = False
        self.refused = False
        self._memory = memory
        self._clock = clock
        self._reader = reader
        self._queue = queue
        self._transport: asyncio.Transport | None = None
        self._id: ConnectionId | None = None
        self._waits_since = clock.monotonic()
        self._receive_buffer = SMALL_RECEIVE_BUFFER

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of responses that were not sent yet."""
        transport = self._transport
        return 0 if transport is None else transport.get_write_buffer_size()

    @property
    def held_bytes(self) -> int:
        """Return what the connection holds in all.

        Behind a response that its caller does not read, more of it waits to be read from
        the server.
        """
        held_bytes = (
            CONNECTION_BYTES
            + int(self._receive_buffer * UNREAD_FACTOR)
            + self._reader.held_bytes
            + self._queue.held_bytes
            + self.unsent_bytes
        )
        return (
            held_bytes if self.unread_since is None else held_bytes + MAX_UNREAD_BYTES
        )

    def open(self, transport: asyncio.Transport, holder: Holder) -> None:
        """Add the connection to those of all callers."""
        self._transport = transport
        self._id = self._memory.add(holder, self.held_bytes)

    def close(self) -> None:
        """Release everything."""
        if self._id is not None:
            self._memory.remove(self._id)
            self._id = None

    def record(self) -> None:
        """Record what is held now; others may be given up for it."""
        if self._id is not None:
            self._memory.update(self._id, self.held_bytes)

    def reserve(self, held_bytes: int) -> bool:
        """Return whether there is room for a request that is about to be served.

        :param held_bytes: what it holds besides.
        """
        if self._id is None:
            return False
        return self._memory.reserve(self._id, self.held_bytes + held_bytes)

    def begin_wait(self) -> None:
        """Note that from now on the daemon waits for the caller to send something."""
        self._waits_since = self._clock.monotonic()

    def begin_unread(self) -> None:
        """Note that from now on the caller takes too little."""
        self.unread_since = self._clock.monotonic()
        self.record()

    def end_unread(self) -> None:
        """Note that the caller has taken most of what was sent to it."""
        self.unread_since = None
        self.record()

    def set_large(self, *, large: bool) -> None:
        """Choose the size of the kernel's buffer by the body that is received."""
        size = LARGE_RECEIVE_BUFFER if large else SMALL_RECEIVE_BUFFER
        if self._transport is not None and size != self._receive_buffer:
            self._receive_buffer = size
            set_receive_buffer(self._transport, size)

    def describe(
        self, connection: ConnectionId, held_bytes: int, *, waits: bool
    ) -> Holding:
        """Return what the connection holds.

        :param waits: whether the daemon waits for its caller.
        """
        since = self._waits_since if self.unread_since is None else self.unread_since
        waited = self._clock.monotonic() - since if waits else 0
        return Holding(connection, held_bytes, waited, self.has_served, self.refused)
