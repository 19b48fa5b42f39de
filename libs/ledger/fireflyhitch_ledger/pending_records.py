"""Records that the store has not taken yet."""

from collections import OrderedDict
from threading import Lock

from loguru import logger

from fireflyhitch_ledger.operations import Operation
from fireflyhitch_model.ids import AttemptId
from fireflyhitch_model.states import Step


class PendingRecords:
    """Keeps records until the store takes them, the newest of them if many.

    A record that is lost leaves its call claimed, which counts as unknown once
    the claim lapses: less than is known, and never wrong.
    """

    def __init__(self, limit: int) -> None:
        self._lock = Lock()
        self._limit = limit
        self._operations: OrderedDict[AttemptId, Operation] = OrderedDict()

    def add(self, operation: Operation) -> None:
        """Keep a record for later."""
        with self._lock:
            self._operations[operation.attempt] = operation
            dropped = len(self._operations) > self._limit
            if dropped:
                self._operations.popitem(last=False)
        if dropped:
            logger.bind(step=Step.RECORD.value).warning('ledger record dropped')

    def remove(self, operation: Operation) -> None:
        """Forget a record that the store has taken."""
        with self._lock:
            self._operations.pop(operation.attempt, None)

    def list(self) -> tuple[Operation, ...]:
        """Return the records, oldest first."""
        with self._lock:
            return tuple(self._operations.values())
