"""Identifiers, each of a distinct type so that the type checker finds mix-ups."""

from typing import NewType

RequestId = NewType('RequestId', str)
# Shared by all requests with the same content, whatever their request ids, or by all
# whose prompts have a certain part.
ContentId = NewType('ContentId', str)
CustomerId = NewType('CustomerId', str)
DeploymentId = NewType('DeploymentId', str)
VersionId = NewType('VersionId', str)
FailureDomainId = NewType('FailureDomainId', str)
RegionId = NewType('RegionId', str)
InstanceId = NewType('InstanceId', str)
BackendServerId = NewType('BackendServerId', str)
# Identifies one process of a backend server; a restart gets a new id.
ProcessId = NewType('ProcessId', int)
DaemonId = NewType('DaemonId', str)
IdempotencyKey = NewType('IdempotencyKey', str)
AttemptId = NewType('AttemptId', str)
ChangeId = NewType('ChangeId', str)
DutyId = NewType('DutyId', str)
LeaseId = NewType('LeaseId', int)

# Counts the times that the store came back from an older copy of its data.
StoreEra = NewType('StoreEra', int)
# A revision of the store, with its era (see ``eras``); 0 means "does not exist".
Revision = NewType('Revision', int)
# Increases with each restart of the same instance or process.
Incarnation = NewType('Incarnation', int)
# The creation revision of a lease, contained in every order sent under it.
FencingNumber = NewType('FencingNumber', int)

ABSENT = Revision(0)
