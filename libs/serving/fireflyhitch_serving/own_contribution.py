"""What a hub's sums hold of this daemon itself.

A hub tells all of a failure domain the same sums. Each takes its own part off again, as
it was in the news that the hub has joined, or it would count its own work twice.
"""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import replace

from fireflyhitch_model.ids import BackendServerId, CustomerId
from fireflyhitch_serving.peer_state import PeerState
from fireflyhitch_serving.quotas import QuotaReport
from fireflyhitch_serving.server_statistics import AnswerCounts
from fireflyhitch_serving.servers import InFlight
from fireflyhitch_serving.summaries import DomainSummary

# Some seconds of news; a hub joins the newest that it has heard.
MOST_REMEMBERED = 40


class OwnPart:
    """Remembers what this daemon has told, to take it off again."""

    def __init__(self, own: str) -> None:
        """Make a part of a daemon that has told nothing."""
        self._own = own
        self._told: OrderedDict[int, PeerState] = OrderedDict()
        self._hub = ''
        # By customer: what was taken when the hub first heard of this daemon.
        self._base: dict[CustomerId, float] | None = None
        self._counted: dict[CustomerId, float] = {}

    def note_told(self, news: PeerState) -> None:
        """Remember what is told now."""
        self._told[news.sequence] = news
        if len(self._told) > MOST_REMEMBERED:
            self._told.popitem(last=False)

    def subtract(self, summary: DomainSummary) -> DomainSummary:
        """Return a hub's sums of the other daemons alone."""
        own = self._find(summary)
        self._count(summary, own)
        return replace(
            summary,
            work=_take_off_work(summary, own),
            answers=_take_off_answers(summary, own),
            customers=self._take_off_customers(summary, own),
        )

    def _take_off_customers(
        self, summary: DomainSummary, own: PeerState | None
    ) -> dict[CustomerId, QuotaReport]:
        """Return what customers take and ask of the others.

        Like what it is taken off, ``taken`` grows as long as one process is the hub.
        """
        asked = {} if own is None else own.customers
        return {
            customer: QuotaReport(
                note.taken - self._counted.get(customer, 0),
                max(note.demand - _read_demand(asked.get(customer)), 0),
                note.left,
            )
            for customer, note in summary.customers.items()
        }

    def _find(self, summary: DomainSummary) -> PeerState | None:
        member = summary.members.get(self._own)
        return None if member is None else self._told.get(member.sequence)

    def _count(self, summary: DomainSummary, own: PeerState | None) -> None:
        """Note what the hub has counted of this daemon's units since it first did."""
        if summary.process != self._hub:
            self._hub = summary.process
            self._base = None
            self._counted = {}
        if own is None:
            return
        taken = {customer: note.taken for customer, note in own.customers.items()}
        if self._base is None:
            self._base = taken
        for customer, units in taken.items():
            self._counted[customer] = units - self._base.get(customer, 0)


def _take_off_work(
    summary: DomainSummary, own: PeerState | None
) -> Mapping[BackendServerId, InFlight]:
    if own is None:
        return summary.work
    return {
        server: _subtract(work, own.work.get(server, InFlight()))
        for server, work in summary.work.items()
    }


def _take_off_answers(
    summary: DomainSummary, own: PeerState | None
) -> Mapping[BackendServerId, AnswerCounts]:
    if own is None:
        return summary.answers
    return {
        server: counts.subtract(own.answers.get(server, AnswerCounts()))
        for server, counts in summary.answers.items()
    }


def _subtract(work: InFlight, own: InFlight) -> InFlight:
    return InFlight(
        max(work.requests - own.requests, 0),
        max(work.prompt_tokens - own.prompt_tokens, 0),
    )


def _read_demand(note: QuotaReport | None) -> float:
    return 0 if note is None else note.demand
