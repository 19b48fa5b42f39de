"""HTTP messages and the typed information in them."""

from http import HTTPStatus

from fireflyhitch_model.ids import RequestId
from fireflyhitch_model.records import immutable

Header = tuple[bytes, bytes]
Headers = list[Header]

# Hop-by-hop headers (RFC 9110, 7.6.1) and those that this proxy sets itself.
CONNECTION_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
        b'content-length',
    )
)


@immutable
class CallerRequest:
    """A complete request as sent by a caller.

    :param arrived: monotonic time at which its head was complete.
    :param body_dropped: whether the body was not kept, since the request could not be
        served whatever it is.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived: float
    body_dropped: bool = False


@immutable
class PromptPart:
    """A part of a prompt; parts with equal ids have the same tokens.

    :param tokens: number of tokens.
    """

    part_id: str
    tokens: int


@immutable
class RequestInfo:
    """The information in a request that is used for routing, whatever its edge.

    :param host: the requested host, without a port.
    :param key: the caller's API key, if any.
    :param time_left: seconds that the caller will wait, if stated.
    :param last_event: id of the last event received; a stream resumes after it.
    :param parts: parts of the prompt, in order.
    :param estimated_answer_tokens: the caller's estimate of the response's tokens.
    """

    request_id: RequestId
    host: str
    path: str
    key: str | None
    time_left: float | None
    last_event: int | None
    model: str | None
    prompt_tokens: int | None
    max_answer_tokens: int | None
    parts: tuple[PromptPart, ...]
    estimated_answer_tokens: int | None

    @property
    def tokens(self) -> int | None:
        """Return the sum of prompt and response tokens, if the request states it."""
        if self.prompt_tokens is None:
            return None
        return self.prompt_tokens + (self.max_answer_tokens or 0)


@immutable
class ReportedLoad:
    """The load that a server reports in a response.

    :param running: number of requests in progress.
    :param waiting: number of queued requests.
    :param slots: number of requests that it runs at once.
    :param time_factor: how long work takes there at this moment, as a multiple of the
        usual time; ``None`` if the server does not state it.
    """

    running: int
    waiting: int
    slots: int
    time_factor: float | None = None


@immutable
class ResponseInfo:
    """The information in the head of a server's response.

    :param request_id: id of the request that it responds to, if stated.
    :param not_run: whether the server states that it did not run the request.
    :param signed: whether it has the server's signature.
    :param encoded: whether the body has a content encoding, which is never requested.
    :param load_malformed: whether a part of the reported load could not be read.
    :param limit: requests per second that the server accepts from all daemons together,
        if stated.
    :param brittle: requests that the server may turn away in a second before it falls
        over, if stated.
    :param leaving: whether the server says that it is about to stop.
    :param rest: seconds for which the server wants no requests from this daemon.
    """

    request_id: str | None
    not_run: bool
    signed: bool
    encoded: bool
    load: ReportedLoad | None
    load_malformed: bool = False
    limit: float | None = None
    brittle: float | None = None
    leaving: bool = False
    rest: float | None = None


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return a header's value.

    :param name: in lower case.
    """
    for known, value in headers:
        if known.lower() == name:
            return value
    return None


def drop_connection_headers(headers: Headers) -> Headers:
    """Return the end-to-end headers."""
    named = set(CONNECTION_HEADERS)
    for name, value in headers:
        if name.lower() == b'connection':
            named.update(word.strip().lower() for word in value.split(b','))
    return [header for header in headers if header[0].lower() not in named]


def render_request(
    method: bytes, target: bytes, headers: Headers, body: bytes = b''
) -> bytes:
    """Return a request's bytes, with a ``Content-Length`` where it may have a body."""
    lines = [b'%b %b HTTP/1.1' % (method, target)]
    lines.extend(b'%b: %b' % header for header in headers)
    if body or method in {b'POST', b'PUT', b'PATCH'}:
        lines.append(b'Content-Length: %d' % len(body))
    return b'%b\r\n\r\n%b' % (b'\r\n'.join(lines), body)


def render_head(status: int, headers: Headers) -> bytes:
    """Return the head of a response."""
    lines = [b'HTTP/1.1 %d %b' % (status, _reason(status))]
    lines.extend(b'%b: %b' % header for header in headers)
    return b'%b\r\n\r\n' % b'\r\n'.join(lines)


def render_response(status: int, headers: Headers, body: bytes) -> bytes:
    """Return a complete response, with its ``Content-Length``."""
    length = (b'Content-Length', b'%d' % len(body))
    return render_head(status, [*headers, length]) + body


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Status'
