"""Service-level burn: good and bad requests against the target, by window."""

from collections.abc import Iterable
from typing import Any

from pydantic import BaseModel, ConfigDict

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import (
    CustomerId,
    DeploymentId,
    FailureDomainId,
    VersionId,
)


class BurnTarget(BaseModel):
    """What makes a request good, and which part has to be.

    :param share: part of the requests that has to be good.
    """

    model_config = ConfigDict(frozen=True, extra='ignore')

    first_token_seconds: float
    between_tokens_seconds: float | None = None
    share: float = 0.95


class BurnRecorder:
    """Counts in bounded memory; ``record`` may be called by any thread."""

    def __init__(self, clock: Clock, failure_domain: FailureDomainId) -> None:
        """Make an empty recorder."""

    def set_targets(self, targets: dict[DeploymentId, BurnTarget]) -> None:
        """Say what is good for each deployment; to be called when it changes."""

    def record(
        self,
        customer: CustomerId,
        deployment: DeploymentId,
        route: str,
        version: VersionId,
        *,
        ok: bool,
        first_token: float | None = None,
        between_tokens: float | None = None,
    ) -> None:
        """Count one request that was answered or failed.

        :param first_token: seconds from its arrival to the first token or byte.
        :param between_tokens: mean seconds between tokens.
        """

    def snapshot(self) -> 'BurnSnapshot':
        """Return all counts in a form that is merged and sent."""
        raise NotImplementedError


class BurnSnapshot(BaseModel):
    """Counts of one or several daemons; JSON and CBOR carry it.

    :param failure_domains: those whose daemons are counted in.
    :param unreached: those that have daemons that could not be asked.
    """

    model_config = ConfigDict(frozen=True, extra='ignore')

    failure_domains: tuple[FailureDomainId, ...] = ()
    unreached: tuple[FailureDomainId, ...] = ()
    rows: tuple[Any, ...] = ()


def merge_snapshots(
    snapshots: Iterable[BurnSnapshot],
    unreached: Iterable[FailureDomainId] = (),
) -> BurnSnapshot:
    """Add snapshots of different daemons up.

    :param unreached: failure domains with daemons that did not answer.
    """
    raise NotImplementedError
