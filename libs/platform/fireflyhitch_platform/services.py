"""The platform's other services as the other libraries see them."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol

from fireflyhitch_model.ids import (
    BackendServerId,
    DeploymentId,
    FailureDomainId,
    FencingNumber,
    InstanceId,
    VersionId,
)
from fireflyhitch_model.instances import InstanceListing, ReclaimNotice
from fireflyhitch_model.states import MachineClass


class InstanceList(Protocol):
    """The list of live and leaving instances, which lags."""

    def read(self) -> InstanceListing:
        """Return the list as the platform knows it."""


@dataclass(frozen=True, slots=True)
class InstanceOrder:
    """A wish for one more instance.

    :param order_id: repeated orders with the same id start one instance.
    """

    order_id: str
    deployment: DeploymentId
    version: VersionId
    failure_domain: FailureDomainId
    machine_class: MachineClass


@dataclass(frozen=True, slots=True)
class Price:
    """What a class of instance costs an hour in a failure domain now."""

    failure_domain: FailureDomainId
    machine_class: MachineClass
    price: float


class Cloud(Protocol):
    """The cloud API: instances for money, and notices that they go."""

    def read_notices(self) -> tuple[ReclaimNotice, ...]:
        """Return the reclaim notices in force."""

    def read_prices(self) -> tuple[Price, ...]:
        """Return the prices of now."""

    def start(self, order: InstanceOrder) -> InstanceId | None:
        """Start an instance.

        :returns: its id, or ``None`` if the cloud has none to give.
        """

    def stop(self, instance: InstanceId) -> None:
        """Give an instance back; repeating it does no harm."""


class WeightStore(Protocol):
    """The store that engines load weights from, which is rate-limited."""

    def reserve(self, deployment: DeploymentId, version: VersionId) -> timedelta:
        """Reserve one load and return how long to wait before it starts."""


class EngineAction(Enum):
    """What an engine can be ordered to do."""

    LOAD_VERSION = 'load-version'
    LOAD_ADAPTER = 'load-adapter'
    SET_ROLE = 'set-role'
    DRAIN = 'drain'


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to an engine, with the fencing number of the duty's lease.

    :param argument: the version, adapter or role.
    """

    action: EngineAction
    argument: str
    fencing: FencingNumber


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine really holds."""

    version: VersionId
    adapters: tuple[str, ...]
    role: str
    fencing: FencingNumber
    ready: bool


class Engines(Protocol):
    """Orders to engines."""

    def read_state(self, server: BackendServerId) -> EngineState:
        """Ask an engine what it holds."""

    def give_order(self, server: BackendServerId, order: EngineOrder) -> bool:
        """Give an order.

        :returns: whether the engine took it; ``False`` is its refusal of an
            old fencing number.
        """
