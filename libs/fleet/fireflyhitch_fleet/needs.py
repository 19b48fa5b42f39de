"""Capacity requirements of deployments and their versions."""

import math
from dataclasses import dataclass

from fireflyhitch_model.ids import VersionId
from fireflyhitch_settings.schema import Deployment

# Target utilisation of a server: above it, waiting times grow faster than the load.
PLANNED_LOAD = 0.7


@dataclass(frozen=True, slots=True)
class VersionNeed:
    """The capacity that the fleet must keep ready for one version.

    :param traffic_fraction: fraction of the deployment's traffic that it must be
        able to carry.
    :param scale_in_protected: whether none of its servers may be stopped, since a
        rollback needs them.
    """

    version: VersionId
    traffic_fraction: float
    scale_in_protected: bool = False


@dataclass(frozen=True, slots=True)
class Demand:
    """A deployment's load over all daemons.

    :param calls: current calls in progress, as reported by daemons.
    :param growth: measured change of ``calls`` per second; a decrease counts as 0.
    """

    calls: float
    growth: float = 0

    def forecast(self, seconds: float) -> float:
        """Return the expected calls in progress after some seconds."""
        return self.calls + max(self.growth, 0) * seconds


@dataclass(frozen=True, slots=True)
class DeploymentNeed:
    """Input to the capacity planning of one deployment."""

    deployment: Deployment
    versions: tuple[VersionNeed, ...]
    demand: Demand

    def count_servers(self, version: VersionNeed, ahead: float) -> int:
        """Return the number of servers that a version needs.

        :param ahead: seconds until a server ordered now is ready.
        """
        planned = self.deployment.capacity.calls_per_server * PLANNED_LOAD
        calls = self.demand.forecast(ahead) * version.traffic_fraction
        return max(1, math.ceil(calls / planned))
