"""Good and bad requests over time, in a bounded number of slots."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

# (slot length in seconds, number of slots): the first tier covers the window of
# 5 minutes, the second those of 1 and 6 hours, the third that of 3 days.
TIERS = ((30, 11), (300, 73), (3600, 73))


class Window(Enum):
    """The windows of the report; the values are their lengths."""

    MINUTES_5 = '5m'
    HOUR_1 = '1h'
    HOURS_6 = '6h'
    DAYS_3 = '3d'


WINDOW_LENGTHS = {
    Window.MINUTES_5: timedelta(minutes=5),
    Window.HOUR_1: timedelta(hours=1),
    Window.HOURS_6: timedelta(hours=6),
    Window.DAYS_3: timedelta(days=3),
}
WINDOW_TIERS = {
    Window.MINUTES_5: 0,
    Window.HOUR_1: 1,
    Window.HOURS_6: 1,
    Window.DAYS_3: 2,
}


@dataclass(slots=True)
class _Slot:
    number: int
    good: int = 0
    bad: int = 0


class SlotCounts:
    """Counts of one row of the report, by slots of wall clock time."""

    def __init__(self) -> None:
        """Create an empty set of slots."""
        self._tiers: list[list[_Slot]] = [[] for _ in TIERS]

    def add(self, ok: bool, now: float) -> None:
        """Count one request.

        :param now: wall clock time in seconds since the epoch.
        """
        for slots, (length, kept) in zip(self._tiers, TIERS, strict=True):
            number = int(now // length)
            if not slots or slots[-1].number < number:
                slots.append(_Slot(number))
                if len(slots) > kept:
                    slots.pop(0)
            # If the clock jumped back, the request is counted in the latest slot.
            if ok:
                slots[-1].good += 1
            else:
                slots[-1].bad += 1

    def total(self, window: Window, now: float) -> tuple[int, int]:
        """Return the numbers of good and bad requests within a window."""
        tier = WINDOW_TIERS[window]
        length, _ = TIERS[tier]
        first = (now - WINDOW_LENGTHS[window].total_seconds()) // length
        inside = [slot for slot in self._tiers[tier] if slot.number > first]
        good = sum(slot.good for slot in inside)
        return good, sum(slot.bad for slot in inside)
