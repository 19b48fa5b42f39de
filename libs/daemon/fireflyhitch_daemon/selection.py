"""Which backend server a call goes to: its version first, then the server."""

from collections.abc import Callable, Collection
from dataclasses import dataclass

from fireflyhitch_model.calls import Call
from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.ids import BackendServerId, DeploymentId, VersionId
from fireflyhitch_rollout.shares import VersionPicker
from fireflyhitch_routing.choices import Choice
from fireflyhitch_routing.router import Router

NO_SERVER = 'no_backend_server'


@dataclass(frozen=True, slots=True)
class Selection:
    """Chooses with the shares of version moves and this daemon's subset.

    :param list_versions: the versions that a deployment's servers have.
    :param read_subset: the servers that this daemon uses; ``None`` for all.
    """

    router: Router
    picker: VersionPicker
    list_versions: Callable[[DeploymentId], frozenset[VersionId]]
    read_subset: Callable[[DeploymentId], frozenset[BackendServerId] | None]

    def choose(self, call: Call, excluded: Collection[BackendServerId]) -> Choice:
        """Choose a server for a call's next attempt.

        A call that fell on a new version none of whose servers can be used goes
        to the old one, and any call goes to whatever version is left rather than
        be refused; a withdrawn version is never used.

        :raises RequestError: if no server can serve it.
        """
        pick = self.picker.pick(call)
        subset = self.read_subset(call.deployment)
        servers = frozenset(pick.servers) or subset
        avoided = frozenset(excluded)
        try:
            return self._choose(call, frozenset((pick.version,)), servers, avoided)
        except RequestError as error:
            if error.code != NO_SERVER:
                raise
        usable = self._list_usable(call.deployment)
        return self._choose(call, usable, subset, avoided)

    def _choose(
        self,
        call: Call,
        versions: frozenset[VersionId],
        servers: frozenset[BackendServerId] | None,
        excluded: frozenset[BackendServerId],
    ) -> Choice:
        return self.router.choose(
            call, versions=versions, servers=servers, excluded=excluded
        )

    def _list_usable(self, deployment: DeploymentId) -> frozenset[VersionId]:
        return frozenset(
            version
            for version in self.list_versions(deployment)
            if not self.picker.is_withdrawn(deployment, version)
        )
