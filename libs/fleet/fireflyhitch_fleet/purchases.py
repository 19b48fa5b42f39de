"""Instances that were ordered and are not in the instance list yet."""

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

ASSUMED_START_SECONDS = 180.0
# Longer than any start; what is not listed by then never came.
GIVEN_UP_SECONDS = 900.0
# Weight of the latest start in the measured start time.
LATEST_WEIGHT = 0.3


@dataclass(frozen=True, slots=True)
class _Purchase:
    order: InstanceOrder
    at: float
    wait: float


class Purchases:
    """Pending starts, order ids and measured start times."""

    def __init__(self, clock: Clock) -> None:
        """Make it without purchases."""
        self._clock = clock
        self._pending: dict[InstanceId, _Purchase] = {}
        self._start_seconds: dict[DeploymentId, float] = {}
        self._numbers: Counter[str] = Counter()

    def find_order_id(
        self,
        deployment: DeploymentId,
        version: VersionId,
        place: Placement,
        fencing: FencingNumber,
    ) -> str:
        """Return the id for the next start.

        It stays the same until ``note_start``: when the answer to a start was
        lost, the next try names the same order and the cloud starts no second
        instance. The fencing number keeps two holders' ids apart.
        """
        domain, machine_class = place
        prefix = f'{deployment}/{version}/{domain}/{machine_class.value}/{fencing}'
        return f'{prefix}-{self._numbers[prefix]}'

    def note_start(
        self, order: InstanceOrder, instance: InstanceId, wait: float
    ) -> None:
        """Note an instance that the cloud gave.

        :param wait: seconds until the weight store lets it load.
        """
        prefix, _, _ = order.order_id.rpartition('-')
        self._numbers[prefix] += 1
        now = self._clock.monotonic()
        self._pending[instance] = _Purchase(order, now, wait)

    def see(self, instances: Iterable[Instance]) -> None:
        """Take off what the instance list shows, and measure how long it took."""
        now = self._clock.monotonic()
        for one in instances:
            bought = self._pending.pop(one.instance_id, None)
            if bought is not None:
                self._measure(bought.order.deployment, now - bought.at)
        self._pending = {
            instance: bought
            for instance, bought in self._pending.items()
            if now - bought.at < GIVEN_UP_SECONDS + bought.wait
        }

    def count_pending(
        self, deployment: DeploymentId, version: VersionId
    ) -> dict[Placement, int]:
        """Return what is on its way, by placement."""
        counts: dict[Placement, int] = {}
        for bought in self._pending.values():
            order = bought.order
            if (order.deployment, order.version) == (deployment, version):
                place = Placement(order.failure_domain, order.machine_class)
                counts[place] = counts.get(place, 0) + 1
        return counts

    def find_start_seconds(self, deployment: DeploymentId) -> float:
        """Return how long a start takes."""
        return self._start_seconds.get(deployment, ASSUMED_START_SECONDS)

    def _measure(self, deployment: DeploymentId, seconds: float) -> None:
        known = self._start_seconds.get(deployment, seconds)
        latest = LATEST_WEIGHT * seconds
        self._start_seconds[deployment] = (1 - LATEST_WEIGHT) * known + latest
