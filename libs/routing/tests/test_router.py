"""Tests of the router under faults, by their effect on callers."""

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


class Harness:
    """A router with a manual clock, and helpers that make calls."""

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
        """Run calls one after the other and return their servers."""
        chosen = []
        for _ in range(count):
            call = self.make_call()
            choice = self.router.choose(call, **restrictions)
            ticket = self.router.start(choice, call)
            self.router.finish(ticket, outcome)
            chosen.append(choice.server.server_id)
        return chosen

    def fill(self, count, **changes):
        """Start calls that do not end, and return their failure domains."""
        chosen = []
        for _ in range(count):
            call = self.make_call(**changes)
            choice = self.router.choose(call)
            self.router.start(choice, call)
            chosen.append(choice.server.failure_domain)
        return chosen


@pytest.fixture
def harness():
    return Harness()


class TestRestrictions:
    """Versions, servers and failure domains that must not be used."""

    def test_uses_only_allowed_versions_and_servers(self, harness):
        assert harness.choose(servers=frozenset(('c1',))).server.server_id == 'c1'
        assert harness.choose(excluded=frozenset(('a1',))).server.server_id != 'a1'
        with pytest.raises(RequestError) as caught:
            harness.choose(versions=frozenset(('v2',)))
        assert caught.value.outcome is Outcome.NOT_RUN
        assert caught.value.retry_after >= timedelta(seconds=1)

    def test_leaving_server_gets_no_calls_until_its_next_incarnation(self, harness):
        """The instance list lags and still reports a leaving server as live.

        If the list removed the mark, calls would go to a server that is cut off a
        moment later. Only a new incarnation is a different server.
        """
        harness.router.mark_leaving('a1')
        harness.router.update_servers(SERVERS)
        assert 'a1' not in harness.run(SUCCEEDED, 20)
        harness.router.update_servers([make_server('a1', 'a', 0.3, 2), *SERVERS[1:]])
        harness.sleep(60)
        assert 'a1' in harness.run(SUCCEEDED, 20)

    def test_cut_off_failure_domain_resumes_with_a_slow_start(self, harness):
        """The cheapest failure domain is cut off and becomes reachable again.

        No call goes there after it is cut off. Afterwards every daemon would send all
        its calls there at once; the slow start admits a few at a time.
        """
        harness.router.mark_failure_domain('a', DomainState.CUT_OFF)
        assert not {'a1', 'a2'} & set(harness.run(SUCCEEDED, 20))
        harness.router.mark_failure_domain('a', DomainState.REACHABLE)
        chosen = harness.fill(12)
        assert chosen.count('a') <= 2
        harness.sleep(60)
        assert 'a' in harness.fill(12)

    def test_uses_a_server_when_all_domains_are_cut_off(self, harness):
        for domain in ('a', 'b', 'c'):
            harness.router.mark_failure_domain(domain, DomainState.CUT_OFF)
        assert harness.choose()


class TestEjection:
    """Failing servers are ejected for some time, but never all of them."""

    def test_refusing_server_is_ejected_and_tried_again(self, harness):
        assert harness.run(REFUSED, 2) == ['a1', 'a1']
        assert 'a1' not in harness.run(SUCCEEDED, 20)
        harness.sleep(60)
        assert 'a1' in harness.run(SUCCEEDED, 20)

    def test_half_of_the_servers_stay_in_use_if_all_fail(self, harness):
        """A caller's bad requests make every server fail, one after the other.

        If all servers were ejected, all customers would be refused because of one. The
        half whose ejection ends first stays in use.
        """
        harness.run(REFUSED, 60)
        calls = [harness.make_call() for _ in range(SERVERS[0].capacity * 2)]
        used = set()
        for call in calls:
            choice = harness.router.choose(call)
            harness.router.start(choice, call)
            used.add(choice.server.server_id)
        assert len(used) >= len(SERVERS) / 2
        assert harness.run(SUCCEEDED, 10)

    def test_lost_failure_domain_is_ejected_after_a_few_failures(self, harness):
        """A failure domain is lost without notice; connections to it fail.

        After the first failures on two of its servers the others there are ejected too,
        so callers see at most a few failed attempts, and none two seconds later.
        """
        servers = [make_server(f'a{number}', 'a', 0.3) for number in range(4)]
        harness.router.update_servers([*servers, make_server('b1', 'b', 1.0)])
        harness.sleep(60)
        failed = 0
        for _ in range(30):
            call = harness.make_call()
            choice = harness.router.choose(call)
            lost = choice.server.failure_domain == 'a'
            failed += lost
            ticket = harness.router.start(choice, call)
            harness.router.finish(ticket, REFUSED if lost else SUCCEEDED)
            harness.sleep(0.1)
        assert failed <= 4

    def test_cancelled_calls_do_not_count_against_the_server(self, harness):
        chosen = harness.run(CallResult(ResultStatus.CANCELLED), 20)
        assert set(chosen) == {'a1'}


class TestOverload:
    """Early refusals with a time after which to retry."""

    def test_call_that_cannot_meet_its_deadline_is_refused_at_once(self, harness):
        harness.fill(64)
        with pytest.raises(RequestError) as caught:
            harness.router.choose(
                harness.make_call(deadline=harness.clock.monotonic() + 0.01)
            )
        assert caught.value.code == 'deadline_too_short'
        assert caught.value.retry_after >= timedelta(seconds=1)

    def test_lasting_overload_refuses_low_priority_first(self, harness):
        """Calls arrive faster than they complete, for longer than a burst.

        The queue grows until calls are refused: first batch calls, then normal ones,
        while urgent ones are still accepted.
        """
        first_refused = {}
        for _ in range(120):
            for priority in Priority:
                call = harness.make_call(priority=priority, customer=str(priority))
                try:
                    choice = harness.router.choose(call)
                except RequestError as error:
                    assert error.status == 503
                    first_refused.setdefault(priority, harness.number)
                    continue
                harness.router.start(choice, call)
            harness.sleep(0.1)
        order = sorted(first_refused, key=first_refused.get)
        assert order == [Priority.BATCH, Priority.NORMAL, Priority.URGENT]

    def test_call_within_the_target_is_not_refused_at_moderate_load(self, harness):
        """A large customer sends batch calls at half of the load.

        Without a minimum, the limit for low priority times the factor of a customer above
        its fair share is half of the target, and calls within the target were refused.
        """
        harness.fill(4, customer='small')
        for _ in range(60):
            urgent = harness.make_call(priority=Priority.URGENT)
            if harness.router.choose(urgent).reason is Reason.FASTEST:
                break
            batch = harness.make_call(customer='large', priority=Priority.BATCH)
            harness.router.start(harness.router.choose(batch), batch)
        assert harness.number > 50

    def test_burst_of_one_customer_is_refused_before_others(self, harness):
        """A large customer sends far more calls than all servers can serve.

        Its calls above its fair share are refused while a small customer's are accepted.
        """
        refused = []
        for number in range(300):
            small = number % 10 == 0
            call = harness.make_call(customer='small' if small else 'large')
            try:
                harness.router.start(harness.router.choose(call), call)
            except RequestError:
                refused.append(call.customer)
            harness.sleep(0.02)
            if refused:
                break
        assert refused == ['large']


class TestThreads:
    """Concurrent calls from many threads, as in the daemon."""

    def test_counts_balance_after_concurrent_calls(self, harness):
        with ThreadPoolExecutor(8) as pool:
            chosen = list(pool.map(lambda _: harness.run(SUCCEEDED, 50), range(16)))
        assert sum(map(len, chosen)) == 800
        # Nothing is left in flight: the cheapest server is as idle as at the start.
        harness.sleep(60)
        assert harness.choose().server.server_id == 'a1'
        assert harness.choose().first_token_seconds < 0.2


class TestSlowUnderLoad:
    """A server that becomes slow only under load."""

    def test_slow_server_gets_only_the_calls_that_it_serves_in_time(self):
        """The cheapest server becomes six times slower above four calls.

        Its first calls are fast, so a plain average would send it more until all are
        late. The learned curve shows at which load it misses its target.
        """
        engines = {name: Engine(name) for name in ('a1', 'b1')}
        engines['a1'].faults = EngineFaults(slowness=6, slow_above=4)
        harness = Harness([make_server('a1', 'a', 0.3), make_server('b1', 'b', 0.6)])
        peaks = run_engines(harness, engines, seconds=90, calls_a_second=3)
        late = [peak for peak in peaks if peak > 6]
        assert len(late) < len(peaks) / 10


def run_engines(harness, engines, seconds, calls_a_second):
    """Run calls on engines; return the cheap server's calls in flight over time."""
    started = harness.clock.monotonic()
    tickets = {}
    peaks = []
    for step in range(int(seconds * 10)):
        at = started + step / 10
        harness.sleep(at - harness.clock.monotonic())
        for engine in engines.values():
            for event in engine.advance(at):
                ticket = tickets.get(event.attempt)
                if isinstance(event, EndEvent):
                    outcome = CallResult(ResultStatus.SUCCEEDED, event.generated)
                    harness.router.finish(tickets.pop(event.attempt), outcome)
                elif event.index == 0:
                    harness.router.first_token(ticket)
        if step % int(10 / calls_a_second) == 0:
            call = harness.make_call(customer=str(step))
            choice = harness.router.choose(call)
            tickets[call.request_id] = harness.router.start(choice, call)
            work = EngineCall(call.request_id, 100, 60)
            engines[choice.server.server_id].submit(work, at)
        if step > seconds * 5:
            peaks.append(engines['a1'].running)
    return peaks


class TestLaggingList:
    """The instance list drops a server that still runs."""

    def test_earlier_calls_still_count_when_the_server_is_listed_again(self):
        """A call is in flight while the list drops its server and lists it again.

        When the call ends, it is subtracted from the record that counted it. A new
        record's count would have become negative and failed the call.
        """
        harness = Harness(SERVERS[:1])
        call = harness.make_call()
        choice = harness.router.choose(call)
        ticket = harness.router.start(choice, call)
        harness.router.update_servers(())
        harness.router.update_servers(SERVERS[:1])
        harness.router.finish(ticket, SUCCEEDED)
        again = harness.router.start(harness.router.choose(call), call)
        assert again.in_flight == 0

    def test_leaving_server_that_is_listed_again_gets_no_calls(self):
        """A server marked as leaving disappears from the list and is listed again.

        The list lags; the mark stays for the server's incarnation, so calls are refused
        rather than sent to a server that is about to stop.
        """
        harness = Harness(SERVERS[:1])
        harness.router.mark_leaving('a1')
        harness.router.update_servers(())
        harness.router.update_servers(SERVERS[:1])
        with pytest.raises(RequestError):
            harness.router.choose(harness.make_call())
