"""Schema of the operators' configuration: deployments and customers."""

from typing import Annotated, Literal

from pydantic import AwareDatetime, BaseModel, ConfigDict, Field

from fireflyhitch_model.ids import (
    CustomerId,
    DeploymentId,
    FailureDomainId,
    VersionId,
)
from fireflyhitch_model.states import FencingSupport, MachineClass, Priority

Share = Annotated[float, Field(ge=0, le=1)]
Positive = Annotated[float, Field(gt=0)]
Count = Annotated[int, Field(ge=0)]
# Lower-case hex.
Sha256 = Annotated[str, Field(pattern='^[0-9a-f]{64}$')]


class SettingsModel(BaseModel):
    """Base class of settings: immutable, with unknown keys rejected."""

    # Inputs are hidden in errors because they may be secret keys.
    model_config = ConfigDict(frozen=True, extra='forbid', hide_input_in_errors=True)


class LatencyTarget(SettingsModel):
    """Latency in seconds that a share of calls must meet."""

    first_token_seconds: Positive = 0.92
    between_tokens_seconds: Positive = 0.068
    share: Share = 0.95


class PriceEntry(SettingsModel):
    """Hourly price of an instance in a failure domain."""

    failure_domain: FailureDomainId
    machine_class: MachineClass
    price: Positive


class VersionMove(SettingsModel):
    """A move of a deployment to another version by a date."""

    to_version: VersionId
    move_by: AwareDatetime


class CapacityPlan(SettingsModel):
    """Capacity limits of a deployment's instances.

    :param survive_domain_loss: share of peak load that must still be served after
        the loss of any one failure domain.
    """

    min_servers: Count = 2
    max_servers: Count = 64
    calls_per_server: Annotated[int, Field(ge=1)] = 8
    survive_domain_loss: Share = 0.75
    max_on_demand: Count = 8


class _Deployment(SettingsModel):
    """Settings common to model and service deployments.

    :param customers: customers that may call it; empty for all. With it, one
        template can be used for each customer with its own failure domains,
        version and date.
    """

    name: DeploymentId
    customers: tuple[CustomerId, ...] = ()
    failure_domains: Annotated[tuple[FailureDomainId, ...], Field(min_length=1)]
    version: VersionId
    move: VersionMove | None = None
    fencing: FencingSupport = FencingSupport.ENFORCED
    capacity: CapacityPlan = CapacityPlan()
    prices: tuple[PriceEntry, ...] = ()
    timeout_seconds: Positive = 120

    def serves(self, customer: CustomerId) -> bool:
        """Return whether a customer may call this deployment."""
        return not self.customers or customer in self.customers


class ModelDeployment(_Deployment):
    """A pool of model engines behind one model name."""

    kind: Literal['model'] = 'model'
    latency: LatencyTarget = LatencyTarget()


class ServiceDeployment(_Deployment):
    """A plain service behind ``/services/{name}/``.

    :param non_repeatable_methods: methods that need an ``Idempotency-Key``.
    """

    kind: Literal['service'] = 'service'
    non_repeatable_methods: tuple[str, ...] = ('POST',)
    response_seconds: Positive = 2


Deployment = Annotated[ModelDeployment | ServiceDeployment, Field(discriminator='kind')]


class CustomerLimits(SettingsModel):
    """Limits of one customer across all daemons."""

    requests_per_second: Positive = 50
    tokens_per_second: Positive = 20000
    concurrent_requests: Annotated[int, Field(ge=1)] = 200


class Customer(SettingsModel):
    """A customer, identified by the hash of its API key.

    :param api_key_sha256: lower-case hex of the key's SHA-256.
    """

    customer_id: CustomerId
    api_key_sha256: Sha256
    priority: Priority = Priority.NORMAL
    limits: CustomerLimits = CustomerLimits()


class Configuration(SettingsModel):
    """The settings that operators change at run time, applied as a unit."""

    deployments: tuple[Deployment, ...]
    customers: tuple[Customer, ...]
