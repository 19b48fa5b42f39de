"""Identifiers, each a type of its own so that they cannot be mixed up."""

from typing import NewType

RequestId = NewType('RequestId', str)
# Of all requests that ask the same, whatever their ids.
ContentId = NewType('ContentId', str)
CustomerId = NewType('CustomerId', str)
DeploymentId = NewType('DeploymentId', str)
VersionId = NewType('VersionId', str)
FailureDomainId = NewType('FailureDomainId', str)
InstanceId = NewType('InstanceId', str)
BackendServerId = NewType('BackendServerId', str)
# Of one start of a backend server's process.
ProcessId = NewType('ProcessId', int)
DaemonId = NewType('DaemonId', str)
IdempotencyKey = NewType('IdempotencyKey', str)
AttemptId = NewType('AttemptId', str)
ChangeId = NewType('ChangeId', str)
DutyId = NewType('DutyId', str)
LeaseId = NewType('LeaseId', int)

# The store's revision; 0 means "does not exist".
Revision = NewType('Revision', int)
# Grows with each restart of the same instance or process.
Incarnation = NewType('Incarnation', int)
# A lease's creation revision, carried by every order given under it.
FencingNumber = NewType('FencingNumber', int)

ABSENT = Revision(0)
