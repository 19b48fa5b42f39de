"""Tests of the router under faults: each tells what callers see."""

import random
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

import pytest

from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.calls import Call
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.states import MachineClass, Outcome, Priority
from fireflyhitch_routing.choices import CallResult, Reason, ResultStatus
from fireflyhitch_routing.domains import DomainState
from fireflyhitch_routing.router import Router
from fireflyhitch_standins.engine import Engine
from fireflyhitch_standins.engine_messages import EndEvent, EngineCall, EngineFaults

SUCCEEDED = CallResult(ResultStatus.SUCCEEDED, 50)
REFUSED = CallResult(ResultStatus.REFUSED)


def make_server(name, domain='d1', price=1.0, incarnation=1):
    return BackendServer(
        name,
        name,
        'm',
        'v1',
        domain,
        '',
        MachineClass.RECLAIMABLE,
        price,
        16,
        incarnation,
    )


SERVERS = [
    make_server('a1', 'a', 0.3),
    make_server('a2', 'a', 0.4),
    make_server('b1', 'b', 0.5),
    make_server('c1', 'c', 0.6),
]


class Bench:
    """A router with its clock, and calls to give it."""

    def __init__(self, servers=SERVERS):
        self.clock = ManualClock()
        self.router = Router(self.clock, 'daemon-1', random.Random(1))
        self.router.update_servers(servers)
        self.number = 0
        self.sleep(60)

    def sleep(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))

    def make_call(self, customer='c1', priority=Priority.NORMAL, **changes):
        self.number += 1
        now = self.clock.monotonic()
        values = {
            'prompt_tokens': 100,
            'max_tokens': 100,
            'prefix_blocks': (),
            'arrived': now,
            'deadline': now + 30,
        }
        return Call(
            str(self.number), customer, 'm', 'chat', priority, **(values | changes)
        )

    def choose(self, **restrictions):
        return self.router.choose(self.make_call(), **restrictions)

    def run(self, outcome, count=1, **restrictions):
        """Run calls one after the other and return where they went."""
        places = []
        for _ in range(count):
            call = self.make_call()
            choice = self.router.choose(call, **restrictions)
            ticket = self.router.start(choice, call)
            self.router.finish(ticket, outcome)
            places.append(choice.server.server_id)
        return places

    def fill(self, count, **changes):
        """Start calls that stay, and return their failure domains."""
        places = []
        for _ in range(count):
            call = self.make_call(**changes)
            choice = self.router.choose(call)
            self.router.start(choice, call)
            places.append(choice.server.failure_domain)
        return places


@pytest.fixture
def bench():
    return Bench()


class TestRestrictions:
    """Versions, servers and failure domains that are out of the question."""

    def test_only_allowed_versions_servers_and_not_excluded_ones(self, bench):
        assert bench.choose(servers=frozenset(('c1',))).server.server_id == 'c1'
        assert bench.choose(excluded=frozenset(('a1',))).server.server_id != 'a1'
        with pytest.raises(RequestError) as caught:
            bench.choose(versions=frozenset(('v2',)))
        assert caught.value.outcome is Outcome.NOT_RUN
        assert caught.value.retry_after >= timedelta(seconds=1)

    def test_leaving_server_stays_out_until_it_is_a_new_incarnation(self, bench):
        """The instance list lags and goes on to call a leaving server live.

        Were the mark undone by the list, callers' work would go to a server that
        is cut off a moment later. Only a new incarnation is another server.
        """
        bench.router.mark_leaving('a1')
        bench.router.update_servers(SERVERS)
        assert 'a1' not in bench.run(SUCCEEDED, 20)
        bench.router.update_servers([make_server('a1', 'a', 0.3, 2), *SERVERS[1:]])
        bench.sleep(60)
        assert 'a1' in bench.run(SUCCEEDED, 20)

    def test_cut_off_failure_domain_is_left_at_once_and_returned_to_slowly(self, bench):
        """The cheapest failure domain is cut off, and comes back.

        It is left with the next call. On return every daemon would send all its
        calls there at once; the slow start lets in a few at a time.
        """
        bench.router.mark_failure_domain('a', DomainState.CUT_OFF)
        assert not {'a1', 'a2'} & set(bench.run(SUCCEEDED, 20))
        bench.router.mark_failure_domain('a', DomainState.REACHABLE)
        places = bench.fill(12)
        assert places.count('a') <= 2
        bench.sleep(60)
        assert 'a' in bench.fill(12)

    def test_cut_off_everywhere_still_tries(self, bench):
        for domain in ('a', 'b', 'c'):
            bench.router.mark_failure_domain(domain, DomainState.CUT_OFF)
        assert bench.choose()


class TestEjection:
    """Servers that fail are left alone for a while, but never all of them."""

    def test_refusing_server_is_left_and_tried_again(self, bench):
        assert bench.run(REFUSED, 2) == ['a1', 'a1']
        assert 'a1' not in bench.run(SUCCEEDED, 20)
        bench.sleep(60)
        assert 'a1' in bench.run(SUCCEEDED, 20)

    def test_all_servers_failing_leaves_half_in_use(self, bench):
        """A caller's bad requests make every server fail, one after the other.

        Were all of them ejected, every customer would be refused for a fault of
        one. The half whose ejection ends first stays in use.
        """
        places = bench.run(REFUSED, 60)
        assert len(set(places[-20:])) >= 1
        assert bench.run(SUCCEEDED, 10)

    def test_wave_takes_a_failure_domain(self, bench):
        """A failure domain goes without notice; connections to it fail.

        The first failures on two of its servers are enough to leave the others
        there too, so callers meet at most a few failed attempts and none of them
        two seconds later.
        """
        servers = [make_server(f'a{number}', 'a', 0.3) for number in range(4)]
        bench.router.update_servers([*servers, make_server('b1', 'b', 1.0)])
        bench.sleep(60)
        failed = 0
        for _ in range(30):
            call = bench.make_call()
            choice = bench.router.choose(call)
            gone = choice.server.failure_domain == 'a'
            failed += gone
            ticket = bench.router.start(choice, call)
            bench.router.finish(ticket, REFUSED if gone else SUCCEEDED)
            bench.sleep(0.1)
        assert failed <= 4

    def test_cancelled_calls_say_nothing_of_the_server(self, bench):
        places = bench.run(CallResult(ResultStatus.CANCELLED), 20)
        assert set(places) == {'a1'}


class TestOverload:
    """Refusals, early and with a time to come back."""

    def test_call_that_cannot_meet_its_deadline_is_refused_at_once(self, bench):
        bench.fill(64)
        with pytest.raises(RequestError) as caught:
            bench.router.choose(
                bench.make_call(deadline=bench.clock.monotonic() + 0.01)
            )
        assert caught.value.code == 'deadline_too_short'
        assert caught.value.retry_after >= timedelta(seconds=1)

    def test_standing_overload_refuses_low_priority_first(self, bench):
        """Work arrives faster than it ends, for longer than a burst.

        The queue grows until somebody is refused: first batch calls, then normal
        ones, while urgent ones still get through.
        """
        first_refused = {}
        for _ in range(120):
            for priority in Priority:
                call = bench.make_call(priority=priority, customer=str(priority))
                try:
                    choice = bench.router.choose(call)
                except RequestError as error:
                    assert error.status == 503
                    first_refused.setdefault(priority, bench.number)
                    continue
                bench.router.start(choice, call)
            bench.sleep(0.1)
        order = sorted(first_refused, key=first_refused.get)
        assert order == [Priority.BATCH, Priority.NORMAL, Priority.URGENT]

    def test_call_within_the_target_is_not_refused_in_calm(self, bench):
        """A large customer's batch calls at half of the load.

        The limits of low priority and of a customer above its part multiplied to
        half of the target, and calls that would have been in time were refused.
        """
        bench.fill(4, customer='small')
        for _ in range(60):
            urgent = bench.make_call(priority=Priority.URGENT)
            if bench.router.choose(urgent).reason is Reason.FASTEST:
                break
            batch = bench.make_call(customer='large', priority=Priority.BATCH)
            bench.router.start(bench.router.choose(batch), batch)
        assert bench.number > 50

    def test_burst_of_one_customer_is_refused_before_others(self, bench):
        """A large customer sends far more than all servers can take.

        Its calls beyond its part are refused while a small customer's go on.
        """
        refused = []
        for number in range(300):
            small = number % 10 == 0
            call = bench.make_call(customer='small' if small else 'large')
            try:
                bench.router.start(bench.router.choose(call), call)
            except RequestError:
                refused.append(call.customer)
            bench.sleep(0.02)
            if refused:
                break
        assert refused == ['large']


class TestThreads:
    """Calls from many threads at once, as the daemon makes them."""

    def test_counts_balance_after_concurrent_calls(self, bench):
        with ThreadPoolExecutor(8) as pool:
            places = list(pool.map(lambda _: bench.run(SUCCEEDED, 50), range(16)))
        assert sum(map(len, places)) == 800
        # Nothing is left in flight: the cheapest is as free as at the start.
        bench.sleep(60)
        assert bench.choose().server.server_id == 'a1'
        assert bench.choose().first_token_seconds < 0.2


class TestSlowUnderLoad:
    """A server that is well until it has much to do."""

    def test_it_keeps_only_the_work_that_it_does_in_time(self):
        """The cheapest server grows six times slower above four calls.

        Its few calls look well, so an average sends it more until all are late.
        The learned curve tells at which load its target is missed.
        """
        engines = {name: Engine(name) for name in ('a1', 'b1')}
        engines['a1'].faults = EngineFaults(slowness=6, slow_above=4)
        bench = Bench([make_server('a1', 'a', 0.3), make_server('b1', 'b', 0.6)])
        peaks = run_engines(bench, engines, seconds=90, calls_a_second=3)
        late = [peak for peak in peaks if peak > 6]
        assert len(late) < len(peaks) / 10


def run_engines(bench, engines, seconds, calls_a_second):
    """Run calls through engines; return the cheap server's calls in flight."""
    started = bench.clock.monotonic()
    tickets = {}
    peaks = []
    for turn in range(int(seconds * 10)):
        at = started + turn / 10
        bench.sleep(at - bench.clock.monotonic())
        for engine in engines.values():
            for event in engine.advance(at):
                ticket = tickets.get(event.attempt)
                if isinstance(event, EndEvent):
                    outcome = CallResult(ResultStatus.SUCCEEDED, event.generated)
                    bench.router.finish(tickets.pop(event.attempt), outcome)
                elif event.index == 0:
                    bench.router.first_token(ticket)
        if turn % int(10 / calls_a_second) == 0:
            call = bench.make_call(customer=str(turn))
            choice = bench.router.choose(call)
            tickets[call.request_id] = bench.router.start(choice, call)
            work = EngineCall(call.request_id, 100, 60)
            engines[choice.server.server_id].submit(work, at)
        if turn > seconds * 5:
            peaks.append(engines['a1'].running)
    return peaks


class TestLaggingList:
    """The instance list drops a server that is still there."""

    def test_calls_of_before_still_count_when_the_server_is_back(self):
        """A call is under way when the list drops its server, then lists it again.

        The call ends after that. It is taken off where it was counted; a count
        that had started anew would have gone below zero and stopped the call.
        """
        bench = Bench(SERVERS[:1])
        call = bench.make_call()
        choice = bench.router.choose(call)
        ticket = bench.router.start(choice, call)
        bench.router.update_servers(())
        bench.router.update_servers(SERVERS[:1])
        bench.router.finish(ticket, SUCCEEDED)
        again = bench.router.start(bench.router.choose(call), call)
        assert again.in_flight == 0

    def test_leaving_server_that_is_listed_again_gets_no_work(self):
        """A server is marked as leaving, drops out of the list and is back in it.

        The list lags; the mark holds for the server's incarnation, so callers
        are refused rather than sent to a server that is about to go.
        """
        bench = Bench(SERVERS[:1])
        bench.router.mark_leaving('a1')
        bench.router.update_servers(())
        bench.router.update_servers(SERVERS[:1])
        with pytest.raises(RequestError):
            bench.router.choose(bench.make_call())
