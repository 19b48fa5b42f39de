"""Opening connections to backend servers and sending model calls on them."""

import json
import socket
from http import HTTPStatus

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.ids import AttemptId, RequestId
from fireflyhitch_recovery.events import AttemptTag
from fireflyhitch_recovery.requests import (
    AcceptedRequest,
    CompletionKind,
    Placement,
)

CONNECT_SECONDS = 1.0
# How long the caller still waits, for servers that plan by it.
DEADLINE_HEADER = 'Fireflyhitch-Deadline-Ms'
MILLISECONDS = 1000
NO_DELAY: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
]
PATHS = {
    CompletionKind.CHAT: '/v1/chat/completions',
    CompletionKind.TEXT: '/v1/completions',
}


def open_connection(address: str) -> HTTPConnection:
    """Connect to a backend server.

    :param address: ``host:port``.
    :raises OSError: if it is not reached in time; nothing was sent then.
    """
    host, _, port = address.rpartition(':')
    connection = HTTPConnection(
        host, int(port), timeout=CONNECT_SECONDS, socket_options=NO_DELAY
    )
    try:
        connection.connect()
    except HTTPError as error:
        # urllib3's errors are no OSErrors; taken for a fault of our own, they
        # would end a call that another server can take.
        raise ConnectionError(str(error)) from error
    return connection


def make_attempt_id(request_id: RequestId, tag: AttemptTag) -> AttemptId:
    """Return the id under which an engine knows an attempt."""
    return AttemptId(f'{request_id}.{tag or 1}')


def send_call(
    server: BackendServer,
    accepted: AcceptedRequest,
    body: bytes,
    attempt: AttemptId,
    seconds_left: float,
    imported: AttemptId | None = None,
) -> socket.socket:
    """Send a call, or its continuation, and return the connection's socket.

    :param seconds_left: until the caller's deadline.
    :param imported: the attempt whose KV cache the engine was given.

    :raises OSError: if the server was not reached or the connection broke.
    """
    connection = open_connection(server.address)
    headers = {
        'Content-Type': 'application/json',
        'X-Request-Id': attempt,
        DEADLINE_HEADER: str(int(seconds_left * MILLISECONDS)),
    }
    if imported is not None:
        headers['X-Kv-Import'] = imported
    connection.request('POST', PATHS[accepted.kind], body=body, headers=headers)
    return _get_socket(connection)


def send_resume(placement: Placement, received: int) -> socket.socket:
    """Ask an engine for the rest of a stream that it still runs.

    :param received: how many events of the whole answer there are already.
    :raises OSError: if the engine was not reached.
    """
    connection = open_connection(placement.address)
    after = received - placement.offset
    connection.request(
        'GET', f'/engine/streams/{placement.engine_attempt}?after={after}'
    )
    return _get_socket(connection)


def build_stream_body(body: bytes, *, with_usage: bool) -> bytes:
    """Return a body that asks for the answer as a stream.

    All answers are asked for as streams, also those that a caller wants whole:
    only a stream tells how far the answer had come when a server is lost.
    """
    request = json.loads(body)
    request['stream'] = True
    if with_usage:
        request['stream_options'] = {'include_usage': True}
    return json.dumps(request).encode()


def is_request_rejected(status: int) -> bool:
    """Tell whether a backend server found fault with the request itself."""
    if status in {HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_MANY_REQUESTS}:
        return False
    return HTTPStatus.BAD_REQUEST <= status < HTTPStatus.INTERNAL_SERVER_ERROR


def _get_socket(connection: HTTPConnection) -> socket.socket:
    sock: socket.socket = connection.sock
    return sock
