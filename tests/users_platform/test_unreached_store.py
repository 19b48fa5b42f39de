"""Tests of daemons that do not reach the store."""

import asyncio
from collections.abc import Awaitable, Callable
from itertools import count
from pathlib import Path

import pytest
from cluster import KEY, Cluster, answer_signed, make_configuration, run_scenario
from cluster import wait_for as wait_until

from fireflyhitch_bench.loopback_proxy import LinkFault, LoopbackProxy
from fireflyhitch_serving.connections import Address
from fireflyhitch_standins.users_formats import render_route

SERVERS = ('i-1', 'i-2')
# Long enough for entries of servers to expire.
OUTAGE_SECONDS = 3.5
# Servers that live are listed again by then.
RETURN_SECONDS = 2.0
# In which daemons know then that a server is gone.
NEWS_SECONDS = 3.0
# From then on a daemon without contact counts as cut off.
CONTACT_SECONDS = 3.0
REQUESTS = 20


class Site:
    """Daemons with a link each to their store, and two servers."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.links: dict[str, LoopbackProxy] = {}
        self._numbers = count()

    async def start(self, *daemons: str) -> None:
        """Start servers and daemons, until all know all."""
        cluster = self.cluster
        cluster.store.put('op/config', make_configuration())
        self.servers = {
            name: await cluster.add_server(name, answer_signed()) for name in SERVERS
        }
        for daemon in daemons:
            self.links[daemon] = LoopbackProxy(Address.parse(cluster.store.address))
            cluster.store_addresses[daemon] = str(await self.links[daemon].start())
            cluster.start(daemon)
        await cluster.wait_ready(*daemons)
        await wait_until(
            lambda: all(
                program.store_state.count_servers() == len(SERVERS)
                and len(program.peers.list_all()) == len(daemons)
                for program in cluster.programs.values()
            )
        )

    async def ask(self, daemon: str, path: str = '/read/1', key: str = KEY) -> int:
        """Send a request and return the response's status."""
        got = await self.cluster.send_request(
            daemon, path, key=key, request_id=f'r{next(self._numbers)}'
        )
        return got.status

    def stop(self) -> None:
        """Stop the links."""
        for link in self.links.values():
            link.stop()


def run(folder: Path, script: Callable[[Site], Awaitable[None]]) -> None:
    """Run a scenario on a new site."""

    async def begin(cluster: Cluster) -> None:
        site = Site(cluster)
        try:
            await script(site)
        finally:
            site.stop()

    run_scenario(folder, begin)


class TestServersThatAreGone:
    @pytest.mark.parametrize('daemons', [3, 24])
    def test_a_daemon_that_the_store_keeps_away_learns_of_them_from_peers(
        self, tmp_path, daemons
    ) -> None:
        # A server's entry expires during an outage; one daemon stays cut off after it.
        async def script(site: Site) -> None:
            await site.start(*(f'd{number}' for number in range(1, daemons + 1)))
            store = site.cluster.store
            store.down = True
            await asyncio.sleep(OUTAGE_SECONDS)
            store.delete('servers/i-1')
            site.links['d1'].set_fault(LinkFault.RESET)
            store.down = False
            await asyncio.sleep(RETURN_SECONDS + NEWS_SECONDS)
            gone = site.servers['i-1']
            before = len(gone.seen)
            statuses = {await site.ask('d1') for _ in range(REQUESTS)}
            assert statuses == {200}
            assert len(gone.seen) == before

        run(tmp_path, script)


def change_configuration(cluster: Cluster) -> None:
    """Add a route and a key."""
    tenants = [{'name': 'bakery', 'api_keys': [KEY, 'new-key']}]
    routes = [render_route('new'), render_route('read')]
    changed = make_configuration(5, routes=routes, tenants=tenants)
    cluster.store.put('op/config', changed)


class TestUnknownRoutesAndKeys:
    def test_a_daemon_without_contact_denies_nothing_that_may_be_in_force(
        self, tmp_path
    ) -> None:
        async def script(site: Site) -> None:
            await site.start('d1')
            site.links['d1'].set_fault(LinkFault.RESET)
            change_configuration(site.cluster)
            await asyncio.sleep(CONTACT_SECONDS)
            assert await site.ask('d1', '/new/1') == 503
            assert await site.ask('d1', key='new-key') == 503
            assert await site.ask('d1') == 200
            site.links['d1'].set_fault(LinkFault.NONE)
            state = site.cluster.programs['d1'].store_state
            await wait_until(lambda: state.catalog.version == 5)  # type: ignore[union-attr]
            assert await site.ask('d1', '/new/1', 'new-key') == 200

        run(tmp_path, script)

    @pytest.mark.parametrize('daemons', [5, 24])
    def test_a_daemon_in_contact_denies_them_also_if_peers_watch_for_it(
        self, tmp_path, daemons
    ) -> None:
        async def script(site: Site) -> None:
            names = [f'd{number}' for number in range(daemons)]
            await site.start(*names)
            await asyncio.sleep(CONTACT_SECONDS)
            paths = [await site.ask(name, '/new/1') for name in names]
            keys = [await site.ask(name, key='new-key') for name in names]
            assert (set(paths), set(keys)) == ({404}, {401})

        run(tmp_path, script)

    def test_a_daemon_that_the_store_keeps_away_denies_what_peers_know_of(
        self, tmp_path
    ) -> None:
        async def script(site: Site) -> None:
            await site.start('d1', 'd2', 'd3')
            site.links['d1'].set_fault(LinkFault.RESET)
            await asyncio.sleep(CONTACT_SECONDS)
            assert await site.ask('d1', '/none/1') == 404
            change_configuration(site.cluster)
            state = site.cluster.programs['d1'].store_state
            await wait_until(lambda: state.catalog.version == 5)  # type: ignore[union-attr]
            assert await site.ask('d1', '/new/1', 'new-key') == 200

        run(tmp_path, script)
