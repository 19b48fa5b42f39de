"""Platform calls that only the leader makes, for all daemons."""

from collections.abc import Mapping
from enum import Enum
from typing import Protocol

from fireflyhitch_model.ids import CustomerId, DeploymentId, FailureDomainId
from fireflyhitch_model.records import immutable
from fireflyhitch_serving.leases import Leadership


class CallResult(Enum):
    """The result of a leader's call."""

    DONE = 'done'
    UNAVAILABLE = 'unavailable'
    FAILED = 'failed'


@immutable
class ServerOrder:
    """The desired number of servers of one kind in a failure domain."""

    service: DeploymentId
    failure_domain: FailureDomainId
    reclaimable: bool
    count: int


class DutyCalls(Protocol):
    """The platform's side of the leader's duties; no method raises."""

    async def report_usage(
        self, leadership: Leadership, window: int, counts: Mapping[CustomerId, int]
    ) -> CallResult:
        """Report a window's requests."""

    async def order_servers(
        self, leadership: Leadership, order: ServerOrder
    ) -> CallResult:
        """Order servers; ``UNAVAILABLE`` if there are none available now."""
