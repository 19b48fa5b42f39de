"""Event ids of an answer, which callers send back in ``Last-Event-ID``."""

from dataclasses import dataclass
from typing import NewType

from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.ids import DaemonId
from fireflyhitch_model.states import Outcome, Step

# Identifies the attempt that generated an event. Empty for a request's first
# attempt, so that ids are plain numbers until another attempt continues it.
AttemptTag = NewType('AttemptTag', str)

FIRST_ATTEMPT = AttemptTag('')
TAG_MASK = 0xFFFF
BAD_REQUEST = 400
CONFLICT = 409
SEPARATOR = '.'


@dataclass(frozen=True, slots=True)
class EventId:
    """Position of an event in an answer.

    :param number: counts from 1; 0 is the position before the first event.
    :param attempt: the attempt that generated the event.
    """

    number: int
    attempt: AttemptTag = FIRST_ATTEMPT


START = EventId(0)


@dataclass(frozen=True, slots=True)
class LineageEntry:
    """The number of the first event that an attempt generated."""

    first: int
    attempt: AttemptTag


Lineage = tuple[LineageEntry, ...]
FIRST_LINEAGE: Lineage = (LineageEntry(1, FIRST_ATTEMPT),)


def make_attempt_tag(daemon: DaemonId, number: int) -> AttemptTag:
    """Return an attempt tag that differs between daemons that continue one answer.

    :param number: number of the attempt at this daemon, from 2.
    """
    return AttemptTag(f'{number}-{hash_text(daemon) & TAG_MASK:04x}')


def format_event_id(number: int, attempt: AttemptTag) -> str:
    """Return an event id for the ``id:`` field of a server-sent event."""
    return f'{number}{SEPARATOR}{attempt}' if attempt else str(number)


def parse_event_id(text: str) -> EventId:
    """Return the event id that a caller sent in ``Last-Event-ID``.

    :raises RequestError: if the id is malformed.
    """
    number, _, attempt = text.strip().partition(SEPARATOR)
    if not number:
        return START
    if not number.isascii() or not number.isdigit():
        raise RequestError(
            'Last-Event-ID is not an id of this answer',
            step=Step.PARSE,
            status=BAD_REQUEST,
            code='bad_event_id',
            outcome=Outcome.UNKNOWN,
        )
    return EventId(int(number), AttemptTag(attempt))


def find_attempt(lineage: Lineage, number: int) -> AttemptTag:
    """Return the attempt that generated an event."""
    found = FIRST_ATTEMPT
    for entry in lineage:
        if entry.first <= number:
            found = entry.attempt
    return found


def check_lineage(lineage: Lineage, last: EventId) -> None:
    """Check that an answer continues the events that a caller has received.

    During a network partition two daemons may both continue an answer, with
    different text. A caller that read from one must not get the rest from the
    other; the attempt in the event id tells them apart.

    :raises RequestError: if the event belongs to another continuation.
    """
    if last.number == 0 or find_attempt(lineage, last.number) == last.attempt:
        return
    raise RequestError(
        'the answer went on elsewhere and that part is lost',
        step=Step.RESUME,
        status=CONFLICT,
        code='answer_diverged',
        outcome=Outcome.RAN,
    )
