"""Scales each service to the number of servers that its load needs, while leading."""

import asyncio
import math
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from loguru import logger

from fireflyhitch_fleet.spread import (
    DomainServers,
    SpreadBounds,
    SpreadNeed,
    count_servers_after_loss,
    spread_servers,
)
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import DeploymentId, FailureDomainId
from fireflyhitch_model.records import immutable
from fireflyhitch_routing.service_demand import NO_DEMAND, LevelDemand
from fireflyhitch_serving.catalog import Catalog, ScaleBounds, Service
from fireflyhitch_serving.duty_calls import CallResult, DutyCalls, ServerOrder
from fireflyhitch_serving.leases import LeaderLease
from fireflyhitch_serving.servers import ServerRegistry
from fireflyhitch_serving.workloads import Workloads

CHECK_INTERVAL_SECONDS = 0.5
# An order whose servers are not listed this long after they should have started is
# repeated.
REORDER_SECONDS = 2.5
# So is one for which no servers were available: after a reclaim there may be some only
# until the next one, a few tenths of a second later.
UNAVAILABLE_SECONDS = 1.0
# Failure domains are reclaimed one by one, and others may follow before the first one's
# servers are replaced. Spare reclaimable servers cost less than on-demand servers
# bought for the last domains, and need no start first.
TOLERATED_DOMAIN_LOSSES = 3
MIN_NEEDED = 3
# Decay of a peak per check, half in 23 s: bursts come again, and reclaimable servers
# that were released may be unavailable for some time after a reclaim.
PEAK_DECAY = 0.985
# A leader that has seen no load yet assumes that this fraction of the present servers
# is needed: orders for no load would leave the first callers only a few servers.
INITIAL_FLOOR_FRACTION = 0.6
# The same for a leader that takes over under load: the previous leader knew the load,
# and servers released now may be unavailable later.
TAKEOVER_FLOOR_FRACTION = 0.85

# Servers that run when the daemons start are listed one by one, as each writes its
# entry, once in 1.2 s; a count unchanged for this long is taken as complete. Orders
# based on the first entries would release the other servers.
STABLE_LIST_SECONDS = 1.5
# If none is listed by then, there may be none.
EMPTY_LIST_SECONDS = 6.0
# If this many servers are listed, and none is reclaimable, all seem to be on demand.
MIN_LISTED_ON_DEMAND = 2

_OrderKey = tuple[DeploymentId, FailureDomainId, bool]


@immutable
class EngineLoad:
    """How much an engine is used.

    :param utilization: fraction of the time for which it is busy with prefill.
    :param batch_fraction: fraction of its batch that is in use.
    """

    utilization: float
    batch_fraction: float


# Requests come in bursts: above this the prompt queue grows, and a full batch makes
# requests wait for a slot, and steps longer.
PLANNED_LOAD = EngineLoad(utilization=0.5, batch_fraction=0.5)
# The most that engines bear for some seconds, until others have started.
MAX_FRACTION = 0.8
FULL_LOAD = EngineLoad(utilization=MAX_FRACTION, batch_fraction=MAX_FRACTION)


@dataclass(slots=True)
class _Listing:
    count: int
    since: float
    settled: bool = False


@dataclass(slots=True)
class _PlacedOrder:
    """An order that was placed.

    :param present: the maximum number of servers of this kind listed since then.
    :param wait: seconds until the order may have to be repeated.
    """

    count: int
    placed_at: float
    present: int
    wait: float

    def is_current(self, order: ServerOrder, present: int, now: float) -> bool:
        """Return whether the order need not be repeated.

        Reclaimed servers are not replaced without a new order.
        """
        if self.count != order.count or present < self.present:
            return False
        self.present = present
        return present == order.count or now - self.placed_at < self.wait


@dataclass(slots=True)
class _Peak:
    """The recent peak load of a service.

    :param busy: engines that its prompts keep busy all the time.
    :param requests: requests in flight.
    """

    busy: float = 0
    requests: float = 0

    def update(self, busy: float, requests: float) -> None:
        """Apply the current load; an earlier, higher load decays."""
        self.busy = max(self.busy * PEAK_DECAY, busy)
        self.requests = max(self.requests * PEAK_DECAY, requests)


def _find_no_demand(service: DeploymentId) -> LevelDemand:
    """Return that nothing is shed."""
    return NO_DEMAND


class Autoscaler:
    """Orders servers; a new leader starts from the servers listed."""

    def __init__(
        self,
        catalog: Callable[[], Catalog | None],
        servers: ServerRegistry,
        demand: Callable[[], float],
        workloads: Workloads,
        lease: LeaderLease,
        calls: DutyCalls,
        clock: Clock,
        find_overload_demand: Callable[[DeploymentId], LevelDemand] = _find_no_demand,
    ) -> None:
        """Create an autoscaler that has placed no orders.

        :param demand: returns the tokens a second requested of all daemons.
        :param find_overload_demand: returns the demand of all daemons for a service; none
            unless a part of it is shed.
        """
        self._catalog = catalog
        self._servers = servers
        self._demand = demand
        self._workloads = workloads
        self._lease = lease
        self._calls = calls
        self._clock = clock
        self._find_overload_demand = find_overload_demand
        # Returns whether the servers may be listed as they were some time ago, by a store
        # that was restored; none is released then.
        self.is_listing_outdated: Callable[[], bool] = bool
        self._placed_orders: dict[_OrderKey, _PlacedOrder] = {}
        self._counts: dict[_OrderKey, int] = {}
        self._peaks: dict[DeploymentId, _Peak] = {}
        self._floors: dict[DeploymentId, float] = {}
        self._listings: dict[DeploymentId, _Listing] = {}

    async def run(self) -> None:
        """Order servers until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            catalog = self._catalog()
            if catalog is not None:
                await self._reconcile_all(catalog.services.values())

    async def _reconcile_all(self, services: Collection[Service]) -> None:
        for service in services:
            self._update_peak(service.name)
        if self._lease.current_leadership() is None:
            self._placed_orders.clear()
            self._floors.clear()
            self._counts.clear()
            return
        for service in services:
            if service.scale is not None:
                await self._reconcile_service(service, service.scale)

    async def _reconcile_service(self, service: Service, scale: ScaleBounds) -> None:
        present = self._count_ready(service.name, scale)
        domains_lost = self._count_tolerated_losses(scale)
        settled = self._update_listing(service.name, present)
        if not settled and not _seem_all_on_demand(present):
            return
        floor = self._find_floor(service.name, present, domains_lost)
        if not settled:
            # More servers may be listed yet.
            self._floors.pop(service.name)
        needed = max(self._count_needed(service, PLANNED_LOAD), math.ceil(floor))
        remaining = self._count_needed(service, FULL_LOAD)
        need = SpreadNeed(needed, domains_lost, remaining)
        prices = {domain: scale.domain_prices[domain] for domain in present}
        target = spread_servers(
            need, SpreadBounds(scale.min_servers, scale.max_servers), prices, present
        )
        for domain, desired in target.items():
            domain_servers = present[domain]
            await self._order(
                ServerOrder(service.name, domain, True, desired.reclaimable),
                domain_servers.reclaimable,
                scale.start_seconds,
            )
            if not settled:
                # On-demand servers that are not listed yet must not be released.
                continue
            await self._order(
                ServerOrder(service.name, domain, False, desired.on_demand),
                domain_servers.on_demand,
                scale.start_seconds,
            )

    def _update_listing(
        self,
        service: DeploymentId,
        present: Mapping[FailureDomainId, DomainServers],
    ) -> bool:
        """Update the listed count; return whether all servers seem to be listed."""
        now = self._clock.monotonic()
        count = sum(
            domain_servers.reclaimable + domain_servers.on_demand
            for domain_servers in present.values()
        )
        listing = self._listings.setdefault(service, _Listing(count, now))
        if listing.settled:
            return True
        if count > listing.count:
            listing.count = count
            listing.since = now
        needed = STABLE_LIST_SECONDS if listing.count else EMPTY_LIST_SECONDS
        # Under load there is no time to wait, and the listed servers are in use.
        listing.settled = now - listing.since >= needed or self._demand() > 0
        return listing.settled

    def _find_floor(
        self,
        service: DeploymentId,
        present: Mapping[FailureDomainId, DomainServers],
        domains_lost: int,
    ) -> float:
        """Return the minimum number of servers, from those listed when the lead began.

        It decays under load.
        """
        floor = self._floors.get(service)
        if floor is None:
            fraction = (
                TAKEOVER_FLOOR_FRACTION if self._demand() else INITIAL_FLOOR_FRACTION
            )
            floor = fraction * count_servers_after_loss(present, domains_lost)
        elif self._demand():
            floor *= PEAK_DECAY
        self._floors[service] = floor
        return floor

    def _update_peak(self, service: DeploymentId) -> None:
        """Apply the current load, also while another daemon leads.

        A daemon that becomes leader during a burst would otherwise order for less than
        the peak. Requests at leaving servers end there, or are counted at the servers
        that they are sent to again.
        """
        now = self._clock.monotonic()
        requests = sum(
            record.total(now).requests
            for record in self._servers.find_by_service(service)
            if record.server.ready
        )
        busy = self._workloads.find_busy_seconds(service, self._demand())
        # Requests that are refused or wait at daemons need servers as well.
        shed = self._find_overload_demand(service)
        self._peaks.setdefault(service, _Peak()).update(
            max(busy, shed.prompt_seconds), max(requests, shed.slot_seconds)
        )

    def _count_needed(self, service: Service, load: EngineLoad) -> int:
        """Return the number of servers that carry the recent peak load.

        :param load: the load of each engine.
        """
        peak = self._peaks[service.name]
        batch = service.engine.batch if service.engine else 1
        for_prefill = math.ceil(peak.busy / load.utilization)
        for_slots = math.ceil(peak.requests / (batch * load.batch_fraction))
        return max(MIN_NEEDED, for_prefill, for_slots)

    def _count_tolerated_losses(self, scale: ScaleBounds) -> int:
        """Return how many more failure domains may be lost than are evacuated."""
        evacuated = self._servers.evacuated_domains & scale.domain_prices.keys()
        return max(TOLERATED_DOMAIN_LOSSES - len(evacuated), 0)

    def _count_ready(
        self, service: DeploymentId, scale: ScaleBounds
    ) -> dict[FailureDomainId, DomainServers]:
        """Count the servers of each failure domain that is not evacuated.

        Nothing is ordered or released in the others.
        """
        counts = {
            domain: [0, 0]
            for domain in scale.domain_prices
            if domain not in self._servers.evacuated_domains
        }
        for record in self._servers.find_by_service(service):
            server = record.server
            if server.ready and server.failure_domain in counts:
                counts[server.failure_domain][not server.reclaimable] += 1
        return {domain: DomainServers(*found) for domain, found in counts.items()}

    async def _order(
        self, order: ServerOrder, present: int, start_seconds: float
    ) -> None:
        key = (order.service, order.failure_domain, order.reclaimable)
        if not self.is_listing_outdated():
            self._counts[key] = present
        placed = self._placed_orders.get(key)
        now = self._clock.monotonic()
        if placed is None and present == order.count:
            return
        if placed is not None and placed.is_current(order, present, now):
            return
        if self._releases_by_outdated_listing(key, order, present):
            return
        leadership = self._lease.current_leadership()
        if leadership is None:
            return
        result = await self._calls.order_servers(leadership, order)
        self._record_order(key, order, present, result, start_seconds)
        logger.bind(
            service=order.service,
            domain=order.failure_domain,
            reclaimable=order.reclaimable,
            count=order.count,
            present=present,
            busy=round(self._peaks[order.service].busy, 2),
            in_flight=round(self._peaks[order.service].requests),
            floor=round(self._floors.get(order.service, 0), 1),
            result=result.value,
        ).info('servers ordered')

    def _releases_by_outdated_listing(
        self, key: _OrderKey, order: ServerOrder, present: int
    ) -> bool:
        """Return whether an order may only follow from servers listed as of before.

        Those listed again may be gone, and those listed as leaving may have restarted.
        """
        if not self.is_listing_outdated():
            return False
        known = [self._counts.get(key, present)]
        placed = self._placed_orders.get(key)
        if placed is not None:
            known.append(placed.count)
        return order.count < max(known)

    def _record_order(
        self,
        key: _OrderKey,
        order: ServerOrder,
        present: int,
        result: CallResult,
        start_seconds: float,
    ) -> None:
        if result is CallResult.FAILED:
            self._placed_orders.pop(key, None)
            return
        wait = UNAVAILABLE_SECONDS
        if result is CallResult.DONE:
            wait = REORDER_SECONDS + start_seconds
        self._placed_orders[key] = _PlacedOrder(
            order.count, self._clock.monotonic(), present, wait
        )


def _seem_all_on_demand(present: Mapping[FailureDomainId, DomainServers]) -> bool:
    """Return whether the first listed servers suggest that all are on demand.

    Then reclaimable servers can be ordered at once, and the more expensive on-demand
    ones released sooner.
    """
    on_demand = sum(domain_servers.on_demand for domain_servers in present.values())
    reclaimable = sum(domain_servers.reclaimable for domain_servers in present.values())
    return on_demand >= MIN_LISTED_ON_DEMAND and not reclaimable
