"""Instances as reported by the platform's list and the cloud API."""

from dataclasses import field
from datetime import datetime

from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.ids import FailureDomainId, Incarnation, InstanceId
from fireflyhitch_model.records import immutable
from fireflyhitch_model.states import InstanceRole, InstanceState, MachineClass


@immutable
class Instance:
    """One entry of the instance list.

    :param address: ``host:port`` of its listener for peers or of its backend server.
    :param server: its backend server, if it has the backend role.
    """

    instance_id: InstanceId
    role: InstanceRole
    state: InstanceState
    failure_domain: FailureDomainId
    address: str
    machine_class: MachineClass
    incarnation: Incarnation = Incarnation(1)
    server: BackendServer | None = None


@immutable
class InstanceListing:
    """The instance list as read at one time; it lags behind the actual state."""

    instances: tuple[Instance, ...] = field(default=())


@immutable
class ReclaimNotice:
    """The cloud's notice that it will reclaim an instance.

    :param reclaim_at: wall clock time at which the instance is reclaimed.
    """

    instance_id: InstanceId
    reclaim_at: datetime
