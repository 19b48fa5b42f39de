"""A token bucket whose rate may change at any time."""

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Units that flow in at a rate up to a depth; not thread-safe.

    The level may go below zero when use is known only afterwards; then nothing
    is taken until it is paid off.

    :param rate: units a second.
    :param depth_seconds: how many seconds of the rate may be saved up.
    :param updated: monotonic seconds.
    """

    rate: float
    depth_seconds: float
    updated: float
    level: float = 0

    def __post_init__(self) -> None:
        """Start full."""
        self.level = self.depth

    @property
    def depth(self) -> float:
        """Return the most units that can be saved up, at least one."""
        return max(1.0, self.rate * self.depth_seconds)

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate; saved units beyond the new depth are lost."""
        self._flow(now)
        self.rate = rate
        self.level = min(self.level, self.depth)

    def seconds_until(self, units: float, now: float) -> float:
        """Return how long until units can be taken; 0 if they can be now.

        More units than the depth can be taken from a full bucket, and are then
        owed.
        """
        self._flow(now)
        missing = min(units, self.depth) - self.level
        return max(0.0, missing / self.rate)

    def take(self, units: float, now: float) -> None:
        """Take units, or give them back if negative."""
        self._flow(now)
        self.level = min(self.depth, self.level - units)

    def _flow(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated)
        self.updated = max(self.updated, now)
        self.level = min(self.depth, self.level + elapsed * self.rate)
