"""Call counting and fault injection for platform stand-ins."""

from collections import Counter
from collections.abc import Callable
from typing import TypeVar

from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_standins.faults import Fault, FaultPlan

Returned = TypeVar('Returned')


class FaultyCalls:
    """Counts a stand-in's calls and injects faults.

    :param peer: the stand-in's name, for errors.
    :param step: the step reported in its errors.
    """

    def __init__(self, peer: str, step: Step) -> None:
        self.faults = FaultPlan()
        self.counts: Counter[str] = Counter()
        self._peer = peer
        self._step = step

    def run(self, operation: str, action: Callable[[], Returned]) -> Returned:
        """Run an action with the fault planned for this call.

        :raises PlatformError: according to the fault. A response is lost after the
            effect, and the caller cannot distinguish it from a lost request.
        """
        fault = self.faults.take(operation)
        self.counts[operation] += 1
        if fault is Fault.REFUSED:
            raise self._error(f'{operation} refused', Outcome.NOT_RUN)
        if fault is Fault.LOST_REQUEST:
            raise self._error(f'no answer to {operation}', Outcome.UNKNOWN)
        answer = action()
        if fault is Fault.LOST_ANSWER:
            raise self._error(f'no answer to {operation}', Outcome.UNKNOWN)
        return answer

    def _error(self, message: str, outcome: Outcome) -> PlatformError:
        return PlatformError(message, step=self._step, peer=self._peer, outcome=outcome)
