"""Registry of the attempts that this daemon may send or has sent."""

from enum import Enum
from threading import Lock

from fireflyhitch_ledger.results import Attempt, build_unavailable
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import AttemptId
from fireflyhitch_model.invariants import Invariant, invariant
from fireflyhitch_model.states import Step


class _AttemptState(Enum):
    GIVEN = 'given'
    SENT = 'sent'


class AttemptRegistry:
    """Permits each attempt to be sent once.

    The store never grants a claim to a second attempt while the first might
    still be sent, so this check within one process suffices for sending at most
    once: a process that crashes sends nothing more, and one that was paused is
    rejected by the check.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = Lock()
        self._states: dict[AttemptId, _AttemptState] = {}

    def add(self, attempt: Attempt) -> None:
        """Add an attempt whose claim was committed."""
        with self._lock:
            self._states[attempt.attempt_id] = _AttemptState.GIVEN

    def send(self, attempt: Attempt) -> None:
        """Mark an attempt as sent.

        :raises RequestError: if the attempt was closed or its send deadline has
            passed, as after a long pause; it is then closed permanently.
        :raises InvariantError: if it was sent before.
        """
        with self._lock:
            state = self._states.get(attempt.attempt_id)
            late = self._clock.monotonic() >= attempt.send_by
            if state is _AttemptState.GIVEN and late:
                self._states.pop(attempt.attempt_id)
            elif state is _AttemptState.GIVEN:
                self._states[attempt.attempt_id] = _AttemptState.SENT
        invariant(
            state is not _AttemptState.SENT,
            Invariant.SENT_ONCE,
            attempt.attempt_id,
            step=Step.SEND,
        )
        if state is None or late:
            raise build_unavailable('the claim lapsed before the call was sent')

    def close(self, attempt: Attempt) -> bool:
        """Close an attempt, so that it can no longer be sent.

        :returns: whether it was sent.
        """
        with self._lock:
            state = self._states.pop(attempt.attempt_id, None)
        return state is _AttemptState.SENT
