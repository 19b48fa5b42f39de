"""Tests of requests that a daemon without a link to any server forwards to a peer."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import replace

import pytest
from scene import (
    BOOK,
    CHAT,
    CUSTOMER,
    ROUTE,
    SERVICE,
    RequestHarness,
    make_catalog,
    run_scenario,
)
from scripted_servers import close_connection, respond, stay_silent, stream

from fireflyhitch_model.ids import RegionId
from fireflyhitch_serving.attempt_policy import MAX_EXTRA_SENDS
from fireflyhitch_serving.catalog import Customer, Quota
from fireflyhitch_serving.edge import BadRequestError
from fireflyhitch_serving.forwarded_requests import (
    HEADER,
    ForwardedRequest,
    add_header,
    decode_forwarded,
    remove_header,
)
from fireflyhitch_serving.forwarded_requests import (
    UNLIMITED as NO_QUOTA,
)
from fireflyhitch_serving.forwarding import choose_peer
from fireflyhitch_serving.messages import CallerRequest
from fireflyhitch_serving.reachability import ServerReachability
from fireflyhitch_serving.request_handler import MAX_FORWARDED
from fireflyhitch_standins.scripted_server import ScriptedServer

Scenario = Callable[[RequestHarness, RequestHarness], Awaitable[None]]


def run_with_peer(script: Scenario, front: RequestHarness | None = None) -> None:
    """Run a scenario with a partitioned daemon and a peer that reaches servers."""

    async def begin(harness: RequestHarness) -> None:
        async with RequestHarness() as peer:
            harness.reachability.lost = True
            harness.peers['peer'] = peer.peer_address
            await script(harness, peer)

    run_scenario(front or RequestHarness(), begin)


class TestForwarding:
    def test_a_peer_serves_a_request_of_a_daemon_without_servers(self) -> None:
        async def script(harness: RequestHarness, peer: RequestHarness) -> None:
            server = await peer.add('a', respond(body=b'whole'))
            response = await harness.ask('/book/1', 'POST', b'order', x_note='kept')
            assert (response.status, response.body) == (200, b'whole')
            assert 'x-signed' in response.headers
            received = server.seen[0]
            assert received.body == b'order'
            assert received.find('x-note') == 'kept'
            assert not received.find(HEADER.decode())

        run_with_peer(script)

    def test_a_servers_own_failure_keeps_its_status(self) -> None:
        async def script(harness: RequestHarness, peer: RequestHarness) -> None:
            server = await peer.add('a', respond(500, b'failed'))
            response = await harness.ask('/book/1', 'POST')
            assert (response.status, response.body) == (500, b'failed')
            assert len(server.seen) == 1

        run_with_peer(script)

    def test_a_stream_goes_through_a_peer_event_by_event(self) -> None:
        async def script(harness: RequestHarness, peer: RequestHarness) -> None:
            await peer.add('a', stream(1, 2, 3))
            response = await harness.ask('/chat/1', 'POST')
            assert response.whole
            assert response.body.count(b'id: ') == 3

        run_with_peer(script)

    def test_a_stream_that_a_partition_cut_goes_on_at_a_peer(self) -> None:
        async def script(harness: RequestHarness, peer: RequestHarness) -> None:
            harness.reachability.lost = False
            first = await harness.add('a', stream(1, 2, whole=False), slots=100)
            spare = await harness.add('b', respond())
            for server in (first, spare):
                server.stop()
            harness.reachability.lost = True
            other = await peer.add('c', stream(1, 2, 3, 4))
            response = await harness.ask('/chat/1', 'POST')
            assert response.whole
            assert response.body.count(b'id: ') == 4
            assert len(other.seen) == 1

        run_with_peer(script)

    def test_a_request_that_ran_somewhere_is_not_sent_to_another_peer(self) -> None:
        async def script(harness: RequestHarness, peer: RequestHarness) -> None:
            server = await peer.add('a', close_connection())
            async with RequestHarness() as other:
                unused = await other.add('b', respond())
                harness.peers['other'] = other.peer_address
                harness.peers['peer'] = peer.peer_address
                while not server.seen:
                    response = await harness.ask('/book/1', 'POST')
                assert response.status == 502
                assert len(server.seen) == 1
                runs = len(unused.seen)
                await asyncio.sleep(0.05)
                assert len(unused.seen) == runs

        run_with_peer(script)

    @pytest.mark.parametrize('status', [500, 503, 504])
    @pytest.mark.parametrize('echoed', [{}, {'fireflyhitch_sends': '0'}])
    def test_an_unsigned_failure_of_a_server_behind_a_peer_is_not_taken_for_not_run(
        self, status: int, echoed: dict[str, str]
    ) -> None:
        # Guards against a booking that ran, and failed, being run by a further peer.
        async def script(harness: RequestHarness, peer: RequestHarness) -> None:
            failing = respond(status, signed=False, **echoed)
            async with RequestHarness() as other:
                servers = [
                    await daemon.add('failing', failing) for daemon in (peer, other)
                ]
                harness.peers['other'] = other.peer_address
                for number in range(8):
                    response = await harness.ask(
                        '/book/1', 'POST', request_id=f'r{number}'
                    )
                    assert response.status in {500, 502, 504}
                    assert 'fireflyhitch-sends' not in response.headers
                assert sum(len(server.seen) for server in servers) == 8

        run_with_peer(script)

    @pytest.mark.parametrize('status', [200, 302, 500, 503])
    def test_an_unsigned_response_of_a_peer_that_does_not_refuse_may_have_run(
        self, status: int
    ) -> None:
        # Guards against a further run after a response that says nothing of the first.
        async def script(harness: RequestHarness, peer: RequestHarness) -> None:
            unclear = ScriptedServer('unclear', respond(status, signed=False))
            harness.peers['unclear'] = await unclear.start()
            server = await peer.add('a', respond())
            for number in range(8):
                await harness.ask('/book/1', 'POST', request_id=f'r{number}')
            assert unclear.seen
            assert len(unclear.seen) + len(server.seen) == 8
            unclear.stop()

        run_with_peer(script)

    def test_a_peer_that_turns_a_request_away_leaves_it_to_the_next(self) -> None:
        async def script(harness: RequestHarness, peer: RequestHarness) -> None:
            async with RequestHarness() as lost:
                lost.reachability.lost = True
                harness.peers['lost'] = lost.peer_address
                server = await peer.add('a', respond())
                for number in range(8):
                    response = await harness.ask('/book/1', request_id=f'r{number}')
                    assert response.status == 200
                assert len(server.seen) == 8

        run_with_peer(script)

    @pytest.mark.parametrize('status', [400, 404, 413, 431])
    def test_a_peer_s_own_denial_never_reaches_the_caller(self, status: int) -> None:
        # A peer of another version or configuration may take a forwarded request for
        # wrong, which this daemon has admitted.
        async def script(harness: RequestHarness, peer: RequestHarness) -> None:
            denying = ScriptedServer('denying', respond(status, signed=False))
            harness.peers['denying'] = await denying.start()
            server = await peer.add('a', respond())
            for number in range(8):
                response = await harness.ask('/book/1', request_id=f'r{number}')
                assert response.status == 200
            assert denying.seen
            del harness.peers['peer']
            response = await harness.ask('/book/1', request_id='r8')
            assert response.status == 503
            assert len(server.seen) == 8
            denying.stop()

        run_with_peer(script)

    def test_a_further_peer_takes_a_retry_if_servers_have_turned_the_request_away(
        self,
    ) -> None:
        async def script(harness: RequestHarness, peer: RequestHarness) -> None:
            async with RequestHarness() as other:
                servers = [
                    await daemon.add('full', respond(503, not_run=True))
                    for daemon in (peer, other)
                ]
                harness.peers['other'] = other.peer_address
                for daemon in (harness, peer, other):
                    daemon.budget.bounds = replace(daemon.budget.bounds, slack=0)
                response = await harness.ask('/book/1', 'POST')
                assert response.status == 503
                assert sum(len(server.seen) for server in servers) == 1

        run_with_peer(script)

    def test_a_further_peer_takes_no_retry_if_nothing_was_sent(self) -> None:
        async def script(harness: RequestHarness, peer: RequestHarness) -> None:
            async with RequestHarness() as full:
                full.handler.forwarded_in_progress = MAX_FORWARDED
                harness.peers['full'] = full.peer_address
                harness.budget.bounds = replace(harness.budget.bounds, slack=0)
                await peer.add('a', respond())
                for _ in range(8):
                    assert (await harness.ask('/book/1', 'POST')).status == 200

        run_with_peer(script)

    def test_sends_of_peers_count_towards_the_limit_of_a_request(self) -> None:
        async def script(harness: RequestHarness, peer: RequestHarness) -> None:
            async with RequestHarness() as other:
                servers = [
                    await daemon.add(f'full-{number}', respond(503, not_run=True))
                    for daemon in (peer, other)
                    for number in range(4)
                ]
                harness.peers['other'] = other.peer_address
                await harness.ask('/book/1', 'POST')
                sends = sum(len(server.seen) for server in servers)
                assert sends <= BOOK.attempts + MAX_EXTRA_SENDS + 1

        run_with_peer(script)

    def test_a_request_goes_to_a_server_if_the_link_is_back_and_no_peer_took_it(
        self,
    ) -> None:
        async def script(harness: RequestHarness, peer: RequestHarness) -> None:
            async def refuse_and_heal(request, writer) -> None:
                harness.reachability.lost = False
                await respond(503, not_run=True)(request, writer)

            await peer.add('full', refuse_and_heal)
            await harness.add('own', respond())
            assert (await harness.ask('/book/1', 'POST')).status == 200

        run_with_peer(script)

    def test_without_a_peer_that_reaches_servers_a_request_is_refused_at_once(
        self,
    ) -> None:
        # Two daemons that reach nothing must not send a request back and forth.
        async def script(harness: RequestHarness, peer: RequestHarness) -> None:
            peer.reachability.lost = True
            peer.peers['here'] = harness.peer_address
            started = harness.clock.monotonic()
            response = await harness.ask('/book/1', 'POST')
            assert response.status == 503
            assert response.headers['x-outcome'] == 'not-run'
            assert 'retry-after' in response.headers
            assert harness.clock.monotonic() - started < 0.5

        run_with_peer(script)

    def test_a_peer_takes_a_bounded_number_of_requests(self) -> None:
        async def script(harness: RequestHarness, peer: RequestHarness) -> None:
            peer.handler.forwarded_in_progress = MAX_FORWARDED
            server = await peer.add('a', respond())
            assert (await harness.ask()).status == 503
            assert not server.seen
            assert (await peer.ask()).status == 200

        run_with_peer(script)

    def test_a_caller_that_leaves_ends_the_work_behind_the_peer(self) -> None:
        async def script(harness: RequestHarness, peer: RequestHarness) -> None:
            server = await peer.add('a', stay_silent())
            asking = asyncio.create_task(harness.ask('/book/1', 'POST'))
            await server.arrived.wait()
            asking.cancel()
            with suppress(asyncio.CancelledError):
                await asking
            async with asyncio.timeout(0.5):
                await server.seen[0].closed.wait()

        run_with_peer(script)

    def test_a_request_without_a_response_in_time_may_have_run(self) -> None:
        async def script(harness: RequestHarness, peer: RequestHarness) -> None:
            await peer.add('a', stay_silent())
            assert (await harness.ask('/book/1', 'POST')).status == 504

        catalog = make_catalog(routes=(replace(BOOK, timeout=0.3),))
        run_with_peer(script, RequestHarness(catalog))

    def test_usage_is_counted_and_limits_are_charged_once(self) -> None:
        async def script(harness: RequestHarness, peer: RequestHarness) -> None:
            await peer.add('a', respond())
            assert (await harness.ask('/book/1', 'POST')).status == 200
            counted = [
                counts.get(CUSTOMER, 0)
                for daemon in (harness, peer)
                for counts in daemon.usage.local_counts(12.0).values()
            ]
            assert sum(counted) == 1
            assert (await harness.ask('/book/1', 'POST')).status == 429

        quota = Quota(rate=0.001, burst=1, in_tokens=False, plain_tokens=0)
        run_with_peer(script, RequestHarness(make_catalog(quota)))

    def test_a_peer_with_an_older_configuration_serves_a_new_route(self) -> None:
        async def script(harness: RequestHarness, peer: RequestHarness) -> None:
            peer.catalog = make_catalog(routes=())
            await peer.add('a', respond())
            assert (await harness.ask('/book/1', 'POST')).status == 200

        run_with_peer(script)

    def test_a_malformed_header_is_rejected(self) -> None:
        async def script(harness: RequestHarness, peer: RequestHarness) -> None:
            server = await peer.add('a', respond())
            harness.address = peer.peer_address
            response = await harness.ask(fireflyhitch_forwarded='nonsense')
            assert response.status == 400
            assert not server.seen

        run_with_peer(script)


class TestChoice:
    def test_the_less_busy_of_two_peers_is_chosen(self) -> None:
        rng = random.Random(1)  # noqa: S311
        assert choose_peer(['a', 'b'], {'a': 2}, rng) == 'b'
        assert choose_peer([], {}, rng) is None

    def test_requests_of_several_daemons_spread_over_all_peers(self) -> None:
        rng = random.Random(1)  # noqa: S311
        names = [f'd{number}' for number in range(20)]
        chosen = [choose_peer(names, {}, rng) for _ in range(1000)]
        assert max(chosen.count(name) for name in names) < 100


class TestReachability:
    def test_no_server_reached_is_noticed_and_its_end_too(self) -> None:
        async def script(harness: RequestHarness) -> None:
            servers = [await harness.add(name, respond()) for name in ('a', 'b')]
            reachability = harness.reachability
            await reachability.check()
            assert not reachability.lost
            for server in servers:
                server.stop()
            await reachability.check()
            assert reachability.lost
            await harness.add('c', respond())
            run = asyncio.create_task(reachability.run())
            async with asyncio.timeout(2):
                while reachability.lost:
                    await asyncio.sleep(0.01)
            run.cancel()

        run_scenario(RequestHarness(), script)

    def test_servers_of_a_service_without_configuration_prove_nothing(self) -> None:
        # Guards against foreign entries at dead addresses that make each request seem
        # impossible to serve.
        async def script(harness: RequestHarness) -> None:
            for number in range(20):
                name = f'foreign-{number}'
                (await harness.add(name, respond(), service='print-jobs')).stop()
            for name in ('a', 'b'):
                await harness.add(name, respond())
            await harness.reachability.check()
            assert not harness.reachability.lost

        run_scenario(RequestHarness(), script)

    def test_servers_are_not_blamed_for_a_lost_link(self) -> None:
        async def script(harness: RequestHarness) -> None:
            servers = [await harness.add(name, respond()) for name in ('a', 'b')]
            for server in servers:
                server.stop()
            assert (await harness.ask()).status == 503
            records = harness.registry.all().values()
            now = harness.clock.monotonic()
            assert not any(record.health.is_ejected(now) for record in records)
            assert not any(record.is_cold(now) for record in records)

        run_scenario(RequestHarness(), script)

    def test_one_server_alone_proves_nothing(self) -> None:
        async def script(harness: RequestHarness) -> None:
            (await harness.add('a', respond())).stop()
            reachability: ServerReachability = harness.reachability
            await reachability.check()
            assert not reachability.lost

        run_scenario(RequestHarness(), script)


class TestHeader:
    @pytest.mark.parametrize('route', [ROUTE, BOOK, CHAT])
    def test_what_is_decoded_is_what_was_encoded(self, route) -> None:
        regions = frozenset((RegionId('flanders'), RegionId('wallonia')))
        route = replace(route, host='', prefix='', shares=(), home_regions=regions)
        customer = Customer(CUSTOMER, NO_QUOTA, 3, regions)
        forwarded = ForwardedRequest(
            'd1', SERVICE, route, customer, usage_counted=True, sends=2
        )
        request = CallerRequest(b'GET', b'/', [(b'Host', b'x'), (HEADER, b'?')], b'', 0)
        sent = add_header(request, forwarded)
        assert decode_forwarded(sent) == forwarded
        assert remove_header(sent).headers == [(b'Host', b'x')]

    @pytest.mark.parametrize('value', [b'', b'?', b'oA==', b'gYE='])
    def test_a_malformed_value_is_an_error(self, value) -> None:
        request = CallerRequest(b'GET', b'/', [(HEADER, value)], b'', 0)
        with pytest.raises(BadRequestError):
            decode_forwarded(request)
