"""Which versions of a service may be given a request."""

import random

from fireflyhitch_model.ids import DeploymentId
from fireflyhitch_model.records import immutable


@immutable
class VersionShare:
    """A move of a service's traffic to another version.

    :param share: part of the requests that the new version gets, 0 to 1.
    """

    target: str
    share: float


class VersionShares:
    """The moves in force; what is under no move may use any version listed."""

    def __init__(self) -> None:
        """Make shares without a move."""
        self._moves: dict[DeploymentId, VersionShare] = {}

    def put(self, service: DeploymentId, move: VersionShare) -> None:
        """Set a service's move."""
        self._moves[service] = move

    def find(self, service: DeploymentId) -> VersionShare | None:
        """Return a service's move."""
        return self._moves.get(service)

    def pick(
        self, service: DeploymentId, listed: frozenset[str], rng: random.Random
    ) -> frozenset[str]:
        """Return which of the listed versions one attempt may go to.

        An untried version has no servers at first: its share goes to the old one.
        """
        move = self._moves.get(service)
        if move is None:
            return listed
        if move.target in listed and rng.random() < move.share:
            return frozenset((move.target,))
        return listed - {move.target}
