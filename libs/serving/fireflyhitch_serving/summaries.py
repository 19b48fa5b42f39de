"""The state of whole failure domains, where there are many daemons.

Daemons of one failure domain tell each other all. Of the others each needs sums only:
work in flight at each server, what customers take, prompt parts. One daemon of each
domain, the relay, sums up its own domain for the relays of the others, and passes on to
its neighbours what it hears from these. So a daemon's messages grow with its own
domain and the number of domains, not with all daemons.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import field, fields
from typing import Any

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import (
    ABSENT,
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
from fireflyhitch_serving.peer_state import (
    Member,
    PeerState,
    decode_notes,
    read_rows,
    render_rows,
)
from fireflyhitch_serving.quotas import QuotaReport
from fireflyhitch_serving.server_statistics import AnswerCounts
from fireflyhitch_serving.servers import InFlight

SUMMARIES = 'summaries'
# Some turns of the relays; a relay that ended is replaced within that time.
SILENT_SECONDS = 2.0
# A domain that was not heard for three turns may be cut off.
SUSPECT_SECONDS = 1.0


@immutable
class DomainSummary:
    """The present state of a failure domain's daemons.

    :param relay: the daemon that made it.
    :param process: that daemon's process.
    :param sequence: grows with each summary of a process.
    :param members: by name: the daemons whose state is in it.
    :param work: what they have in flight at each server.
    :param answers: how servers have answered them lately.
    :param customers: what customers take and ask of them.
    :param fresh_parts: prompt parts that servers began to read lately.
    :param evidence: by process: answers by service, version and route of moves in force.
    :param crashes: what is new of requests under which servers ended.
    :param limits: what servers have said lately of limits.
    :param newest: revision of the newest change that one of them knows, by prefix.
    :param store_settled: whether one of them has heard the store without a break.
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
    newest: Mapping[str, Revision]
    store_settled: bool
    wall: float = 0
    answers: Mapping[BackendServerId, AnswerCounts] = field(default_factory=dict)
    crashes: Mapping[ContentId, CrashReport] = field(default_factory=dict)
    limits: Mapping[ProcessId, LimitReport] = field(default_factory=dict)

    @property
    def source(self) -> str:
        """Return the name under which its work and counts are kept."""
        return f'{self.domain} by {self.process}'


def render_summaries(summaries: Sequence[DomainSummary]) -> bytes:
    """Return a datagram."""
    rows = [
        {field.name: getattr(summary, field.name) for field in fields(summary)}
        for summary in summaries
    ]
    return render_rows(SUMMARIES, rows)


def read_summaries(data: bytes) -> list[DomainSummary] | None:
    """Read a datagram; nothing for one of another kind."""
    return read_rows(SUMMARIES, data, _read_summary)


def _read_summary(row: dict[str, Any]) -> DomainSummary:
    members = {name: Member(*told) for name, told in row['members'].items()}
    return DomainSummary(**{**decode_notes(row), 'members': members})


def add_work(news: Sequence[PeerState]) -> dict[BackendServerId, InFlight]:
    """Return the work that daemons have in flight together, by server."""
    total: dict[BackendServerId, InFlight] = {}
    for told in news:
        for server, work in told.work.items():
            known = total.get(server, InFlight())
            total[server] = InFlight(
                known.requests + work.requests,
                known.prompt_tokens + work.prompt_tokens,
            )
    return total


def join_parts(news: Sequence[PeerState]) -> dict[BackendServerId, list[str]]:
    """Return the prompt parts that servers began to read, each once."""
    joined: dict[BackendServerId, dict[str, None]] = {}
    for told in news:
        for where, parts in told.fresh_parts.items():
            joined.setdefault(where, {}).update(dict.fromkeys(parts))
    return {server: list(found) for server, found in joined.items()}


def join_newest(told: Iterable[Mapping[str, Revision]]) -> dict[str, Revision]:
    """Return the newest change that anybody knows, by prefix."""
    joined: dict[str, Revision] = {}
    for newest in told:
        for prefix, revision in newest.items():
            joined[prefix] = max(joined.get(prefix, ABSENT), revision)
    return joined


@immutable
class _Heard:
    summary: DomainSummary
    at: float


class SummaryTable:
    """The last summary of each other failure domain."""

    def __init__(self, clock: Clock, forget: Callable[[str], None]) -> None:
        """Make a book that has heard nothing.

        :param forget: told the source of summaries that another source goes on with.
        """
        self._clock = clock
        self._forget = forget
        self._heard: dict[FailureDomainId, _Heard] = {}
        self._relayed_at = float('-inf')

    def take(self, summary: DomainSummary) -> bool:
        """Take in a summary; tell whether it is new."""
        known = self._heard.get(summary.domain)
        now = self._clock.monotonic()
        if known is not None and known.summary.process == summary.process:
            if summary.sequence <= known.summary.sequence:
                return False
        elif known is not None:
            # Two sources of one domain count the same; only the last one holds.
            self._forget(known.summary.source)
            logger.bind(domain=summary.domain, relay=summary.relay).info(
                'summaries from another relay'
            )
        self._heard[summary.domain] = _Heard(summary, now)
        return True

    def note_relayed(self) -> None:
        """Note that the own domain's relay is heard."""
        self._relayed_at = self._clock.monotonic()

    def live(self) -> dict[FailureDomainId, DomainSummary]:
        """Return the summaries that are not too old."""
        now = self._clock.monotonic()
        return {
            domain: heard.summary
            for domain, heard in self._heard.items()
            if now - heard.at <= SILENT_SECONDS
        }

    def find_unresponsive_domains(self) -> frozenset[FailureDomainId]:
        """Return the failure domains that are probably cut off from here.

        If none is heard it may be the own domain's relay that has ended; only while
        that one is heard are all of them taken for cut off.
        """
        now = self._clock.monotonic()
        silent = frozenset(
            domain
            for domain, heard in self._heard.items()
            if now - heard.at > SUSPECT_SECONDS
        )
        if len(silent) < len(self._heard):
            return silent
        return silent if now - self._relayed_at <= SUSPECT_SECONDS else frozenset()
