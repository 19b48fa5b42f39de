"""A token bucket whose rate may change at any time."""

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Units refilled at a rate up to a depth; not thread-safe.

    The level may become negative when actual use is known only afterwards; nothing
    more can be taken until it is refilled.

    :param rate: units a second.
    :param depth_seconds: the depth, in seconds of the rate.
    :param updated: monotonic seconds of the last refill.
    :param level: available units.
    """

    rate: float
    depth_seconds: float
    updated: float
    level: float = 0

    def __post_init__(self) -> None:
        """Fill the bucket."""
        self.level = self.depth

    @property
    def depth(self) -> float:
        """Return the most units that the bucket can hold, at least one."""
        return max(1.0, self.rate * self.depth_seconds)

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate; units beyond the new depth are lost."""
        self._refill(now)
        self.rate = rate
        self.level = min(self.level, self.depth)

    def seconds_until(self, units: float, now: float) -> float:
        """Return the seconds until units can be taken; 0 if they can be now.

        More units than the depth can be taken from a full bucket; the level then
        becomes negative.
        """
        self._refill(now)
        missing = min(units, self.depth) - self.level
        return max(0.0, missing / self.rate)

    def consume(self, units: float, now: float) -> None:
        """Take units, or return them if negative."""
        self._refill(now)
        self.level = min(self.depth, self.level - units)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated)
        self.updated = max(self.updated, now)
        self.level = min(self.depth, self.level + elapsed * self.rate)
