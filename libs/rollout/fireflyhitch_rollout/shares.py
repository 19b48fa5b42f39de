"""Selection of the version, and of its servers, for a request."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from threading import Lock

from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.calls import Call
from fireflyhitch_model.hashing import hash_text, rank_by_hash
from fireflyhitch_model.ids import BackendServerId, DeploymentId, VersionId
from fireflyhitch_model.invariants import Invariant, invariant
from fireflyhitch_model.states import Step

HASH_RANGE = float(1 << 64)  # noqa: WPS432 (hashes have 64 bits)


@dataclass(frozen=True, slots=True)
class VersionShares:
    """The current traffic split of a deployment.

    :param old: version that gets the remaining requests.
    :param new: version that is being rolled out, if any.
    :param share: fraction of the requests that the new version gets, 0 to 1.
    :param servers: servers of the new version that get its share; empty for
        all of them.
    """

    old: VersionId
    new: VersionId | None = None
    share: float = 0
    servers: tuple[BackendServerId, ...] = ()


@dataclass(frozen=True, slots=True)
class VersionPick:
    """The version and the preferred servers for a request.

    :param servers: preferred servers of the version; its others are used only
        if none of these can take the request. Empty for no preference.
    """

    version: VersionId
    servers: tuple[BackendServerId, ...] = ()


@dataclass(frozen=True, slots=True)
class _Snapshot:
    shares: Mapping[DeploymentId, VersionShares] = field(default_factory=dict)
    withdrawn: frozenset[tuple[DeploymentId, VersionId]] = frozenset()


class VersionPicker:
    """Holds the traffic shares; ``pick`` reads an immutable snapshot lock-free."""

    def __init__(self) -> None:
        self._lock = Lock()
        self._snapshot = _Snapshot()

    def pick(self, call: Call) -> VersionPick:
        """Choose a version by the request's hash, so that retries get the same one.

        The hash does not depend on the share: when the share grows, requests
        that were on the new version stay there.

        :raises InvariantError: if a withdrawn version was chosen.
        :raises KeyError: if the deployment is not configured.
        """
        snapshot = self._snapshot
        shares = snapshot.shares[call.deployment]
        pick = _choose(shares, call)
        invariant(
            shares.new is None
            or pick.version != shares.new
            or (call.deployment, pick.version) not in snapshot.withdrawn,
            Invariant.WITHDRAWN_STAYS,
            f'{pick.version} of {call.deployment}',
            step=Step.ROUTE,
        )
        return pick

    def find(self, deployment: DeploymentId) -> VersionShares | None:
        """Return a deployment's shares."""
        return self._snapshot.shares.get(deployment)

    def update(self, shares: Mapping[DeploymentId, VersionShares]) -> None:
        """Replace all shares; withdrawn versions get none in any case."""
        with self._lock:
            withdrawn = self._snapshot.withdrawn
            self._snapshot = _Snapshot(_drop_withdrawn(shares, withdrawn), withdrawn)

    def withdraw(self, deployment: DeploymentId, version: VersionId) -> None:
        """Stop sending new requests to a version."""
        with self._lock:
            withdrawn = self._snapshot.withdrawn | {(deployment, version)}
            shares = _drop_withdrawn(self._snapshot.shares, withdrawn)
            self._snapshot = _Snapshot(shares, withdrawn)

    def is_withdrawn(self, deployment: DeploymentId, version: VersionId) -> bool:
        """Return whether a version was withdrawn at this daemon."""
        return (deployment, version) in self._snapshot.withdrawn


def choose_servers(
    servers: tuple[BackendServer, ...], old_count: int, share: float
) -> tuple[BackendServerId, ...]:
    """Choose as many servers as the share can load at the usual level.

    Spread over all servers, a small share would not load any of them, and a
    version that fails only under load would pass.

    :param servers: ready servers of the new version.
    :param old_count: number of servers that carry all traffic at present.
    """
    if not servers:
        return ()
    count = max(1, round(share * max(old_count, 1)))
    deployment = servers[0].deployment
    ranked = rank_by_hash(deployment, (server.server_id for server in servers))
    return tuple(ranked[:count])


def _choose(shares: VersionShares, call: Call) -> VersionPick:
    if shares.new is None or shares.share <= 0:
        return VersionPick(shares.old)
    position = hash_text(f'{shares.new}\x00{call.request_id}') / HASH_RANGE
    if position < shares.share:
        return VersionPick(shares.new, shares.servers)
    return VersionPick(shares.old)


def _drop_withdrawn(
    shares: Mapping[DeploymentId, VersionShares],
    withdrawn: frozenset[tuple[DeploymentId, VersionId]],
) -> dict[DeploymentId, VersionShares]:
    return {
        deployment: VersionShares(version_shares.old)
        if (deployment, version_shares.new) in withdrawn
        else version_shares
        for deployment, version_shares in shares.items()
    }
