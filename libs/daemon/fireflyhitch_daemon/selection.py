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

    :param read_subset: the servers that this daemon uses; ``None`` for all.
    :param find_throttled: the servers that may be sent nothing now, by their limits.
    """

    router: Router
    picker: VersionPicker
    read_subset: Callable[[DeploymentId], frozenset[BackendServerId] | None]
    find_throttled: Callable[[], frozenset[BackendServerId]]

    def choose(self, call: Call, excluded: Collection[BackendServerId]) -> Choice:
        """Choose a server for a call's next attempt.

        A call that fell on a new version none of whose servers can be used goes
        to the old one. The other way round it is refused: a version on trial must
        not be given the whole traffic because the old one's servers are gone.

        :raises RequestError: if no server can serve it.
        """
        pick = self.picker.pick(call)
        subset = self.read_subset(call.deployment)
        servers = frozenset(pick.servers) or subset
        avoided = self.find_throttled().union(excluded)
        try:
            return self._choose(call, pick.version, servers, avoided)
        except RequestError as error:
            shares = self.picker.find(call.deployment)
            if error.code != NO_SERVER or shares is None or pick.version == shares.old:
                raise
        return self._choose(call, shares.old, subset, avoided)

    def _choose(
        self,
        call: Call,
        version: VersionId,
        servers: frozenset[BackendServerId] | None,
        excluded: frozenset[BackendServerId],
    ) -> Choice:
        return self.router.choose(
            call, versions=frozenset((version,)), servers=servers, excluded=excluded
        )
