"""HTTP server on cheroot whose handler answers requests or detaches sockets."""

import json
import socket
import ssl
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

from cheroot.server import Gateway, HTTPRequest, HTTPServer
from cheroot.ssl.builtin import BuiltinSSLAdapter
from cheroot.workers.threadpool import ThreadPool

from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_settings.bootstrap import Limits, Listener

OUTCOME_HEADER = 'Fireflyhitch-Outcome'
REQUEST_ID_HEADER = 'Fireflyhitch-Request-Id'
JSON_TYPE = 'application/json'
WORKER_THREADS = 48
LISTEN_BACKLOG = 512
IDLE_CONNECTIONS = 1024
READ_BLOCK = 65536


@dataclass(frozen=True, slots=True)
class Header:
    """A header of a response."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    status: int
    body: bytes = b''
    headers: tuple[Header, ...] = ()


class Detached:
    """Returned by a handler that detached the socket and answers on it."""


DETACHED = Detached()


@dataclass(slots=True)
class CallerRequest:
    """A request as read from its connection.

    The body is read on first access, so that a request rejected for its key or
    path costs no memory.

    :param headers: header values by lower-case name.
    :param peer: the caller's IP address.
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    peer: str
    _request: HTTPRequest = field(repr=False)
    _max_body_bytes: int = field(repr=False)
    _body: bytes | None = field(default=None, repr=False)

    @property
    def body(self) -> bytes:
        """Return the body.

        :raises RequestError: 413 if it exceeds the limit.
        """
        if self._body is None:
            self._body = _read_body(self._request, self.headers, self._max_body_bytes)
        return self._body

    def detach(self) -> socket.socket:
        """Detach the connection's socket from the HTTP server.

        cheroot closes a connection after its request, which would break an answer
        relayed by another thread. It drops a connection marked to linger without
        closing the socket, and writes nothing more to a request marked as
        answered, so that only the relay uses the socket.
        """
        request = self._request
        request.sent_headers = True
        request.chunked_write = False
        request.close_connection = True
        request.conn.linger = True
        return request.conn.socket  # type: ignore[no-any-return]


Handler = Callable[[CallerRequest], Response | Detached]


def build_server(
    listener: Listener,
    limits: Limits,
    handler: Handler,
    make_id: Callable[[], str],
    tls: ssl.SSLContext | None = None,
) -> 'DaemonHttpServer':
    """Create a server that is bound but does not serve yet.

    :param make_id: creates ids for requests rejected before the handler runs.
    """
    server = DaemonHttpServer(
        (listener.host, listener.port),
        gateway=_HandlerGateway,
        minthreads=WORKER_THREADS,
        maxthreads=WORKER_THREADS,
        server_name='fireflyhitch',
        # Port sharing cannot be combined with a port chosen by the kernel.
        reuse_port=listener.port != 0,
    )
    server.handler = handler
    server.make_id = make_id
    server.limits = limits
    server.requests = ThreadPool(server, min=WORKER_THREADS, max=WORKER_THREADS)
    server.ConnectionClass.RequestHandlerClass = _JsonErrorRequest
    server.max_request_header_size = limits.max_header_bytes
    server.request_queue_size = LISTEN_BACKLOG
    server.keep_alive_conn_limit = IDLE_CONNECTIONS
    server.timeout = limits.header_seconds  # type: ignore[assignment]
    if tls is not None:
        server.ssl_adapter = _SharedContextAdapter(tls)
    server.prepare()
    return server


def render_error(error: RequestError) -> Response:
    """Render an error in OpenAI's error format, with the outcome header."""
    described = {
        'message': str(error),
        'type': HTTPStatus(error.status).phrase.lower().replace(' ', '_'),
        'code': error.code,
        'param': None,
        'step': error.step.value,
    }
    headers = [
        Header('Content-Type', JSON_TYPE),
        Header(OUTCOME_HEADER, error.outcome.value),
    ]
    if error.retry_after is not None:
        seconds = max(1, round(error.retry_after.total_seconds()))
        headers.append(Header('Retry-After', str(seconds)))
    return Response(
        error.status, json.dumps({'error': described}).encode(), tuple(headers)
    )


class DaemonHttpServer(HTTPServer):
    """A cheroot server with a request handler and limits."""

    handler: Handler
    limits: Limits
    make_id: Callable[[], str]


class _JsonErrorRequest(HTTPRequest):
    """A request whose parse errors are answered in the common error format."""

    def simple_response(self, status: str, msg: str = '') -> None:
        """Answer a request that could not be parsed."""
        code = int(str(status)[:3])
        # An internal error may occur at any step, also after a call was sent.
        refused = code < HTTPStatus.INTERNAL_SERVER_ERROR
        error = RequestError(
            msg or HTTPStatus(code).phrase,
            step=Step.PARSE,
            status=code,
            code='bad_request' if refused else 'internal_error',
            outcome=Outcome.NOT_RUN if refused else Outcome.UNKNOWN,
        )
        self.close_connection = True
        answer = render_error(error)
        server: DaemonHttpServer = self.server
        header = Header(REQUEST_ID_HEADER, server.make_id())
        with_id = Response(answer.status, answer.body, (*answer.headers, header))
        _write_response(self, with_id)


class _SharedContextAdapter(BuiltinSSLAdapter):
    """A TLS adapter with a shared context, so that reloaded files take effect."""

    def __init__(self, context: ssl.SSLContext) -> None:
        # The parent's __init__ is skipped: it would create a context from files.
        # Its other attributes serve only WSGI environments, which are not used.
        self.context = context
        self.private_key_password = None
        self._server_env: dict[str, str] = {}


class _HandlerGateway(Gateway):
    """Passes a request to the handler and writes the returned response."""

    def respond(self) -> None:
        """Answer the request."""
        server: DaemonHttpServer = self.req.server
        try:
            answer = server.handler(_build_request(self.req, server.limits))
        except RequestError as error:
            answer = render_error(error)
        if isinstance(answer, Response):
            _write_response(self.req, answer)


def _build_request(request: HTTPRequest, limits: Limits) -> CallerRequest:
    headers = {
        name.decode('latin-1').lower(): value.decode('latin-1')
        for name, value in request.inheaders.items()
    }
    return CallerRequest(
        method=request.method.decode('ascii'),
        path=request.path.decode('latin-1'),
        query=(request.qs or b'').decode('latin-1'),
        headers=headers,
        peer=str(request.conn.remote_addr),
        _request=request,
        _max_body_bytes=limits.max_body_bytes,
    )


def _read_body(
    request: HTTPRequest, headers: Mapping[str, str], max_bytes: int
) -> bytes:
    declared = headers.get('content-length')
    if declared is None and not request.chunked_read:
        return b''
    if declared is not None and int(declared) > max_bytes:
        raise _refuse_body(request, max_bytes)
    blocks: list[bytes] = []
    total = 0
    while True:
        block = request.rfile.read(READ_BLOCK)
        if not block:
            return b''.join(blocks)
        total += len(block)
        if total > max_bytes:
            raise _refuse_body(request, max_bytes)
        blocks.append(block)


def _refuse_body(request: HTTPRequest, max_bytes: int) -> RequestError:
    # The rest of the body is not read; on a kept-alive connection it would be
    # parsed as the next request.
    request.close_connection = True
    return RequestError(
        f'the body is larger than {max_bytes} bytes',
        step=Step.PARSE,
        status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        code='body_too_large',
        outcome=Outcome.NOT_RUN,
    )


def _write_response(request: HTTPRequest, answer: Response) -> None:
    phrase = HTTPStatus(answer.status).phrase
    # cheroot concatenates the status with bytes, although it is annotated as str.
    request.status = f'{answer.status} {phrase}'.encode()  # type: ignore[assignment]
    request.outheaders = [
        (header.name.encode('latin-1'), header.value.encode('latin-1'))
        for header in answer.headers
    ]
    if answer.status != HTTPStatus.NO_CONTENT:
        length = str(len(answer.body)).encode()
        request.outheaders.append((b'Content-Length', length))
    request.ensure_headers_sent()
    if answer.body and request.method != b'HEAD':
        request.write(answer.body)
