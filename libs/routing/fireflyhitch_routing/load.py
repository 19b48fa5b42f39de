"""Estimates the calls in flight at a backend server from local counts and reports."""

from collections import deque

from fireflyhitch_model.backends import LoadReport
from fireflyhitch_model.invariants import Invariant, invariant
from fireflyhitch_model.states import Step

# Older reports are ignored.
REPORT_TTL_SECONDS = 30.0
HISTORY_SECONDS = 30.0


class ServerLoad:
    """Local calls at one server and an estimate of the calls of other daemons.

    A report counts the calls of all daemons at the time of measurement. Local calls at
    that time are known and subtracted; the rest belongs to other daemons. All daemons
    receive the same delayed report and decide alike, so each would send its next calls
    to the same seemingly idle server. Therefore each other daemon is assumed to have
    changed its calls since the report as much as this one.

    :ivar prompt_work: prompt tokens of local calls still to be computed.
    :ivar measured: monotonic seconds at which the last report was measured.
    """

    __slots__ = (
        '_history',
        '_local_at_report',
        '_remote_calls',
        'local_calls',
        'measured',
        'prompt_work',
    )

    def __init__(self) -> None:
        self.local_calls = 0
        self.prompt_work = 0.0
        self.measured = float('-inf')
        self._remote_calls = 0
        self._local_at_report = 0
        self._history: deque[tuple[float, int]] = deque()

    def start(self, now: float, prompt_work: float) -> None:
        """Count a call sent now.

        :param prompt_work: prompt tokens that the server has to compute.
        """
        self.local_calls += 1
        self.prompt_work += prompt_work
        self._record_history(now)

    def finish_prompt(self, prompt_work: float) -> None:
        """Subtract prompt tokens that were computed or never will be."""
        self.prompt_work = max(0.0, self.prompt_work - prompt_work)

    def finish(self, now: float) -> None:
        """Subtract a call that ended now."""
        self.local_calls -= 1
        invariant(self.local_calls >= 0, Invariant.COUNT_BALANCES, step=Step.ROUTE)
        self._record_history(now)

    def apply_report(self, report: LoadReport) -> None:
        """Apply a load report; one older than the last is ignored."""
        if report.measured <= self.measured:
            return
        self.measured = report.measured
        self._local_at_report = self._local_calls_at(report.measured)
        self._remote_calls = max(
            0, report.running + report.waiting - self._local_at_report
        )

    def total(self, now: float, other_daemons: float) -> float:
        """Return the estimated number of calls in flight at the server.

        :param other_daemons: how many other daemons are assumed to act like this one.
        """
        if now - self.measured > REPORT_TTL_SECONDS:
            return self.local_calls * (1 + other_daemons)
        change = (self.local_calls - self._local_at_report) * other_daemons
        return self.local_calls + max(0.0, self._remote_calls + change)

    def _record_history(self, now: float) -> None:
        history = self._history
        history.append((now, self.local_calls))
        while history[0][0] < now - HISTORY_SECONDS and len(history) > 1:
            history.popleft()

    def _local_calls_at(self, then: float) -> int:
        for at, local_calls in reversed(self._history):
            if at <= then:
                return local_calls
        return 0
