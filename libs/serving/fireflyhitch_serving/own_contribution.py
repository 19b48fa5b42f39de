"""Subtracts this daemon's own contribution from a hub's sums.

A hub sends the same sums to all daemons of a failure domain. Each subtracts its own
state, as it was in the message that the hub merged; otherwise it would count its own
work twice.
"""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import replace

from fireflyhitch_model.ids import BackendServerId, CustomerId
from fireflyhitch_routing.service_demand import subtract_demand
from fireflyhitch_serving.peer_state import PeerState
from fireflyhitch_serving.quotas import QuotaReport
from fireflyhitch_serving.server_statistics import AnswerCounts
from fireflyhitch_serving.servers import InFlight
from fireflyhitch_serving.summaries import DomainSummary

# Covers some seconds of messages; a hub merges the newest it has received.
MAX_REMEMBERED = 40


class OwnContribution:
    """Remembers the states this daemon has sent, to subtract them from the hub's sums."""

    def __init__(self, own: str) -> None:
        """Create the record of a daemon that has sent no state."""
        self._own = own
        self._sent: OrderedDict[int, PeerState] = OrderedDict()
        self._hub = ''
        # Units taken by each customer when the hub first heard from this daemon.
        self._baseline: dict[CustomerId, float] | None = None
        self._counted: dict[CustomerId, float] = {}

    def remember(self, state: PeerState) -> None:
        """Remember a state that is about to be sent."""
        self._sent[state.sequence] = state
        if len(self._sent) > MAX_REMEMBERED:
            self._sent.popitem(last=False)

    def subtract_from(self, summary: DomainSummary) -> DomainSummary:
        """Return a hub's sums of the other daemons alone."""
        own = self._find(summary)
        self._update_counted(summary, own)
        return replace(
            summary,
            work=_subtract_work(summary, own),
            answers=_subtract_answers(summary, own),
            customers=self._subtract_customers(summary, own),
            demand=subtract_demand(summary.demand, {} if own is None else own.demand),
        )

    def _subtract_customers(
        self, summary: DomainSummary, own: PeerState | None
    ) -> dict[CustomerId, QuotaReport]:
        """Return the units that customers take and demand at the other daemons.

        Like the sum it is subtracted from, ``taken`` grows as long as the hub is the
        same process.
        """
        own_customers = {} if own is None else own.customers
        return {
            customer: QuotaReport(
                report.taken - self._counted.get(customer, 0),
                max(report.demand - _read_demand(own_customers.get(customer)), 0),
                report.left,
            )
            for customer, report in summary.customers.items()
        }

    def _find(self, summary: DomainSummary) -> PeerState | None:
        member = summary.members.get(self._own)
        return None if member is None else self._sent.get(member.sequence)

    def _update_counted(self, summary: DomainSummary, own: PeerState | None) -> None:
        """Record how many of this daemon's units the hub has counted.

        The hub counts units from the first state it merged; those taken before are the
        baseline.
        """
        if summary.process != self._hub:
            self._hub = summary.process
            self._baseline = None
            self._counted = {}
        if own is None:
            return
        taken = {customer: report.taken for customer, report in own.customers.items()}
        if self._baseline is None:
            self._baseline = taken
        for customer, units in taken.items():
            self._counted[customer] = units - self._baseline.get(customer, 0)


def _subtract_work(
    summary: DomainSummary, own: PeerState | None
) -> Mapping[BackendServerId, InFlight]:
    if own is None:
        return summary.work
    return {
        server: _subtract_in_flight(work, own.work.get(server, InFlight()))
        for server, work in summary.work.items()
    }


def _subtract_answers(
    summary: DomainSummary, own: PeerState | None
) -> Mapping[BackendServerId, AnswerCounts]:
    if own is None:
        return summary.answers
    return {
        server: counts.subtract(own.answers.get(server, AnswerCounts()))
        for server, counts in summary.answers.items()
    }


def _subtract_in_flight(work: InFlight, own: InFlight) -> InFlight:
    return InFlight(
        max(work.requests - own.requests, 0),
        max(work.prompt_tokens - own.prompt_tokens, 0),
    )


def _read_demand(report: QuotaReport | None) -> float:
    return 0 if report is None else report.demand
