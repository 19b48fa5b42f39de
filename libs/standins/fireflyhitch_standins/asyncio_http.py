"""A small HTTP/1.1 server on one event loop, efficient enough for many streams."""

import asyncio
import json
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

import httptools

START_SECONDS = 10


@dataclass(slots=True)
class Request:
    """A parsed request; header names are in lower case."""

    method: str = ''
    path: str = ''
    query: dict[str, str] = field(default_factory=dict)
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''


class Reply:
    """The response to one request, complete or in chunks.

    :param on_close: called when the caller disconnects before the end.
    """

    def __init__(self, transport: asyncio.Transport, keep_alive: bool) -> None:
        self.on_close: Callable[[], None] | None = None
        self.ended = False
        self._transport = transport
        self._keep_alive = keep_alive

    def send_json(self, document: object, status: int = HTTPStatus.OK) -> None:
        """Send a JSON response."""
        body = json.dumps(document).encode()
        self.send(body, {'Content-Type': 'application/json'}, status)

    def send(
        self, body: bytes, headers: Mapping[str, str], status: int = HTTPStatus.OK
    ) -> None:
        """Send a response with a body of known length."""
        sized = {**headers, 'Content-Length': str(len(body))}
        self._transport.write(self._head(status, sized) + body)
        self._finish()

    def start_events(self) -> None:
        """Start a response of server-sent events, one chunk each."""
        headers = {
            'Content-Type': 'text/event-stream',
            'Cache-Control': 'no-store',
            'Transfer-Encoding': 'chunked',
        }
        self._transport.write(self._head(HTTPStatus.OK, headers))

    def write_chunk(self, chunk: bytes) -> None:
        """Send one chunk immediately."""
        if not self.ended:
            self._transport.write(b'%x\r\n%b\r\n' % (len(chunk), chunk))

    def end_events(self) -> None:
        """Send the last, empty chunk."""
        if not self.ended:
            self._transport.write(b'0\r\n\r\n')
            self._finish()

    def abort(self) -> None:
        """Reset the connection, as a crashing process does."""
        self.ended = True
        self._transport.abort()

    def handle_disconnect(self) -> None:
        """Mark the response as ended after the caller disconnected."""
        if self.ended:
            return
        self.ended = True
        if self.on_close is not None:
            self.on_close()

    def _head(self, status: int, headers: Mapping[str, str]) -> bytes:
        reason = HTTPStatus(status).phrase
        lines = [f'HTTP/1.1 {int(status)} {reason}']
        lines.extend(f'{name}: {text}' for name, text in headers.items())
        if not self._keep_alive:
            lines.append('Connection: close')
        return '\r\n'.join((*lines, '', '')).encode()

    def _finish(self) -> None:
        self.ended = True
        if not self._keep_alive:
            self._transport.close()


Handler = Callable[[Request, Reply], None]


class _Connection(asyncio.Protocol):
    """Parses requests of one connection; callers do not pipeline."""

    def __init__(self, handler: Handler, transports: set[asyncio.Transport]) -> None:
        self._handler = handler
        self._transports = transports
        self._request = Request()
        self._body: list[bytes] = []
        self._reply: Reply | None = None
        self._parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._transports.add(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transports.discard(self._transport)
        if self._reply is not None:
            self._reply.handle_disconnect()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.close()

    def on_url(self, url: bytes) -> None:
        parts = urlsplit(url.decode())
        self._request.path = unquote(parts.path)
        self._request.query = dict(parse_qsl(parts.query))

    def on_header(self, name: bytes, text: bytes) -> None:
        self._request.headers[name.decode().lower()] = text.decode('latin-1')

    def on_headers_complete(self) -> None:
        if self._request.headers.get('expect', '').lower() == '100-continue':
            self._transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        request = self._request
        self._request = Request()
        request.method = self._parser.get_method().decode()
        request.body = b''.join(self._body)
        self._body.clear()
        keep_alive = self._parser.should_keep_alive()
        self._reply = Reply(self._transport, keep_alive)
        self._handler(request, self._reply)


class AsyncHttpServer:
    """Serves a handler on an event loop in its own thread.

    :param handler: called on the loop; it must not block.
    :param port: 0 lets the kernel choose.
    """

    def __init__(
        self, handler: Handler, host: str = '127.0.0.1', port: int = 0
    ) -> None:
        self.loop = asyncio.new_event_loop()
        self.address = ''
        self._handler = handler
        self._host = host
        self._port = port
        self._transports: set[asyncio.Transport] = set()
        self._bound = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start listening and return when the address is known."""
        self._thread.start()
        if not self._bound.wait(START_SECONDS):
            raise OSError(f'cannot listen at {self._host}:{self._port}')

    def stop(self) -> None:
        """Reset all connections and stop listening."""
        if self._thread.is_alive():
            self.loop.call_soon_threadsafe(self._stop_loop)
            self._thread.join(START_SECONDS)

    def call(self, action: Callable[[], Any]) -> Any:
        """Run an action on the loop and return its result."""

        async def run() -> Any:
            return action()

        waiting = asyncio.run_coroutine_threadsafe(run(), self.loop)
        return waiting.result(START_SECONDS)

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        server = self.loop.run_until_complete(
            self.loop.create_server(self._connect, self._host, self._port, backlog=1024)
        )
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        self._bound.set()
        self.loop.run_forever()
        server.close()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()

    def _connect(self) -> _Connection:
        return _Connection(self._handler, self._transports)

    def _stop_loop(self) -> None:
        for transport in tuple(self._transports):
            transport.abort()
        self.loop.call_soon(self.loop.stop)
