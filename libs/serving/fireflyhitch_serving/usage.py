"""Counts requests that began to run, by window and customer, over all daemons.

Each daemon sends its own counts of the latest windows to its peers repeatedly; counts
only grow, so a lost or repeated message does no harm, and any daemon can report a
window. A daemon that is killed has sent all but its last moments.
"""

from collections.abc import Container, Mapping

from fireflyhitch_model.ids import CustomerId

# Windows before the current one whose counts are sent to peers: a report is made 1.5 s
# after a window's end, and later only for daemons that were unresponsive until then.
SENT_WINDOWS = 2

WindowCounts = dict[int, dict[CustomerId, int]]


class UsageTracker:
    """The counts of this daemon and those received from peers."""

    def __init__(self, own_process: str, window_seconds: float) -> None:
        """Create a tracker without counts.

        :param own_process: unique id of this process, not reused after a restart.
        """
        self._own_process = own_process
        self._window_seconds = window_seconds
        self._counts_by_process: dict[str, WindowCounts] = {own_process: {}}

    def find_window(self, wall_seconds: float) -> int:
        """Return the number of the window that contains a time."""
        return int(wall_seconds // self._window_seconds)

    def count(self, customer: CustomerId, wall_seconds: float) -> None:
        """Count a request that began to run here."""
        window = self.find_window(wall_seconds)
        counts = self._counts_by_process[self._own_process].setdefault(window, {})
        counts[customer] = counts.get(customer, 0) + 1

    def local_counts(self, wall_seconds: float) -> WindowCounts:
        """Return this daemon's counts of the latest windows."""
        oldest = self.find_window(wall_seconds) - SENT_WINDOWS
        return _since(self._counts_by_process[self._own_process], oldest)

    def find_unfixed(
        self, oldest: int, fixed: Container[int]
    ) -> dict[str, WindowCounts]:
        """Return the counts of a window and all later ones, by process.

        :param fixed: windows to leave out.
        """
        unfixed: dict[str, WindowCounts] = {}
        for process, counts in self._counts_by_process.items():
            kept = {
                window: customers
                for window, customers in _since(counts, oldest).items()
                if window not in fixed
            }
            if kept:
                unfixed[process] = kept
        return unfixed

    def merge_counts(
        self, process: str, counts: Mapping[int, Mapping[CustomerId, int]]
    ) -> None:
        """Merge a process's counts; outdated counts change nothing."""
        stored = self._counts_by_process.setdefault(process, {})
        for window, customers in counts.items():
            totals = stored.setdefault(window, {})
            for customer, number in customers.items():
                totals[customer] = max(totals.get(customer, 0), number)

    def sum_window(self, window: int) -> dict[CustomerId, int]:
        """Return a window's requests by customer."""
        total: dict[CustomerId, int] = {}
        for counts in self._counts_by_process.values():
            for customer, number in counts.get(window, {}).items():
                total[customer] = total.get(customer, 0) + number
        return total

    def count_reporters(self, window: int) -> int:
        """Return the number of processes with counts of a window."""
        return sum(window in counts for counts in self._counts_by_process.values())

    def count_processes(self) -> int:
        """Return the number of processes with counts."""
        return len(self._counts_by_process)

    def forget_before(self, window: int) -> None:
        """Drop the windows before this one."""
        kept = {
            process: _since(counts, window)
            for process, counts in self._counts_by_process.items()
        }
        self._counts_by_process = {
            process: counts
            for process, counts in kept.items()
            if counts or process == self._own_process
        }


def _since(counts: WindowCounts, oldest: int) -> WindowCounts:
    return {window: dict(found) for window, found in counts.items() if window >= oldest}
