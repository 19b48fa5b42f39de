"""The components that handling a request depends on."""

import random
from collections.abc import Callable, Iterable
from typing import Protocol

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import (
    BackendServerId,
    DeploymentId,
    FailureDomainId,
    RegionId,
)
from fireflyhitch_model.records import immutable
from fireflyhitch_routing.announcements import Announcements
from fireflyhitch_routing.crashes import CrashTracker
from fireflyhitch_routing.quarantine import Quarantine
from fireflyhitch_routing.server_limits import ServerLimits
from fireflyhitch_routing.service_demand import ServiceDemands
from fireflyhitch_serving.brittle_servers import BrittleServers
from fireflyhitch_serving.catalog import Catalog
from fireflyhitch_serving.cold_servers import ColdServers
from fireflyhitch_serving.crash_detection import CrashDetector
from fireflyhitch_serving.edge import Edge
from fireflyhitch_serving.forwarding import Forwarder
from fireflyhitch_serving.messages import PromptPart
from fireflyhitch_serving.metrics_endpoint import RequestRecord, WaitRecord
from fireflyhitch_serving.quotas import Quotas
from fireflyhitch_serving.reachability import ServerReachability
from fireflyhitch_serving.response_buffers import ResponseBuffers
from fireflyhitch_serving.retry_budget import RetryBudget
from fireflyhitch_serving.servers import ServerRegistry
from fireflyhitch_serving.usage import UsageTracker
from fireflyhitch_serving.versions import VersionShares
from fireflyhitch_serving.work_times import WorkTimes
from fireflyhitch_serving.workloads import Workloads


class OutcomeRecorder(Protocol):
    """Records a version's responses, on which the move of traffic to it depends."""

    def __call__(
        self,
        service: DeploymentId,
        version: str,
        route: str,
        *,
        failed: bool,
        seconds: float,
    ) -> None:
        """Record a response.

        :param seconds: to the first event or the complete response.
        """


class RecentPromptParts:
    """Prompt parts recently sent to servers, to be reported to peers."""

    def __init__(self) -> None:
        """Create an empty record."""
        self._current: dict[BackendServerId, list[str]] = {}
        self._previous: dict[BackendServerId, list[str]] = {}

    def add(self, server: BackendServerId, parts: Iterable[PromptPart]) -> None:
        """Record the parts of a prompt sent to a server."""
        self._current.setdefault(server, []).extend(part.part_id for part in parts)

    def take(self) -> dict[BackendServerId, list[str]]:
        """Return the parts added since the second-to-last call.

        Each part is returned twice, since a message may be lost.
        """
        recent = {server: list(parts) for server, parts in self._previous.items()}
        for server, parts in self._current.items():
            recent.setdefault(server, []).extend(parts)
        self._previous = self._current
        self._current = {}
        return recent


@immutable
class CrashTracking:
    """Tracks server crashes and holds back the requests that cause them."""

    tracker: CrashTracker
    quarantine: Quarantine
    detector: CrashDetector


def make_crash_tracking(
    clock: Clock, servers: ServerRegistry, reachability: ServerReachability
) -> CrashTracking:
    """Create the crash tracking components, without records."""
    tracker = CrashTracker()
    detector = CrashDetector(clock, servers.find, tracker, reachability)
    return CrashTracking(tracker, Quarantine(tracker), detector)


def make_leaving_table(servers: ServerRegistry) -> Announcements:
    """Create the table of servers that have said that they leave, without any."""
    return Announcements(
        'leaving server', lambda process, value: servers.mark_leaving(process)
    )


@immutable
class RequestDependencies:
    """The components that the request handler uses.

    :param leaving: the servers that have said that they leave.
    :param wall: wall clock in seconds since 1970, corrected by the peers' clocks.
    :param catalog: the current configuration, if there is one yet.
    :param is_catalog_recent: whether no newer one can be in force for longer than a
        moment.
    :param unreachable_domains: failure domains that are probably partitioned from here.
    :param record_wait: records the expected and the actual wait of a request that
        waited for a place.
    :param count_refusal: counts a refusal by its status and code.
    :param count_malformed_load: counts a load report that could not be read in full, by
        the server's service.
    :param set_admitted_fraction: sets the fraction of the requests of a service and
        urgency that are admitted.
    :param find_region: returns a failure domain's region, if it is known.
    :param shutdown_deadline: monotonic time by which a stopping process must have
        finished.
    """

    clock: Clock
    wall: Callable[[], float]
    edge: Edge
    catalog: Callable[[], Catalog | None]
    is_catalog_recent: Callable[[], bool]
    servers: ServerRegistry
    quotas: Quotas
    budget: RetryBudget
    usage: UsageTracker
    workloads: Workloads
    work_times: WorkTimes
    demands: ServiceDemands
    versions: VersionShares
    record_outcome: OutcomeRecorder
    fresh_parts: RecentPromptParts
    unreachable_domains: Callable[[], frozenset[FailureDomainId]]
    record: Callable[[RequestRecord], None]
    record_wait: Callable[[WaitRecord], None]
    count_refusal: Callable[[int, str], None]
    count_malformed_load: Callable[[DeploymentId], None]
    set_admitted_fraction: Callable[[DeploymentId, int, float], None]
    find_region: Callable[[FailureDomainId], RegionId | None]
    shutdown_deadline: Callable[[], float | None]
    own_domain: FailureDomainId
    rng: random.Random
    crashes: CrashTracking
    limits: ServerLimits
    cold_servers: ColdServers
    brittle_servers: BrittleServers
    leaving: Announcements
    reachability: ServerReachability
    buffers: ResponseBuffers
    forwarder: Forwarder
