"""Tests of the path of a request, from what its caller gets."""

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
from scripted_servers import answer, close_connection, stay_silent

from fireflyhitch_model.ids import BackendServerId
from fireflyhitch_serving.catalog import Quota
from fireflyhitch_serving.errors import CallerGone
from fireflyhitch_serving.messages import CallerRequest
from fireflyhitch_serving.versions import VersionShare

WAIT_SECONDS = 0.2


class TestAnswers:
    def test_a_server_s_answer_reaches_its_caller_unchanged(self) -> None:
        async def script(scene: RequestHarness) -> None:
            server = await scene.add('a', answer(201, b'booked'))
            got = await scene.ask('/book/1', 'POST', b'two at nine')
            assert (got.status, got.body, got.whole) == (201, b'booked', True)
            assert got.headers['x-signed'] == '1'
            assert server.seen[0].body == b'two at nine'

        run_scenario(RequestHarness(), script)

    def test_a_success_without_signature_is_never_passed_on(self) -> None:
        # The caller of a booking gets 502, not somebody's unsigned 200: a faulty
        # server made up the answer, and whether the booking ran is not known.
        async def script(scene: RequestHarness) -> None:
            server = await scene.add('a', answer(signed=False))
            got = await scene.ask('/book/1', 'POST')
            assert got.status == 502
            assert got.headers['x-outcome'] == 'unknown'
            assert len(server.seen) == 1

        run_scenario(RequestHarness(), script)

    def test_an_answer_to_another_request_is_passed_over(self) -> None:
        # A server answers the request before a second time, just as the next one
        # comes on the same connection. The caller must get its own answer.
        async def script(scene: RequestHarness) -> None:
            async def twice(request, writer):  # type: ignore[no-untyped-def]
                await answer(body=b'stray', request_id='other')(request, writer)
                await answer(body=b'own')(request, writer)

            await scene.add('a', twice)
            got = await scene.ask()
            assert got.body == b'own'

        run_scenario(RequestHarness(), script)

    def test_bytes_after_an_answer_end_the_connection(self) -> None:
        # Bytes that nobody asked for come after a whole answer. The next request
        # goes out on a new connection and gets its own answer.
        async def script(scene: RequestHarness) -> None:
            async def extra(request, writer):  # type: ignore[no-untyped-def]
                await answer()(request, writer)
                await answer(body=b'extra', request_id='r2')(request, writer)

            await scene.add('a', extra)
            await scene.ask()
            got = await scene.ask(request_id='r2')
            assert got.body == b'done'

        run_scenario(RequestHarness(), script)

    def test_a_server_s_own_failure_keeps_its_status_and_signature(self) -> None:
        async def script(scene: RequestHarness) -> None:
            await scene.add('a', answer(500, b'broken'))
            got = await scene.ask('/book/1', 'POST')
            assert (got.status, got.body) == (500, b'broken')
            assert got.headers['x-signed'] == '1'

        run_scenario(RequestHarness(), script)


class TestRepeats:
    def test_an_idempotent_request_goes_to_another_server_after_a_failure(self) -> None:
        async def script(scene: RequestHarness) -> None:
            await scene.add('a', answer(500), slots=100)
            good = await scene.add('b', answer(), slots=4)
            got = await scene.ask()
            assert got.status == 200
            assert len(good.seen) == 1

        run_scenario(RequestHarness(), script)

    def test_a_booking_whose_connection_breaks_is_not_sent_again(self) -> None:
        # The server closes without a word: the booking may have run. A second send
        # could send two vans, so its caller gets 502 with outcome unknown.
        async def script(scene: RequestHarness) -> None:
            first = await scene.add('a', close_connection(), slots=100)
            second = await scene.add('b', answer(), slots=4)
            got = await scene.ask('/book/1', 'POST')
            assert got.status == 502
            assert got.headers['x-outcome'] == 'unknown'
            assert (len(first.seen), len(second.seen)) == (1, 0)

        run_scenario(RequestHarness(), script)

    def test_a_booking_that_a_server_did_not_run_goes_to_another(self) -> None:
        async def script(scene: RequestHarness) -> None:
            await scene.add('a', answer(503, not_run=True), slots=100)
            second = await scene.add('b', answer(), slots=4)
            got = await scene.ask('/book/1', 'POST')
            assert got.status == 200
            assert len(second.seen) == 1

        run_scenario(RequestHarness(), script)

    def test_not_run_everywhere_is_a_refusal_with_a_time_to_come_back(self) -> None:
        async def script(scene: RequestHarness) -> None:
            await scene.add('a', answer(503, not_run=True))
            got = await scene.ask('/book/1', 'POST')
            assert got.status == 503
            assert got.headers['x-outcome'] == 'not-run'
            assert float(got.headers['retry-after']) > 0

        run_scenario(RequestHarness(), script)

    def test_no_more_servers_run_a_request_than_its_route_allows(self) -> None:
        async def script(scene: RequestHarness) -> None:
            servers = [await scene.add(name, answer(500)) for name in 'abcd']
            await scene.ask()
            runs = sum(len(server.seen) for server in servers)
            assert runs == ROUTE.attempts

        run_scenario(RequestHarness(), script)

    def test_a_spent_budget_ends_repeats(self) -> None:
        async def script(scene: RequestHarness) -> None:
            scene.budget.bounds = replace(scene.budget.bounds, slack=0)
            servers = [await scene.add(name, answer(500)) for name in 'ab']
            got = await scene.ask()
            assert got.status == 500
            assert sum(len(server.seen) for server in servers) == 1

        run_scenario(RequestHarness(), script)

    def test_a_server_that_cannot_be_reached_costs_no_repeat(self) -> None:
        async def script(scene: RequestHarness) -> None:
            scene.budget.bounds = replace(scene.budget.bounds, slack=0)
            gone = await scene.add('a', answer(), slots=100)
            gone.stop()
            await scene.add('b', answer(), slots=4)
            got = await scene.ask('/book/1', 'POST')
            assert got.status == 200

        run_scenario(RequestHarness(), script)

    def test_a_mute_server_is_left_for_another(self) -> None:
        # A server reads the request and says nothing while its health is good. The
        # caller of a repeatable request gets the answer of another server.
        async def script(scene: RequestHarness) -> None:
            mute = await scene.add('a', stay_silent(), slots=100)
            await scene.add('b', answer(), slots=4)
            got = await scene.ask()
            assert got.status == 200
            assert len(mute.seen) == 1
            await mute.seen[0].closed.wait()

        route = replace(ROUTE, target=0.1)
        run_scenario(RequestHarness(make_catalog(routes=(route,))), script)


class TestRepeatsThatWait:
    """Guards against a promise that a request has not run, though a server had it."""

    def test_one_whose_last_server_goes_meanwhile_may_have_run(self) -> None:
        async def script(scene: RequestHarness) -> None:
            await scene.add('a', close_connection())
            await scene.add('b', answer())
            busy = scene.book.all()[BackendServerId('b')]
            busy.requests = busy.server.slots
            asked = asyncio.create_task(scene.ask())
            await asyncio.sleep(WAIT_SECONDS)
            scene.book.remove(busy.server.server_id)
            got = await asked
            assert (got.status, got.headers['x-outcome']) == (502, 'unknown')

        run_scenario(RequestHarness(), script)


class TestAdmission:
    def test_without_a_configuration_callers_are_asked_to_come_back(self) -> None:
        async def script(scene: RequestHarness) -> None:
            scene.catalog = None
            got = await scene.ask()
            assert got.status == 503
            assert 'retry-after' in got.headers

        run_scenario(RequestHarness(), script)

    @pytest.mark.parametrize(
        ('path', 'key', 'status'),
        [('/none/1', 'key-1', 404), ('/read/1', 'wrong', 401), ('/read/1', '', 401)],
    )
    def test_what_no_configuration_allows_is_denied(
        self, path: str, key: str, status: int
    ) -> None:
        async def script(scene: RequestHarness) -> None:
            server = await scene.add('a', answer())
            got = await scene.ask(path, key=key)
            assert got.status == status
            assert not server.seen

        run_scenario(RequestHarness(), script)

    def test_a_public_route_needs_no_key(self) -> None:
        async def script(scene: RequestHarness) -> None:
            await scene.add('a', answer())
            got = await scene.ask(key='')
            assert got.status == 200

        run_scenario(
            RequestHarness(make_catalog(routes=(replace(ROUTE, public=True),))), script
        )

    def test_requests_beyond_a_limit_are_refused_with_a_time(self) -> None:
        async def script(scene: RequestHarness) -> None:
            server = await scene.add('a', answer())
            first = await scene.ask()
            second = await scene.ask(request_id='r2')
            assert (first.status, second.status) == (200, 429)
            assert float(second.headers['retry-after']) > 1
            assert len(server.seen) == 1

        quota = Quota(rate=0.1, burst=1, in_tokens=False, plain_tokens=0)
        run_scenario(RequestHarness(make_catalog(quota)), script)

    def test_what_did_not_run_costs_nothing_of_a_limit(self) -> None:
        async def script(scene: RequestHarness) -> None:
            await scene.add('a', answer(503, not_run=True))
            await scene.ask()
            assert (await scene.ask(request_id='r2')).status == 503

        quota = Quota(rate=0.1, burst=1, in_tokens=False, plain_tokens=0)
        run_scenario(RequestHarness(make_catalog(quota)), script)

    def test_a_leaving_server_gets_nothing(self) -> None:
        async def script(scene: RequestHarness) -> None:
            leaving = await scene.add('a', answer(), ready=False)
            got = await scene.ask()
            assert got.status == 503
            assert not leaving.seen

        run_scenario(RequestHarness(), script)

    def test_a_request_that_began_is_counted_once_for_its_customer(self) -> None:
        async def script(scene: RequestHarness) -> None:
            await scene.add('a', answer(500), slots=100)
            await scene.add('b', answer(), slots=4)
            await scene.ask()
            assert scene.usage.sum_window(2) == {CUSTOMER: 1}

        run_scenario(RequestHarness(), script)


class TestVersions:
    def test_a_withdrawn_version_gets_nothing(self) -> None:
        async def script(scene: RequestHarness) -> None:
            bad = await scene.add('a', answer(), version='v2', slots=100)
            await scene.add('b', answer(), slots=4)
            scene.versions.put(SERVICE, VersionShare('v2', 0))
            for number in range(5):
                assert (await scene.ask(request_id=f'r{number}')).status == 200
            assert not bad.seen

        run_scenario(RequestHarness(), script)

    def test_a_version_that_is_done_gets_all(self) -> None:
        async def script(scene: RequestHarness) -> None:
            await scene.add('a', answer(), version='v2', slots=1)
            old = await scene.add('b', answer(), slots=100)
            scene.versions.put(SERVICE, VersionShare('v2', 1))
            assert (await scene.ask()).status == 200
            assert not old.seen
            assert scene.counted == [('v2', False)]

        run_scenario(RequestHarness(), script)


class TestChatRoute:
    def test_routes_of_the_scene_differ_in_what_may_be_repeated(self) -> None:
        assert CHAT.repeatable
        assert ROUTE.repeatable
        assert not BOOK.repeatable


class _GoneReply:
    """A reply to a caller whose connection is closing."""

    begun = False
    ended = False

    def send_whole(self, *answer: object) -> None:
        """Find nobody there."""
        raise CallerGone


class TestCallersThatLeave:
    def test_a_refusal_to_a_caller_that_is_gone_is_no_fault(self) -> None:
        # The caller leaves in the moment in which its request is refused. The daemon
        # notes it; an error there would be reported as one of its own.
        async def script(scene: RequestHarness) -> None:
            message = CallerRequest(b'GET', b'/none/', [], b'', 0)
            message.headers.extend([(b'X-Id', b'r1'), (b'Host', b'shop.example')])
            await scene.front.serve(message, _GoneReply())  # type: ignore[arg-type]

        run_scenario(RequestHarness(), script)


class TestMetrics:
    def test_requests_before_the_first_look_are_counted(self) -> None:
        async def script(scene: RequestHarness) -> None:
            server = await scene.add('a', answer())
            await scene.ask()
            await scene.ask(request_id='r2')
            server.script = answer(503, not_run=True)
            await scene.ask(request_id='r3')
            scene.front.serve = scene.metrics.serve
            page = (await scene.ask('/metrics')).body.decode()
            counts = {
                line.split('status="')[1][:3]: line.rsplit(' ', 1)[1]
                for line in page.splitlines()
                if line.startswith('fireflyhitch_requests_total')
            }
            assert counts == {'200': '2.0', '503': '1.0'}

        run_scenario(RequestHarness(), script)


class TestLeaving:
    def test_what_cannot_end_before_the_process_does_is_refused(self) -> None:
        # A daemon was told to stop, and the balancer still sends it a caller shortly
        # before its process ends. A stream begun now would be cut; the caller is told
        # at once that it was not run, and a short request is still served.
        async def script(scene: RequestHarness) -> None:
            server = await scene.add('a', answer())
            scene.shutdown_deadline = scene.clock.monotonic() + 1
            got = await scene.ask('/book/1', 'POST')
            assert got.status == 503
            assert got.headers['x-outcome'] == 'not-run'
            assert not server.seen
            assert (await scene.ask('/read/1')).status == 200

        routes = (replace(BOOK, timeout=5), replace(ROUTE, timeout=0.5))
        run_scenario(RequestHarness(make_catalog(routes=routes)), script)
