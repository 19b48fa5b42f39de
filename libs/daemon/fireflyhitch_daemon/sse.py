"""Server-sent events: cutting a backend server's stream, rendering a caller's."""

import json
from typing import Any

DATA_PREFIX = b'data: '
DONE = b'[DONE]'
DONE_EVENT = b'data: [DONE]\n\n'
LAST_CHUNK = b'0\r\n\r\n'
EVENT_END = b'\n\n'


def split_events(text: bytes) -> tuple[list[bytes], bytes]:
    """Return the data of the whole events in a text, and what remains.

    Comments, which engines send to keep a connection alive, are left out.
    """
    *events, rest = text.replace(b'\r\n', b'\n').split(EVENT_END)
    start = len(DATA_PREFIX)
    data = [event[start:] for event in events if event.startswith(DATA_PREFIX)]
    return data, rest


def render_events(data: list[bytes], first_id: int) -> bytes:
    """Return events with their ids, counted up from the first."""
    return b''.join(
        b'id: %d\ndata: %b\n\n' % (first_id + offset, event)
        for offset, event in enumerate(data)
    )


def render_chunk(text: bytes) -> bytes:
    """Return a text framed as one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(text), text)


def parse_event(data: bytes) -> dict[str, Any]:
    """Return an event's JSON object; an unreadable one is empty."""
    try:
        parsed = json.loads(data)
    except ValueError:
        return {}
    return parsed if isinstance(parsed, dict) else {}
