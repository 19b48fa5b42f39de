"""A load client: many streaming calls from one event loop, with their times.

It works on the bytes of a connection, so that at several thousand chunks a
second the client is not what is measured.
"""

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import Any

import httptools

DONE = b'data: [DONE]'
ERROR = b'"error"'


@dataclass(slots=True)
class CallResult:
    """What a caller saw of one call; times are monotonic seconds.

    :param arrivals: when each piece of the body arrived.
    :param complete: whether the answer came to its proper end.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    started: float = 0
    ended: float = 0
    arrivals: list[float] = field(default_factory=list)
    complete: bool = False
    broken: str | None = None

    @property
    def first_seconds(self) -> float:
        """Return the time to the first piece of the answer."""
        return self.arrivals[0] - self.started

    @property
    def gaps(self) -> list[float]:
        """Return the times between pieces."""
        pairs = zip(self.arrivals, self.arrivals[1:], strict=False)
        return [later - earlier for earlier, later in pairs]

    @property
    def finished(self) -> bool:
        """Tell whether a streamed answer came to its last event."""
        return DONE in self.body

    @property
    def answered(self) -> bool:
        """Tell whether the whole answer arrived without an error in it."""
        return self.status == 200 and self.complete and ERROR not in self.body


class _CallProtocol(asyncio.Protocol):
    def __init__(self, request: bytes, ended: 'asyncio.Future[CallResult]') -> None:
        self._request = request
        self._ended = ended
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._seen = CallResult()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._seen.started = time.monotonic()
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self._ended.done():
            self._seen.broken = repr(exc)
            self._finish()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._seen.headers[name.decode().lower()] = value.decode()

    def on_headers_complete(self) -> None:
        self._seen.status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        self._seen.arrivals.append(time.monotonic())
        self._seen.body += body

    def on_message_complete(self) -> None:
        self._seen.complete = True
        self._finish()

    def _finish(self) -> None:
        self._seen.ended = time.monotonic()
        self._ended.set_result(self._seen)
        if self._transport is not None:
            self._transport.close()


@dataclass(frozen=True, slots=True)
class CallSpec:
    """One call to make."""

    address: str
    method: str
    path: str
    body: Any = None
    headers: tuple[tuple[str, str], ...] = ()


async def make_call(spec: CallSpec) -> CallResult:
    """Make one call and return what was seen of it, also when it broke."""
    ended: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()
    host, _, port = spec.address.rpartition(':')
    request = _render_request(spec)
    loop = asyncio.get_running_loop()
    try:
        await loop.create_connection(
            lambda: _CallProtocol(request, ended), host, int(port)
        )
    except OSError as error:
        return CallResult(broken=repr(error))
    return await ended


def chat_spec(
    address: str,
    model: str,
    prompt: str,
    api_key: str,
    *,
    max_tokens: int,
    stream: bool = True,
) -> CallSpec:
    """Return a chat call."""
    body = {
        'model': model,
        'messages': [{'role': 'user', 'content': prompt}],
        'max_tokens': max_tokens,
        'stream': stream,
    }
    headers = (('Authorization', f'Bearer {api_key}'),)
    return CallSpec(address, 'POST', '/v1/chat/completions', body, headers)


@dataclass(frozen=True, slots=True)
class SeenEvent:
    """One server-sent event as a caller saw it."""

    event_id: str
    data: bytes


def read_events(result: CallResult) -> list[SeenEvent]:
    """Return the whole events of a streamed answer that have an id."""
    seen: list[SeenEvent] = []
    for event in bytes(result.body).split(b'\n\n')[:-1]:
        lines = dict(line.split(b': ', 1) for line in event.split(b'\n') if line)
        event_id = lines.get(b'id')
        if event_id is not None:
            seen.append(SeenEvent(event_id.decode(), lines[b'data']))
    return seen


def read_text(result: CallResult) -> str:
    """Return the text of a chat answer, streamed or whole."""
    if result.body.startswith(b'{'):
        message: str = json.loads(result.body)['choices'][0]['message']['content']
        return message
    return ''.join(_read_delta(event.data) for event in read_events(result))


def _read_delta(data: bytes) -> str:
    choices = json.loads(data).get('choices') or [{}]
    delta = choices[0].get('delta') or {}
    return delta.get('content') or ''


def _render_request(spec: CallSpec) -> bytes:
    body = b'' if spec.body is None else json.dumps(spec.body).encode()
    lines = [
        f'{spec.method} {spec.path} HTTP/1.1',
        f'Host: {spec.address}',
        'Content-Type: application/json',
        f'Content-Length: {len(body)}',
    ]
    lines.extend(f'{name}: {value}' for name, value in spec.headers)
    head = '\r\n'.join(lines)
    return b'%b\r\n\r\n%b' % (head.encode(), body)
