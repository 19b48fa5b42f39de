"""Wall time that a short jump of the clock does not move."""

from datetime import datetime, timedelta

from fireflyhitch_model.clock import Clock

# A jump is a date missed or a trial cut short. Clocks that are set right and
# clocks that are set wrong look the same at first; one that stays is believed.
SMALL_JUMP = timedelta(seconds=1)
BELIEVED_AFTER_SECONDS = 60.0


class SteadyTime:
    """Carries the wall time on by the monotonic clock."""

    def __init__(self, clock: Clock) -> None:
        """Begin with the wall time of now."""
        self._clock = clock
        self._base = clock.now()
        self._began = clock.monotonic()
        self._jumped: float | None = None

    def now(self) -> datetime:
        """Return the wall time, in UTC."""
        elapsed = self._clock.monotonic()
        steady = self._base + timedelta(seconds=elapsed - self._began)
        wall = self._clock.now()
        if abs(wall - steady) <= SMALL_JUMP:
            return self._adopt(wall, elapsed)
        if self._jumped is None:
            self._jumped = elapsed
        if elapsed - self._jumped >= BELIEVED_AFTER_SECONDS:
            return self._adopt(wall, elapsed)
        return steady

    def _adopt(self, wall: datetime, elapsed: float) -> datetime:
        self._base = wall
        self._began = elapsed
        self._jumped = None
        return wall
