"""How many calls are at a backend server now, from own counts and late reports."""

from collections import deque

from fireflyhitch_model.backends import LoadReport
from fireflyhitch_model.invariants import Invariant, invariant
from fireflyhitch_model.states import Step

# Reports older than this say nothing of now.
REPORT_LIFE = 30.0
HISTORY_SECONDS = 30.0


class ServerLoad:
    """Own work at one server and what others are thought to have there.

    A report counts all daemons' calls at the time it was measured. Own calls at
    that time are known and taken off; the rest belongs to other daemons. Since
    all daemons see the same late report and choose alike, each would send its
    next calls to the same seemingly idle server. So the change of own calls
    since the report is taken to have been made by the other daemons too.
    """

    __slots__ = ('_history', '_others', '_own_then', 'measured', 'own', 'prompt_work')

    def __init__(self) -> None:
        self.own = 0
        self.prompt_work = 0.0
        self.measured = float('-inf')
        self._others = 0
        self._own_then = 0
        self._history: deque[tuple[float, int]] = deque()

    def start(self, now: float, prompt_work: float) -> None:
        """Count a call sent now.

        :param prompt_work: prompt tokens it has to compute.
        """
        self.own += 1
        self.prompt_work += prompt_work
        self._note(now)

    def finish_prompt(self, prompt_work: float) -> None:
        """Take off prompt tokens that are computed, or never will be."""
        self.prompt_work = max(0.0, self.prompt_work - prompt_work)

    def finish(self, now: float) -> None:
        """Take off a call that ended now."""
        self.own -= 1
        invariant(self.own >= 0, Invariant.COUNT_BALANCES, step=Step.ROUTE)
        self._note(now)

    def take_report(self, report: LoadReport) -> None:
        """Take in a load report; an older one than the last changes nothing."""
        if report.measured <= self.measured:
            return
        self.measured = report.measured
        self._own_then = self._own_at(report.measured)
        self._others = max(0, report.running + report.waiting - self._own_then)

    def total(self, now: float, likeness: float) -> float:
        """Return how many calls are thought to be there now.

        :param likeness: how many other daemons are taken to act as this one.
        """
        if now - self.measured > REPORT_LIFE:
            return self.own * (1 + likeness)
        change = (self.own - self._own_then) * likeness
        return self.own + max(0.0, self._others + change)

    def _note(self, now: float) -> None:
        history = self._history
        history.append((now, self.own))
        while history[0][0] < now - HISTORY_SECONDS and len(history) > 1:
            history.popleft()

    def _own_at(self, then: float) -> int:
        for at, own in reversed(self._history):
            if at <= then:
                return own
        return 0
