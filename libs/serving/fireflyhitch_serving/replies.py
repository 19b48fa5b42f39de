"""Responses to callers, written to their connections."""

from typing import Protocol

from fireflyhitch_serving.messages import (
    Header,
    Headers,
    render_head,
    render_response,
)

CHUNK_END = b'0\r\n\r\n'


class ReplyConnection(Protocol):
    """The connection of the caller that gets a response."""

    @property
    def closing(self) -> bool:
        """Tell whether responses ask callers to close their connections."""

    def write(self, data: bytes) -> None:
        """Send bytes.

        :raises CallerDisconnected: if the connection is closed.
        """

    async def drain(self) -> None:
        """Wait until the write buffer has been mostly sent."""

    def close_after_write(self) -> None:
        """Close the connection when the write buffer is empty."""

    def abort(self) -> None:
        """Close the connection at once."""


class Reply:
    """Writes the response to one request."""

    def __init__(self, connection: ReplyConnection, keep_alive: bool) -> None:
        """Create a reply to the current request.

        :param keep_alive: whether the caller wants to keep its connection open.
        """
        self._connection = connection
        self._keep_alive = keep_alive
        self.begun = False
        self.ended = False
        self.status = 0

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        response = render_response(status, [*headers, *self._closing_headers()], body)
        self.begun = True
        self.status = status
        self._connection.write(response)
        self._end()

    def begin(self, status: int, headers: Headers) -> None:
        """Begin a response of unknown length."""
        coding = (b'Transfer-Encoding', b'chunked')
        head = render_head(status, [*headers, coding, *self._closing_headers()])
        self.begun = True
        self.status = status
        self._connection.write(head)

    async def write(self, part: bytes) -> None:
        """Send a part of the body, and wait while the write buffer is full."""
        self._connection.write(b'%x\r\n%b\r\n' % (len(part), part))
        await self._connection.drain()

    def finish(self) -> None:
        """End a response that is complete."""
        self._connection.write(CHUNK_END)
        self._end()

    def abort(self) -> None:
        """Close the connection, so that the caller sees an incomplete response."""
        self.ended = True
        self._connection.abort()

    def _end(self) -> None:
        self.ended = True
        if not self._keep_alive:
            self._connection.close_after_write()

    def _closing_headers(self) -> list[Header]:
        self._keep_alive = self._keep_alive and not self._connection.closing
        return [] if self._keep_alive else [(b'Connection', b'close')]
