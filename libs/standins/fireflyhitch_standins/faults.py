"""Faults that a test turns on at a step of a stand-in."""

from collections import deque
from collections.abc import Callable
from enum import Enum
from threading import Lock


class Fault(Enum):
    """What goes wrong with one call."""

    NONE = 'none'
    REFUSED = 'refused'
    LOST_REQUEST = 'lost-request'
    LOST_ANSWER = 'lost-answer'


class FaultPlan:
    """Decides for each call of a stand-in whether and how it fails.

    A standing fault holds until it is lifted; queued ones come first, each for
    one call. A hook runs before each call, so that a test can act at a step.
    """

    def __init__(self) -> None:
        self._lock = Lock()
        self._queued: dict[str, deque[Fault]] = {}
        self._standing: dict[str, Fault] = {}
        self._hook: Callable[[str], None] | None = None

    def queue(self, operation: str, *faults: Fault) -> None:
        """Let the next calls of an operation fail, one fault each."""
        with self._lock:
            self._queued.setdefault(operation, deque()).extend(faults)

    def stand(self, operation: str, fault: Fault) -> None:
        """Let all calls of an operation fail (``*``: of all operations)."""
        with self._lock:
            self._standing[operation] = fault

    def lift(self) -> None:
        """End all faults."""
        with self._lock:
            self._queued.clear()
            self._standing.clear()

    def before(self, hook: Callable[[str], None] | None) -> None:
        """Call a hook with the operation's name before each call."""
        self._hook = hook

    def take(self, operation: str) -> Fault:
        """Return the fault for a call that begins now."""
        if self._hook is not None:
            self._hook(operation)
        with self._lock:
            queued = self._queued.get(operation)
            if queued:
                return queued.popleft()
            everywhere = self._standing.get('*', Fault.NONE)
            return self._standing.get(operation, everywhere)
