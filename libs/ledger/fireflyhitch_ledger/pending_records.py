"""Records that are not yet written to the store."""

from collections import OrderedDict
from threading import Lock

from loguru import logger

from fireflyhitch_ledger.operations import Operation
from fireflyhitch_model.ids import AttemptId
from fireflyhitch_model.states import Step


class PendingRecords:
    """Bounded queue of records for the store; it drops the oldest when full.

    A dropped record leaves its call claimed, and its outcome counts as unknown
    once the claim expires. That loses information but is never wrong.
    """

    def __init__(self, limit: int) -> None:
        self._lock = Lock()
        self._limit = limit
        self._operations: OrderedDict[AttemptId, Operation] = OrderedDict()

    def add(self, operation: Operation) -> None:
        """Add a record to be written later."""
        with self._lock:
            self._operations[operation.attempt] = operation
            dropped = len(self._operations) > self._limit
            if dropped:
                self._operations.popitem(last=False)
        if dropped:
            logger.bind(step=Step.RECORD.value).warning('ledger record dropped')

    def remove(self, operation: Operation) -> None:
        """Remove a record that was written to the store."""
        with self._lock:
            self._operations.pop(operation.attempt, None)

    def list(self) -> tuple[Operation, ...]:
        """Return the records, oldest first."""
        with self._lock:
            return tuple(self._operations.values())
