"""One attempt at a backend server, read without blocking."""

import socket
from http import HTTPStatus

import httptools

from fireflyhitch_model.ids import BackendServerId

READ_SIZE = 65536
# An error body larger than this tells no more than its first part.
MAX_ERROR_BODY = 4096


class Upstream:
    """A connection on which a request was sent and an answer is awaited.

    :param attempt: the number of this attempt within its request; an answer
        to an older attempt is never taken for the request's own.
    """

    __slots__ = (
        '_parser',
        'attempt',
        'body',
        'complete',
        'error_body',
        'failed',
        'server_id',
        'sock',
        'status',
    )

    def __init__(
        self, sock: socket.socket, attempt: int, server_id: BackendServerId
    ) -> None:
        sock.setblocking(False)
        self.sock = sock
        self.attempt = attempt
        self.server_id = server_id
        self.status = 0
        self.body = b''
        self.error_body = b''
        self.complete = False
        self.failed = False
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
            self.failed = True
            return False
        if not received:
            self.failed = not self.complete
            return False
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError:
            self.failed = True
            return False
        return not self.complete

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
