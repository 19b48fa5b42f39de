"""One attempt at a backend server, read without blocking."""

import socket
from dataclasses import dataclass
from http import HTTPStatus

import httptools

from fireflyhitch_model.ids import BackendServerId
from fireflyhitch_recovery.answers import AttemptStream

READ_SIZE = 65536
# An error body larger than this tells no more than its first part.
MAX_ERROR_BODY = 4096


@dataclass(frozen=True, slots=True)
class Continuation:
    """What an attempt goes on behind.

    :param first: the first event of the whole answer.
    :param generated_tokens: that the answer had before this attempt.
    """

    first: bytes
    generated_tokens: int


class Upstream:
    """A connection on which a request was sent and an answer is awaited.

    :param stream: where its events go; those of an older attempt reach nobody.
    :param continuation: ``None`` where the engine's events are the answer's own.
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
        """Take in what has arrived.

        :returns: whether the connection may bring more.
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
        """Note a refusal before execution and a limit; called by the parser."""
        lower = name.lower()
        if lower == b'fireflyhitch-outcome':
            self.refused = field == b'not-run'
        elif lower == b'server-limit':
            self.limit = field.decode('latin-1')

    def on_headers_complete(self) -> None:
        """Note the status; called by the parser."""
        self.status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body; called by the parser."""
        if self.status == HTTPStatus.OK:
            self.body += body
            return
        if len(self.error_body) < MAX_ERROR_BODY:
            self.error_body += body

    def on_message_complete(self) -> None:
        """Note the answer's end; called by the parser."""
        self.complete = True

    def close(self) -> None:
        """Close the connection, which cancels what still runs."""
        self.sock.close()
