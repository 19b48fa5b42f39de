"""What the path of a request is made of."""

import random
from collections.abc import Callable, Iterable
from typing import Protocol

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import BackendServerId, DeploymentId, FailureDomainId
from fireflyhitch_model.records import immutable
from fireflyhitch_routing.crashes import CrashTracker
from fireflyhitch_routing.quarantine import Quarantine
from fireflyhitch_routing.server_limits import ServerLimits
from fireflyhitch_serving.catalog import Catalog
from fireflyhitch_serving.crash_detection import CrashDetector
from fireflyhitch_serving.edge import Edge
from fireflyhitch_serving.messages import PromptPart
from fireflyhitch_serving.metrics_endpoint import RequestRecord
from fireflyhitch_serving.quotas import Quotas
from fireflyhitch_serving.retry_budget import RetryBudget
from fireflyhitch_serving.servers import ServerRegistry
from fireflyhitch_serving.usage import UsageTracker
from fireflyhitch_serving.versions import VersionShares
from fireflyhitch_serving.workloads import Workloads


class CountAnswer(Protocol):
    """Takes in how a version answered, as evidence for its move."""

    def __call__(
        self,
        service: DeploymentId,
        version: str,
        route: str,
        *,
        failed: bool,
        seconds: float,
    ) -> None:
        """Count an answer."""


class RecentPromptParts:
    """Prompt parts given to servers lately, to be told to peers."""

    def __init__(self) -> None:
        """Make an empty list."""
        self._now: dict[BackendServerId, list[str]] = {}
        self._before: dict[BackendServerId, list[str]] = {}

    def add(self, server: BackendServerId, parts: Iterable[PromptPart]) -> None:
        """Note the parts of a prompt that a server was given."""
        self._now.setdefault(server, []).extend(part.part_id for part in parts)

    def take(self) -> dict[BackendServerId, list[str]]:
        """Return those of the last two turns, since a message may be lost."""
        told = {server: list(parts) for server, parts in self._before.items()}
        for server, parts in self._now.items():
            told.setdefault(server, []).extend(parts)
        self._before = self._now
        self._now = {}
        return told


@immutable
class CrashTracking:
    """What guards servers from requests that end them."""

    book: CrashTracker
    quarantine: Quarantine
    ends: CrashDetector


def make_crash_tracking(clock: Clock, servers: ServerRegistry) -> CrashTracking:
    """Return parts that know of no request."""
    book = CrashTracker()
    return CrashTracking(
        book, Quarantine(book), CrashDetector(clock, servers.find, book)
    )


@immutable
class RequestDependencies:
    """What the path of a request uses.

    :param catalog: the configuration in force, if there is one yet.
    :param shutdown_deadline: monotonic seconds by which a stopping process must be done.
    :param wall: seconds since 1970, corrected by what peers say.
    """

    clock: Clock
    wall: Callable[[], float]
    edge: Edge
    catalog: Callable[[], Catalog | None]
    servers: ServerRegistry
    quotas: Quotas
    budget: RetryBudget
    usage: UsageTracker
    workloads: Workloads
    versions: VersionShares
    record_outcome: CountAnswer
    fresh_parts: RecentPromptParts
    unreachable_domains: Callable[[], frozenset[FailureDomainId]]
    record: Callable[[RequestRecord], None]
    shutdown_deadline: Callable[[], float | None]
    own_domain: FailureDomainId
    rng: random.Random
    crashes: CrashTracking
    limits: ServerLimits
