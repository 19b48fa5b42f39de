"""The configuration that operators accept: what is served, for whom and how."""

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


class Checked(BaseModel):
    """The base of settings: immutable, and unknown keys are errors."""

    # Errors do not show what was given, as it may be a key.
    model_config = ConfigDict(frozen=True, extra='forbid', hide_input_in_errors=True)


class LatencyTarget(Checked):
    """The latency that a share of calls must meet, in seconds."""

    first_token_seconds: Positive = 0.92
    between_tokens_seconds: Positive = 0.068
    share: Share = 0.95


class PriceEntry(Checked):
    """What an instance costs an hour in a failure domain."""

    failure_domain: FailureDomainId
    machine_class: MachineClass
    price: Positive


class VersionMove(Checked):
    """The wish to move a deployment to another version by a date."""

    to_version: VersionId
    move_by: AwareDatetime


class CapacityPlan(Checked):
    """Bounds and safety that the operator sets for a deployment's instances.

    :param survive_domain_loss: share of peak load still carried after the
        loss of any one failure domain.
    """

    min_servers: Count = 2
    max_servers: Count = 64
    calls_per_server: Annotated[int, Field(ge=1)] = 8
    survive_domain_loss: Share = 0.75
    max_on_demand: Count = 8


class _Deployment(Checked):
    """What models and plain services have in common.

    :param customers: who may call it; empty for all customers. It lets one
        template be filled in for each customer with its own failure domains,
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
        """Tell whether a customer may call this deployment."""
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


class CustomerLimits(Checked):
    """What one customer may use over all daemons together."""

    requests_per_second: Positive = 50
    tokens_per_second: Positive = 20000
    concurrent_requests: Annotated[int, Field(ge=1)] = 200


class Customer(Checked):
    """A customer, known by the hash of its key only.

    :param api_key_sha256: lower-case hex of the key's SHA-256.
    """

    customer_id: CustomerId
    api_key_sha256: Sha256
    priority: Priority = Priority.NORMAL
    limits: CustomerLimits = CustomerLimits()


class Configuration(Checked):
    """All that operators change at run time, accepted as a whole."""

    deployments: tuple[Deployment, ...]
    customers: tuple[Customer, ...]
