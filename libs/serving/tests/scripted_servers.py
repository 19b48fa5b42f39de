"""Scripts of backend servers for the tests of request handling."""

import asyncio
from contextlib import suppress

from fireflyhitch_standins.scripted_server import ReceivedRequest, Script


def respond(
    status: int = 200,
    body: bytes = b'done',
    *,
    signed: bool = True,
    request_id: str | None = None,
    not_run: bool = False,
    **extra_headers: str,
) -> Script:
    """Return a script that sends a complete response."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        own = request.request_id if request_id is None else request_id
        lines = [f'HTTP/1.1 {status} Status', f'X-Id: {own}']
        if signed:
            lines.append('X-Signed: 1')
        if not_run:
            lines.append('X-Not-Run: 1')
        lines.extend(
            f'{name.replace("_", "-")}: {value}'
            for name, value in extra_headers.items()
        )
        lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join((*lines, '', '')).encode())
        writer.write(body)

    return script


def respond_with_trailer(body: bytes, trailer: bytes) -> Script:
    """Return a script that sends a response in one chunk, with a trailer field."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(
            b'HTTP/1.1 200 OK\r\nX-Id: %b\r\nX-Signed: 1\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n%b\r\n\r\n'
            % (request.request_id.encode(), len(body), body, trailer)
        )

    return script


def close_connection() -> Script:
    """Return a script that closes the connection without a response."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.close()

    return script


def stay_silent() -> Script:
    """Return a script that never responds."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await request.closed.wait()
        writer.close()

    return script


def stream(*ids: int, whole: bool = True, incomplete: bytes = b'') -> Script:
    """Return a script that streams events.

    :param whole: whether the stream is terminated rather than cut off.
    :param incomplete: an incomplete event after the others.
    """

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(
            b'HTTP/1.1 200 OK\r\nX-Id: %b\r\nX-Signed: 1\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n' % request.request_id.encode()
        )
        for number in ids:
            _write_chunk(writer, b'id: %d\ndata: t%d\n\n' % (number, number))
        if incomplete:
            _write_chunk(writer, incomplete)
        if whole:
            writer.write(b'0\r\n\r\n')
        else:
            writer.close()

    return script


def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(b'%x\r\n%b\r\n' % (len(data), data))


def repeat(
    part: bytes, *, first: bytes = b'', status: str = '200 OK', pause: float = 0
) -> Script:
    """Return a script that sends bytes without end, until the caller closes.

    :param first: bytes before those; an id and a signature are added to a head.
    :param pause: seconds between two parts.
    """

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        head = f'HTTP/1.1 {status}\r\nX-Id: {request.request_id}\r\nX-Signed: 1\r\n'
        with suppress(ConnectionError):
            writer.write(first.replace(b'HEAD', head.encode()))
            while not request.closed.is_set():
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(pause)
        writer.close()

    return script
