"""Errors in handling a request."""

from fireflyhitch_model.errors import FireflyhitchError
from fireflyhitch_model.states import Outcome, Step


class ServerError(FireflyhitchError):
    """A server was unreachable, closed the connection, or sent an invalid response.

    :param outcome: ``not-run`` if the request cannot have run, else ``unknown``.
    """

    def __init__(
        self, message: str, *, step: Step, peer: str, outcome: Outcome
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.outcome = outcome


class UnresponsiveServerError(ServerError):
    """A server sends nothing, and a retry has been taken from the budget."""


class CallerDisconnected(Exception):
    """The caller closed its connection before the response was complete."""
