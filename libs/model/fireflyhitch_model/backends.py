"""Backend servers and what they report of themselves."""

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
    """A process that answers calls of one deployment in one version.

    :param address: ``host:port`` by IP number.
    :param price: cost of its instance, in currency units an hour.
    :param capacity: how many calls it works on at once before they queue.
    :param incarnation: grows when the instance is restarted.
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
    """A backend server's own account of its load, which lags.

    :param measured: monotonic seconds at which it was true, by estimate.
    :param kv_cache_used: share of the KV cache in use, 0 to 1.
    """

    server_id: BackendServerId
    running: int
    waiting: int
    kv_cache_used: float
    measured: float


@immutable
class CacheEvent:
    """A late and possibly lost notice of prompt blocks stored or dropped.

    :param sequence: counts up by one a server; a gap means lost events.
    """

    server_id: BackendServerId
    sequence: int
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()
    cleared: bool = False
