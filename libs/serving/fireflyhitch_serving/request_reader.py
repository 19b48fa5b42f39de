"""Reads requests from a caller's bytes: bytes in, typed events out, no sockets.

``httptools`` parses heads only. What belongs to a head, a body and a trailer, and how
large each is, is found here, since ``httptools`` does not tell how much of the bytes it
has read.
"""

import math
from collections.abc import Callable
from http import HTTPStatus

from fireflyhitch_model.records import immutable
from fireflyhitch_serving.catalog import CallerLimits
from fireflyhitch_serving.messages import Headers
from fireflyhitch_serving.request_bodies import BodyReader, make_body_reader
from fireflyhitch_serving.request_heads import (
    STATUSES,
    HeadReader,
    InvalidInputError,
    Reason,
    RequestHead,
)


@immutable
class CompleteRequest:
    """A complete request, without its trailer."""

    head: RequestHead
    body: bytes


@immutable
class InvalidRequest:
    """What a caller sent is refused, and nothing after it is read.

    :param headers: those that were read.
    :param head_bytes: size of the head as far as it was read.
    :param body_bytes: size of the body as far as it was read, without framing.
    :param limit: the limit that was exceeded, in bytes or seconds.
    """

    reason: Reason
    headers: Headers
    head_bytes: int
    body_bytes: int
    limit: float | None

    @property
    def status(self) -> int:
        """Return the status of the refusal."""
        return STATUSES.get(self.reason, HTTPStatus.BAD_REQUEST)


Event = RequestHead | CompleteRequest | InvalidRequest
_NOTHING_READ = HeadReader(0)
_NOTHING_READ.close()


class RequestReader:
    """Reads the requests of one connection, one after the other.

    Its events do not depend on how the bytes are cut. Each head, body and trailer has a
    limit of its own, exact to the byte; a trailer's is that of heads.
    """

    def __init__(self, limits: Callable[[], CallerLimits]) -> None:
        """Create a reader at the begin of a connection.

        :param limits: returns the limits of a request that begins now.
        """
        self._get_limits = limits
        self._limits = limits()
        self._head_reader = HeadReader(self._limits.header_bytes)
        self._head: RequestHead | None = None
        self._body_reader: BodyReader | None = None
        self._rest = b''
        self._dropping = False
        self._ended = False

    @property
    def rest_bytes(self) -> int:
        """Return how many received bytes wait until ``feed`` is called again."""
        return len(self._rest)

    @property
    def rest_lines(self) -> int:
        """Return how many lines end in these bytes."""
        return self._rest.count(b'\n')

    @property
    def held_bytes(self) -> int:
        """Return how much memory is used by what has not become a request yet."""
        if self._ended:
            return 0
        body = self._body_reader.held_bytes if self._body_reader else 0
        return self._head_reader.held_bytes + body + len(self._rest)

    @property
    def is_dropping(self) -> bool:
        """Tell whether a body is being read of which nothing is kept."""
        return self._dropping

    @property
    def in_head(self) -> bool:
        """Tell whether a head has begun and is not complete."""
        return self._head is None and self._head_reader.begun and not self._ended

    @property
    def head(self) -> RequestHead | None:
        """Return the head whose body is being read."""
        return None if self._ended else self._head

    def feed(self, data: bytes, max_requests: int | None = None) -> list[Event]:
        """Read received bytes and those that were kept; return what they complete, in order.

        A head is followed by its request, which may be complete only later. An invalid
        request is the last event; so is a request whose caller does not keep its
        connection.

        :param max_requests: number of requests, each with its head, after which the
            rest of the bytes is kept as it is; ``None`` to read all.
        """
        events: list[Event] = []
        if self._rest:
            data = self._rest + data
        self._rest = b''
        position = 0
        max_events = math.inf if max_requests is None else 2 * max_requests
        try:
            while position < len(data) and not self._ended and len(events) < max_events:
                position = self._read(data, position, events)
        except InvalidInputError as error:
            events.append(self.refuse(error.reason, error.limit))
        if not self._ended:
            self._rest = data[position:]
        return events

    def keep(self, data: bytes) -> None:
        """Keep received bytes until ``feed`` is called."""
        self._rest = self._rest + data if self._rest else data

    def drop_body(self) -> None:
        """Keep nothing of the body being read; its request does not become complete."""
        assert self._body_reader is not None
        self._dropping = True
        self._body_reader.drop_body()

    def refuse(self, reason: Reason, limit: float | None = None) -> InvalidRequest:
        """End reading, and return what was read of the current request."""
        head_reader = self._head_reader
        body_reader = self._body_reader
        self.close()
        return InvalidRequest(
            reason,
            head_reader.headers,
            head_reader.size,
            body_reader.size if body_reader else 0,
            limit,
        )

    def close(self) -> None:
        """End reading, and keep nothing of what was read."""
        self._ended = True
        self._rest = b''
        self._head = None
        self._head_reader.close()
        self._head_reader = _NOTHING_READ
        self._body_reader = None

    def _read(self, data: bytes, position: int, events: list[Event]) -> int:
        if self._body_reader is None:
            if not self._head_reader.begun:
                self._take_limits()
            position = self._head_reader.feed(data, position)
            self._finish_head(events)
        if self._body_reader is not None:
            position = self._body_reader.feed(data, position)
            self._finish_body(events)
        return position

    def _take_limits(self) -> None:
        self._limits = self._get_limits()
        self._head_reader.max_bytes = self._limits.header_bytes

    def _finish_head(self, events: list[Event]) -> None:
        head = self._head_reader.finish()
        if head is None:
            return
        limits = self._limits
        self._body_reader = make_body_reader(
            head, limits.body_bytes, limits.header_bytes
        )
        self._head = head
        events.append(head)

    def _finish_body(self, events: list[Event]) -> None:
        reader = self._body_reader
        if reader is None or not reader.complete or self._head is None:
            return
        if not self._dropping:
            events.append(CompleteRequest(self._head, reader.take_body()))
        self._dropping = False
        self._ended = not self._head.keep_alive
        self._head = None
        self._body_reader = None
        self._head_reader = HeadReader(self._limits.header_bytes)
