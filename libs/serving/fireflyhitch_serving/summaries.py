"""Summaries of whole failure domains, used if there are many daemons.

Daemons of one failure domain share their complete states. Of other domains each needs
only sums: work in flight at each server, units taken by customers, prompt parts. One
daemon of each domain, the relay, sends the sums of its own domain to the relays of the
others, and forwards theirs to its own domain. So the number of messages of a daemon
grows with its own domain and the number of domains, not with all daemons.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import field, fields, replace
from itertools import chain
from typing import Any

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.external_values import check_text
from fireflyhitch_model.ids import (
    BackendServerId,
    ContentId,
    CustomerId,
    FailureDomainId,
)
from fireflyhitch_model.records import immutable
from fireflyhitch_routing.announcements import ReportsByKind
from fireflyhitch_routing.crashes import CrashReport
from fireflyhitch_routing.service_demand import DemandByService
from fireflyhitch_routing.time_factors import (
    TimeFactorReport,
    TimeFactorReports,
    pick_latest,
)
from fireflyhitch_serving.packing import pack, unpack
from fireflyhitch_serving.peer_state import (
    Member,
    PeerState,
    check_numbers,
    decode_rows,
    decode_values,
    encode_rows,
)
from fireflyhitch_serving.peers import MAX_DATAGRAM_BYTES
from fireflyhitch_serving.quotas import QuotaReport
from fireflyhitch_serving.server_statistics import AnswerCounts
from fireflyhitch_serving.servers import InFlight
from fireflyhitch_serving.store_eras import ReportedRevisions

SUMMARIES = 'summaries'
# Several intervals between a relay's messages; a stopped relay is replaced within that
# time.
UNRESPONSIVE_SECONDS = 2.0
# After three missed intervals a domain may be cut off.
SUSPECT_SECONDS = 1.0


@immutable
class DomainSummary:
    """The current state of a failure domain's daemons.

    :param relay: the daemon that made it.
    :param process: that daemon's process.
    :param sequence: grows with each summary of a process.
    :param members: the daemons whose states it contains, by name.
    :param work: their requests in flight, by server.
    :param answers: how servers have answered them recently.
    :param customers: units that customers take and demand at them.
    :param fresh_parts: prompt parts that servers recently began to read.
    :param evidence: by process: answers by service, version and route of moves in
        force.
    :param crashes: new records of requests during which servers crashed.
    :param announcements: what servers have recently announced, by kind.
    :param time_factors: what servers have lately stated of their speed.
    :param demand: of their callers, by service and urgency.
    :param newest: the newest change that one of them has received, as ``EraTracker``
        reports it.
    :param store_settled: whether one of them has reached the store without
        interruption.
    :param wall: seconds since 1970 that they agree on.
    """

    domain: FailureDomainId
    relay: str
    process: str
    sequence: int
    members: Mapping[str, Member]
    work: Mapping[BackendServerId, InFlight]
    customers: Mapping[CustomerId, QuotaReport]
    fresh_parts: Mapping[BackendServerId, list[str]]
    evidence: Mapping[str, Mapping[str, list[int]]]
    newest: ReportedRevisions
    store_settled: bool
    wall: float = 0
    answers: Mapping[BackendServerId, AnswerCounts] = field(default_factory=dict)
    crashes: Mapping[ContentId, CrashReport] = field(default_factory=dict)
    announcements: ReportsByKind = field(default_factory=dict)
    time_factors: TimeFactorReports = field(default_factory=dict)
    demand: DemandByService = field(default_factory=dict)

    @property
    def source(self) -> str:
        """Return the name under which its work and counts are stored."""
        return f'{self.domain} by {self.process}'


def encode_summaries(summaries: Sequence[DomainSummary]) -> bytes:
    """Return a datagram, whatever its size."""
    rows = [
        {field.name: getattr(summary, field.name) for field in fields(summary)}
        for summary in summaries
    ]
    return encode_rows(SUMMARIES, [pack(rows)])


def pack_summaries(summaries: Sequence[DomainSummary]) -> list[bytes]:
    """Return datagrams of an allowed size that hold the summaries.

    After many servers have crashed at once, those of all domains do not fit into one.
    No receiver would hear of a hub any more, and each would look for another one.
    """
    data = encode_summaries(summaries)
    if len(data) <= MAX_DATAGRAM_BYTES:
        return [data]
    if len(summaries) > 1:
        middle = len(summaries) // 2
        return [
            *pack_summaries(summaries[:middle]),
            *pack_summaries(summaries[middle:]),
        ]
    summary = summaries[0]
    logger.bind(domain=summary.domain, size=len(data)).warning(
        'summary too large for a datagram'
    )
    if not (summary.crashes or summary.fresh_parts):
        return []
    # Those parts are told again by the daemons that they come from.
    return pack_summaries([replace(summary, crashes={}, fresh_parts={})])


def decode_summaries(data: bytes) -> list[DomainSummary] | None:
    """Decode a datagram; return ``None`` for one of another kind."""
    packed = decode_rows(SUMMARIES, data, _unpack_summaries)
    return None if packed is None else list(chain.from_iterable(packed))


def _unpack_summaries(packed: bytes) -> list[DomainSummary]:
    return [_decode_summary(row) for row in unpack(packed)]


def _decode_summary(row: dict[str, Any]) -> DomainSummary:
    for text in (row['domain'], row['relay'], row['process']):
        check_text(text)
    check_numbers((row['sequence'], row['wall']))
    for evidence in row['evidence'].values():
        for counts in evidence.values():
            check_numbers(counts)
    members = {name: Member(*values) for name, values in row['members'].items()}
    return DomainSummary(**{**decode_values(row), 'members': members})


def sum_work(states: Sequence[PeerState]) -> dict[BackendServerId, InFlight]:
    """Return the daemons' total work in flight, by server."""
    total: dict[BackendServerId, InFlight] = {}
    for state in states:
        for server, work in state.work.items():
            known = total.get(server, InFlight())
            total[server] = InFlight(
                known.requests + work.requests,
                known.prompt_tokens + work.prompt_tokens,
            )
    return total


def merge_parts(states: Sequence[PeerState]) -> dict[BackendServerId, list[str]]:
    """Return the prompt parts that servers began to read, without duplicates."""
    merged: dict[BackendServerId, dict[str, None]] = {}
    for state in states:
        for server_id, parts in state.fresh_parts.items():
            merged.setdefault(server_id, {}).update(dict.fromkeys(parts))
    return {server: list(found) for server, found in merged.items()}


def merge_time_factors(
    states: Sequence[PeerState],
) -> dict[BackendServerId, TimeFactorReport]:
    """Return what servers have stated last to any of the daemons."""
    merged: dict[BackendServerId, TimeFactorReport] = {}
    for state in states:
        for server, report in state.time_factors.items():
            merged[server] = pick_latest(report, merged.get(server))
    return merged


@immutable
class _Received:
    summary: DomainSummary
    received_at: float


class SummaryTable:
    """The last summary of each other failure domain."""

    def __init__(self, clock: Clock, forget: Callable[[str], None]) -> None:
        """Create a table without summaries.

        :param forget: called with a source when another source replaces it.
        """
        self._clock = clock
        self._forget = forget
        self._received: dict[FailureDomainId, _Received] = {}
        self._relayed_at = float('-inf')

    def receive(self, summary: DomainSummary) -> bool:
        """Store a summary; return whether it is new."""
        known = self._received.get(summary.domain)
        now = self._clock.monotonic()
        if known is not None and known.summary.process == summary.process:
            if summary.sequence <= known.summary.sequence:
                return False
        elif known is not None:
            # Two sources of one domain count the same work; only the last one is kept.
            self._forget(known.summary.source)
            logger.bind(domain=summary.domain, relay=summary.relay).info(
                'summaries from another relay'
            )
        self._received[summary.domain] = _Received(summary, now)
        return True

    def record_relay_message(self) -> None:
        """Record a message of this domain's relay."""
        self._relayed_at = self._clock.monotonic()

    def live(self) -> dict[FailureDomainId, DomainSummary]:
        """Return the summaries that are not too old."""
        now = self._clock.monotonic()
        return {
            domain: entry.summary
            for domain, entry in self._received.items()
            if now - entry.received_at <= UNRESPONSIVE_SECONDS
        }

    def find_unresponsive_domains(self) -> frozenset[FailureDomainId]:
        """Return the failure domains that are probably cut off from here.

        If all of them are silent, this domain's relay may have stopped; only while that
        relay is responsive are all of them considered cut off.
        """
        now = self._clock.monotonic()
        unresponsive = frozenset(
            domain
            for domain, entry in self._received.items()
            if now - entry.received_at > SUSPECT_SECONDS
        )
        if len(unresponsive) < len(self._received):
            return unresponsive
        return (
            unresponsive if now - self._relayed_at <= SUSPECT_SECONDS else frozenset()
        )
