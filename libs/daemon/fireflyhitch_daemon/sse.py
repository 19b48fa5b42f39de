"""Server-sent events: cutting a backend server's stream, rendering a caller's."""

from collections.abc import Sequence

from fireflyhitch_recovery.answers import AnswerPart
from fireflyhitch_recovery.events import Lineage, find_attempt, format_event_id

DATA_PREFIX = b'data: '
DATA_START = len(DATA_PREFIX)
DONE = b'[DONE]'
DONE_EVENT = b'data: [DONE]\n\n'
LAST_CHUNK = b'0\r\n\r\n'
EVENT_END = b'\n\n'


def split_events(text: bytes) -> tuple[list[bytes], bytes]:
    """Return the data of the whole events in a text, and what remains.

    Comments, which engines send to keep a connection alive, are left out.
    """
    if b'\r' in text:
        text = text.replace(b'\r\n', b'\n')
    *events, rest = text.split(EVENT_END)
    return [
        event[DATA_START:] for event in events if event.startswith(DATA_PREFIX)
    ], rest


def render_events(events: Sequence[bytes], first_id: int, tag: bytes) -> bytes:
    """Return events of one attempt with their ids, counted up from the first.

    :param tag: what follows the number in an id, empty for a first attempt.
    """
    if len(events) == 1:
        return b'id: %d%b\ndata: %b\n\n' % (first_id, tag, events[0])
    return b''.join(
        b'id: %d%b\ndata: %b\n\n' % (first_id + offset, tag, event)
        for offset, event in enumerate(events)
    )


def render_part(part: AnswerPart, lineage: Lineage) -> bytes:
    """Return a part of an answer, whichever attempts its events are of."""
    rendered: list[bytes] = []
    for number, event in enumerate(part.events, part.first):
        event_id = format_event_id(number, find_attempt(lineage, number))
        rendered.append(b'id: %b\ndata: %b\n\n' % (event_id.encode(), event))
    return b''.join(rendered)


def render_chunk(text: bytes) -> bytes:
    """Return a text framed as one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(text), text)
