"""What callers of the fault soak send, and how its bytes are cut into writes."""

import random
import zlib
from enum import Enum

from fireflyhitch_standins.users_formats import render_call, render_chunks

KEY = 'key-of-bakery'
DEADLINE_MS = 3000
# The largest is the greatest that the site's configuration allows.
BODY_SIZES = (0, 40, 2500, 5000)
# So small that the framing of a large body is longer than a head may be.
CHUNK_BYTES = 10
MAX_CUTS = 4
TRAILER = b'Host: elsewhere.example\r\nAuthorization: Bearer other\r\n'


class Framing(Enum):
    """How the end of a body is told."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CHUNKS_WITH_TRAILER = 'chunks with trailer'


class Writes(Enum):
    """How the bytes of a request are written."""

    AT_ONCE = 'at once'
    HEAD_FIRST = 'head first'
    IN_PIECES = 'in pieces'


def make_body(request_id: str) -> bytes:
    """Return the body of a request, which servers know from its id."""
    size = BODY_SIZES[zlib.crc32(request_id.encode()) % len(BODY_SIZES)]
    word = f'{request_id} '.encode()
    return (word * (size // len(word) + 1))[:size]


def render_post(path: str, request_id: str, framing: Framing) -> tuple[bytes, bytes]:
    """Return the head and the body of a request, as sent."""
    body = make_body(request_id)
    whole = render_call(
        path, KEY, request_id, method='POST', deadline_ms=DEADLINE_MS, body=body
    )
    head = whole.removesuffix(body)
    if framing is Framing.LENGTH:
        return head, body
    length = b'Content-Length: %d\r\n' % len(body)
    head = head.replace(length, b'Transfer-Encoding: chunked\r\n')
    trailer = TRAILER if framing is Framing.CHUNKS_WITH_TRAILER else b''
    return head, render_chunks(body, CHUNK_BYTES, trailer)


def cut(head: bytes, body: bytes, writes: Writes, draw: random.Random) -> list[bytes]:
    """Return the pieces in which a request is written."""
    if writes is Writes.AT_ONCE:
        return [b''.join((head, body))]
    if writes is Writes.HEAD_FIRST:
        return [head, body]
    whole = b''.join((head, body))
    cuts = sorted(draw.randrange(len(whole)) for _ in range(MAX_CUTS))
    starts = [0, *cuts]
    ends = [*cuts, len(whole)]
    return [whole[start:end] for start, end in zip(starts, ends, strict=True)]
