"""Backend servers and their reports."""

from fireflyhitch_model.ids import (
    BackendServerId,
    DeploymentId,
    FailureDomainId,
    Incarnation,
    InstanceId,
    VersionId,
)
from fireflyhitch_model.records import immutable
from fireflyhitch_model.states import FencingSupport, MachineClass


@immutable
class BackendServer:
    """A process that serves calls for one version of a deployment.

    :param address: ``host:port``, the host as an IP address.
    :param price: cost of its instance, in currency units per hour.
    :param capacity: how many calls it runs concurrently before it queues more.
    :param incarnation: increases with each restart of the instance.
    """

    server_id: BackendServerId
    instance: InstanceId
    deployment: DeploymentId
    version: VersionId
    failure_domain: FailureDomainId
    address: str
    machine_class: MachineClass
    price: float
    capacity: int
    incarnation: Incarnation = Incarnation(1)
    fencing: FencingSupport = FencingSupport.ENFORCED


@immutable
class LoadReport:
    """The load that a backend server reports, with a delay.

    :param measured: estimated time of measurement, in monotonic seconds.
    :param kv_cache_used: fraction of the KV cache in use, 0 to 1.
    """

    server_id: BackendServerId
    running: int
    waiting: int
    kv_cache_used: float
    measured: float


@immutable
class CacheEvent:
    """A notice of prompt blocks stored or evicted, which may be late or lost.

    :param sequence: increases by one per event of a server; a gap means lost events.
    """

    server_id: BackendServerId
    sequence: int
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()
    cleared: bool = False
