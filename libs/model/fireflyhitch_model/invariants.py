"""Runtime invariants, also checked in production.

A violation is counted and reported, and fails only the current request.
"""

from collections import Counter
from collections.abc import Callable
from enum import Enum
from threading import Lock

from fireflyhitch_model.errors import InvariantError
from fireflyhitch_model.states import Step

Observer = Callable[[str, str], None]


class Invariant(Enum):
    """The invariants that are checked at run time."""

    ANSWER_OWNER = 'an answer reaches only its own request'
    ANSWER_ORDER = "an answer's events are in order, each once"
    SENT_ONCE = 'a call that may not be repeated is sent at most once'
    NOT_RUN_IS_CERTAIN = 'not-run is said only of what was not sent'
    REVISION_GROWS = 'the configuration in force never reverts'
    LEAVING_STAYS = 'a leaving mark is never taken back'
    WITHDRAWN_STAYS = 'a withdrawn version gets no new work'
    SHARE_NEEDS_LEASE = 'only the lease holder raises a share'
    ONE_HOLDER = 'an order is given only within its lease'
    MOVE_ENDS = 'a move ends by its date'
    COUNT_BALANCES = 'in-flight counts never go below zero'
    BUDGET_HOLDS = 'retries stay within their budget'


class _Violations:
    """Counts of violations since the start, and observers of violations."""

    def __init__(self) -> None:
        self._lock = Lock()
        self._counts: Counter[Invariant] = Counter()
        self._observers: list[Observer] = []

    def record(self, kind: Invariant, detail: str) -> None:
        with self._lock:
            self._counts[kind] += 1
            observers = tuple(self._observers)
        for observer in observers:
            observer(kind.value, detail)

    def observe(self, observer: Observer) -> None:
        with self._lock:
            self._observers.append(observer)

    def total(self) -> int:
        with self._lock:
            return self._counts.total()


_violations = _Violations()


def invariant(
    holds: bool,
    kind: Invariant,
    detail: str = '',
    *,
    step: Step = Step.ANSWER,
    peer: str | None = None,
) -> None:
    """Raise an error if an invariant does not hold.

    :param holds: whether the invariant holds.
    :param kind: the invariant.
    :param detail: the values that violate it.
    :raises InvariantError: if it does not hold.
    """
    if holds:
        return
    _violations.record(kind, detail)
    raise InvariantError(f'{kind.value}: {detail}', step=step, peer=peer)


def observe_violations(observer: Observer) -> None:
    """Register an observer to be called on each violation, for logs and metrics."""
    _violations.observe(observer)


def count_violations() -> int:
    """Return the number of violations since the process started."""
    return _violations.total()
