"""Random runs of the real router with its invariants on."""

import random
from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from fireflyhitch_model.backends import BackendServer, CacheEvent, LoadReport
from fireflyhitch_model.calls import Call
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.invariants import count_violations
from fireflyhitch_model.states import MachineClass, Outcome, Priority
from fireflyhitch_routing.choices import CallResult, ResultStatus
from fireflyhitch_routing.domains import DomainState
from fireflyhitch_routing.router import Router

NAMES = st.sampled_from(['s0', 's1', 's2', 's3', 's4'])
DOMAINS = ['d0', 'd1', 'd2']


class RouterMachine(RuleBasedStateMachine):
    """Calls, reports, notices and failures in any order."""

    @initialize(seed=st.integers(0, 9))
    def start(self, seed):
        self.violations = count_violations()
        self.clock = ManualClock()
        self.router = Router(self.clock, 'daemon-1', random.Random(seed))
        self.router.set_daemon_count(4)
        self.incarnations = dict.fromkeys(['s0', 's1', 's2', 's3', 's4'], 1)
        self.leaving = set()
        self.tickets = []
        self.sequence = 0
        self.list_servers(set())

    @rule(missing=st.sets(NAMES))
    def list_servers(self, missing):
        """The instance list may leave servers out, and have them again later."""
        self.router.update_servers(
            BackendServer(
                name,
                name,
                'm',
                'v1',
                DOMAINS[number % 3],
                '',
                MachineClass.RECLAIMABLE,
                1 + number,
                4,
                incarnation,
            )
            for number, (name, incarnation) in enumerate(self.incarnations.items())
            if name not in missing
        )
        self.listed = set(self.incarnations) - missing
        # The list no longer has it: a mark goes with the record.
        self.leaving -= missing

    @rule(name=NAMES)
    def restart(self, name):
        self.incarnations[name] += 1
        self.leaving.discard(name)
        self.list_servers(set(self.incarnations) - self.listed)

    @rule(name=NAMES)
    def leave(self, name):
        self.router.mark_leaving(name)
        if name in self.listed:
            self.leaving.add(name)

    @rule(domain=st.sampled_from(DOMAINS), state=st.sampled_from(DomainState))
    def mark(self, domain, state):
        self.router.mark_failure_domain(domain, state)

    @rule(
        excluded=st.frozensets(NAMES, max_size=4),
        priority=st.sampled_from(Priority),
        blocks=st.integers(0, 6),
        patience=st.floats(0, 30),
    )
    def call(self, excluded, priority, blocks, patience):
        now = self.clock.monotonic()
        call = Call(
            'r',
            f'c{blocks}',
            'm',
            'chat',
            priority,
            16 * blocks,
            50,
            tuple(range(blocks)),
            now,
            now + patience,
        )
        try:
            choice = self.router.choose(call, excluded=excluded)
        except RequestError as error:
            assert error.outcome is Outcome.NOT_RUN
            assert error.retry_after > timedelta()
            return
        name = choice.server.server_id
        assert name in self.listed - self.leaving - excluded
        assert choice.server.incarnation == self.incarnations[name]
        self.tickets.append(self.router.start(choice, call))

    @rule(number=st.integers(0, 99))
    def first_token(self, number):
        if self.tickets:
            self.router.first_token(self.tickets[number % len(self.tickets)])

    @rule(number=st.integers(0, 99), status=st.sampled_from(ResultStatus))
    def finish(self, number, status):
        if self.tickets:
            ticket = self.tickets.pop(number % len(self.tickets))
            self.router.finish(ticket, CallResult(status, 20, 0, 1))

    @rule(name=NAMES, running=st.integers(0, 30), age=st.floats(0, 10))
    def report(self, name, running, age):
        measured = self.clock.monotonic() - age
        self.router.record_load(LoadReport(name, running, 0, 0.5, measured))

    @rule(
        name=NAMES,
        lost=st.integers(0, 3),
        stored=st.sets(st.integers(0, 9)),
        removed=st.sets(st.integers(0, 9)),
        cleared=st.booleans(),
    )
    def cache_event(self, name, lost, stored, removed, cleared):
        self.sequence += 1 + lost
        self.router.record_cache_event(
            CacheEvent(name, self.sequence, tuple(stored), tuple(removed), cleared)
        )

    @rule(seconds=st.floats(0.001, 40))
    def wait(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))

    @invariant()
    def nothing_is_violated(self):
        assert count_violations() == getattr(self, 'violations', count_violations())


TestRouter = RouterMachine.TestCase
TestRouter.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=40, deadline=None
)
