"""The available backend servers, from the instance list and leaving marks."""

from collections.abc import Iterable
from threading import Lock

from cachetools import LRUCache

from fireflyhitch_membership.network import PeerNetwork
from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.ids import (
    BackendServerId,
    DaemonId,
    DeploymentId,
    InstanceId,
)
from fireflyhitch_model.instances import InstanceListing
from fireflyhitch_model.states import InstanceState
from fireflyhitch_routing.router import Router
from fireflyhitch_routing.subset import choose_subset
from fireflyhitch_settings.schema import Configuration, ModelDeployment

MAX_LEAVING = 256


class Directory:
    """Maintains the router's servers and this daemon's subset of them."""

    def __init__(
        self, daemon_id: DaemonId, router: Router, network: PeerNetwork
    ) -> None:
        self._daemon_id = daemon_id
        self._router = router
        self._network = network
        self._lock = Lock()
        self._servers: dict[BackendServerId, BackendServer] = {}
        # Kept because their engines still hold the KV caches of migrating answers.
        self._leaving: LRUCache[BackendServerId, BackendServer] = LRUCache(MAX_LEAVING)
        self._subsets: dict[DeploymentId, frozenset[BackendServerId]] = {}

    def update(self, listing: InstanceListing) -> None:
        """Apply the instance list; leaving marks take precedence over it."""
        self._network.update_instance_list(listing)
        servers = {
            instance.server.server_id: instance.server
            for instance in listing.instances
            if instance.server is not None
            and instance.state is InstanceState.LIVE
            and not self._network.is_leaving(
                instance.instance_id, instance.server.incarnation
            )
        }
        subsets = self._choose_subsets(servers.values())
        with self._lock:
            for server_id, server in self._servers.items():
                if server_id not in servers:
                    self._leaving[server_id] = server
            self._servers = servers
            self._subsets = subsets
        self._router.update_servers(servers.values())
        self._router.set_daemon_count(len(self._network.live()))

    def remove(self, instances: Iterable[InstanceId]) -> tuple[BackendServerId, ...]:
        """Stop sending calls to the servers of some instances.

        :returns: the ids of these servers.
        """
        leaving = frozenset(instances)
        with self._lock:
            removed = tuple(
                server.server_id
                for server in self._servers.values()
                if server.instance in leaving
            )
            for server_id in removed:
                self._leaving[server_id] = self._servers.pop(server_id)
        for server_id in removed:
            self._router.mark_leaving(server_id)
        return removed

    def list_servers(self) -> tuple[BackendServer, ...]:
        """Return the servers that may receive calls."""
        with self._lock:
            return tuple(self._servers.values())

    def is_listed(self, server_id: BackendServerId) -> bool:
        """Return whether a server may receive calls."""
        with self._lock:
            return server_id in self._servers

    def list_engines(
        self, configuration: Configuration | None
    ) -> tuple[BackendServer, ...]:
        """Return the model engines that this daemon uses.

        Plain services report no load; a poll would be a call to them.
        """
        if configuration is None:
            return ()
        models = {
            deployment.name
            for deployment in configuration.deployments
            if isinstance(deployment, ModelDeployment)
        }
        return tuple(
            server
            for server in self.list_servers()
            if server.deployment in models
            and server.server_id in (self.read_subset(server.deployment) or ())
        )

    def find(self, instance: InstanceId) -> BackendServer | None:
        """Return the server that runs on an instance."""
        for server in self.list_servers():
            if server.instance == instance:
                return server
        return None

    def find_address(self, server_id: BackendServerId) -> str | None:
        """Return a server's address, also while it is leaving."""
        server = self._find_server(server_id)
        return server.address if server else None

    def find_instance(self, server_id: BackendServerId) -> InstanceId | None:
        """Return the instance that a server runs on, also while it is leaving."""
        server = self._find_server(server_id)
        return server.instance if server else None

    def read_subset(
        self, deployment: DeploymentId
    ) -> frozenset[BackendServerId] | None:
        """Return the servers that this daemon uses; ``None`` for all."""
        with self._lock:
            return self._subsets.get(deployment)

    def _find_server(self, server_id: BackendServerId) -> BackendServer | None:
        with self._lock:
            return self._servers.get(server_id) or self._leaving.get(server_id)

    def _choose_subsets(
        self, servers: Iterable[BackendServer]
    ) -> dict[DeploymentId, frozenset[BackendServerId]]:
        daemons = [daemon.daemon_id for daemon in self._network.live()]
        replicas: dict[DeploymentId, list[BackendServerId]] = {}
        for server in servers:
            replicas.setdefault(server.deployment, []).append(server.server_id)
        return {
            deployment: choose_subset(self._daemon_id, daemons, names)
            for deployment, names in replicas.items()
        }
