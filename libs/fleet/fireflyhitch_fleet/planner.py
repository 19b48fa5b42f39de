"""Chooses the cheapest instances that carry the load and survive a loss."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from fireflyhitch_model.ids import FailureDomainId, VersionId
from fireflyhitch_model.states import MachineClass


class Placement(NamedTuple):
    """Where an instance runs and how it is paid for."""

    failure_domain: FailureDomainId
    machine_class: MachineClass


@dataclass(frozen=True, slots=True)
class Market:
    """What the cloud gives in one placement.

    :param price: currency units an hour.
    :param supply: how many instances it can have at most; what runs already
        after a refused start.
    :param reclaims: reclaims an instance and hour, as measured.
    """

    price: float
    supply: int
    reclaims: float = 0


@dataclass(frozen=True, slots=True)
class Need:
    """What one version has to carry.

    :param servers: servers that carry the load at the latency target at the
        time at which an instance ordered now is ready.
    :param running: instances there are, by placement.
    :param keep: never stop one, since a move's way back rests on them.
    """

    version: VersionId
    servers: int
    running: Mapping[Placement, int]
    keep: bool = False


@dataclass(frozen=True, slots=True)
class Bounds:
    """The operator's bounds.

    :param survive: part of the load that the loss of any one failure domain
        leaves served.
    """

    survive: float
    least: int
    most: int
    most_on_demand: int


@dataclass(frozen=True, slots=True)
class Plan:
    """Instances to run, start and stop.

    :param cost: currency units an hour when all runs.
    :param short: how many servers could not be placed.
    """

    version: VersionId
    target: Mapping[Placement, int]
    starts: Mapping[Placement, int]
    stops: Mapping[Placement, int]
    cost: float
    short: int = 0


def plan_version(
    need: Need,
    markets: Mapping[Placement, Market],
    bounds: Bounds,
    start_hours: float,
) -> Plan:
    """Plan one version's instances.

    :param start_hours: from order to ready, with the wait for weights; an
        instance that is reclaimed is missing for so long.
    """
    raise NotImplementedError
