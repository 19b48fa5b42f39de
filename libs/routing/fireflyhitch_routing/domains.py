"""Failure domains: reachability and the likelihood of losing instances."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from fireflyhitch_model.ids import FailureDomainId
from fireflyhitch_routing.records import ServerRecord

# Reclamations are correlated: each server that leaves adds this probability per second
# that other servers of its failure domain leave too. It decays exponentially.
RECLAIM_HAZARD = 0.002
RECLAIM_DECAY_SECONDS = 300.0
FAILURE_SECONDS = 2.0
MIN_FAILING = 2
FAILING_SHARE = 0.5


class DomainState(Enum):
    """Whether a failure domain is reachable from this daemon."""

    REACHABLE = 'reachable'
    CUT_OFF = 'cut-off'


@dataclass(slots=True)
class _Domain:
    state: DomainState = DomainState.REACHABLE
    departures: float = 0
    departures_at: float = 0

    def count_departures(self, now: float) -> float:
        return self.departures * math.exp(
            (self.departures_at - now) / RECLAIM_DECAY_SECONDS
        )


class FailureDomains:
    """State of all failure domains; not thread-safe."""

    def __init__(self) -> None:
        self._domains: dict[FailureDomainId, _Domain] = {}

    def set_state(self, name: FailureDomainId, state: DomainState) -> bool:
        """Set the state of a failure domain.

        :returns: whether it became reachable again.
        """
        domain = self._domains.setdefault(name, _Domain())
        previous = domain.state
        domain.state = state
        return previous is DomainState.CUT_OFF and state is DomainState.REACHABLE

    def is_cut_off(self, name: FailureDomainId) -> bool:
        """Return whether a failure domain is not reachable."""
        domain = self._domains.get(name)
        return domain is not None and domain.state is DomainState.CUT_OFF

    def record_departure(self, name: FailureDomainId, now: float) -> None:
        """Count a server that leaves, as a sign of correlated reclamations."""
        domain = self._domains.setdefault(name, _Domain())
        domain.departures = domain.count_departures(now) + 1
        domain.departures_at = now

    def hazard(self, name: FailureDomainId, now: float) -> float:
        """Return the additional probability per second that a server there leaves."""
        domain = self._domains.get(name)
        return RECLAIM_HAZARD * domain.count_departures(now) if domain else 0


def is_failing(records: Iterable[ServerRecord], now: float) -> bool:
    """Return whether the servers of a failure domain fail together.

    When a domain is lost, its servers fail one after the other; waiting until each is
    ejected for its own failures would fail calls at every one of them.

    :param records: all servers of the failure domain.
    """
    failures = [record.health.last_failure for record in records]
    recent = sum(1 for at in failures if at >= now - FAILURE_SECONDS)
    return recent >= MIN_FAILING and recent >= len(failures) * FAILING_SHARE
