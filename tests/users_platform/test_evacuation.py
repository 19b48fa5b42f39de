"""Tests that daemons send nothing to an evacuated failure domain."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

from cluster import Cluster, answer_signed, make_configuration, run_scenario

from fireflyhitch_model.ids import Revision
from fireflyhitch_serving.servers import ServerRegistry
from fireflyhitch_standins.scripted_server import ReceivedRequest, ScriptedServer
from fireflyhitch_users_platform.store_state import StoreConsumers, StoreState

# Time from the operators' order until no daemon sends a request there.
MAX_DELAY_SECONDS = 0.5
# A refused caller gets its answer within this, long before its deadline.
MAX_REFUSAL_SECONDS = 0.3
REQUESTS = 12


class Domains:
    """Daemons with one server in each of two failure domains."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.servers: dict[str, ScriptedServer] = {}
        self._sent = 0

    async def start(self, *daemons: str) -> None:
        """Start the servers and daemons."""
        self.cluster.store.put('op/config', make_configuration())
        for domain in ('gent', 'brugge'):
            self.servers[domain] = await self.cluster.add_server(
                f'i-{domain}', answer_signed(), zone=domain
            )
        for daemon in daemons:
            self.cluster.start(daemon)
        await self.cluster.wait_ready(*daemons)
        await asyncio.sleep(1)

    async def evacuate(self, *domains: str) -> None:
        """Evacuate failure domains, and wait until all daemons should know."""
        for domain in domains:
            self.cluster.store.put(f'op/evacuate/{domain}', {})
        await asyncio.sleep(MAX_DELAY_SECONDS)

    async def send_requests(self, daemon: str) -> list[int]:
        """Send requests to a daemon and return the statuses of the responses."""
        statuses = []
        for _ in range(REQUESTS):
            self._sent += 1
            response = await self.cluster.send_request(
                daemon, request_id=f'r{self._sent}'
            )
            statuses.append(response.status)
        return statuses

    def count_requests(self, domain: str) -> int:
        """Return how many requests the server of a failure domain has received."""
        return len(self.servers[domain].seen)


def run_domains(folder: Path, script: Callable[[Domains], Awaitable[None]]) -> None:
    """Run a scenario with servers in two failure domains."""

    async def run(cluster: Cluster) -> None:
        await script(Domains(cluster))

    run_scenario(folder, run)


class TestEvacuation:
    def test_nothing_is_sent_to_an_evacuated_domain(self, tmp_path) -> None:
        # Requests reached servers that operators had ordered to be left alone.
        async def script(domains: Domains) -> None:
            await domains.start('d1', 'd2')
            await domains.evacuate('gent')
            before = domains.count_requests('gent')
            for daemon in ('d1', 'd2'):
                assert set(await domains.send_requests(daemon)) == {200}
            assert domains.count_requests('gent') == before

        run_domains(tmp_path, script)

    def test_domain_is_used_again_after_its_evacuation(self, tmp_path) -> None:
        # An evacuation that was taken back left its servers unused.
        async def script(domains: Domains) -> None:
            await domains.start('d1')
            await domains.evacuate('gent')
            domains.cluster.store.delete('op/evacuate/gent')
            await asyncio.sleep(MAX_DELAY_SECONDS)
            await domains.evacuate('brugge')
            assert set(await domains.send_requests('d1')) == {200}
            assert domains.count_requests('gent') == REQUESTS

        run_domains(tmp_path, script)

    def test_request_is_refused_at_once_if_all_domains_are_evacuated(
        self, tmp_path
    ) -> None:
        # Without any server left, callers waited for their deadline.
        async def script(domains: Domains) -> None:
            await domains.start('d1')
            await domains.evacuate('gent', 'brugge')
            begin = asyncio.get_running_loop().time()
            response = await domains.cluster.send_request('d1')
            elapsed = asyncio.get_running_loop().time() - begin
            assert response.status == 503
            assert float(response.headers['retry-after']) > 0
            assert elapsed < MAX_REFUSAL_SECONDS
            assert domains.count_requests('gent') == 0
            assert domains.count_requests('brugge') == 0

        run_domains(tmp_path, script)

    def test_daemon_that_starts_during_an_evacuation_observes_it(
        self, tmp_path
    ) -> None:
        # A restarted process used the evacuated servers until the next change.
        async def script(domains: Domains) -> None:
            await domains.start('d1')
            await domains.evacuate('gent')
            domains.cluster.start('d2')
            await domains.cluster.wait_ready('d2')
            assert set(await domains.send_requests('d2')) == {200}
            assert domains.count_requests('gent') == 0

        run_domains(tmp_path, script)


class TestStart:
    def test_configuration_alone_is_not_in_force(self) -> None:
        # A peer sent a new daemon the configuration alone, and the daemon used
        # evacuated servers until it had read the operators' other keys.
        store_state = StoreState(make_consumers())
        value = json.dumps(make_configuration()).encode()
        store_state.apply('op/config', value, Revision(1))
        assert store_state.catalog is None
        assert store_state.find_unready_reason() is not None
        store_state.mark_listed('op/')
        assert store_state.catalog is not None


def make_consumers() -> StoreConsumers:
    """Return consumers of which only the servers are used."""
    unused = cast('Any', None)
    registrations = cast('Any', SimpleNamespace(apply=None))
    return StoreConsumers(
        unused, ServerRegistry(), unused, unused, unused, unused, registrations, unused
    )


class TestRunningRequests:
    def test_running_request_ends_normally(self, tmp_path) -> None:
        # An evacuation must not cut what its servers are processing.
        async def script(cluster: Cluster) -> None:
            finish = asyncio.Event()

            async def answer_late(
                request: ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                await finish.wait()
                await answer_signed()(request, writer)

            cluster.store.put('op/config', make_configuration())
            server = await cluster.add_server('i-1', answer_late)
            cluster.start('d1')
            await cluster.wait_ready('d1')
            waiting = asyncio.create_task(cluster.send_request('d1'))
            await server.arrived.wait()
            cluster.store.put('op/evacuate/gent', {})
            await asyncio.sleep(MAX_DELAY_SECONDS)
            finish.set()
            assert (await waiting).status == 200

        run_scenario(tmp_path, script)
