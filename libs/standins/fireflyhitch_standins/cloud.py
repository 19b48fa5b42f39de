"""In-memory cloud API: instance starts and refusals, notices and reclaims."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from datetime import timedelta

from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import FailureDomainId, InstanceId
from fireflyhitch_model.instances import Instance, InstanceListing, ReclaimNotice
from fireflyhitch_model.states import (
    InstanceRole,
    InstanceState,
    MachineClass,
    Step,
)
from fireflyhitch_platform.services import InstanceOrder, Price
from fireflyhitch_standins.faulty_calls import FaultyCalls

NO_TIME = timedelta()

# Start and kill the backend server of an instance.
Launch = Callable[[InstanceOrder, InstanceId], BackendServer]
Halt = Callable[[InstanceId], None]


@dataclass(slots=True)
class _Machine:
    """An instance from its order until it is reclaimed or killed.

    :param ready_at: monotonic seconds from which it is listed.
    :param reclaimed_at: monotonic seconds at which it is reclaimed.
    """

    instance: Instance
    order_id: str | None
    ready_at: float
    reclaimed_at: float | None = None
    notice: ReclaimNotice | None = None


class MemoryCloud:
    """In-memory implementation of ``Cloud`` on a given clock.

    :param launch: starts the backend server of an ordered instance.
    :param halt: kills the server on an instance.
    :param start_duration: time from an order until the instance is listed.
    """

    def __init__(
        self,
        clock: Clock,
        launch: Launch,
        halt: Halt,
        prices: Iterable[Price] = (),
        start_duration: timedelta = NO_TIME,
    ) -> None:
        self.calls = FaultyCalls('cloud stand-in', Step.CLOUD)
        self.prices = tuple(prices)
        self.start_duration = start_duration
        self.on_change: Callable[[InstanceListing], None] | None = None
        self._clock = clock
        self._launch = launch
        self._halt = halt
        self._lock = threading.RLock()
        self._machines: dict[InstanceId, _Machine] = {}
        self._refused: set[tuple[FailureDomainId, MachineClass]] = set()
        self._started = 0

    def read_notices(self) -> tuple[ReclaimNotice, ...]:
        """Return the current reclaim notices."""
        return self.calls.run('read_notices', self._list_notices)

    def read_prices(self) -> tuple[Price, ...]:
        """Return the current prices."""
        return self.calls.run('read_prices', lambda: self.prices)

    def start(self, order: InstanceOrder) -> InstanceId | None:
        """Start an instance, only once per order id."""
        return self.calls.run('start', lambda: self._start(order))

    def stop(self, instance: InstanceId) -> None:
        """Stop an instance and return it to the cloud."""
        self.calls.run('stop', lambda: self.kill(instance))

    def add(self, instance: Instance) -> None:
        """Add an instance that was not ordered through this API."""
        with self._lock:
            machine = _Machine(instance, None, self._clock.monotonic())
            self._machines[instance.instance_id] = machine
        self.advance()

    def refuse(
        self, domain: FailureDomainId, machine_class: MachineClass, refused: bool
    ) -> None:
        """Refuse or accept starts in a failure domain and machine class."""
        with self._lock:
            key = (domain, machine_class)
            if refused:
                self._refused.add(key)
            else:
                self._refused.discard(key)

    def reclaim(self, instances: Iterable[InstanceId], notice: timedelta) -> None:
        """Send reclaim notices and reclaim the instances when they expire."""
        with self._lock:
            for instance_id in instances:
                machine = self._machines.get(instance_id)
                if machine is None or machine.notice is not None:
                    continue
                machine.notice = ReclaimNotice(instance_id, self._clock.now() + notice)
                machine.reclaimed_at = self._clock.monotonic() + notice.total_seconds()
                machine.instance = replace(
                    machine.instance, state=InstanceState.LEAVING
                )
        self.advance()

    def reclaim_domain(
        self, domain: FailureDomainId, notice: timedelta
    ) -> tuple[InstanceId, ...]:
        """Reclaim all reclaimable instances of a failure domain at once.

        :returns: the instances that received a notice.
        """
        with self._lock:
            reclaimed = tuple(
                instance.instance_id
                for instance in self.list_instances().instances
                if instance.failure_domain == domain
                and instance.machine_class is MachineClass.RECLAIMABLE
            )
        self.reclaim(reclaimed, notice)
        return reclaimed

    def kill(self, instance: InstanceId) -> None:
        """Remove an instance without notice."""
        with self._lock:
            known = self._machines.pop(instance, None)
        if known is not None:
            self._halt(instance)
        self.advance()

    def list_instances(self) -> InstanceListing:
        """Return the current instances, without lag."""
        now = self._clock.monotonic()
        with self._lock:
            return InstanceListing(
                tuple(
                    machine.instance
                    for machine in self._machines.values()
                    if machine.ready_at <= now
                )
            )

    def advance(self) -> None:
        """Reclaim instances whose notice has expired, and report changes."""
        now = self._clock.monotonic()
        with self._lock:
            gone = [
                instance
                for instance, machine in self._machines.items()
                if machine.reclaimed_at is not None and machine.reclaimed_at <= now
            ]
            for instance in gone:
                self._machines.pop(instance)
        for instance in gone:
            self._halt(instance)
        if self.on_change is not None:
            self.on_change(self.list_instances())

    def _start(self, order: InstanceOrder) -> InstanceId | None:
        with self._lock:
            for known, machine in self._machines.items():
                if machine.order_id == order.order_id:
                    return known
            if (order.failure_domain, order.machine_class) in self._refused:
                return None
            self._started += 1
            instance_id = InstanceId(f'{order.failure_domain}-s{self._started}')
            server = self._launch(order, instance_id)
            instance = Instance(
                instance_id,
                InstanceRole.BACKEND,
                InstanceState.LIVE,
                order.failure_domain,
                server.address,
                order.machine_class,
                server=server,
            )
            ready_at = self._clock.monotonic() + self.start_duration.total_seconds()
            self._machines[instance_id] = _Machine(instance, order.order_id, ready_at)
        self.advance()
        return instance_id

    def _list_notices(self) -> tuple[ReclaimNotice, ...]:
        self.advance()
        with self._lock:
            machines = tuple(self._machines.values())
        return tuple(
            machine.notice for machine in machines if machine.notice is not None
        )
