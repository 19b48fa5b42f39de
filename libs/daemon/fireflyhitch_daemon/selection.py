"""Selects the backend server for a call: first the version, then the server."""

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
    """Applies version shares, this daemon's subset and server limits to routing.

    :param read_subset: returns the servers that this daemon uses; ``None`` for all.
    :param find_throttled: returns the servers whose limits allow no call now.
    """

    router: Router
    picker: VersionPicker
    read_subset: Callable[[DeploymentId], frozenset[BackendServerId] | None]
    find_throttled: Callable[[], frozenset[BackendServerId]]

    def choose(self, call: Call, excluded: Collection[BackendServerId]) -> Choice:
        """Choose a server for a call's next attempt.

        A call for the new version falls back to the old one if no server of the
        new version is usable. A call for the old version does not fall back to the
        new one: a version under test must not receive all traffic because the old
        version's servers are gone.

        :raises RequestError: if no server is available.
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
