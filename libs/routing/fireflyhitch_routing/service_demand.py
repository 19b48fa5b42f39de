"""The demand for each service at all daemons, by urgency.

Daemons that share the servers of a service have to know whether all of their requests
fit. This answers load beyond the capacity of a service's servers.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from fireflyhitch_model.ids import DeploymentId

# Time constant of the average. Shedding ends within a second after an overload, which
# includes half a second until all daemons know of it.
AVERAGE_SECONDS = 0.25
# Another daemon's demand counts for this long; a daemon that is gone demands nothing.
REPORT_TTL_SECONDS = 1.5
# Smaller demand is not reported to peers.
MIN_REPORTED = 0.001
REPORT_DIGITS = 3


class LevelDemand(NamedTuple):
    """What the requests of one urgency demand.

    :param slot_seconds: seconds of a server's slot, per second.
    :param prompt_seconds: seconds of an engine's reading time, per second.
    """

    slot_seconds: float = 0
    prompt_seconds: float = 0

    def add(self, other: 'LevelDemand') -> 'LevelDemand':
        """Return the sum of both."""
        return LevelDemand(
            self.slot_seconds + other.slot_seconds,
            self.prompt_seconds + other.prompt_seconds,
        )

    def scale(self, factor: float) -> 'LevelDemand':
        """Return a multiple."""
        return LevelDemand(self.slot_seconds * factor, self.prompt_seconds * factor)

    def subtract(self, other: 'LevelDemand') -> 'LevelDemand':
        """Return what is left without another demand."""
        return LevelDemand(
            max(self.slot_seconds - other.slot_seconds, 0),
            max(self.prompt_seconds - other.prompt_seconds, 0),
        )


NO_DEMAND = LevelDemand()
DemandByLevel = Mapping[int, LevelDemand]
DemandByService = Mapping[DeploymentId, DemandByLevel]


@dataclass(slots=True)
class _Meter:
    demand: LevelDemand = NO_DEMAND
    updated_at: float = 0

    def add(self, cost: LevelDemand, now: float) -> None:
        # Runs for each request: without intermediate records.
        decay = math.exp((self.updated_at - now) / AVERAGE_SECONDS)
        slot_seconds, prompt_seconds = self.demand
        self.demand = LevelDemand(
            slot_seconds * decay + cost.slot_seconds / AVERAGE_SECONDS,
            prompt_seconds * decay + cost.prompt_seconds / AVERAGE_SECONDS,
        )
        self.updated_at = now

    def read(self, now: float) -> LevelDemand:
        return self.demand.scale(math.exp((self.updated_at - now) / AVERAGE_SECONDS))


@dataclass(slots=True)
class _Reported:
    demand: DemandByService
    at: float


@dataclass(slots=True)
class ServiceDemands:
    """The demand at this daemon, and what other daemons have told of theirs."""

    _own: dict[tuple[DeploymentId, int], _Meter] = field(default_factory=dict)
    _reported: dict[str, _Reported] = field(default_factory=dict)

    def record(
        self, service: DeploymentId, urgency: int, cost: LevelDemand, now: float
    ) -> None:
        """Add a request of a caller of this daemon, whether it is admitted or not.

        :param cost: the seconds that it needs.
        """
        meter = self._own.get((service, urgency))
        if meter is None:
            meter = _Meter()
            self._own[service, urgency] = meter
        meter.add(cost, now)

    def build_report(self, now: float) -> dict[DeploymentId, dict[int, LevelDemand]]:
        """Return this daemon's own demand."""
        report: dict[DeploymentId, dict[int, LevelDemand]] = {}
        for (service, urgency), meter in self._own.items():
            demand = meter.read(now)
            if max(demand) >= MIN_REPORTED:
                rounded = LevelDemand(
                    *(round(value, REPORT_DIGITS) for value in demand)
                )
                report.setdefault(service, {})[urgency] = rounded
        return report

    def apply_report(self, source: str, demand: DemandByService, now: float) -> None:
        """Replace what a daemon, or several summed up, demand."""
        self._reported[source] = _Reported(demand, now)

    def forget_sources(self) -> None:
        """Drop all reports, as another source will tell the same demand."""
        self._reported.clear()

    def sum_levels(self, service: DeploymentId, now: float) -> dict[int, LevelDemand]:
        """Return the demand of all daemons for a service, by urgency."""
        self._drop_expired(now)
        own = {
            urgency: meter.read(now)
            for (known, urgency), meter in self._own.items()
            if known == service
        }
        levels = [known.demand.get(service, {}) for known in self._reported.values()]
        return sum_demand([own, *levels])

    def find_age(self, now: float) -> float | None:
        """Return the age of the oldest report in use, ``None`` without reports."""
        self._drop_expired(now)
        return max((now - known.at for known in self._reported.values()), default=None)

    def read_own(self, service: DeploymentId, now: float) -> LevelDemand:
        """Return the demand of this daemon's callers for a service."""
        total = NO_DEMAND
        for (known, _), meter in self._own.items():
            if known == service:
                total = total.add(meter.read(now))
        return total

    def _drop_expired(self, now: float) -> None:
        self._reported = {
            source: known
            for source, known in self._reported.items()
            if now - known.at < REPORT_TTL_SECONDS
        }


def sum_demand(levels: Iterable[DemandByLevel]) -> dict[int, LevelDemand]:
    """Return the sum of several demands for one service."""
    total: dict[int, LevelDemand] = {}
    for demand in levels:
        for urgency, level in demand.items():
            total[urgency] = total.get(urgency, NO_DEMAND).add(level)
    return total


def sum_services(
    reports: Iterable[DemandByService],
) -> dict[DeploymentId, dict[int, LevelDemand]]:
    """Return the sum of several daemons' demands."""
    by_service: dict[DeploymentId, list[DemandByLevel]] = {}
    for report in reports:
        for service, levels in report.items():
            by_service.setdefault(service, []).append(levels)
    return {name: sum_demand(demands) for name, demands in by_service.items()}


def subtract_demand(
    total: DemandByService, own: DemandByService
) -> dict[DeploymentId, dict[int, LevelDemand]]:
    """Return the demand of the others, given a sum that includes one's own."""
    return {
        service: _subtract_levels(levels, own.get(service, {}))
        for service, levels in total.items()
    }


def _subtract_levels(
    total: DemandByLevel, own: DemandByLevel
) -> dict[int, LevelDemand]:
    return {
        urgency: level.subtract(own.get(urgency, NO_DEMAND))
        for urgency, level in total.items()
    }
