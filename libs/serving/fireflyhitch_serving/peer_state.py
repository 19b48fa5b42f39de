"""The state that a daemon sends to its peers in one datagram."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import field, fields
from functools import cache
from typing import Any, NamedTuple, TypeVar

import cbor2

from fireflyhitch_model.external_values import (
    check_text,
    check_total,
    parse_id,
    parse_number,
)
from fireflyhitch_model.ids import (
    BackendServerId,
    ContentId,
    CustomerId,
    DeploymentId,
    FailureDomainId,
    ProcessId,
)
from fireflyhitch_model.records import immutable
from fireflyhitch_routing.announcements import Report, ReportsByKind
from fireflyhitch_routing.crashes import CrashReport
from fireflyhitch_routing.service_demand import DemandByService, LevelDemand
from fireflyhitch_routing.time_factors import TimeFactorReport, TimeFactorReports
from fireflyhitch_serving.malformed import DECODE_ERRORS
from fireflyhitch_serving.quotas import QuotaReport
from fireflyhitch_serving.server_statistics import AnswerCounts
from fireflyhitch_serving.servers import InFlight
from fireflyhitch_serving.store_eras import ReportedRevisions

Row = TypeVar('Row')


class Member(NamedTuple):
    """A daemon whose state a hub has merged.

    :param sequence: of that state.
    """

    sequence: int
    hears_store: bool = True
    stopping: bool = False
    reaches_servers: bool = True


@immutable
class PeerState:
    """A daemon's current state.

    :param daemon: its name, which a later process on the same instance shares.
    :param process: identifies this process alone.
    :param sequence: grows with each message of a process.
    :param wall: seconds since 1970 by its clock.
    :param work: its requests in flight, by server.
    :param answers: how servers have answered it recently.
    :param customers: units that customers take and demand at it.
    :param usage: requests that began, by window and customer.
    :param fresh_parts: prompt parts that servers began to read since the last messages.
    :param evidence: answers by service, version and route of the moves in force.
    :param crashes: new records of requests during which servers crashed.
    :param announcements: what servers have recently announced, by kind.
    :param time_factors: what servers have lately stated of their speed.
    :param demand: of its callers, by service and urgency.
    :param hears_store: whether the store answers it.
    :param store_settled: whether it has done so for some seconds.
    :param stopping: whether it is about to stop.
    :param reaches_servers: whether it can connect to any server.
    :param newest: the newest change received, as ``EraTracker`` reports it.
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
    newest: ReportedRevisions
    answers: Mapping[BackendServerId, AnswerCounts] = field(default_factory=dict)
    crashes: Mapping[ContentId, CrashReport] = field(default_factory=dict)
    announcements: ReportsByKind = field(default_factory=dict)
    time_factors: TimeFactorReports = field(default_factory=dict)
    demand: DemandByService = field(default_factory=dict)
    hears_store: bool = True
    store_settled: bool = True
    stopping: bool = False
    reaches_servers: bool = True


def encode_state(state: PeerState) -> bytes:
    """Return a datagram."""
    return cbor2.dumps(
        {field.name: getattr(state, field.name) for field in fields(state)},
        default=encode_value,
    )


def encode_value(encoder: cbor2.CBOREncoder, value: object) -> None:
    """Encode message values that cbor2 cannot encode; it encodes tuples itself."""
    if isinstance(value, QuotaReport):
        encoder.encode((value.taken, value.demand, value.left))


def decode_state(data: bytes) -> PeerState | None:
    """Decode a datagram; return ``None`` if it holds no state."""
    try:
        message = cbor2.loads(data)
        for text in (message['daemon'], message['process'], message['failure_domain']):
            check_text(text)
        check_numbers((message['sequence'], message['wall']))
        for counts in message['usage'].values():
            check_numbers(counts.values())
        for row in message['evidence'].values():
            check_numbers(row)
        return PeerState(**decode_values(message))
    except DECODE_ERRORS:
        return None


def decode_values(message: dict[str, Any]) -> dict[str, Any]:
    """Return a message's fields with the values that ``encode_value`` wrote."""
    work = {
        key: InFlight(*check_numbers(counts)) for key, counts in message['work'].items()
    }
    customers = {
        key: QuotaReport(*check_numbers(units))
        for key, units in message['customers'].items()
    }
    answers = {
        key: AnswerCounts(*check_numbers(row))
        for key, row in message['answers'].items()
    }
    for revision in message['newest'].values():
        parse_id(revision)
    crashes = decode_crashes(message['crashes'])
    return {
        **message,
        'work': work,
        'customers': customers,
        'answers': answers,
        'crashes': crashes,
        'announcements': {
            kind: {process: _decode_report(*row) for process, row in rows.items()}
            for kind, rows in message['announcements'].items()
        },
        'time_factors': _decode_time_factors(message.get('time_factors', {})),
        'demand': _decode_demand(message.get('demand', {})),
    }


def _decode_time_factors(
    rows: dict[BackendServerId, list[int]],
) -> dict[BackendServerId, TimeFactorReport]:
    return {
        server: TimeFactorReport(*check_numbers(row)) for server, row in rows.items()
    }


def _decode_demand(
    rows: dict[DeploymentId, dict[int, list[float]]],
) -> dict[DeploymentId, dict[int, LevelDemand]]:
    return {
        service: {
            urgency: LevelDemand(*check_numbers(row)) for urgency, row in levels.items()
        }
        for service, levels in rows.items()
    }


def decode_crashes(rows: Mapping[ContentId, Any]) -> dict[ContentId, CrashReport]:
    """Return reports on requests.

    :raises ValueError: if one is malformed, as other errors of ``DECODE_ERRORS``.
    """
    return {
        ContentId(check_text(content)): _decode_crash(*row)
        for content, row in rows.items()
    }


def _decode_crash(crash_rows: list[list[Any]], answered: float | None) -> CrashReport:
    rows = [
        (ProcessId(parse_id(process)), parse_number(age), parse_number(ran))
        for process, age, ran in crash_rows
    ]
    return CrashReport(rows, None if answered is None else parse_number(answered))


def _decode_report(value: float | None, age: float) -> Report:
    return Report(None if value is None else check_total(value), check_total(age))


def check_numbers(row: Iterable[Any]) -> Iterable[Any]:
    """Return a row of numbers, sums among them.

    :raises ValueError: if it contains anything else; each use of it would fail later.
    """
    for value in row:
        check_total(value)
    return row


def encode_rows(kind: str, rows: Sequence[object]) -> bytes:
    """Return a datagram of another kind: a map whose only key is the kind."""
    return cbor2.dumps({kind: rows}, default=encode_value)


def decode_rows(
    kind: str, data: bytes, decode_row: Callable[[Any], Row]
) -> list[Row] | None:
    """Decode a datagram row by row; return ``None`` for one of another kind.

    The kind is read from the first bytes, as most datagrams hold states and need not be
    decoded for this.
    """
    if not data.startswith(_encode_head(kind)):
        return None
    try:
        return [decode_row(row) for row in cbor2.loads(data)[kind]]
    except DECODE_ERRORS:
        return None


@cache
def _encode_head(kind: str) -> bytes:
    return cbor2.dumps({kind: ()})[:-1]
