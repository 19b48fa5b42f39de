"""Requests that began to run, by window of time and customer, over all daemons.

Each daemon tells its own counts of the last windows to its peers again and again;
counts only grow, so a message lost or repeated does no harm, and any daemon can
report a window. A daemon that is killed has told all but its last moments.
"""

from collections.abc import Mapping

from fireflyhitch_model.ids import CustomerId

# Windows before the present one that are told to peers: a report is made 1.5 s after a
# window, and later only for daemons that were not heard until then.
KEPT_WINDOWS = 2

WindowCounts = dict[int, dict[CustomerId, int]]


class UsageTracker:
    """The counts of this daemon and of all that it heard of."""

    def __init__(self, own: str, window_seconds: float) -> None:
        """Make a book without counts.

        :param own: names this process, and no later one at the same place.
        """
        self._own = own
        self._window_seconds = window_seconds
        self._tellers: dict[str, WindowCounts] = {own: {}}

    def find_window(self, wall_seconds: float) -> int:
        """Return the number of the window that a time is in."""
        return int(wall_seconds // self._window_seconds)

    def count(self, customer: CustomerId, wall_seconds: float) -> None:
        """Count a request that began to run here."""
        window = self.find_window(wall_seconds)
        counts = self._tellers[self._own].setdefault(window, {})
        counts[customer] = counts.get(customer, 0) + 1

    def local_counts(self, wall_seconds: float) -> WindowCounts:
        """Return this daemon's counts of the last windows."""
        oldest = self.find_window(wall_seconds) - KEPT_WINDOWS
        return _since(self._tellers[self._own], oldest)

    def recent(self, wall_seconds: float) -> dict[str, WindowCounts]:
        """Return the counts of the present window and the one before, by process."""
        oldest = self.find_window(wall_seconds) - 1
        told: dict[str, WindowCounts] = {}
        for teller, counts in self._tellers.items():
            kept = _since(counts, oldest)
            if kept:
                told[teller] = kept
        return told

    def merge_counts(
        self, teller: str, counts: Mapping[int, Mapping[CustomerId, int]]
    ) -> None:
        """Take in what a process has counted; older news of it change nothing."""
        known = self._tellers.setdefault(teller, {})
        for window, customers in counts.items():
            mine = known.setdefault(window, {})
            for customer, number in customers.items():
                mine[customer] = max(mine.get(customer, 0), number)

    def sum_window(self, window: int) -> dict[CustomerId, int]:
        """Return a window's requests by customer."""
        total: dict[CustomerId, int] = {}
        for counts in self._tellers.values():
            for customer, number in counts.get(window, {}).items():
                total[customer] = total.get(customer, 0) + number
        return total

    def count_reporters(self, window: int) -> int:
        """Return how many processes have told counts of a window."""
        return sum(window in counts for counts in self._tellers.values())

    def count_processes(self) -> int:
        """Return how many processes' counts are kept."""
        return len(self._tellers)

    def forget_before(self, window: int) -> None:
        """Drop windows that are reported or too old."""
        kept = {
            teller: _since(counts, window) for teller, counts in self._tellers.items()
        }
        self._tellers = {
            teller: counts
            for teller, counts in kept.items()
            if counts or teller == self._own
        }


def _since(counts: WindowCounts, oldest: int) -> WindowCounts:
    return {window: dict(found) for window, found in counts.items() if window >= oldest}
