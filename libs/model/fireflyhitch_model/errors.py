"""Errors with the step and the peer at which they occurred."""

from datetime import timedelta

from fireflyhitch_model.states import Outcome, Step


class FireflyhitchError(Exception):
    """Base class of the project's errors.

    :param message: a human-readable description.
    :param step: the step at which the error occurred.
    :param peer: the address or id of the remote side, if any.
    """

    def __init__(self, message: str, *, step: Step, peer: str | None = None) -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the message with step and peer."""
        location = f' with {self.peer}' if self.peer else ''
        return f'{self.message} (at {self.step.value}{location})'


class RequestError(FireflyhitchError):
    """A request that ends without an answer, with its outcome.

    :param outcome: ``not-run`` only if that is certain.
    :param status: the HTTP status for the caller.
    :param code: a stable error code, as in the OpenAI error format.
    :param retry_after: when the caller may retry; ``None`` for never.
    """

    def __init__(
        self,
        message: str,
        *,
        step: Step,
        status: int,
        code: str,
        outcome: Outcome = Outcome.NOT_RUN,
        peer: str | None = None,
        retry_after: timedelta | None = None,
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.status = status
        self.code = code
        self.outcome = outcome
        self.retry_after = retry_after


class PlatformError(FireflyhitchError):
    """A failed call to one of the platform's services.

    :param outcome: ``not-run`` if the call certainly had no effect, ``unknown`` if it
        may have taken effect before its response was lost.
    """

    def __init__(
        self,
        message: str,
        *,
        step: Step,
        peer: str | None = None,
        outcome: Outcome = Outcome.UNKNOWN,
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.outcome = outcome


class PeerError(FireflyhitchError):
    """A peer was unreachable or did not answer in time."""


class InvariantError(FireflyhitchError):
    """A violated invariant; only the current request fails."""
