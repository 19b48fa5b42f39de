"""Tracks the duration and the number of calls of each move's current phase."""

from dataclasses import dataclass
from datetime import timedelta

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import DeploymentId
from fireflyhitch_rollout.records import MoveRecord
from fireflyhitch_rollout.sequential_test import SequentialTest

# The duty holder ends a burst; a daemon that does not receive the end waits this
# much longer.
BURST_GRACE = timedelta(seconds=3)


@dataclass(frozen=True, slots=True)
class _PhaseStart:
    """A phase and the value of a counter when the phase was first seen."""

    phase: tuple[object, ...]
    value: float


class PhaseTracker:
    """Records the time and the call count at which each phase was first seen."""

    def __init__(self, clock: Clock) -> None:
        """Create a tracker without phases."""
        self._clock = clock
        self._start_times: dict[DeploymentId, _PhaseStart] = {}
        self._start_calls: dict[DeploymentId, _PhaseStart] = {}

    def count_calls(self, record: MoveRecord, test: SequentialTest | None) -> int:
        """Return the calls of the new version since the phase was first seen."""
        calls = test.count_new_calls() if test else 0
        return calls - int(_find_start(self._start_calls, record, calls))

    def is_overdue(self, record: MoveRecord, burst_length: timedelta) -> bool:
        """Return whether a burst has exceeded its duration.

        A daemon that is partitioned during a burst does not receive its end and
        would otherwise exceed the exposure limit.
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
