"""Tests of request handling by the responses that callers get."""

import asyncio
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
from scripted_servers import (
    close_connection,
    respond,
    respond_with_trailer,
    stay_silent,
)

from fireflyhitch_model.ids import BackendServerId
from fireflyhitch_serving.catalog import Quota
from fireflyhitch_serving.errors import CallerDisconnected
from fireflyhitch_serving.messages import CallerRequest
from fireflyhitch_serving.placement import MAX_LOAD_FACTOR
from fireflyhitch_serving.versions import VersionShare
from fireflyhitch_standins.scripted_server import Script

WAIT_SECONDS = 0.2


class TestResponses:
    def test_response_is_forwarded_unchanged(self) -> None:
        async def script(harness: RequestHarness) -> None:
            server = await harness.add('a', respond(201, b'booked'))
            response = await harness.ask('/book/1', 'POST', b'two at nine')
            assert (response.status, response.body, response.whole) == (
                201,
                b'booked',
                True,
            )
            assert response.headers['x-signed'] == '1'
            assert server.seen[0].body == b'two at nine'

        run_scenario(RequestHarness(), script)

    def test_unsigned_success_is_not_forwarded(self) -> None:
        # An unsigned 200 may come from a faulty server, so whether the request ran is
        # unknown: the caller gets 502.
        async def script(harness: RequestHarness) -> None:
            server = await harness.add('a', respond(signed=False))
            response = await harness.ask('/book/1', 'POST')
            assert response.status == 502
            assert response.headers['x-outcome'] == 'unknown'
            assert len(server.seen) == 1

        run_scenario(RequestHarness(), script)

    @pytest.mark.parametrize('status', [302, 400, 404, 409, 429])
    def test_unsigned_failure_is_not_forwarded(self, status: int) -> None:
        # It may come from another process at the server's address. A caller would take
        # it for the daemon's own word that its request is wrong.
        async def script(harness: RequestHarness) -> None:
            await harness.add('a', respond(status, signed=False))
            response = await harness.ask('/book/1', 'POST')
            assert response.status == 502
            assert response.headers['x-outcome'] == 'unknown'

        run_scenario(RequestHarness(), script)

    @pytest.mark.parametrize('status', [408, 429, 503])
    @pytest.mark.parametrize('signed', [True, False])
    def test_caller_is_not_told_not_run_without_the_servers_word(
        self, status: int, *, signed: bool
    ) -> None:
        # Guards against a booking that ran being booked again by its caller.
        async def script(harness: RequestHarness) -> None:
            server = await harness.add('a', respond(status, signed=signed))
            response = await harness.ask('/book/1', 'POST')
            assert response.status == 502
            assert response.headers['x-outcome'] == 'unknown'
            assert len(server.seen) == 1

        run_scenario(RequestHarness(), script)

    def test_repeatable_request_gets_a_signed_busy_response_unchanged(self) -> None:
        async def script(harness: RequestHarness) -> None:
            await harness.add('a', respond(503, b'busy'))
            response = await harness.ask('/read/1')
            assert (response.status, response.body) == (503, b'busy')

        run_scenario(RequestHarness(), script)

    def test_signed_failure_is_forwarded_unchanged(self) -> None:
        async def script(harness: RequestHarness) -> None:
            await harness.add('a', respond(404, b'no such booking'))
            response = await harness.ask('/book/1', 'POST')
            assert (response.status, response.body) == (404, b'no such booking')

        run_scenario(RequestHarness(), script)

    def test_a_trailer_of_a_response_is_not_merged_into_its_headers(self) -> None:
        async def script(harness: RequestHarness) -> None:
            await harness.add('a', respond_with_trailer(b'done', b'X-Late: 1'))
            response = await harness.ask('/book/1', 'POST')
            assert (response.status, response.body) == (200, b'done')
            assert 'x-late' not in response.headers

        run_scenario(RequestHarness(), script)

    def test_a_response_head_without_end_is_given_up(self) -> None:
        async def script(harness: RequestHarness) -> None:
            async def send_endlessly(request, writer) -> None:  # type: ignore[no-untyped-def]
                writer.write(b'HTTP/1.1 200 OK\r\nX: ')
                while not request.closed.is_set():
                    writer.write(b'y' * 65536)
                    await asyncio.sleep(0)

            await harness.add('a', send_endlessly)
            assert (await harness.ask('/book/1', 'POST')).status == 502

        run_scenario(RequestHarness(), script)

    def test_response_to_another_request_is_skipped(self) -> None:
        # A server sends a second response to the previous request as the next one
        # arrives on the same connection. The caller must get the response to its own
        # request.
        async def script(harness: RequestHarness) -> None:
            async def twice(request, writer):  # type: ignore[no-untyped-def]
                await respond(body=b'stray', request_id='other')(request, writer)
                await respond(body=b'own')(request, writer)

            await harness.add('a', twice)
            response = await harness.ask()
            assert response.body == b'own'

        run_scenario(RequestHarness(), script)

    def test_data_after_response_closes_connection(self) -> None:
        # After unsolicited data, the next request uses a new connection and gets its
        # own response.
        async def script(harness: RequestHarness) -> None:
            async def extra(request, writer):  # type: ignore[no-untyped-def]
                await respond()(request, writer)
                await respond(body=b'extra', request_id='r2')(request, writer)

            await harness.add('a', extra)
            await harness.ask()
            response = await harness.ask(request_id='r2')
            assert response.body == b'done'

        run_scenario(RequestHarness(), script)

    def test_server_error_keeps_status_and_signature(self) -> None:
        async def script(harness: RequestHarness) -> None:
            await harness.add('a', respond(500, b'broken'))
            response = await harness.ask('/book/1', 'POST')
            assert (response.status, response.body) == (500, b'broken')
            assert response.headers['x-signed'] == '1'

        run_scenario(RequestHarness(), script)


class TestRetries:
    def test_idempotent_request_is_retried_on_another_server(self) -> None:
        async def script(harness: RequestHarness) -> None:
            await harness.add('a', respond(500), slots=100)
            good = await harness.add('b', respond(), slots=4)
            response = await harness.ask()
            assert response.status == 200
            assert len(good.seen) == 1

        run_scenario(RequestHarness(), script)

    def test_non_idempotent_request_is_not_retried_after_lost_connection(self) -> None:
        # The server closes the connection without a response, so the booking may have
        # run. A retry could book twice, so the caller gets 502 with outcome unknown.
        async def script(harness: RequestHarness) -> None:
            first = await harness.add('a', close_connection(), slots=100)
            second = await harness.add('b', respond(), slots=4)
            response = await harness.ask('/book/1', 'POST')
            assert response.status == 502
            assert response.headers['x-outcome'] == 'unknown'
            assert (len(first.seen), len(second.seen)) == (1, 0)

        run_scenario(RequestHarness(), script)

    def test_non_idempotent_request_is_retried_if_not_run(self) -> None:
        async def script(harness: RequestHarness) -> None:
            await harness.add('a', respond(503, not_run=True), slots=100)
            second = await harness.add('b', respond(), slots=4)
            response = await harness.ask('/book/1', 'POST')
            assert response.status == 200
            assert len(second.seen) == 1

        run_scenario(RequestHarness(), script)

    def test_request_that_no_server_ran_is_refused_with_retry_time(self) -> None:
        async def script(harness: RequestHarness) -> None:
            await harness.add('a', respond(503, not_run=True))
            response = await harness.ask('/book/1', 'POST')
            assert response.status == 503
            assert response.headers['x-outcome'] == 'not-run'
            assert float(response.headers['retry-after']) > 0

        run_scenario(RequestHarness(), script)

    def test_request_runs_on_no_more_servers_than_route_allows(self) -> None:
        async def script(harness: RequestHarness) -> None:
            servers = [await harness.add(name, respond(500)) for name in 'abcd']
            await harness.ask()
            runs = sum(len(server.seen) for server in servers)
            assert runs == ROUTE.attempts

        run_scenario(RequestHarness(), script)

    def test_exhausted_budget_stops_retries(self) -> None:
        async def script(harness: RequestHarness) -> None:
            harness.budget.bounds = replace(harness.budget.bounds, slack=0)
            servers = [await harness.add(name, respond(500)) for name in 'ab']
            response = await harness.ask()
            assert response.status == 500
            assert sum(len(server.seen) for server in servers) == 1

        run_scenario(RequestHarness(), script)

    def test_unreachable_server_uses_no_retry_budget(self) -> None:
        async def script(harness: RequestHarness) -> None:
            harness.budget.bounds = replace(harness.budget.bounds, slack=0)
            unreachable = await harness.add('a', respond(), slots=100)
            unreachable.stop()
            await harness.add('b', respond(), slots=4)
            response = await harness.ask('/book/1', 'POST')
            assert response.status == 200

        run_scenario(RequestHarness(), script)

    def test_request_is_retried_elsewhere_if_server_hangs(self) -> None:
        # A server that is regarded as healthy reads the request and sends nothing. The
        # caller of a repeatable request gets the response of another server.
        async def script(harness: RequestHarness) -> None:
            hung = await harness.add('a', stay_silent(), slots=100)
            await harness.add('b', respond(), slots=4)
            response = await harness.ask()
            assert response.status == 200
            assert len(hung.seen) == 1
            await hung.seen[0].closed.wait()

        route = replace(ROUTE, target=0.1)
        run_scenario(RequestHarness(make_catalog(routes=(route,))), script)


class TestWaitingRetries:
    """Guards against an outcome ``not-run`` for a request that a server received."""

    def test_outcome_is_unknown_if_last_server_is_removed_while_waiting(self) -> None:
        async def script(harness: RequestHarness) -> None:
            await harness.add('a', close_connection())
            await harness.add('b', respond())
            busy = harness.registry.all()[BackendServerId('b')]
            busy.requests = int(busy.server.slots * MAX_LOAD_FACTOR)
            task = asyncio.create_task(harness.ask())
            await asyncio.sleep(WAIT_SECONDS)
            harness.registry.remove(busy.server.server_id)
            response = await task
            assert (response.status, response.headers['x-outcome']) == (502, 'unknown')

        run_scenario(RequestHarness(), script)


class TestAdmission:
    def test_request_without_configuration_is_refused_with_retry_time(self) -> None:
        async def script(harness: RequestHarness) -> None:
            harness.catalog = None
            response = await harness.ask()
            assert response.status == 503
            assert 'retry-after' in response.headers

        run_scenario(RequestHarness(), script)

    @pytest.mark.parametrize(
        ('path', 'key', 'status'),
        [('/none/1', 'key-1', 404), ('/read/1', 'wrong', 401), ('/read/1', '', 401)],
    )
    def test_unknown_route_or_key_is_denied(
        self, path: str, key: str, status: int
    ) -> None:
        async def script(harness: RequestHarness) -> None:
            server = await harness.add('a', respond())
            response = await harness.ask(path, key=key)
            assert response.status == status
            assert not server.seen

        run_scenario(RequestHarness(), script)

    def test_public_route_needs_no_key(self) -> None:
        async def script(harness: RequestHarness) -> None:
            await harness.add('a', respond())
            response = await harness.ask(key='')
            assert response.status == 200

        run_scenario(
            RequestHarness(make_catalog(routes=(replace(ROUTE, public=True),))), script
        )

    def test_request_over_quota_is_refused_with_retry_time(self) -> None:
        async def script(harness: RequestHarness) -> None:
            server = await harness.add('a', respond())
            first = await harness.ask()
            second = await harness.ask(request_id='r2')
            assert (first.status, second.status) == (200, 429)
            assert float(second.headers['retry-after']) > 1
            assert len(server.seen) == 1

        quota = Quota(rate=0.1, burst=1, in_tokens=False, plain_tokens=0)
        run_scenario(RequestHarness(make_catalog(quota)), script)

    def test_quota_is_refunded_if_request_did_not_run(self) -> None:
        async def script(harness: RequestHarness) -> None:
            await harness.add('a', respond(503, not_run=True))
            await harness.ask()
            assert (await harness.ask(request_id='r2')).status == 503

        quota = Quota(rate=0.1, burst=1, in_tokens=False, plain_tokens=0)
        run_scenario(RequestHarness(make_catalog(quota)), script)

    def test_draining_server_gets_no_requests(self) -> None:
        async def script(harness: RequestHarness) -> None:
            leaving = await harness.add('a', respond(), ready=False)
            response = await harness.ask()
            assert response.status == 503
            assert not leaving.seen

        run_scenario(RequestHarness(), script)

    def test_retried_request_counts_once_in_customer_usage(self) -> None:
        async def script(harness: RequestHarness) -> None:
            await harness.add('a', respond(500), slots=100)
            await harness.add('b', respond(), slots=4)
            await harness.ask()
            assert harness.usage.sum_window(2) == {CUSTOMER: 1}

        run_scenario(RequestHarness(), script)

    @pytest.mark.parametrize('lose', [close_connection(), respond(500)])
    def test_usage_is_not_too_low_if_responses_are_lost(self, lose: Script) -> None:
        async def script(harness: RequestHarness) -> None:
            await harness.add('a', lose)
            await harness.ask('/book/1', 'POST', b'x')
            assert harness.usage.sum_window(2) == {CUSTOMER: 1}

        run_scenario(RequestHarness(), script)

    def test_usage_leaves_out_what_the_server_did_not_run(self) -> None:
        async def script(harness: RequestHarness) -> None:
            await harness.add('a', respond(503, not_run=True))
            await harness.ask('/book/1', 'POST', b'x')
            assert not harness.usage.sum_window(2)

        run_scenario(RequestHarness(), script)


class TestVersions:
    def test_withdrawn_version_gets_no_requests(self) -> None:
        async def script(harness: RequestHarness) -> None:
            bad = await harness.add('a', respond(), version='v2', slots=100)
            await harness.add('b', respond(), slots=4)
            harness.versions.put(SERVICE, VersionShare('v2', 0))
            for number in range(5):
                assert (await harness.ask(request_id=f'r{number}')).status == 200
            assert not bad.seen

        run_scenario(RequestHarness(), script)

    def test_fully_rolled_out_version_gets_all_requests(self) -> None:
        async def script(harness: RequestHarness) -> None:
            await harness.add('a', respond(), version='v2', slots=1)
            old = await harness.add('b', respond(), slots=100)
            harness.versions.put(SERVICE, VersionShare('v2', 1))
            assert (await harness.ask()).status == 200
            assert not old.seen
            assert harness.recorded_outcomes == [('v2', False)]

        run_scenario(RequestHarness(), script)


class TestRouteKinds:
    def test_route_kind_decides_whether_requests_are_repeatable(self) -> None:
        assert CHAT.repeatable
        assert ROUTE.repeatable
        assert not BOOK.repeatable


class _ClosedReply:
    """A reply to a caller whose connection is closing."""

    begun = False
    ended = False

    def send_response(self, *response: object) -> None:
        """Raise, since the connection is closed."""
        raise CallerDisconnected


class TestDisconnectedCallers:
    def test_refusal_to_disconnected_caller_raises_no_error(self) -> None:
        # The caller disconnects just as its request is refused. The daemon logs that. An
        # exception would be reported as an internal error.
        async def script(harness: RequestHarness) -> None:
            message = CallerRequest(b'GET', b'/none/', [], b'', 0)
            message.headers.extend([(b'X-Id', b'r1'), (b'Host', b'shop.example')])
            await harness.front.serve(message, _ClosedReply())  # type: ignore[arg-type]

        run_scenario(RequestHarness(), script)


class TestMetrics:
    def test_requests_before_first_metrics_request_are_counted(self) -> None:
        async def script(harness: RequestHarness) -> None:
            server = await harness.add('a', respond())
            await harness.ask()
            await harness.ask(request_id='r2')
            server.script = respond(503, not_run=True)
            await harness.ask(request_id='r3')
            harness.front.serve = harness.metrics.serve
            page = (await harness.ask('/metrics')).body.decode()
            counts = {
                line.split('status="')[1][:3]: line.rsplit(' ', 1)[1]
                for line in page.splitlines()
                if line.startswith('fireflyhitch_requests_total')
            }
            assert counts == {'200': '2.0', '503': '1.0'}

        run_scenario(RequestHarness(), script)


class TestShutdown:
    def test_request_that_may_outlast_process_is_refused(self) -> None:
        # The balancer sends a caller to a stopping daemon shortly before its process
        # exits. A long request would be cut off, so it is refused as not run; a short
        # one is still served.
        async def script(harness: RequestHarness) -> None:
            server = await harness.add('a', respond())
            harness.shutdown_deadline = harness.clock.monotonic() + 1
            response = await harness.ask('/book/1', 'POST')
            assert response.status == 503
            assert response.headers['x-outcome'] == 'not-run'
            assert not server.seen
            assert (await harness.ask('/read/1')).status == 200

        routes = (replace(BOOK, timeout=5), replace(ROUTE, timeout=0.5))
        run_scenario(RequestHarness(make_catalog(routes=routes)), script)


class TestOutdatedConfiguration:
    @pytest.mark.parametrize(
        ('recent', 'expected'), [(True, (404, 401)), (False, (503, 503))]
    )
    def test_what_may_be_allowed_by_now_is_to_be_retried(
        self, recent: bool, expected: tuple[int, int]
    ) -> None:
        async def script(harness: RequestHarness) -> None:
            harness.is_catalog_recent = recent
            unknown_route = await harness.ask('/none/1')
            unknown_key = await harness.ask(key='none')
            assert (unknown_route.status, unknown_key.status) == expected
            for response in (unknown_route, unknown_key):
                assert ('retry-after' in response.headers) is not recent
                assert response.headers['x-outcome'] == 'not-run'

        run_scenario(RequestHarness(), script)
