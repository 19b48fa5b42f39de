"""Servers available to a deployment and the servers that its move needs."""

from dataclasses import dataclass
from datetime import timedelta

from fireflyhitch_fleet.needs import VersionNeed
from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.ids import VersionId
from fireflyhitch_rollout.records import MoveRecord, MoveState
from fireflyhitch_rollout.schedule import MovePolicy

DEFAULT_START_TIME = timedelta(minutes=3)


@dataclass(frozen=True, slots=True)
class Supply:
    """Servers available to a deployment, from the instance list and the fleet.

    :param servers: servers of all versions that are ready and not leaving.
    :param needed: number of servers that the present traffic needs.
    :param start_time: measured time from ordering an instance until it is ready,
        including the wait for the weight store.
    """

    servers: tuple[BackendServer, ...] = ()
    needed: int = 1
    start_time: timedelta = DEFAULT_START_TIME

    def list_version(self, version: VersionId) -> tuple[BackendServer, ...]:
        """Return the servers of a version."""
        return tuple(server for server in self.servers if server.version == version)

    def find_capacity(self, version: VersionId) -> float:
        """Return the fraction of the traffic that a version's servers can carry."""
        return len(self.list_version(version)) / max(self.needed, 1)


def find_needs(
    record: MoveRecord | None, base: VersionId, policy: MovePolicy
) -> tuple[VersionNeed, ...]:
    """Return the servers that a deployment needs of each version.

    During a move the old version keeps capacity for all traffic, and servers of
    the new version are started ahead of its steps.
    """
    if record is None or record.has_ended:
        return (VersionNeed(base, 1),)
    # Starting a server takes minutes, as long as a step, so all servers are
    # ordered when the first step begins.
    fraction = 1.0 if record.state is MoveState.SHIFTING else policy.steps[1]
    return (
        VersionNeed(base, 1, scale_in_protected=True),
        VersionNeed(record.to_version, fraction),
    )
