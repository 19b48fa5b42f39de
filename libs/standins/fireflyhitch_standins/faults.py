"""Faults that a test injects into a stand-in's calls."""

from collections import deque
from collections.abc import Callable
from enum import Enum
from threading import Lock


class Fault(Enum):
    """The fault of one call."""

    NONE = 'none'
    REFUSED = 'refused'
    LOST_REQUEST = 'lost-request'
    LOST_ANSWER = 'lost-answer'


class FaultPlan:
    """Selects the fault of each call of a stand-in.

    A persistent fault applies until it is cleared. Queued faults take precedence,
    each for one call. A hook runs before each call, so that a test can act then.
    """

    def __init__(self) -> None:
        self._lock = Lock()
        self._queued: dict[str, deque[Fault]] = {}
        self._standing: dict[str, Fault] = {}
        self._hook: Callable[[str], None] | None = None

    def queue(self, operation: str, *faults: Fault) -> None:
        """Queue faults for the next calls of an operation."""
        with self._lock:
            self._queued.setdefault(operation, deque()).extend(faults)

    def set_persistent(self, operation: str, fault: Fault) -> None:
        """Apply a fault to all calls of an operation (``*``: all operations)."""
        with self._lock:
            self._standing[operation] = fault

    def clear_all(self) -> None:
        """Remove all queued and persistent faults."""
        with self._lock:
            self._queued.clear()
            self._standing.clear()

    def before(self, hook: Callable[[str], None] | None) -> None:
        """Set a hook that gets the operation's name before each call."""
        self._hook = hook

    def take(self, operation: str) -> Fault:
        """Return the fault of the next call, removing it if it was queued."""
        if self._hook is not None:
            self._hook(operation)
        with self._lock:
            queued = self._queued.get(operation)
            if queued:
                return queued.popleft()
            everywhere = self._standing.get('*', Fault.NONE)
            return self._standing.get(operation, everywhere)
