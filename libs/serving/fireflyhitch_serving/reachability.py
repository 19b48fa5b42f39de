"""Detects that this daemon reaches no backend server.

A daemon may lose its links to all servers while its callers, its peers and the store
still reach it. To each request the servers then look unreachable one after the other,
and its caller is refused although every other daemon could serve it.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable, Sequence

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import BackendServerId, DeploymentId
from fireflyhitch_serving.connections import (
    Address,
    ConnectResult,
    try_connect,
    try_exchange,
)
from fireflyhitch_serving.servers import ServerEntry, ServerRegistry

PROBE_TIMEOUT_SECONDS = 0.3
# Several servers may have crashed at once; a probe connects to this many.
PROBED_SERVERS = 4
# A single server that is not reached has more likely crashed.
MIN_SERVERS = 2
# Interval between probes while no server is reached.
PROBE_INTERVAL_SECONDS = 0.3


def _find_no_path(service: DeploymentId) -> str:
    """Return that nothing is known."""
    return ''


def _name_any(service: DeploymentId) -> bool:
    """Return that a configuration may name it."""
    return True


class ServerReachability:
    """Whether any backend server can be reached from this daemon."""

    def __init__(
        self,
        clock: Clock,
        servers: ServerRegistry,
        rng: random.Random,
        find_health_path: Callable[[DeploymentId], str] = _find_no_path,
        is_named: Callable[[DeploymentId], bool] = _name_any,
    ) -> None:
        """Create a state in which servers are reached.

        :param find_health_path: returns where a service's servers tell their health.
        :param is_named: returns whether the configuration names a service. Entries of
            others may be another writer's, and their addresses anything.
        """
        self.lost = False
        self._find_health_path = find_health_path
        self._is_named = is_named
        # Servers that have not responded since the last response of any.
        self._unanswered: set[BackendServerId] = set()
        self._clock = clock
        self._servers = servers
        self._rng = rng
        self._lost_since = 0.0
        self._probe: asyncio.Task[None] | None = None

    def record_response(self) -> None:
        """Record that a server has responded to an attempt."""
        self._unanswered.clear()

    async def check_after(self, server: BackendServerId) -> None:
        """Probe some servers after an attempt that a server has not responded to."""
        self._unanswered.add(server)
        await self.check()

    async def check(self) -> None:
        """Probe some servers after an attempt has failed, unless a probe is running.

        Only new connections count: those that are open may live on in a partition, or
        hang in it.
        """
        if self.lost:
            return
        if self._probe is None or self._probe.done():
            self._probe = asyncio.get_running_loop().create_task(self._run_probe())
        # Other requests wait for the same probe.
        await asyncio.shield(self._probe)

    async def run(self) -> None:
        """Probe servers while none is reached, until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            if self.lost:
                await self._run_probe()

    async def _run_probe(self) -> None:
        servers = [
            record.server
            for record in self._servers.all().values()
            if record.accepts_requests and self._is_named(record.server.service)
        ]
        if len(servers) < MIN_SERVERS:
            self._set_lost(lost=False)
            return
        count = min(PROBED_SERVERS, len(servers))
        probed = self._rng.sample(servers, count)
        reached = await connect_any(server.address for server in probed)
        if reached and len(self._unanswered) >= MIN_SERVERS:
            reached = await self._exchange_with_any(probed)
        self._set_lost(lost=not reached)

    async def _exchange_with_any(self, servers: Sequence[ServerEntry]) -> bool:
        """Return whether a server's connection outlives a request.

        A link may let connections open and reset them as soon as anything is sent.
        """
        paths = {server: self._find_health_path(server.service) for server in servers}
        probes = [
            try_exchange(server.address, path, PROBE_TIMEOUT_SECONDS)
            for server, path in paths.items()
            if path
        ]
        if not probes or await succeeds_any(probes):
            self._unanswered.clear()
            return True
        return False

    def _set_lost(self, *, lost: bool) -> None:
        if lost == self.lost:
            return
        self.lost = lost
        now = self._clock.monotonic()
        if not lost:
            seconds = round(now - self._lost_since, 2)
            logger.bind(seconds=seconds).info('servers reached again')
            return
        self._lost_since = now
        logger.bind(servers=len(self._servers.all())).warning('no server reached')
        for record in self._servers.all().values():
            # A request sent on a connection that hangs may run when the link is back.
            record.pool.close()


async def connect_any(addresses: Iterable[Address]) -> bool:
    """Connect to all addresses at once; return whether one accepts a connection.

    The other attempts end by themselves: a connection that opens while its attempt is
    cancelled would stay open.
    """
    return await succeeds_any(_opens(address) for address in addresses)


async def _opens(address: Address) -> bool:
    result = await try_connect(address, PROBE_TIMEOUT_SECONDS)
    return result is ConnectResult.OPEN


async def succeeds_any(probes: Iterable[Awaitable[bool]]) -> bool:
    """Run all probes at once; return whether one succeeds, without the others' ends."""
    for probe in asyncio.as_completed([asyncio.ensure_future(one) for one in probes]):
        if await probe:
            return True
    return False
