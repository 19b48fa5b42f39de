"""What a daemon tells its peers: its present state, in one datagram."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import field, fields
from functools import cache
from typing import Any, NamedTuple, TypeVar

import cbor2

from fireflyhitch_model.ids import (
    BackendServerId,
    ContentId,
    CustomerId,
    FailureDomainId,
    ProcessId,
    Revision,
)
from fireflyhitch_model.records import immutable
from fireflyhitch_routing.crashes import CrashReport
from fireflyhitch_routing.server_limits import LimitReport
from fireflyhitch_serving.quotas import QuotaReport
from fireflyhitch_serving.server_statistics import AnswerCounts
from fireflyhitch_serving.servers import InFlight

UNREADABLE = (cbor2.CBORDecodeError, KeyError, TypeError, ValueError, AttributeError)
Row = TypeVar('Row')


class Member(NamedTuple):
    """A daemon whose news a hub has joined.

    :param sequence: of the news.
    """

    sequence: int
    hears_store: bool = True
    stopping: bool = False


@immutable
class PeerState:
    """A daemon's present state.

    :param daemon: its name, which a later process at the same place has too.
    :param process: names this process alone.
    :param sequence: grows with each message of a process.
    :param wall: seconds since 1970 by its clock.
    :param work: what it has in flight at each server.
    :param answers: how servers have answered it lately.
    :param customers: what customers take and ask of it.
    :param usage: requests that began, by window and customer.
    :param fresh_parts: prompt parts that servers began to read since the last
        messages.
    :param evidence: answers by service, version and route of the moves in force.
    :param crashes: what is new of requests under which servers ended.
    :param limits: what servers have said lately of limits.
    :param hears_store: whether the store answers it.
    :param store_settled: whether it has done so for some seconds.
    :param stopping: whether it is about to go.
    :param newest: revision of the newest change that it knows, by prefix of the keys.
    """

    daemon: str
    process: str
    failure_domain: FailureDomainId
    sequence: int
    wall: float
    work: Mapping[BackendServerId, InFlight]
    customers: Mapping[CustomerId, QuotaReport]
    usage: Mapping[int, Mapping[CustomerId, int]]
    fresh_parts: Mapping[BackendServerId, list[str]]
    evidence: Mapping[str, list[int]]
    newest: Mapping[str, Revision]
    answers: Mapping[BackendServerId, AnswerCounts] = field(default_factory=dict)
    crashes: Mapping[ContentId, CrashReport] = field(default_factory=dict)
    limits: Mapping[ProcessId, LimitReport] = field(default_factory=dict)
    hears_store: bool = True
    store_settled: bool = True
    stopping: bool = False


def render_news(news: PeerState) -> bytes:
    """Return a datagram."""
    return cbor2.dumps(
        {field.name: getattr(news, field.name) for field in fields(news)},
        default=encode_note,
    )


def encode_note(encoder: cbor2.CBOREncoder, note: object) -> None:
    """Encode the values in messages that CBOR does not know; it knows tuples."""
    if isinstance(note, QuotaReport):
        encoder.encode((note.taken, note.demand, note.left))


def read_news(data: bytes) -> PeerState | None:
    """Read a datagram; nothing for one that is none."""
    try:
        return PeerState(**decode_notes(cbor2.loads(data)))
    except UNREADABLE:
        return None


def decode_notes(read: dict[str, Any]) -> dict[str, Any]:
    """Return a message's fields with the values that ``encode_note`` wrote."""
    work = {key: InFlight(*counts) for key, counts in read['work'].items()}
    customers = {key: QuotaReport(*units) for key, units in read['customers'].items()}
    answers = {key: AnswerCounts(*told) for key, told in read['answers'].items()}
    crashes = {key: _read_crash(*told) for key, told in read['crashes'].items()}
    return {
        **read,
        'work': work,
        'customers': customers,
        'answers': answers,
        'crashes': crashes,
        'limits': {key: LimitReport(*told) for key, told in read['limits'].items()},
    }


def _read_crash(ends: list[list[Any]], answered: float | None) -> CrashReport:
    rows = [(process, float(age), float(ran)) for process, age, ran in ends]
    return CrashReport(rows, answered)


def render_rows(kind: str, rows: Sequence[object]) -> bytes:
    """Return a datagram of another kind: a map of one entry, its kind."""
    return cbor2.dumps({kind: rows}, default=encode_note)


def read_rows(kind: str, data: bytes, read: Callable[[Any], Row]) -> list[Row] | None:
    """Read a datagram of a kind, row by row; nothing for one of another.

    Its first bytes tell: most datagrams are news, and need not be decoded for that.
    """
    if not data.startswith(_find_head(kind)):
        return None
    try:
        return [read(row) for row in cbor2.loads(data)[kind]]
    except UNREADABLE:
        return None


@cache
def _find_head(kind: str) -> bytes:
    return cbor2.dumps({kind: ()})[:-1]
