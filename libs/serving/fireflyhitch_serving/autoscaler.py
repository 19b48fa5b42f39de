"""Keeps each service's servers at the number that its load needs, while leading."""

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
from fireflyhitch_serving.catalog import Catalog, ScaleBounds, Service
from fireflyhitch_serving.duty_calls import CallResult, DutyCalls, ServerOrder
from fireflyhitch_serving.leases import LeaderLease
from fireflyhitch_serving.servers import ServerRegistry
from fireflyhitch_serving.workloads import Workloads

LOOK_SECONDS = 0.5
# An order that could not be met is given again after this, and one whose servers are
# not listed so long after they should have started.
REPEAT_SECONDS = 2.5
# Reclaims come domain by domain, and others may come before the first domain's servers
# are replaced. Reclaimable servers to spare cost less than those bought on demand for
# the last of them, and do not have to start first.
DOMAINS_LOST = 3
LEAST_NEEDED = 3
# A peak is forgotten by half in 23 s: bursts come again, and reclaimable servers given
# back may not be had again for some time after a reclaim.
PEAK_KEPT = 0.985
# Part of the time for which an engine may be busy reading: requests come in clumps, and
# with more the queue of prompts grows.
BUSY_PART = 0.5

# A leader that has seen no load yet takes the servers that there are for what is needed,
# but for this part: orders by a load of nothing would leave the first callers a few.
KNOWN_PART = 0.6
# The same for a leader that takes over while there is load: the former one knew it, and
# what is given back now may not be had again.
HANDED_PART = 0.85

# Servers that run when the daemons start are listed one after the other, as each writes
# its entry, once in 1.2 s; a number that stood for this long is taken for all of them.
# Orders by what is listed first would have the others given back.
LISTED_SECONDS = 1.5
# Where none is listed by then there may be none.
EMPTY_SECONDS = 6.0
# Servers of one kind listed first that tell the kind of all.
FIRST_LISTED = 2

# Part of an engine's batch that is planned to be in use: a full one makes requests wait
# for a place, and steps longer.
BATCH_PART = 0.5

_OrderKey = tuple[DeploymentId, FailureDomainId, bool]


@dataclass(slots=True)
class _Listing:
    count: int
    since: float
    settled: bool = False


@dataclass(slots=True)
class _Given:
    """An order that was given.

    :param present: the most servers of the kind that were there since.
    :param wait: seconds until it may have to be given again.
    """

    count: int
    at: float
    present: int
    wait: float

    def stands(self, order: ServerOrder, present: int, now: float) -> bool:
        """Tell whether an order need not be given again.

        Servers that were taken away are not replaced unasked.
        """
        if self.count != order.count or present < self.present:
            return False
        self.present = present
        return present == order.count or now - self.at < self.wait


@dataclass(slots=True)
class _Peak:
    """The most load of a service lately.

    :param busy: engines that its prompts keep busy all the time.
    :param requests: in flight.
    """

    busy: float = 0
    requests: float = 0

    def raise_to(self, busy: float, requests: float) -> None:
        """Take in the present load; an earlier one that was higher fades."""
        self.busy = max(self.busy * PEAK_KEPT, busy)
        self.requests = max(self.requests * PEAK_KEPT, requests)


class Autoscaler:
    """Orders servers; a new leader begins from what there is."""

    def __init__(
        self,
        catalog: Callable[[], Catalog | None],
        servers: ServerRegistry,
        demand: Callable[[], float],
        workloads: Workloads,
        lease: LeaderLease,
        calls: DutyCalls,
        clock: Clock,
    ) -> None:
        """Make a keeper that has ordered nothing.

        :param demand: tokens a second that customers ask for, of all daemons.
        """
        self._catalog = catalog
        self._servers = servers
        self._demand = demand
        self._workloads = workloads
        self._lease = lease
        self._calls = calls
        self._clock = clock
        self._given: dict[_OrderKey, _Given] = {}
        self._peaks: dict[DeploymentId, _Peak] = {}
        self._floors: dict[DeploymentId, float] = {}
        self._listings: dict[DeploymentId, _Listing] = {}

    async def run(self) -> None:
        """Order servers until cancelled."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            catalog = self._catalog()
            if catalog is not None:
                await self._look(catalog.services.values())

    async def _look(self, services: Collection[Service]) -> None:
        for service in services:
            self._note_load(service.name)
        if self._lease.current_leadership() is None:
            self._given.clear()
            self._floors.clear()
            return
        for service in services:
            if service.scale is not None:
                await self._keep(service, service.scale)

    async def _keep(self, service: Service, scale: ScaleBounds) -> None:
        present = self._count(service.name, scale)
        settled = self._note_listing(service.name, present)
        if not settled and not _seem_on_demand(present):
            return
        floor = self._find_floor(service.name, present)
        if not settled:
            # More servers may be listed yet.
            self._floors.pop(service.name)
        needed = max(self._count_needed(service), math.ceil(floor))
        need = SpreadNeed(needed, DOMAINS_LOST)
        target = spread_servers(
            need,
            SpreadBounds(scale.min_servers, scale.max_servers),
            scale.domain_prices,
            present,
        )
        for domain, wanted in target.items():
            here = present[domain]
            await self._order(
                ServerOrder(service.name, domain, True, wanted.reclaimable),
                here.reclaimable,
                scale.start_seconds,
            )
            if not settled:
                # Those on demand that are not listed yet must not be given back.
                continue
            await self._order(
                ServerOrder(service.name, domain, False, wanted.on_demand),
                here.on_demand,
                scale.start_seconds,
            )

    def _note_listing(
        self,
        service: DeploymentId,
        present: Mapping[FailureDomainId, DomainServers],
    ) -> bool:
        """Note how many are listed; tell whether these seem to be all that run."""
        now = self._clock.monotonic()
        count = sum(here.reclaimable + here.on_demand for here in present.values())
        listing = self._listings.setdefault(service, _Listing(count, now))
        if listing.settled:
            return True
        if count > listing.count:
            listing.count = count
            listing.since = now
        needed = LISTED_SECONDS if listing.count else EMPTY_SECONDS
        # With load there is no time to wait, and what is there is in use.
        listing.settled = now - listing.since >= needed or self._demand() > 0
        return listing.settled

    def _find_floor(
        self,
        service: DeploymentId,
        present: Mapping[FailureDomainId, DomainServers],
    ) -> float:
        """Return what is needed as far as the servers tell that were there before."""
        floor = self._floors.get(service)
        if floor is None:
            part = HANDED_PART if self._demand() else KNOWN_PART
            floor = part * count_servers_after_loss(present, DOMAINS_LOST)
        elif self._demand():
            floor *= PEAK_KEPT
        self._floors[service] = floor
        return floor

    def _note_load(self, service: DeploymentId) -> None:
        """Take in the present load, also while another daemon leads.

        One that begins to lead in a burst would else order for less than there was.
        """
        now = self._clock.monotonic()
        requests = sum(
            record.total(now).requests
            for record in self._servers.find_by_service(service)
        )
        busy = self._workloads.find_busy_seconds(service, self._demand())
        self._peaks.setdefault(service, _Peak()).raise_to(busy, requests)

    def _count_needed(self, service: Service) -> int:
        """Return how many servers carry the most load lately."""
        peak = self._peaks[service.name]
        batch = service.engine.batch if service.engine else 1
        by_reading = math.ceil(peak.busy / BUSY_PART)
        by_places = math.ceil(peak.requests / (batch * BATCH_PART))
        return max(LEAST_NEEDED, by_reading, by_places)

    def _count(
        self, service: DeploymentId, scale: ScaleBounds
    ) -> dict[FailureDomainId, DomainServers]:
        counts = {domain: [0, 0] for domain in scale.domain_prices}
        for record in self._servers.find_by_service(service):
            server = record.server
            if server.ready and server.failure_domain in counts:
                counts[server.failure_domain][not server.reclaimable] += 1
        return {domain: DomainServers(*found) for domain, found in counts.items()}

    async def _order(
        self, order: ServerOrder, present: int, start_seconds: float
    ) -> None:
        key = (order.service, order.failure_domain, order.reclaimable)
        given = self._given.get(key)
        now = self._clock.monotonic()
        if given is None and present == order.count:
            return
        if given is not None and given.stands(order, present, now):
            return
        leadership = self._lease.current_leadership()
        if leadership is None:
            return
        result = await self._calls.order_servers(leadership, order)
        self._note_given(key, order, present, result, start_seconds)
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

    def _note_given(
        self,
        key: _OrderKey,
        order: ServerOrder,
        present: int,
        result: CallResult,
        start_seconds: float,
    ) -> None:
        if result is CallResult.FAILED:
            self._given.pop(key, None)
            return
        wait = REPEAT_SECONDS
        if result is CallResult.DONE:
            wait += start_seconds
        self._given[key] = _Given(order.count, self._clock.monotonic(), present, wait)


def _seem_on_demand(present: Mapping[FailureDomainId, DomainServers]) -> bool:
    """Tell whether the servers that run at the start are on demand, by the first ones.

    Then reclaimable ones can be ordered beside them at once, and the dear ones given back
    sooner.
    """
    on_demand = sum(here.on_demand for here in present.values())
    reclaimable = sum(here.reclaimable for here in present.values())
    return on_demand >= FIRST_LISTED and not reclaimable
