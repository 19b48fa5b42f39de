"""Failure domains: whether they are reached and how likely they lose instances."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from fireflyhitch_model.ids import FailureDomainId
from fireflyhitch_routing.records import ServerRecord

# A wave: each server that leaves adds this chance a second that its neighbours
# in the failure domain leave too, which fades.
WAVE_HAZARD = 0.002
WAVE_SECONDS = 300.0
FAILURE_SECONDS = 2.0
LEAST_FAILING = 2
FAILING_SHARE = 0.5


class DomainState(Enum):
    """Whether this daemon reaches a failure domain."""

    REACHABLE = 'reachable'
    CUT_OFF = 'cut-off'


@dataclass(slots=True)
class _Domain:
    state: DomainState = DomainState.REACHABLE
    leaving: float = 0
    leaving_at: float = 0

    def leaving_now(self, now: float) -> float:
        return self.leaving * math.exp((self.leaving_at - now) / WAVE_SECONDS)


class FailureDomains:
    """What is known of each failure domain; not thread-safe."""

    def __init__(self) -> None:
        self._domains: dict[FailureDomainId, _Domain] = {}

    def mark(self, name: FailureDomainId, state: DomainState) -> bool:
        """Set whether a failure domain is reached.

        :returns: whether it has come back by that.
        """
        domain = self._domains.setdefault(name, _Domain())
        before = domain.state
        domain.state = state
        return before is DomainState.CUT_OFF and state is DomainState.REACHABLE

    def is_cut_off(self, name: FailureDomainId) -> bool:
        """Tell whether a failure domain is not reached."""
        domain = self._domains.get(name)
        return domain is not None and domain.state is DomainState.CUT_OFF

    def note_leaving(self, name: FailureDomainId, now: float) -> None:
        """Count a server that leaves, as a sign of a wave."""
        domain = self._domains.setdefault(name, _Domain())
        domain.leaving = domain.leaving_now(now) + 1
        domain.leaving_at = now

    def hazard(self, name: FailureDomainId, now: float) -> float:
        """Return the chance a second that a wave takes a server there."""
        domain = self._domains.get(name)
        return WAVE_HAZARD * domain.leaving_now(now) if domain else 0


def is_failing(records: Iterable[ServerRecord], now: float) -> bool:
    """Tell whether a failure domain's servers fail together.

    A lost domain shows as failures of server after server; waiting for each to be
    ejected by its own failures would cost calls to every one of them.

    :param records: all servers of the failure domain.
    """
    failures = [record.health.last_failure for record in records]
    recent = sum(1 for at in failures if at >= now - FAILURE_SECONDS)
    return recent >= LEAST_FAILING and recent >= len(failures) * FAILING_SHARE
