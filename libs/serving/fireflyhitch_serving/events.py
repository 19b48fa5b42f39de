"""Cuts a stream's bytes into whole events and follows their ids."""

from dataclasses import dataclass

EVENT_END = b'\n\n'
ID_FIELD = b'id:'


class EventOrderError(Exception):
    """An event is missing or came twice."""


@dataclass(slots=True)
class EventSplitter:
    """The events of one attempt.

    :param last_id: of the last event that was cut, by any attempt.
    """

    last_id: int | None = None
    _rest: bytes = b''

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that have come, as their server wrote them.

        :raises EventOrderError: if ids do not follow one another. Events that the
            caller has already are left out.
        """
        read = self._rest + data
        end = read.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            self._rest = read
            return b''
        self._rest = read[end:]
        return self._check(read[:end])

    @property
    def has_partial_event(self) -> bool:
        """Tell whether a part of an event has come."""
        return bool(self._rest)

    def restart(self) -> None:
        """Begin to read another attempt's bytes."""
        self._rest = b''

    def _check(self, data: bytes) -> bytes:
        passed: list[bytes] = []
        for event in data.split(EVENT_END)[:-1]:
            event_id = _find_id(event)
            if event_id is None or self._follows(event_id):
                passed.append(event + EVENT_END)
        return b''.join(passed)

    def _follows(self, event_id: int) -> bool:
        last = self.last_id
        if last is not None and event_id <= last:
            return False
        if last is not None and event_id > last + 1:
            raise EventOrderError(f'event {event_id} after {last}')
        self.last_id = event_id
        return True


def _find_id(event: bytes) -> int | None:
    for line in event.split(b'\n'):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
