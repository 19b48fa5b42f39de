"""Protocols of the platform's services other than the key-value store."""

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
    """The list of live and leaving instances, which may be outdated."""

    def read(self) -> InstanceListing:
        """Return the platform's current list."""


@dataclass(frozen=True, slots=True)
class InstanceOrder:
    """An order for one instance.

    :param order_id: repeated orders with the same id start one instance.
    """

    order_id: str
    deployment: DeploymentId
    version: VersionId
    failure_domain: FailureDomainId
    machine_class: MachineClass


@dataclass(frozen=True, slots=True)
class Price:
    """Current hourly price of a machine class in a failure domain."""

    failure_domain: FailureDomainId
    machine_class: MachineClass
    price: float


class Cloud(Protocol):
    """The cloud API: instances, prices and reclaim notices."""

    def read_notices(self) -> tuple[ReclaimNotice, ...]:
        """Return the current reclaim notices."""

    def read_prices(self) -> tuple[Price, ...]:
        """Return the current prices."""

    def start(self, order: InstanceOrder) -> InstanceId | None:
        """Start an instance.

        :returns: its id, or ``None`` if the cloud has none available.
        """

    def stop(self, instance: InstanceId) -> None:
        """Stop an instance and return it to the cloud; idempotent."""


class WeightStore(Protocol):
    """The rate-limited store that engines load model weights from."""

    def reserve(self, deployment: DeploymentId, version: VersionId) -> timedelta:
        """Reserve one load and return how long to wait before it starts."""


class EngineAction(Enum):
    """Action of an engine order."""

    LOAD_VERSION = 'load-version'
    LOAD_ADAPTER = 'load-adapter'
    SET_ROLE = 'set-role'
    DRAIN = 'drain'


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to an engine, with the fencing number of the duty's lease.

    :param argument: the version, adapter or role to set.
    """

    action: EngineAction
    argument: str
    fencing: FencingNumber


@dataclass(frozen=True, slots=True)
class EngineState:
    """The state that an engine reports."""

    version: VersionId
    adapters: tuple[str, ...]
    role: str
    fencing: FencingNumber
    ready: bool


class Engines(Protocol):
    """Access to engines' state and orders."""

    def read_state(self, server: BackendServerId) -> EngineState:
        """Read an engine's state."""

    def send_order(self, server: BackendServerId, order: EngineOrder) -> bool:
        """Send an order.

        :returns: whether the engine accepted it; ``False`` if its fencing number
            is outdated.
        """
