"""JSON log lines on standard output, written without blocking the event loop.

Lines are buffered up to a limit and written when the descriptor accepts them. Lines
that exceed the limits are dropped, and their number is logged.
"""

import json
import os
from collections import Counter, deque
from typing import TYPE_CHECKING

from loguru import logger

from fireflyhitch_telemetry.logs import SECRET_FIELDS

if TYPE_CHECKING:
    from loguru import Message

STANDARD_OUTPUT = 1
# A few seconds of log lines of a loaded daemon.
MAX_LINES = 4000
# A daemon that serves 100 requests a second, all of them failing, writes
# some 400 lines a second.
MAX_LINES_PER_SECOND = 1000
# Of one event, so that one that callers bring about leaves room for all others.
MAX_EVENT_LINES_PER_SECOND = 500
# Of text that callers choose.
MAX_FIELD_CHARACTERS = 500


class LogBuffer:
    """A bounded buffer of log lines, limited by number and by rate."""

    def __init__(self, fields: dict[str, object]) -> None:
        """Create an empty buffer.

        :param fields: fields to include in each line, such as the daemon's name.
        """
        self._fields = fields
        self._lines: deque[bytes] = deque()
        self._dropped = 0
        self._budget = float(MAX_LINES_PER_SECOND)
        self._events: Counter[str] = Counter()
        self._events_seconds = 0.0

    def install(self, level: str) -> None:
        """Send all logs to this buffer.

        :param level: the least severe level that is written.
        """
        os.set_blocking(STANDARD_OUTPUT, False)
        logger.remove()
        logger.add(self.add, level=level, format='{message}', catch=True)

    def add(self, message: 'Message') -> None:
        """Append a line, or count it as dropped."""
        event = message.record['message']
        self._events[event] += 1
        too_often = self._events[event] > MAX_EVENT_LINES_PER_SECOND
        if too_often or len(self._lines) >= MAX_LINES or self._budget < 1:
            self._dropped += 1
            return
        self._budget -= 1
        self._lines.append(_render(message, self._fields))

    def flush(self, seconds: float) -> None:
        """Write as much as the descriptor accepts.

        :param seconds: time since the last flush, for the rate limit.
        """
        max_budget = float(MAX_LINES_PER_SECOND)
        self._budget = min(max_budget, self._budget + seconds * max_budget)
        self._events_seconds += seconds
        if self._events_seconds >= 1:
            self._events.clear()
            self._events_seconds = 0
        if self._dropped and self._budget >= 1:
            dropped = self._dropped
            self._dropped = 0
            logger.bind(lines=dropped).warning('log lines dropped')
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(STANDARD_OUTPUT, line)
            except BlockingIOError:
                return
            if written < len(line):
                self._lines[0] = line[written:]
                return
            self._lines.popleft()


def _shorten(value: object) -> object:
    return value[:MAX_FIELD_CHARACTERS] if isinstance(value, str) else value


def _render(message: 'Message', fields: dict[str, object]) -> bytes:
    record = message.record
    line: dict[str, object] = {
        'time': record['time'].timestamp(),
        'level': record['level'].name,
        **fields,
        'event': record['message'],
    }
    for name, value in record['extra'].items():
        line[name] = '[hidden]' if name in SECRET_FIELDS else _shorten(value)
    if record['exception'] is not None:
        line['error'] = repr(record['exception'].value)
    return f'{json.dumps(line, default=str)}\n'.encode()
