"""How long, and with how many calls, a move has been in its present phase."""

from dataclasses import dataclass
from datetime import timedelta

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import DeploymentId
from fireflyhitch_rollout.judge import Judge
from fireflyhitch_rollout.records import MoveRecord

# A burst ends by the holder's word; this is for when that word does not come.
BURST_GRACE = timedelta(seconds=3)


@dataclass(frozen=True, slots=True)
class _Mark:
    """A phase and what a count was when it was first seen."""

    phase: tuple[object, ...]
    value: float


class PhaseCounts:
    """Remembers when, and at how many calls, each phase was first seen here."""

    def __init__(self, clock: Clock) -> None:
        """Make it without phases."""
        self._clock = clock
        self._times: dict[DeploymentId, _Mark] = {}
        self._calls: dict[DeploymentId, _Mark] = {}

    def count(self, record: MoveRecord, judge: Judge | None) -> int:
        """Return the new version's calls since the phase was first seen."""
        calls = judge.count_new() if judge else 0
        return calls - int(_see(self._calls, record, calls))

    def is_overdue(self, record: MoveRecord, burst_length: timedelta) -> bool:
        """Tell whether a burst lasts longer than it may.

        A daemon that is cut off in a burst does not hear of its end, and would
        go on to expose more than the bound.
        """
        now = self._clock.monotonic()
        began = _see(self._times, record, now)
        if record.burst % 2 == 0:
            return False
        return now - began > (burst_length + BURST_GRACE).total_seconds()


def _see(marks: dict[DeploymentId, _Mark], record: MoveRecord, value: float) -> float:
    phase = (record.attempt, record.state, record.step, record.burst)
    mark = marks.get(record.deployment)
    if mark is None or mark.phase != phase:
        mark = _Mark(phase, value)
        marks[record.deployment] = mark
    return mark.value
