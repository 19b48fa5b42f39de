"""What a deployment has to serve with, and what its move needs of the fleet."""

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
    """What a deployment has to serve with, from the instance list and the fleet.

    :param servers: those that are ready and not leaving, of all versions.
    :param needed: how many servers carry the present traffic.
    :param start_time: from ordering an instance until it is ready, as measured,
        with the wait for the weight store.
    """

    servers: tuple[BackendServer, ...] = ()
    needed: int = 1
    start_time: timedelta = DEFAULT_START_TIME

    def list_version(self, version: VersionId) -> tuple[BackendServer, ...]:
        """Return the servers of a version."""
        return tuple(server for server in self.servers if server.version == version)

    def find_capacity(self, version: VersionId) -> float:
        """Return the part of the traffic that a version's servers can carry."""
        return len(self.list_version(version)) / max(self.needed, 1)


def find_needs(
    record: MoveRecord | None, base: VersionId, policy: MovePolicy
) -> tuple[VersionNeed, ...]:
    """Return what a deployment needs of each version.

    While a move is on, the old version keeps room for all of the traffic, and
    the new one is made ready ahead of its steps.
    """
    if record is None or record.has_ended:
        return (VersionNeed(base, 1),)
    # Servers take minutes to start, as long as a step; so all are ordered when
    # the first step begins.
    traffic_fraction = 1.0 if record.state is MoveState.SHIFTING else policy.steps[1]
    return (
        VersionNeed(base, 1, scale_in_protected=True),
        VersionNeed(record.to_version, traffic_fraction),
    )
