"""Reads requests from a caller's bytes: bytes in, typed events out, no sockets.

``httptools`` parses heads only. What belongs to a head, a body and a trailer, and how
large each is, is found here, since ``httptools`` does not tell how much of the bytes it
has read.
"""

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
        self._ended = False

    @property
    def in_head(self) -> bool:
        """Tell whether a head has begun and is not complete."""
        return self._head is None and self._head_reader.begun and not self._ended

    @property
    def head(self) -> RequestHead | None:
        """Return the head whose body is being read."""
        return None if self._ended else self._head

    def feed(self, data: bytes) -> list[Event]:
        """Read received bytes; return what they complete, in order.

        A head is followed by its request, which may be complete only later. An invalid
        request is the last event; so is a request whose caller does not keep its
        connection.
        """
        events: list[Event] = []
        position = 0
        try:
            while position < len(data) and not self._ended:
                position = self._read(data, position, events)
        except InvalidInputError as error:
            events.append(self.refuse(error.reason, error.limit))
        return events

    def refuse(self, reason: Reason, limit: float | None = None) -> InvalidRequest:
        """End reading, and return what was read of the current request."""
        self._ended = True
        return InvalidRequest(
            reason,
            self._head_reader.headers,
            self._head_reader.size,
            self._body_reader.size if self._body_reader else 0,
            limit,
        )

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
        events.append(CompleteRequest(self._head, reader.take_body()))
        self._ended = not self._head.keep_alive
        self._head = None
        self._body_reader = None
        self._head_reader = HeadReader(self._limits.header_bytes)
