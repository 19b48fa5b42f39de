"""How long requests are expected to wait for the servers of a service.

All daemons' requests in flight, the servers' slots and time factors, and the learned
time of a request tell how often places become free; this daemon gets its part of them.
"""

from collections.abc import Sequence

from fireflyhitch_model.ids import DeploymentId
from fireflyhitch_routing.request_queue import StartRate
from fireflyhitch_routing.return_times import ReturnSchedule, make_overload_schedule
from fireflyhitch_routing.service_demand import ServiceDemands
from fireflyhitch_serving.placement import MAX_LOAD_FACTOR
from fireflyhitch_serving.servers import ServerRecord
from fireflyhitch_serving.work_times import WorkTimes

# More urgent requests never count as using more than the rest of the capacity: their
# measured demand is a short average, and less urgent ones are served in between.
MIN_FREE_FRACTION = 0.1


class ExpectedWaits:
    """The expected waits of services, and the return times of refused requests."""

    def __init__(self, work_times: WorkTimes, demands: ServiceDemands) -> None:
        """Create an estimate from the learned work times and the known demand."""
        self._work_times = work_times
        self._demands = demands
        self._schedules: dict[DeploymentId, ReturnSchedule] = {}

    def find_start_rate(
        self,
        service: DeploymentId,
        urgency: int,
        records: Sequence[ServerRecord],
        now: float,
    ) -> StartRate | None:
        """Return how fast this daemon's requests start while all servers are full.

        :param records: the servers that may get them.
        :returns: ``None`` while no response has shown how long a request takes.
        """
        capacity = _sum_capacity(records, now)
        if not capacity or not self._work_times.is_known(service):
            return None
        work = self._work_times.find(service)
        levels = self._demands.sum_levels(service, now)
        urgent = sum(
            demand.slot_seconds for level, demand in levels.items() if level < urgency
        )
        free = max(capacity - urgent, capacity * MIN_FREE_FRACTION)
        share = self._find_share(service, records, now)
        excess = sum(
            max(record.total(now).requests - record.server.slots * MAX_LOAD_FACTOR, 0)
            for record in records
        )
        return StartRate(excess * work / capacity, work / (free * share))

    def reserve_return(
        self, service: DeploymentId, records: Sequence[ServerRecord], now: float
    ) -> float | None:
        """Return the seconds after which a refused request may return.

        :returns: ``None`` while the capacity is unknown.
        """
        capacity = _sum_capacity(records, now)
        if not capacity or not self._work_times.is_known(service):
            return None
        schedule = self._schedules.setdefault(service, make_overload_schedule())
        rate = capacity * self._find_share(service, records, now)
        return schedule.reserve(self._work_times.find(service), rate, now)

    def _find_share(
        self, service: DeploymentId, records: Sequence[ServerRecord], now: float
    ) -> float:
        """Return the part of the places that become free which this daemon gets.

        A daemon that demands nothing any more keeps the places of its requests in
        flight: it learns at once of those that end.
        """
        in_flight = sum(record.total(now).requests for record in records)
        own = sum(record.requests for record in records)
        # The request that waits counts, so that the share is never zero.
        share = (own + 1) / (in_flight + 1)
        total = sum(
            demand.slot_seconds
            for demand in self._demands.sum_levels(service, now).values()
        )
        if total:
            demanded = self._demands.read_own(service, now).slot_seconds
            share = max(share, demanded / total)
        return share


def _sum_capacity(records: Sequence[ServerRecord], now: float) -> float:
    """Return the seconds of usual work that servers do per second."""
    return sum(
        record.server.slots / record.time_factor.estimate(now) for record in records
    )
