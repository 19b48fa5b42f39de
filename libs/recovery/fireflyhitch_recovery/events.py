"""Ids of an answer's events, as callers send them back in Last-Event-ID."""

from dataclasses import dataclass
from typing import NewType

from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.ids import DaemonId
from fireflyhitch_model.states import Outcome, Step

# Names who generated an event's text. Empty for the first attempt at a request,
# so that ids are plain numbers until an answer is continued elsewhere.
AttemptTag = NewType('AttemptTag', str)

FIRST_ATTEMPT = AttemptTag('')
TAG_MASK = 0xFFFF
BAD_REQUEST = 400
CONFLICT = 409
SEPARATOR = '.'


@dataclass(frozen=True, slots=True)
class EventId:
    """The place of an event in an answer.

    :param number: counts from 1; 0 stands before the first event.
    :param attempt: the attempt that generated it.
    """

    number: int
    attempt: AttemptTag = FIRST_ATTEMPT


START = EventId(0)


@dataclass(frozen=True, slots=True)
class LineageEntry:
    """From which event on an answer is an attempt's."""

    first: int
    attempt: AttemptTag


Lineage = tuple[LineageEntry, ...]
FIRST_LINEAGE: Lineage = (LineageEntry(1, FIRST_ATTEMPT),)


def make_attempt_tag(daemon: DaemonId, number: int) -> AttemptTag:
    """Return a tag that two daemons that continue one answer do not share.

    :param number: the attempt's number at this daemon, from 2.
    """
    return AttemptTag(f'{number}-{hash_text(daemon) & TAG_MASK:04x}')


def format_event_id(number: int, attempt: AttemptTag) -> str:
    """Return an event's id for the ``id:`` field of server-sent events."""
    return f'{number}{SEPARATOR}{attempt}' if attempt else str(number)


def parse_event_id(text: str) -> EventId:
    """Return the id that a caller sent in ``Last-Event-ID``.

    :raises RequestError: if it is not one of ours.
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
    """Return the attempt that an event is of."""
    found = FIRST_ATTEMPT
    for entry in lineage:
        if entry.first <= number:
            found = entry.attempt
    return found


def check_lineage(lineage: Lineage, last: EventId) -> None:
    """Check that an answer can go on behind an event that a caller holds.

    Two daemons cut off from each other may both continue an answer, with
    different words. Whoever has read from one of them must not be given the
    rest of the other; the id's attempt shows it.

    :raises RequestError: if the event is of a continuation that is not ours.
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
