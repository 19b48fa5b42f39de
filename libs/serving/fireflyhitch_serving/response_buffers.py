"""Memory for the bodies of responses that are forwarded only when they are whole.

A faulty server may send a body without end. It must use up neither this process's memory
nor what the responses of other servers need.
"""

from types import TracebackType

# Of the process's memory. A body stands in it three times while it is forwarded: as
# it is read, as a whole, and in the caller's write buffer.
MAX_RESPONSE_FRACTION = 0.06
MAX_TOTAL_FRACTION = 0.12
# Responses up to this size are read however much the others use.
SMALL_RESPONSE_BYTES = 65_536


class ResponseBuffers:
    """All bodies that are being read."""

    def __init__(self, memory_bytes: int) -> None:
        """Create buffers, all empty.

        :param memory_bytes: that the process may use in all.
        """
        self.max_response = int(memory_bytes * MAX_RESPONSE_FRACTION)
        self.max_total = int(memory_bytes * MAX_TOTAL_FRACTION)
        self.used = 0

    def open(self) -> 'ResponseBuffer':
        """Return the buffer of one more response."""
        return ResponseBuffer(self)


class ResponseBuffer:
    """The body of one response; its memory is released at the end of the context."""

    def __init__(self, buffers: ResponseBuffers) -> None:
        """Create an empty buffer."""
        self._buffers = buffers
        self._body = bytearray()

    def __enter__(self) -> 'ResponseBuffer':
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._buffers.used -= len(self._body)

    def add(self, part: bytes) -> bool:
        """Append a part of the body; return whether there was room for it."""
        size = len(self._body) + len(part)
        used = self._buffers.used + len(part)
        if size > self._buffers.max_response:
            return False
        if size > SMALL_RESPONSE_BYTES and used > self._buffers.max_total:
            return False
        self._body += part
        self._buffers.used = used
        return True

    def join(self) -> bytes:
        """Return the body so far."""
        return bytes(self._body)
