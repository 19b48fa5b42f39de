"""Wall clock time that ignores short jumps of the system clock."""

from datetime import datetime, timedelta

from fireflyhitch_model.clock import Clock

# A jump could make a move miss its deadline or cut its trial short. A correction
# and an error look alike at first, so a jump is accepted only once it persists.
MAX_DRIFT = timedelta(seconds=1)
ACCEPT_JUMP_SECONDS = 60.0


class StableWallClock:
    """Extrapolates wall clock time with the monotonic clock."""

    def __init__(self, clock: Clock) -> None:
        """Start from the current wall clock time."""
        self._clock = clock
        self._base_wall = clock.now()
        self._base_monotonic = clock.monotonic()
        self._jump_seen: float | None = None

    def now(self) -> datetime:
        """Return the wall clock time, in UTC."""
        elapsed = self._clock.monotonic()
        extrapolated = self._base_wall + timedelta(
            seconds=elapsed - self._base_monotonic
        )
        wall = self._clock.now()
        if abs(wall - extrapolated) <= MAX_DRIFT:
            return self._adopt(wall, elapsed)
        if self._jump_seen is None:
            self._jump_seen = elapsed
        if elapsed - self._jump_seen >= ACCEPT_JUMP_SECONDS:
            return self._adopt(wall, elapsed)
        return extrapolated

    def _adopt(self, wall: datetime, elapsed: float) -> datetime:
        self._base_wall = wall
        self._base_monotonic = elapsed
        self._jump_seen = None
        return wall
