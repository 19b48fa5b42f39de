"""Chooses the versions of a service that a request may be sent to."""

import random

from fireflyhitch_model.ids import DeploymentId
from fireflyhitch_model.records import immutable


@immutable
class VersionShare:
    """A move of a service's traffic to another version.

    :param target: the new version.
    :param share: fraction of the requests for the new version, 0 to 1.
    """

    target: str
    share: float


class VersionShares:
    """The current moves by service; a service without one uses all listed versions."""

    def __init__(self) -> None:
        """Create shares without moves."""
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
        """Return the listed versions that one attempt may be sent to.

        A new version has no servers at first. Until it has some, its share goes to the
        other versions.
        """
        move = self._moves.get(service)
        if move is None:
            return listed
        if move.target in listed and rng.random() < move.share:
            return frozenset((move.target,))
        return listed - {move.target}
