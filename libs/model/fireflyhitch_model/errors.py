"""Errors that carry the step and the peer at which they arose."""

from datetime import timedelta

from fireflyhitch_model.states import Outcome, Step


class FireflyhitchError(Exception):
    """The base of the project's errors.

    :param message: what went wrong, in a sentence for people.
    :param step: the step at which it went wrong.
    :param peer: the address or id of the other side, if there was one.
    """

    def __init__(self, message: str, *, step: Step, peer: str | None = None) -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the message with step and peer."""
        place = f' with {self.peer}' if self.peer else ''
        return f'{self.message} (at {self.step.value}{place})'


class RequestError(FireflyhitchError):
    """A request that ends without its answer, with what is known of its run.

    :param outcome: ``not-run`` only where that is certain.
    :param status: the HTTP status for the caller.
    :param code: a stable word for programs, as in OpenAI's error form.
    :param retry_after: when the caller may ask again; ``None`` for never.
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
    """A call to one of the platform's services failed.

    :param outcome: ``not-run`` if the call certainly had no effect, and
        ``unknown`` if its answer may have been lost after the effect.
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
    """A peer could not be asked, or did not answer in time."""


class InvariantError(FireflyhitchError):
    """An invariant of the program does not hold; the one request stops."""
