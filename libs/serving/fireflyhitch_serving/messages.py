"""HTTP messages as the path of a request holds them, and the typed facts in them."""

from http import HTTPStatus

from fireflyhitch_model.ids import RequestId
from fireflyhitch_model.records import immutable

Header = tuple[bytes, bytes]
Headers = list[Header]

# Headers that concern one connection only (RFC 9110, 7.6.1).
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
    """A whole request as a caller sent it.

    :param arrived: monotonic seconds at which its head was read.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived: float


@immutable
class PromptPart:
    """A part of a prompt; equal ids have equal tokens."""

    part_id: str
    tokens: int


@immutable
class RequestInfo:
    """What decisions need to know of a request, whatever its edge.

    :param host: without a port.
    :param key: the caller's key; ``None`` if it sent none.
    :param time_left: seconds that the caller will wait; ``None`` if unsaid.
    :param last_event: id of the event after which a stream is to go on.
    :param parts: of the prompt, in order.
    :param hinted_tokens: the caller's guess of the answer's tokens.
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
    hinted_tokens: int | None

    @property
    def tokens(self) -> int | None:
        """Return prompt and answer tokens together, if the request says them."""
        if self.prompt_tokens is None:
            return None
        return self.prompt_tokens + (self.max_answer_tokens or 0)


@immutable
class ReportedLoad:
    """A server's account of its load in an answer."""

    running: int
    waiting: int
    slots: int


@immutable
class ResponseInfo:
    """What a server's answer says besides its body.

    :param request_id: of the request that it answers; ``None`` if unsaid.
    :param not_run: whether the server says that it did not run the request.
    :param signed: whether it bears the server's signature.
    :param encoded: whether the body is encoded, which nobody asked for.
    :param limit: requests a second that the server takes from all daemons together;
        ``None`` if it names none.
    """

    request_id: str | None
    not_run: bool
    signed: bool
    encoded: bool
    load: ReportedLoad | None
    limit: float | None = None


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return a header's value by its name in lower case."""
    for known, value in headers:
        if known.lower() == name:
            return value
    return None


def drop_connection_headers(headers: Headers) -> Headers:
    """Return the headers that are for the other end rather than for this one."""
    named = set(CONNECTION_HEADERS)
    for name, value in headers:
        if name.lower() == b'connection':
            named.update(word.strip().lower() for word in value.split(b','))
    return [header for header in headers if header[0].lower() not in named]


def render_request(
    method: bytes, target: bytes, headers: Headers, body: bytes = b''
) -> bytes:
    """Return a request's bytes; the body's length is added where there is one."""
    lines = [b'%b %b HTTP/1.1' % (method, target)]
    lines.extend(b'%b: %b' % header for header in headers)
    if body or method in {b'POST', b'PUT', b'PATCH'}:
        lines.append(b'Content-Length: %d' % len(body))
    return b'%b\r\n\r\n%b' % (b'\r\n'.join(lines), body)


def render_head(status: int, headers: Headers) -> bytes:
    """Return the head of an answer."""
    lines = [b'HTTP/1.1 %d %b' % (status, _reason(status))]
    lines.extend(b'%b: %b' % header for header in headers)
    return b'%b\r\n\r\n' % b'\r\n'.join(lines)


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Status'
