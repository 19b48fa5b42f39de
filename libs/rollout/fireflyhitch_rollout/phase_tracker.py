"""How long, and with how many calls, a move has been in its present phase."""

from dataclasses import dataclass
from datetime import timedelta

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import DeploymentId
from fireflyhitch_rollout.records import MoveRecord
from fireflyhitch_rollout.sequential_test import SequentialTest

# A burst ends by the holder's word; this is for when that word does not come.
BURST_GRACE = timedelta(seconds=3)


@dataclass(frozen=True, slots=True)
class _PhaseStart:
    """A phase and what a count was when it was first seen."""

    phase: tuple[object, ...]
    value: float


class PhaseTracker:
    """Remembers when, and at how many calls, each phase was first seen here."""

    def __init__(self, clock: Clock) -> None:
        """Make it without phases."""
        self._clock = clock
        self._start_times: dict[DeploymentId, _PhaseStart] = {}
        self._start_calls: dict[DeploymentId, _PhaseStart] = {}

    def count_calls(self, record: MoveRecord, judge: SequentialTest | None) -> int:
        """Return the new version's calls since the phase was first seen."""
        calls = judge.count_new() if judge else 0
        return calls - int(_find_start(self._start_calls, record, calls))

    def is_overdue(self, record: MoveRecord, burst_length: timedelta) -> bool:
        """Tell whether a burst lasts longer than it may.

        A daemon that is cut off in a burst does not hear of its end, and would
        go on to expose more than the bound.
        """
        now = self._clock.monotonic()
        began = _find_start(self._start_times, record, now)
        if record.burst % 2 == 0:
            return False
        return now - began > (burst_length + BURST_GRACE).total_seconds()


def _find_start(
    starts: dict[DeploymentId, _PhaseStart], record: MoveRecord, value: float
) -> float:
    phase = (record.move_key, record.state, record.step, record.burst)
    start = starts.get(record.deployment)
    if start is None or start.phase != phase:
        start = _PhaseStart(phase, value)
        starts[record.deployment] = start
    return start.value
