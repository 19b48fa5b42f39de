"""Reads the head of a request: the request line and the header fields."""

import re
import string
from collections.abc import Mapping
from enum import Enum
from http import HTTPStatus
from typing import Any

import httptools

from fireflyhitch_model.records import immutable
from fireflyhitch_serving.lines import LineReader, LineTooLongError
from fireflyhitch_serving.messages import Headers

CODING = b'transfer-encoding'
LENGTH = b'content-length'
UNIQUE_HEADERS = frozenset((b'host', CODING, LENGTH))
LINE_END = b'\r\n'
HEAD_END = b'\r\n\r\n'
# With which the name of a method begins.
METHOD_LETTERS = string.ascii_uppercase.encode()
VERSIONS = frozenset(('1.0', '1.1'))
# What a header field uses in memory besides its bytes.
FIELD_OVERHEAD_BYTES = 200
# A plain header or trailer field, and several with their line ends.
FIELD = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]++:[\t\x20-\x7e\x80-\xff]*+"
WHOLE_FIELDS = re.compile(b'(?:%b\r\n)++' % FIELD)
ABSOLUTE_TARGET = re.compile(rb'https?://([^/?#]*)(.*)', re.IGNORECASE | re.DOTALL)


class Reason(Enum):
    """Why a request is refused before it is admitted."""

    MALFORMED = 'malformed'
    AMBIGUOUS_FRAMING = 'ambiguous_framing'
    UNSUPPORTED_VERSION = 'unsupported_version'
    UNSUPPORTED_METHOD = 'unsupported_method'
    HEAD_TOO_LARGE = 'head_too_large'
    BODY_TOO_LARGE = 'body_too_large'
    EXTENSIONS_TOO_LARGE = 'chunk_extensions_too_large'
    TRAILER_TOO_LARGE = 'trailer_too_large'
    HEAD_TIMEOUT = 'head_timeout'
    BODY_TIMEOUT = 'body_timeout'
    MEMORY_SHORT = 'memory_short'


STATUSES = {
    Reason.UNSUPPORTED_VERSION: HTTPStatus.HTTP_VERSION_NOT_SUPPORTED,
    Reason.UNSUPPORTED_METHOD: HTTPStatus.NOT_IMPLEMENTED,
    Reason.HEAD_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Reason.TRAILER_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Reason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.HEAD_TIMEOUT: HTTPStatus.REQUEST_TIMEOUT,
    Reason.BODY_TIMEOUT: HTTPStatus.REQUEST_TIMEOUT,
    Reason.MEMORY_SHORT: HTTPStatus.SERVICE_UNAVAILABLE,
}


class InvalidInputError(Exception):
    """The bytes are no request that is served here.

    :param limit: the limit that was exceeded, in bytes or seconds.
    """

    def __init__(self, reason: Reason, limit: float | None = None) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.limit = limit


@immutable
class RequestHead:
    """A complete head.

    :param target: in origin form, or ``*``.
    :param length: the body's announced length in bytes; ``None`` if it is sent in
        chunks.
    :param keep_alive: whether the caller wants to keep its connection open.
    :param expects_continue: whether the caller waits for ``100 Continue``.
    :param held_bytes: how much memory it uses.
    """

    method: bytes
    target: bytes
    headers: Headers
    length: int | None
    keep_alive: bool
    expects_continue: bool
    held_bytes: int = 0


class HeadReader:
    """Reads one head, in any number of parts.

    The size of a head is that of all its bytes, from the first of the request line to
    the empty line that ends it, with empty lines before it (RFC 9112, 2.2). The parser
    gets whole lines, so what it has read of an invalid head does not depend on how the
    bytes were cut.
    """

    def __init__(self, max_bytes: int) -> None:
        """Create a reader that has read nothing.

        :param max_bytes: greatest size of the head; may change until the head begins.
        """
        self.begun = False
        self.max_bytes = max_bytes
        self._parser: Any = httptools.HttpRequestParser(self)
        self._lines = LineReader()
        self._lines_bytes = 0
        self._in_empty_line = False
        self._target = b''
        self._headers: Headers = []
        self._parsed_lines = 0
        self._last_line = b''
        self._complete = False
        self._keep_alive = False

    @property
    def headers(self) -> Headers:
        """Return the headers in the lines that were read.

        The parser tells a header only with the next line.
        """
        if self._complete or self._parsed_lines <= len(self._headers) + 1:
            return self._headers
        name, _, value = self._last_line.partition(b':')
        return [*self._headers, (name, value.strip())]

    @property
    def size(self) -> int:
        """Return how many bytes of the head were read."""
        return self._lines_bytes + self._lines.begun_bytes

    @property
    def held_bytes(self) -> int:
        """Return how much memory the head uses."""
        return self.size + FIELD_OVERHEAD_BYTES * len(self._headers)

    def close(self) -> None:
        """Drop the parser, which refers back to this reader.

        What was read of a large head would stay in memory until the garbage collector
        finds the cycle.
        """
        self._parser = None

    def feed(self, data: bytes, position: int) -> int:
        """Read what belongs to the head.

        :param position: where to begin in ``data``.
        :returns: the position after what was read.
        :raises InvalidInputError: if the bytes begin no valid head.
        """
        if not self.begun:
            position = self._skip_empty_lines(data, position)
            position = self._read_whole(data, position)
        while position < len(data) and not self._complete:
            if not self._lines.begun_bytes:
                position = self._read_whole_fields(data, position)
            if position < len(data):
                position = self._read_line(data, position)
        return position

    def finish(self) -> RequestHead | None:
        """Return the head once it is complete.

        :raises InvalidInputError: if it announces no body of certain length, or another
            version or method than those served here.
        """
        if not self._complete:
            return None
        version = self._parser.get_http_version()
        method = self._parser.get_method()
        self.close()
        if version not in VERSIONS:
            raise InvalidInputError(Reason.UNSUPPORTED_VERSION)
        if method == b'CONNECT':
            raise InvalidInputError(Reason.UNSUPPORTED_METHOD)
        values = {name.lower(): value for name, value in self._headers}
        if not is_well_framed(self._headers, values, version):
            raise InvalidInputError(Reason.AMBIGUOUS_FRAMING)
        target, headers = split_target(self._target, self._headers)
        expectation = values.get(b'expect', b'')
        return RequestHead(
            method,
            target,
            headers,
            _read_length(values),
            self._keep_alive,
            version == '1.1' and expectation.strip().lower() == b'100-continue',
            self.held_bytes,
        )

    # Called by the parser

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Record the end of the head."""
        self._complete = True
        self._keep_alive = self._parser.should_keep_alive()

    def _skip_empty_lines(self, data: bytes, position: int) -> int:
        """Skip empty lines before the request line; they may arrive in parts."""
        while not self.begun and position < len(data):
            self.begun = not self._skip_line_end(data[position])
            if not self.begun:
                position += 1
        return position

    def _read_whole(self, data: bytes, position: int) -> int:
        """Read a valid head that lies in ``data`` as a whole, at once.

        Others are read line by line.
        """
        end = data.find(HEAD_END, position) + len(HEAD_END)
        size = end - position
        if size < len(HEAD_END) or self._lines_bytes + size > self.max_bytes:
            return position
        try:
            self._parse(data[position:end])
        except InvalidInputError:
            self._reset_parser()
        if not self._complete:
            return position
        self._lines_bytes += size
        return end

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._headers = []
        self._target = b''
        self._complete = False

    def _skip_line_end(self, byte: int) -> bool:
        """Skip a byte of an empty line; return whether it is one."""
        if byte == LINE_END[self._in_empty_line]:
            self._in_empty_line = not self._in_empty_line
            self._lines_bytes += 1
            if self._lines_bytes > self.max_bytes:
                raise InvalidInputError(Reason.HEAD_TOO_LARGE, self.max_bytes)
            return True
        if self._in_empty_line or byte not in METHOD_LETTERS:
            raise InvalidInputError(Reason.MALFORMED)
        return False

    def _read_whole_fields(self, data: bytes, position: int) -> int:
        """Read the plain fields that lie in ``data`` as a whole, at once.

        Reading very many short ones one by one takes far longer than receiving them.
        """
        room = self.max_bytes - self._lines_bytes
        matched = WHOLE_FIELDS.match(data, position, position + room)
        if matched is None or not self._parsed_lines:
            return position
        lines = matched[0]
        self._lines_bytes += len(lines)
        self._parse(lines)
        self._parsed_lines += lines.count(LINE_END)
        self._last_line = lines[lines.rfind(b'\n', 0, -1) + 1 :]
        return matched.end()

    def _read_line(self, data: bytes, position: int) -> int:
        try:
            position, line = self._lines.feed(
                data, position, self.max_bytes - self._lines_bytes
            )
        except LineTooLongError as error:
            raise InvalidInputError(Reason.HEAD_TOO_LARGE, self.max_bytes) from error
        if line is not None:
            self._lines_bytes += len(line)
            self._parse(line)
            self._parsed_lines += 1
            self._last_line = line
        return position

    def _parse(self, line: bytes) -> None:
        try:
            self._parser.feed_data(line)
        except httptools.HttpParserUpgrade:
            # The caller offers another protocol, which is declined by a response in
            # HTTP/1.1 (RFC 9110, 7.8).
            return
        except httptools.HttpParserError as error:
            raise InvalidInputError(Reason.MALFORMED) from error


def is_well_framed(
    headers: Headers, values: Mapping[bytes, bytes], version: str
) -> bool:
    """Tell whether a request's length and host are unambiguous.

    Where two HTTP implementations disagree on the end of a request, another request can
    be smuggled inside it (RFC 9112, 6.1 and 6.3).

    :param values: headers by name in lower case.
    """
    if b'host' not in values or (CODING in values and LENGTH in values):
        return False
    if len(values) < len(headers) and _repeats_any(headers, UNIQUE_HEADERS):
        return False
    if CODING not in values:
        return True
    return version == '1.1' and values[CODING].strip().lower() == b'chunked'


def _repeats_any(headers: Headers, unique: frozenset[bytes]) -> bool:
    names = [name.lower() for name, _ in headers]
    return any(names.count(name) > 1 for name in unique)


def split_target(target: bytes, headers: Headers) -> tuple[bytes, Headers]:
    """Return a target in origin form, and headers with the host that it names.

    The host in a target in absolute form replaces that of ``Host`` (RFC 9112, 3.2.2).
    """
    absolute = ABSOLUTE_TARGET.match(target)
    if absolute is None:
        return target, headers
    authority, rest = absolute.groups()
    origin = rest if rest.startswith(b'/') else b'/%b' % rest
    return origin, [
        (name, authority if name.lower() == b'host' else value)
        for name, value in headers
    ]


def _read_length(values: Mapping[bytes, bytes]) -> int | None:
    return None if CODING in values else int(values.get(LENGTH, 0))
