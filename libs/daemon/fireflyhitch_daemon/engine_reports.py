"""Polls load reports and cache events of engines."""

from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor

from loguru import logger

from fireflyhitch_model.backends import BackendServer, LoadReport
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import BackendServerId, DeploymentId
from fireflyhitch_platform.engines import HttpEngines
from fireflyhitch_routing.router import Router

POLLERS = 8


class EngineReports:
    """Polls the engines that this daemon uses.

    :param list_engines: returns the engines to poll.
    """

    def __init__(
        self,
        engines: HttpEngines,
        router: Router,
        list_engines: Callable[[], Iterable[BackendServer]],
    ) -> None:
        self._engines = engines
        self._router = router
        self._list_engines = list_engines
        self._sequences: dict[BackendServerId, int] = {}
        self._loads: dict[BackendServerId, LoadReport] = {}
        self._pollers = ThreadPoolExecutor(POLLERS, 'reports')

    def poll(self) -> None:
        """Poll all engines once; those that do not answer are skipped."""
        engines = [server.server_id for server in self._list_engines()]
        for unlisted in self._loads.keys() - set(engines):
            self._loads.pop(unlisted)
            self._sequences.pop(unlisted, None)
        list(self._pollers.map(self._poll_one, engines))

    def sum_load(self, deployment: DeploymentId) -> float:
        """Return the number of calls running or waiting at a deployment's engines."""
        loads = [
            self._loads.get(server.server_id)
            for server in self._list_engines()
            if server.deployment == deployment
        ]
        return float(sum(load.running + load.waiting for load in loads if load))

    def stop(self) -> None:
        """Stop the polling threads."""
        self._pollers.shutdown(wait=False, cancel_futures=True)

    def _poll_one(self, server: BackendServerId) -> None:
        try:
            load = self._engines.read_load(server)
            self._loads[server] = load
            self._router.record_load(load)
            after = self._sequences.get(server, 0)
            for event in self._engines.read_cache_events(server, after):
                self._sequences[server] = event.sequence
                self._router.record_cache_event(event)
        except PlatformError as error:
            logger.bind(step=error.step.value, peer=server).debug(error.message)
