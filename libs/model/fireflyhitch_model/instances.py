"""Instances as the platform's list and the cloud API tell of them."""

from dataclasses import field
from datetime import datetime

from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.ids import FailureDomainId, Incarnation, InstanceId
from fireflyhitch_model.records import immutable
from fireflyhitch_model.states import InstanceRole, InstanceState, MachineClass


@immutable
class Instance:
    """One entry of the instance list.

    :param address: ``host:port`` of its peers' or backend server's listener.
    :param server: the backend server on it, for the backend role.
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
    """The instance list as read at one time; it lags behind the truth."""

    instances: tuple[Instance, ...] = field(default=())


@immutable
class ReclaimNotice:
    """The cloud's notice that it takes an instance back.

    :param reclaim_at: wall time at which the instance goes.
    """

    instance_id: InstanceId
    reclaim_at: datetime
