"""Reads the bodies of requests, by length or in chunks (RFC 9112, 6.2 and 7.1)."""

import re
from enum import Enum
from typing import Protocol

from fireflyhitch_serving.lines import LineReader, LineTooLongError
from fireflyhitch_serving.request_heads import (
    FIELD,
    LINE_END,
    WHOLE_FIELDS,
    InvalidInputError,
    Reason,
    RequestHead,
)

# A chunk's size and extensions, with the end of the line.
MAX_CHUNK_LINE_BYTES = 4096
# Extensions of all chunks of one body.
MAX_EXTENSION_BYTES = 16384
HEXADECIMAL = 16
CHUNK_LINE = re.compile(
    rb'([0-9A-Fa-f]{1,16})(?:[ \t]*;[\t\x20-\x7e\x80-\xff]*)?', re.DOTALL
)
PLAIN_CHUNK_LINE = re.compile(rb'([0-9A-Fa-f]{1,16})\r\n')
TRAILER_LINE = re.compile(FIELD)
# Plain chunks of one of these sizes are read together.
SMALL_CHUNK_SIZES = {b'%x' % size: size for size in range(1, HEXADECIMAL)}
SMALL_CHUNKS = {
    size: re.compile(b'(?:%b\r\n.{%d}\r\n)++' % (digit, size), re.DOTALL)
    for digit, size in SMALL_CHUNK_SIZES.items()
}


class BodyReader(Protocol):
    """Reads one body, in any number of parts.

    :param size: bytes of the body read so far, without framing.
    """

    size: int

    @property
    def held_bytes(self) -> int:
        """Return how many bytes are kept in memory."""

    @property
    def complete(self) -> bool:
        """Tell whether the whole body was read."""

    def feed(self, data: bytes, position: int) -> int:
        """Read what belongs to the body.

        :param position: where to begin in ``data``.
        :returns: the position after what was read.
        :raises InvalidInputError: if the bytes are no valid body.
        """

    def take_body(self) -> bytes:
        """Return the whole body, and keep nothing of it."""

    def drop_body(self) -> None:
        """Keep nothing of the body, and only read on to its end."""


def make_body_reader(
    head: RequestHead, max_bytes: int, max_trailer_bytes: int
) -> BodyReader:
    """Return the reader of a request's body.

    :param max_bytes: greatest size of the body, without framing.
    :param max_trailer_bytes: greatest size of all trailer fields, with the empty line
        that ends them.
    :raises InvalidInputError: if the body's announced length exceeds its limit.
    """
    if head.length is None:
        return ChunkedBodyReader(max_bytes, max_trailer_bytes)
    if head.length > max_bytes:
        raise InvalidInputError(Reason.BODY_TOO_LARGE, max_bytes)
    return SizedBodyReader(head.length)


class _BodyBuffer:
    """The bytes of a body, in one piece however small the pieces that arrived."""

    def __init__(self) -> None:
        """Create an empty buffer."""
        self.size = 0
        self._body = bytearray()
        self._dropped = False

    @property
    def held_bytes(self) -> int:
        """Return how many bytes are kept in memory."""
        return len(self._body)

    def take_body(self) -> bytes:
        """Return the whole body, and keep nothing of it."""
        body = bytes(self._body)
        self._body = bytearray()
        return body

    def drop_body(self) -> None:
        """Keep nothing of the body, and only read on to its end."""
        self._body = bytearray()
        self._dropped = True

    def _append(self, part: bytes | bytearray) -> None:
        self.size += len(part)
        if not self._dropped:
            self._body += part


class SizedBodyReader(_BodyBuffer):
    """Reads a body of announced length."""

    def __init__(self, length: int) -> None:
        """Create a reader that has read nothing."""
        super().__init__()
        self._length = length

    @property
    def complete(self) -> bool:
        """Tell whether the whole body was read."""
        return self.size == self._length

    def feed(self, data: bytes, position: int) -> int:
        """Read what belongs to the body."""
        part = data[position : position + self._length - self.size]
        self._append(part)
        return position + len(part)


class _State(Enum):
    SIZE = 'size'
    CONTENT = 'content'
    CONTENT_END = 'content end'
    TRAILER = 'trailer'
    COMPLETE = 'complete'


class ChunkedBodyReader(_BodyBuffer):
    """Reads a body in chunks; extensions and trailer fields are dropped.

    No field here is defined to be sent as a trailer, so none is merged into the headers
    (RFC 9110, 6.5.1).
    """

    def __init__(self, max_bytes: int, max_trailer_bytes: int) -> None:
        """Create a reader that has read nothing."""
        super().__init__()
        self._max_bytes = max_bytes
        self._max_trailer_bytes = max_trailer_bytes
        self._lines = LineReader()
        self._chunk_left = 0
        self._extension_bytes = 0
        self._trailer_bytes = 0
        self._state = _State.SIZE

    @property
    def held_bytes(self) -> int:
        """Return how many bytes are kept in memory, with those of a begun line."""
        return super().held_bytes + self._lines.begun_bytes

    @property
    def complete(self) -> bool:
        """Tell whether the whole body and its trailer were read."""
        return self._state is _State.COMPLETE

    def feed(self, data: bytes, position: int) -> int:
        """Read what belongs to the body."""
        while position < len(data) and not self.complete:
            if not self._lines.begun_bytes:
                position = self._read_whole_lines(data, position)
            if position < len(data):
                position = self._read_part(data, position)
        return position

    def _read_whole_lines(self, data: bytes, position: int) -> int:
        """Read the plain chunks or trailer fields that lie in ``data`` as a whole.

        What is left is read line by line.
        """
        if self._state is _State.SIZE:
            return self._read_whole_chunks(data, position)
        if self._state is _State.TRAILER:
            return self._read_whole_trailers(data, position)
        return position

    def _read_part(self, data: bytes, position: int) -> int:
        if self._state is _State.COMPLETE:
            return position
        if self._state is _State.CONTENT:
            return self._read_content(data, position)
        return self._read_line(data, position)

    def _read_whole_chunks(self, data: bytes, position: int) -> int:
        while self._state is _State.SIZE:
            position = self._read_small_chunks(data, position)
            after = self._read_whole_chunk(data, position)
            if after == position:
                break
            position = after
        return position

    def _read_whole_chunk(self, data: bytes, position: int) -> int:
        matched = PLAIN_CHUNK_LINE.match(data, position)
        if matched is None:
            return position
        size = int(matched[1], HEXADECIMAL)
        begin = matched.end()
        end = begin + size
        if self.size + size > self._max_bytes or not data.startswith(LINE_END, end):
            return position
        if not size:
            self._state = _State.COMPLETE
        self._append(data[begin:end])
        return end + len(LINE_END)

    def _read_small_chunks(self, data: bytes, position: int) -> int:
        """Read the plain chunks of one small size that follow each other in ``data``.

        Reading chunks of a few bytes one by one takes far longer than receiving them.
        """
        size = SMALL_CHUNK_SIZES.get(data[position : position + 1])
        if size is None:
            return position
        step = size + len(b'0\r\n\r\n')
        room = (self._max_bytes - self.size) // size * step
        run = SMALL_CHUNKS[size].match(data, position, position + room)
        if run is None:
            return position
        begin = position + len(b'0\r\n')
        content = bytearray((run.end() - position) // step * size)
        for place in range(size):
            content[place::size] = data[begin + place : run.end() : step]  # noqa: WPS362
        self._append(content)
        return run.end()

    def _read_whole_trailers(self, data: bytes, position: int) -> int:
        room = self._max_trailer_bytes - self._trailer_bytes
        matched = WHOLE_FIELDS.match(data, position, position + room)
        if matched is None:
            return position
        self._trailer_bytes += matched.end() - position
        return matched.end()

    def _read_content(self, data: bytes, position: int) -> int:
        part = data[position : position + self._chunk_left]
        self._append(part)
        self._chunk_left -= len(part)
        if not self._chunk_left:
            self._state = _State.CONTENT_END
        return position + len(part)

    def _read_line(self, data: bytes, position: int) -> int:
        try:
            position, line = self._lines.feed(data, position, self._find_max_line())
        except LineTooLongError as error:
            raise self._make_too_long_error() from error
        if line is not None:
            self._handle_line(line)
        return position

    def _find_max_line(self) -> int:
        if self._state is _State.TRAILER:
            return self._max_trailer_bytes - self._trailer_bytes
        if self._state is _State.CONTENT_END:
            return len(LINE_END)
        return MAX_CHUNK_LINE_BYTES

    def _make_too_long_error(self) -> InvalidInputError:
        if self._state is _State.TRAILER:
            return InvalidInputError(Reason.TRAILER_TOO_LARGE, self._max_trailer_bytes)
        if self._state is _State.CONTENT_END:
            return InvalidInputError(Reason.MALFORMED)
        return InvalidInputError(Reason.EXTENSIONS_TOO_LARGE, MAX_CHUNK_LINE_BYTES)

    def _handle_line(self, line: bytes) -> None:
        if not line.endswith(LINE_END):
            raise InvalidInputError(Reason.MALFORMED)
        line = line.removesuffix(LINE_END)
        if self._state is _State.SIZE:
            self._handle_size(line)
        elif self._state is _State.CONTENT_END:
            self._handle_content_end(line)
        else:
            self._handle_trailer(line)

    def _handle_size(self, line: bytes) -> None:
        matched = CHUNK_LINE.fullmatch(line)
        if matched is None:
            raise InvalidInputError(Reason.MALFORMED)
        digits = matched.group(1)
        self._extension_bytes += len(line) - len(digits)
        if self._extension_bytes > MAX_EXTENSION_BYTES:
            raise InvalidInputError(Reason.EXTENSIONS_TOO_LARGE, MAX_EXTENSION_BYTES)
        self._chunk_left = int(digits, HEXADECIMAL)
        if self.size + self._chunk_left > self._max_bytes:
            raise InvalidInputError(Reason.BODY_TOO_LARGE, self._max_bytes)
        self._state = _State.CONTENT if self._chunk_left else _State.TRAILER

    def _handle_content_end(self, line: bytes) -> None:
        if line:
            raise InvalidInputError(Reason.MALFORMED)
        self._state = _State.SIZE

    def _handle_trailer(self, line: bytes) -> None:
        self._trailer_bytes += len(line) + len(LINE_END)
        if not line:
            self._state = _State.COMPLETE
        elif TRAILER_LINE.fullmatch(line) is None:
            raise InvalidInputError(Reason.MALFORMED)
