"""Logging as JSON lines, with fields that operators can search."""

import json
import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

# Fields whose values are never logged, whatever code passes them.
SECRET_FIELDS = frozenset(('api_key', 'authorization', 'peer_key', 'token'))


def configure_logs(level: str) -> None:
    """Send all logs to standard error as JSON lines.

    :param level: the least severe level that is written.
    """
    logger.remove()
    logger.add(_write_line, level=level, enqueue=False, catch=True)


def _write_line(message: 'Message') -> None:
    record = message.record
    line = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        'event': record['message'],
    }
    for name, value in record['extra'].items():
        line[name] = '[hidden]' if name in SECRET_FIELDS else str(value)
    if record['exception'] is not None:
        line['error'] = repr(record['exception'].value)
    sys.stderr.write(f'{json.dumps(line)}\n')
