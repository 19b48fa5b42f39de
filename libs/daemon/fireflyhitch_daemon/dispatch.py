"""Opens connections to backend servers and sends model calls on them."""

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
# The time until the caller's deadline, for servers that schedule by it.
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
    :raises OSError: if connecting fails or times out; nothing was sent.
    """
    host, _, port = address.rpartition(':')
    connection = HTTPConnection(
        host, int(port), timeout=CONNECT_SECONDS, socket_options=NO_DELAY
    )
    try:
        connection.connect()
    except HTTPError as error:
        # urllib3's errors are not OSErrors; unconverted, they would count as an
        # internal error and fail a call that another server could answer.
        raise ConnectionError(str(error)) from error
    return connection


def make_attempt_id(request_id: RequestId, tag: AttemptTag) -> AttemptId:
    """Return the id of an attempt as sent to the engine."""
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
    :param imported: the attempt whose KV cache was sent to the engine.

    :raises OSError: if connecting fails or the connection breaks.
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
    """Request the remaining events of a stream that the engine still runs.

    :param received: the number of events of the whole answer received so far.
    :raises OSError: if the engine cannot be reached.
    """
    connection = open_connection(placement.address)
    after = received - placement.offset
    connection.request(
        'GET', f'/engine/streams/{placement.engine_attempt}?after={after}'
    )
    return _get_socket(connection)


def build_stream_body(body: bytes, *, with_usage: bool) -> bytes:
    """Return a copy of a request body that requests a streamed answer.

    Answers are always streamed, even if the caller wants a single body: only a
    stream shows how much of the answer existed when a server fails.
    """
    request = json.loads(body)
    request['stream'] = True
    if with_usage:
        request['stream_options'] = {'include_usage': True}
    return json.dumps(request).encode()


def is_invalid_request(status: int) -> bool:
    """Return whether a status means that the request itself is invalid."""
    if status in {HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_MANY_REQUESTS}:
        return False
    return HTTPStatus.BAD_REQUEST <= status < HTTPStatus.INTERNAL_SERVER_ERROR


def _get_socket(connection: HTTPConnection) -> socket.socket:
    sock: socket.socket = connection.sock
    return sock
