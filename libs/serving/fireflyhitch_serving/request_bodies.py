"""Reads the bodies of requests, by length or in chunks (RFC 9112, 6.2 and 7.1)."""

import re
from enum import Enum
from typing import Protocol

from fireflyhitch_serving.lines import LineReader, LineTooLongError
from fireflyhitch_serving.request_heads import (
    LINE_END,
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
TRAILER_LINE = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*", re.DOTALL
)


class BodyReader(Protocol):
    """Reads one body, in any number of parts.

    :param size: bytes of the body read so far, without framing.
    """

    size: int

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
        """Return the whole body."""


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


class SizedBodyReader:
    """Reads a body of announced length."""

    def __init__(self, length: int) -> None:
        """Create a reader that has read nothing."""
        self.size = 0
        self._length = length
        self._parts: list[bytes] = []

    @property
    def complete(self) -> bool:
        """Tell whether the whole body was read."""
        return self.size == self._length

    def feed(self, data: bytes, position: int) -> int:
        """Read what belongs to the body."""
        part = data[position : position + self._length - self.size]
        self._parts.append(part)
        self.size += len(part)
        return position + len(part)

    def take_body(self) -> bytes:
        """Return the whole body."""
        return b''.join(self._parts)


class _State(Enum):
    SIZE = 'size'
    CONTENT = 'content'
    CONTENT_END = 'content end'
    TRAILER = 'trailer'
    COMPLETE = 'complete'


class ChunkedBodyReader:
    """Reads a body in chunks; extensions and trailer fields are dropped.

    No field here is defined to be sent as a trailer, so none is merged into the headers
    (RFC 9110, 6.5.1).
    """

    def __init__(self, max_bytes: int, max_trailer_bytes: int) -> None:
        """Create a reader that has read nothing."""
        self.size = 0
        self._max_bytes = max_bytes
        self._max_trailer_bytes = max_trailer_bytes
        self._parts: list[bytes] = []
        self._lines = LineReader()
        self._chunk_left = 0
        self._extension_bytes = 0
        self._trailer_bytes = 0
        self._state = _State.SIZE

    @property
    def complete(self) -> bool:
        """Tell whether the whole body and its trailer were read."""
        return self._state is _State.COMPLETE

    def feed(self, data: bytes, position: int) -> int:
        """Read what belongs to the body."""
        while position < len(data) and not self.complete:
            if self._state is _State.SIZE and not self._lines.begun_bytes:
                position = self._read_whole_chunks(data, position)
            if self._state is _State.CONTENT:
                position = self._read_content(data, position)
            elif self._state is not _State.COMPLETE:
                position = self._read_line(data, position)
        return position

    def take_body(self) -> bytes:
        """Return the whole body."""
        return b''.join(self._parts)

    def _read_whole_chunks(self, data: bytes, position: int) -> int:
        """Read the plain chunks that lie in ``data`` as a whole.

        What is left is read line by line.
        """
        match = PLAIN_CHUNK_LINE.match
        while matched := match(data, position):
            size = int(matched[1], HEXADECIMAL)
            begin = matched.end()
            end = begin + size
            if self.size + size > self._max_bytes or not data.startswith(LINE_END, end):
                break
            position = end + len(LINE_END)
            if not size:
                self._state = _State.COMPLETE
                break
            self._parts.append(data[begin:end])
            self.size += size
        return position

    def _read_content(self, data: bytes, position: int) -> int:
        part = data[position : position + self._chunk_left]
        self._parts.append(part)
        self.size += len(part)
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
