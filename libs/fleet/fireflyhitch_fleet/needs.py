"""What a deployment needs of its versions and of the cloud."""

import math
from dataclasses import dataclass

from fireflyhitch_model.ids import VersionId
from fireflyhitch_settings.schema import Deployment

# Part of a server's capacity that is planned to be in use: beyond it, waiting
# times grow faster than the load.
PLANNED_LOAD = 0.7


@dataclass(frozen=True, slots=True)
class VersionNeed:
    """What the fleet has to hold ready of one version.

    :param traffic_fraction: part of the deployment's traffic that it must be able to carry.
    :param scale_in_protected: whether none of its servers may be stopped, since the way back
        of a move rests on them.
    """

    version: VersionId
    traffic_fraction: float
    scale_in_protected: bool = False


@dataclass(frozen=True, slots=True)
class Demand:
    """A deployment's load over all daemons.

    :param calls: calls in work now, as daemons report them.
    :param growth: change of that a second, as measured; a fall counts as none.
    """

    calls: float
    growth: float = 0

    def forecast(self, seconds: float) -> float:
        """Return the calls in work after some seconds."""
        return self.calls + max(self.growth, 0) * seconds


@dataclass(frozen=True, slots=True)
class DeploymentNeed:
    """All that the capacity of one deployment is planned from."""

    deployment: Deployment
    versions: tuple[VersionNeed, ...]
    demand: Demand

    def count_servers(self, version: VersionNeed, ahead: float) -> int:
        """Return the servers that a version needs.

        :param ahead: seconds until a server that is ordered now is ready.
        """
        planned = self.deployment.capacity.calls_per_server * PLANNED_LOAD
        calls = self.demand.forecast(ahead) * version.traffic_fraction
        return max(1, math.ceil(calls / planned))
