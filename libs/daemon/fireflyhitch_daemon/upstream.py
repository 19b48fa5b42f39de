"""A non-blocking connection to a backend server for one attempt."""

import socket
from dataclasses import dataclass
from http import HTTPStatus

import httptools

from fireflyhitch_model.ids import BackendServerId
from fireflyhitch_recovery.answers import AttemptStream

READ_SIZE = 65536
# The rest of a larger error body adds no information and is dropped.
MAX_ERROR_BODY = 4096


@dataclass(frozen=True, slots=True)
class Continuation:
    """The answer so far, for an attempt that continues it.

    :param first: the first event of the whole answer.
    :param generated_tokens: the number of tokens before this attempt.
    """

    first: bytes
    generated_tokens: int


class Upstream:
    """A connection on which a request was sent and an answer is awaited.

    :param stream: receives the events; it ignores those of an outdated attempt.
    :param continuation: ``None`` if the attempt starts the answer.
    """

    __slots__ = (
        '_parser',
        'body',
        'complete',
        'continuation',
        'error_body',
        'limit',
        'refused',
        'server_id',
        'sock',
        'status',
        'stream',
        'tag',
    )

    def __init__(
        self,
        sock: socket.socket,
        stream: AttemptStream,
        server_id: BackendServerId,
        continuation: Continuation | None = None,
    ) -> None:
        sock.setblocking(False)
        self.sock = sock
        self.stream = stream
        self.tag = f'.{stream.tag}'.encode() if stream.tag else b''
        self.server_id = server_id
        self.continuation = continuation
        self.status = 0
        self.refused = False
        self.limit: str | None = None
        self.body = b''
        self.error_body = b''
        self.complete = False
        self._parser = httptools.HttpResponseParser(self)

    def read(self) -> bool:
        """Read and parse the bytes that have arrived.

        :returns: whether more may arrive on the connection.
        """
        try:
            received = self.sock.recv(READ_SIZE)
        except BlockingIOError:
            return True
        except OSError:
            return False
        if not received:
            return False
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError:
            return False
        return not self.complete

    def on_header(self, name: bytes, field: bytes) -> None:
        """Record a refusal before execution or a limit; called by the parser."""
        lower = name.lower()
        if lower == b'fireflyhitch-outcome':
            self.refused = field == b'not-run'
        elif lower == b'server-limit':
            self.limit = field.decode('latin-1')

    def on_headers_complete(self) -> None:
        """Record the status; called by the parser."""
        self.status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body; called by the parser."""
        if self.status == HTTPStatus.OK:
            self.body += body
            return
        if len(self.error_body) < MAX_ERROR_BODY:
            self.error_body += body

    def on_message_complete(self) -> None:
        """Record the end of the answer; called by the parser."""
        self.complete = True

    def close(self) -> None:
        """Close the connection, which cancels a stream that still runs."""
        self.sock.close()
