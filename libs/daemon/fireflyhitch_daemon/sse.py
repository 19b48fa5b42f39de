"""Server-sent events: splits backend server streams, renders caller streams."""

from collections.abc import Sequence
from enum import Enum

from fireflyhitch_recovery.answers import AnswerPart
from fireflyhitch_recovery.events import Lineage, find_attempt, format_event_id

DATA_PREFIX = b'data: '
DATA_START = len(DATA_PREFIX)
DONE = b'[DONE]'
ERROR_START = b'{"error"'
DONE_EVENT = b'data: [DONE]\n\n'
LAST_CHUNK = b'0\r\n\r\n'
EVENT_END = b'\n\n'


def split_events(text: bytes) -> tuple[list[bytes], bytes]:
    """Return the data of the complete events in a text, and the remainder.

    Comments, which engines send as keep-alives, are dropped.
    """
    if b'\r' in text:
        text = text.replace(b'\r\n', b'\n')
    *events, rest = text.split(EVENT_END)
    return [
        event[DATA_START:] for event in events if event.startswith(DATA_PREFIX)
    ], rest


class Ending(Enum):
    """How a stream ended, by its last events."""

    NONE = 'none'
    DONE = 'done'
    ERROR = 'error'


def pop_ending(events: list[bytes]) -> Ending:
    """Remove the events that end a stream, and return how it ended.

    An engine that fails during an answer sends an error event. It is not relayed,
    since it would end an answer that another engine can continue.
    """
    done = events[-1] == DONE
    if done:
        events.pop()
    if events and events[-1].startswith(ERROR_START):
        events.pop()
        return Ending.ERROR
    return Ending.DONE if done else Ending.NONE


def render_events(events: Sequence[bytes], first_id: int, tag: bytes) -> bytes:
    """Return the events of one attempt with consecutive ids.

    :param tag: suffix of the number in an id, empty for a first attempt.
    """
    if len(events) == 1:
        return b'id: %d%b\ndata: %b\n\n' % (first_id, tag, events[0])
    return b''.join(
        b'id: %d%b\ndata: %b\n\n' % (first_id + offset, tag, event)
        for offset, event in enumerate(events)
    )


def render_part(part: AnswerPart, lineage: Lineage) -> bytes:
    """Return a part of an answer, whose events may be of several attempts."""
    rendered: list[bytes] = []
    for number, event in enumerate(part.events, part.first):
        event_id = format_event_id(number, find_attempt(lineage, number))
        rendered.append(b'id: %b\ndata: %b\n\n' % (event_id.encode(), event))
    return b''.join(rendered)


def render_chunk(text: bytes) -> bytes:
    """Return a text framed as one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(text), text)
