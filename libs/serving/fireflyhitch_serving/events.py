"""Splits a stream of server-sent events into whole events and checks their ids."""

from dataclasses import dataclass

from fireflyhitch_model.external_values import parse_integer

EVENT_END = b'\n\n'
ID_FIELD = b'id:'


class EventOrderError(Exception):
    """An event is missing from the stream."""


@dataclass(slots=True)
class EventSplitter:
    """Splits the response streams of all attempts at one request.

    :param last_id: of the last event returned, over all attempts.
    """

    last_id: int | None = None
    _buffer: bytes = b''

    def feed(self, data: bytes) -> bytes:
        """Return the events that are complete, as the server wrote them.

        Events that the caller already has are left out.

        :raises EventOrderError: if an event is missing.
        """
        read = self._buffer + data
        end = read.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            self._buffer = read
            return b''
        self._buffer = read[end:]
        return self._check(read[:end])

    @property
    def has_partial_event(self) -> bool:
        """Tell whether an incomplete event is buffered."""
        return bool(self._buffer)

    def restart(self) -> None:
        """Discard buffered bytes before another attempt."""
        self._buffer = b''

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
