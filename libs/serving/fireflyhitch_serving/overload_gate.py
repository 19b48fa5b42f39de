"""Decides at the start of a request whether its service has capacity for it."""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from loguru import logger

from fireflyhitch_model.ids import CustomerId, DeploymentId
from fireflyhitch_routing.load_shedding import (
    ServiceLoad,
    SheddingState,
    find_load_ratio,
    find_waiting_level,
    share_fairly,
    sum_levels,
)
from fireflyhitch_routing.return_times import ReturnSchedule, make_overload_schedule
from fireflyhitch_routing.service_demand import (
    AVERAGE_SECONDS,
    NO_DEMAND,
    DemandByLevel,
    LevelDemand,
)
from fireflyhitch_serving.admission import build_refusal
from fireflyhitch_serving.catalog import Customer, Quota
from fireflyhitch_serving.customer_demand import CustomerDemands
from fireflyhitch_serving.dependencies import RequestDependencies
from fireflyhitch_serving.exchanges import Exchange
from fireflyhitch_serving.placement import count_cached_tokens
from fireflyhitch_serving.service_capacity import measure_use, select_usable

# Load information from other daemons changes about as often.
EVALUATION_SECONDS = 0.2
# Below this load the servers are looked at less often.
CALM_LOAD = 0.5
CALM_SECONDS = 1.0
# The admitted fraction of a level is logged again when it has changed by this much.
MARKED_CHANGE = 0.2
# A daemon with less than this part of the demand takes its own queue for no sample.
MIN_OWN_PART = 0.001
# Latency target of a service without routes.
ASSUMED_TARGET_SECONDS = 1.0
DIGITS = 3
# Stands for the requests without a customer.
ANONYMOUS = Customer(
    CustomerId(''), Quota(rate=0, burst=0, in_tokens=False, plain_tokens=0)
)


@dataclass(slots=True)
class _Service:
    """What was last measured of a service, and what of its requests is admitted.

    :param load: ``None`` without servers.
    :param own_part: the part of all daemons' demand that is this daemon's.
    :param targets: the shortest latency target by urgency.
    :param fractions: admitted fractions by urgency.
    :param shares: admitted fractions by customer, of the urgencies that are admitted in
        part.
    :param logged: the admitted fractions when they were logged.
    """

    evaluated_at: float = -math.inf
    measured_at: float = -math.inf
    load: ServiceLoad | None = None
    own_part: float = 1
    targets: dict[int, float] = field(default_factory=dict)
    state: SheddingState = field(default_factory=SheddingState)
    fractions: dict[int, float] = field(default_factory=dict)
    shares: dict[int, dict[CustomerId, float]] = field(default_factory=dict)
    logged: dict[int, float] = field(default_factory=dict)
    returns: ReturnSchedule = field(default_factory=make_overload_schedule)

    def is_calm(self, total: LevelDemand, now: float) -> bool:
        """Return whether the demand is far below the capacity last measured."""
        if self.load is None or now - self.measured_at >= CALM_SECONDS:
            return False
        return find_load_ratio(total, self.load.capacity) < CALM_LOAD

    def add_target(self, urgency: int, target: float) -> None:
        """Record the latency target of a request."""
        known = self.targets.get(urgency)
        if known is None or target < known:
            self.targets[urgency] = target


class OverloadGate:
    """Refuses requests while the demand for a service exceeds its capacity."""

    def __init__(
        self,
        dependencies: RequestDependencies,
        count_waiting: Callable[[DeploymentId], Mapping[int, int]],
    ) -> None:
        """Create a gate that uses the given components.

        :param count_waiting: returns how many requests of a service wait here, by
            urgency.
        """
        self._deps = dependencies
        self._count_waiting = count_waiting
        self._services: dict[DeploymentId, _Service] = {}
        self._customers = CustomerDemands()

    def check(self, exchange: Exchange) -> None:
        """Count a request in its service's demand, and refuse it if it is shed.

        A request that another daemon forwarded has been counted there.

        :raises RefusedError: if the service has no capacity for it.
        """
        if exchange.forwarded_by is not None:
            return
        now = self._deps.clock.monotonic()
        cost = self._find_cost(exchange, now)
        service = exchange.service
        urgency = exchange.urgency
        self._deps.demands.record(service, urgency, cost, now)
        known = self._evaluate(service, now)
        known.add_target(urgency, exchange.route.target)
        if known.load is None:
            return
        customer = exchange.customer or ANONYMOUS
        relative_cost = find_load_ratio(cost, known.load.capacity)
        self._customers.record(service, urgency, customer, relative_cost, now)
        if not known.state.active:
            return
        level = known.fractions.get(urgency, 1)
        admitted = known.shares.get(urgency, {}).get(customer.name, level)
        if admitted >= 1 or self._deps.rng.random() < admitted:
            return
        seconds = known.returns.reserve(relative_cost, known.own_part, now)
        raise build_refusal(
            seconds,
            'overloaded',
            f'demand exceeds capacity: {level:.2f} of the requests of urgency {urgency} '
            + f'are admitted, {admitted:.2f} of this customer',
        )

    def find_overload_demand(self, service: DeploymentId) -> LevelDemand:
        """Return the whole demand for a service while requests are shed, or else none."""
        known = self._evaluate(service, self._deps.clock.monotonic())
        if known.load is None or not known.state.active:
            return NO_DEMAND
        return known.load.total

    def _find_cost(self, exchange: Exchange, now: float) -> LevelDemand:
        service = exchange.service
        slot_seconds = self._deps.work_times.find(service, exchange.route.name)
        tokens = exchange.info.prompt_tokens
        if tokens is None:
            return LevelDemand(slot_seconds)
        fresh = tokens - self._count_cached(exchange, now)
        prefill_model = self._deps.workloads.prefill_model(service)
        return LevelDemand(slot_seconds, fresh * prefill_model.seconds_per_token)

    def _count_cached(self, exchange: Exchange, now: float) -> int:
        """Return the prompt tokens that a server which may get it has probably cached."""
        parts = exchange.info.parts
        if len(parts) < 2:
            return 0
        servers = self._deps.servers
        preferred = servers.find_affinity_servers(
            exchange.service, parts[-2].part_id, servers.all()
        )
        found = [servers.find(server_id) for server_id in preferred]
        return max(
            (count_cached_tokens(parts, record, now) for record in found if record),
            default=0,
        )

    def _evaluate(self, service: DeploymentId, now: float) -> _Service:
        known = self._services.get(service)
        if known is None:
            known = _Service()
            self._services[service] = known
        if now - known.evaluated_at < EVALUATION_SECONDS:
            return known
        known.evaluated_at = now
        last_load = known.load
        self._update_load(service, known, now)
        was_active = known.state.active
        if known.load is None:
            known.state.active = False
        else:
            known.state.update(known.load, now)
        load = known.load or last_load
        if load is not None and (was_active or known.state.active):
            self._update_fractions(service, known, load, now)
        return known

    def _update_load(self, service: DeploymentId, known: _Service, now: float) -> None:
        deps = self._deps
        levels = deps.demands.sum_levels(service, now)
        total = sum_levels(levels)
        if known.load and known.is_calm(total, now) and not known.state.active:
            # The old demand would count as a further confirmation of an overload.
            known.load = replace(known.load, demand=levels)
            return
        known.measured_at = now
        usable = select_usable(
            deps.servers.find_by_service(service),
            deps.unreachable_domains(),
            deps.versions.find(service),
            now,
        )
        if not usable:
            known.load = None
            return
        use = measure_use(usable, now)
        work_seconds = deps.work_times.find(service)
        own = find_load_ratio(deps.demands.read_own(service, now), use.capacity)
        all_daemons = find_load_ratio(total, use.capacity)
        known.own_part = max(own / all_daemons, MIN_OWN_PART) if all_daemons else 1
        wait = use.find_wait(
            self._sum_waiting(service, levels, use.capacity) / known.own_part,
            work_seconds,
            deps.workloads.prefill_model(service).seconds_per_token,
        )
        known.load = ServiceLoad(
            levels,
            use.capacity,
            wait,
            use.requests / use.slots,
            known.targets,
            self._find_default_target(service),
            2 * AVERAGE_SECONDS * total.slot_seconds / work_seconds,
        )

    def _sum_waiting(
        self, service: DeploymentId, levels: DemandByLevel, capacity: LevelDemand
    ) -> int:
        """Return the requests here that run before new ones of the level that waits."""
        waiting_level = find_waiting_level(levels, capacity)
        return sum(
            count
            for urgency, count in self._count_waiting(service).items()
            if urgency <= waiting_level
        )

    def _find_default_target(self, service: DeploymentId) -> float:
        """Return the shortest target of a service's routes."""
        catalog = self._deps.catalog()
        routes = catalog.routes if catalog else ()
        return min(
            (
                route.target
                for route in routes
                if any(share.service == service for share in route.shares)
            ),
            default=ASSUMED_TARGET_SECONDS,
        )

    def _update_fractions(
        self, service: DeploymentId, known: _Service, load: ServiceLoad, now: float
    ) -> None:
        # A level without demand is admitted again.
        known.fractions = {
            **dict.fromkeys(known.fractions, 1.0),
            **known.state.find_fractions(load),
        }
        known.shares = {
            urgency: self._share_level(service, urgency, fraction, now)
            for urgency, fraction in known.fractions.items()
            if 0 < fraction < 1
        }
        self._report(service, known, load)

    def _share_level(
        self, service: DeploymentId, urgency: int, fraction: float, now: float
    ) -> dict[CustomerId, float]:
        customers = self._customers.estimate(
            service,
            urgency,
            self._deps.quotas,
            self._services[service].own_part,
            now,
        )
        return share_fairly(customers, fraction)

    def _report(
        self, service: DeploymentId, known: _Service, load: ServiceLoad
    ) -> None:
        """Log the fractions if they have begun, changed much or ended."""
        for urgency, fraction in known.fractions.items():
            self._deps.set_admitted_fraction(service, urgency, fraction)
        is_active = known.state.active
        if is_active and known.logged and not _has_changed(known):
            return
        known.logged = dict(known.fractions) if is_active else {}
        age = self._deps.demands.find_age(self._deps.clock.monotonic())
        logger.bind(
            service=service,
            active=is_active,
            demand=_round_all(load.total),
            capacity=_round_all(load.capacity),
            fractions={
                level: round(admitted, DIGITS)
                for level, admitted in sorted(known.fractions.items())
            },
            wait=round(load.wait, DIGITS),
            accepted_wait=round(load.find_accepted_wait(), DIGITS),
            use=round(load.use, DIGITS),
            age=None if age is None else round(age, DIGITS),
        ).info('load shedding')


def _has_changed(known: _Service) -> bool:
    return any(
        abs(fraction - known.logged.get(urgency, 1)) >= MARKED_CHANGE
        for urgency, fraction in known.fractions.items()
    )


def _round_all(demand: LevelDemand) -> list[float]:
    return [round(seconds, DIGITS) for seconds in demand]
