"""The demand of each customer for a service, as far as this daemon can tell."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from fireflyhitch_model.ids import CustomerId, DeploymentId
from fireflyhitch_routing.load_shedding import CustomerDemand
from fireflyhitch_serving.catalog import Customer
from fireflyhitch_serving.demand import DemandMeter
from fireflyhitch_serving.quotas import Quotas

# Customers remembered for a service and urgency; the one first seen is dropped first.
MAX_CUSTOMERS = 1024
# Less than this part of the capacity counts as no demand.
MIN_DEMAND = 1e-9


@dataclass(slots=True)
class _Meter:
    quota_rate: float
    demand: DemandMeter = field(default_factory=DemandMeter)


@dataclass(slots=True)
class CustomerDemands:
    """What customers demand at this daemon, by service and urgency."""

    _meters: dict[tuple[DeploymentId, int], dict[CustomerId, _Meter]] = field(
        default_factory=dict
    )

    def record(
        self,
        service: DeploymentId,
        urgency: int,
        customer: Customer,
        cost: float,
        now: float,
    ) -> None:
        """Add a request.

        :param cost: as a fraction of the service's capacity.
        """
        meters = self._meters.setdefault((service, urgency), {})
        meter = meters.get(customer.name)
        if meter is None:
            if len(meters) >= MAX_CUSTOMERS:
                meters.pop(next(iter(meters)))
            meter = _Meter(customer.quota.rate)
            meters[customer.name] = meter
        meter.quota_rate = customer.quota.rate
        meter.demand.add(cost, now)

    def estimate(
        self,
        service: DeploymentId,
        urgency: int,
        quotas: Quotas,
        own_part: float,
        now: float,
    ) -> Mapping[CustomerId, CustomerDemand]:
        """Return the demand of customers at all daemons, weighted by their quotas.

        What the units of a customer cost is known from its requests here. One without a
        quota is taken to have the same part of its requests here as all customers.

        :param own_part: the part of all customers' demand that is this daemon's.
        """
        limited: dict[CustomerId, CustomerDemand] = {}
        unlimited: dict[CustomerId, float] = {}
        for name, meter in self._meters.get((service, urgency), {}).items():
            cost = meter.demand.read(now)
            units = quotas.find_demand(name, now)
            if cost < MIN_DEMAND:
                continue
            if meter.quota_rate and units.own:
                cost_per_unit = cost / units.own
                limited[name] = CustomerDemand(
                    cost_per_unit * units.total, cost_per_unit * meter.quota_rate
                )
            else:
                unlimited[name] = cost / own_part
        weights = [customer.weight for customer in limited.values()]
        weight = sum(weights) / len(weights) if weights else 1
        return {
            **limited,
            **{one: CustomerDemand(part, weight) for one, part in unlimited.items()},
        }
