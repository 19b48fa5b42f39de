"""Rate limit of this daemon's ledger writes to the store."""

from threading import Lock

from fireflyhitch_model.clock import Clock


class WriteRateLimiter:
    """Limits writes so that all ledgers together stay within the store's rate.

    Otherwise the ledger's shards could use up the store's whole rate and starve
    the configuration. While a write is delayed, its batch grows.
    """

    def __init__(self, clock: Clock, rate: float, burst: int) -> None:
        self._clock = clock
        self._lock = Lock()
        self._interval = 1 / rate
        self._burst = burst
        self._next = clock.monotonic()

    def set_rate(self, rate: float) -> None:
        """Set the rate in writes per second."""
        with self._lock:
            self._interval = 1 / rate

    def reserve(self) -> float:
        """Reserve the next write.

        :returns: delay before it in seconds.
        """
        with self._lock:
            now = self._clock.monotonic()
            earliest = now - self._interval * self._burst
            self._next = max(self._next, earliest) + self._interval
            return max(0, self._next - now)
