"""Splits a stream of server-sent events into whole events and checks their ids."""

from dataclasses import dataclass, field

from fireflyhitch_model.external_values import parse_integer

EVENT_END = b'\n\n'
ID_FIELD = b'id:'
MAX_EVENT_BYTES = 1_048_576


class EventError(Exception):
    """A stream cannot be forwarded."""


class EventOrderError(EventError):
    """An event is missing from the stream."""


class EventTooLargeError(EventError):
    """An event does not end."""


@dataclass(slots=True)
class EventSplitter:
    """Splits the response streams of all attempts at one request.

    :param last_id: of the last event returned, over all attempts.
    """

    last_id: int | None = None
    _buffer: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> bytes:
        """Return the events that are complete, as the server wrote them.

        Events that the caller already has are left out.

        :raises EventOrderError: if an event is missing.
        :raises EventTooLargeError: if one is too large.
        """
        if not self._buffer and data.endswith(EVENT_END):
            return self._check(data)
        # The end of an event may lie across two parts.
        searched = max(len(self._buffer) - len(EVENT_END) + 1, 0)
        self._buffer += data
        end = self._buffer.rfind(EVENT_END, searched)
        whole = bytes(self._buffer[: end + len(EVENT_END)]) if end >= 0 else b''
        del self._buffer[: len(whole)]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f'event larger than {MAX_EVENT_BYTES} bytes')
        return self._check(whole)

    @property
    def has_partial_event(self) -> bool:
        """Tell whether an incomplete event is buffered."""
        return bool(self._buffer)

    def restart(self) -> None:
        """Discard buffered bytes before another attempt."""
        self._buffer.clear()

    def _check(self, data: bytes) -> bytes:
        accepted: list[bytes] = []
        for event in data.split(EVENT_END)[:-1]:
            event_id = _find_id(event)
            if event_id is None or self._accept_id(event_id):
                accepted.append(event + EVENT_END)
        return b''.join(accepted)

    def _accept_id(self, event_id: int) -> bool:
        last = self.last_id
        if last is not None and event_id <= last:
            return False
        if last is not None and event_id > last + 1:
            raise EventOrderError(f'event {event_id} after {last}')
        self.last_id = event_id
        return True


def _read_id(text: bytes) -> int | None:
    if not text.isdigit():
        return None
    try:
        return parse_integer(text)
    except ValueError:
        return None


def _find_id(event: bytes) -> int | None:
    for line in event.split(b'\n'):
        if line.startswith(ID_FIELD):
            return _read_id(line[len(ID_FIELD) :].strip())
    return None
