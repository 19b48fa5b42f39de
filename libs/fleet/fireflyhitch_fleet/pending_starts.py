"""Instances that were ordered but are not in the instance list yet."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from fireflyhitch_fleet.planner import Placement
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import (
    DeploymentId,
    FencingNumber,
    InstanceId,
    VersionId,
)
from fireflyhitch_model.instances import Instance
from fireflyhitch_platform.services import InstanceOrder

DEFAULT_START_SECONDS = 180.0
# Longer than any start: an instance not listed by then failed to start.
ABANDON_SECONDS = 900.0
# Weight of the latest start in the moving average of start times.
SMOOTHING_FACTOR = 0.3


@dataclass(frozen=True, slots=True)
class _PendingStart:
    order: InstanceOrder
    ordered_at: float
    wait: float


class PendingStarts:
    """Tracks pending starts, order ids and measured start times."""

    def __init__(self, clock: Clock) -> None:
        """Create a tracker without pending starts."""
        self._clock = clock
        self._pending: dict[InstanceId, _PendingStart] = {}
        self._start_seconds: dict[DeploymentId, float] = {}
        self._numbers: Counter[str] = Counter()

    def find_order_id(
        self,
        deployment: DeploymentId,
        version: VersionId,
        placement: Placement,
        fencing: FencingNumber,
    ) -> str:
        """Return the id for the next start.

        It does not change until ``record_start``: after a lost response the retry
        uses the same id, so the cloud starts no second instance. The fencing number
        keeps the ids of different duty holders distinct.
        """
        domain, machine_class = placement
        prefix = f'{deployment}/{version}/{domain}/{machine_class.value}/{fencing}'
        return f'{prefix}-{self._numbers[prefix]}'

    def record_start(
        self, order: InstanceOrder, instance: InstanceId, wait: float
    ) -> None:
        """Record an instance that the cloud started.

        :param wait: seconds until the weight store lets it load.
        """
        prefix, _, _ = order.order_id.rpartition('-')
        self._numbers[prefix] += 1
        now = self._clock.monotonic()
        self._pending[instance] = _PendingStart(order, now, wait)

    def remove_listed(self, instances: Iterable[Instance]) -> None:
        """Remove listed instances and measure their start times."""
        now = self._clock.monotonic()
        for listed in instances:
            start = self._pending.pop(listed.instance_id, None)
            if start is not None:
                self._update_start_time(start.order.deployment, now - start.ordered_at)
        self._pending = {
            instance: start
            for instance, start in self._pending.items()
            if now - start.ordered_at < ABANDON_SECONDS + start.wait
        }

    def count_pending(
        self, deployment: DeploymentId, version: VersionId
    ) -> dict[Placement, int]:
        """Return the number of pending starts by placement."""
        counts: dict[Placement, int] = {}
        for start in self._pending.values():
            order = start.order
            if (order.deployment, order.version) == (deployment, version):
                placement = Placement(order.failure_domain, order.machine_class)
                counts[placement] = counts.get(placement, 0) + 1
        return counts

    def find_start_seconds(self, deployment: DeploymentId) -> float:
        """Return the average start time, in seconds."""
        return self._start_seconds.get(deployment, DEFAULT_START_SECONDS)

    def _update_start_time(self, deployment: DeploymentId, seconds: float) -> None:
        average = self._start_seconds.get(deployment, seconds)
        latest = SMOOTHING_FACTOR * seconds
        self._start_seconds[deployment] = (1 - SMOOTHING_FACTOR) * average + latest
