"""A state machine of three ledgers, with faults between and during steps."""

from collections import Counter
from datetime import timedelta

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from fireflyhitch_ledger.messages import CommitRequest
from fireflyhitch_ledger.operations import Answer
from fireflyhitch_ledger.results import Claimed, Stored
from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.invariants import count_violations
from fireflyhitch_model.states import Outcome
from fireflyhitch_standins.faults import Fault

FAULTS = (Fault.REFUSED, Fault.LOST_REQUEST, Fault.LOST_ANSWER)
KEYS = ('k1', 'k2')


class LedgerMachine(RuleBasedStateMachine):
    """Daemons claim, send, pause, crash and lose links, in any order."""

    def __init__(self, make_cluster):
        super().__init__()
        self.cluster = make_cluster(shards=2)
        self.violations = count_violations()
        self.claimed = []
        self.sent = []
        self.runs = Counter()
        self.messages = []
        for name, messenger in self.cluster.network.messengers.items():
            self.record_messages(name, messenger)

    def record_messages(self, name, messenger):
        handler = messenger._handlers[CommitRequest.kind]

        def take(sender, message):
            self.messages.append((name, sender, message))
            return handler(sender, message)

        messenger.handle(CommitRequest, take)

    @rule(
        daemon=st.integers(0, 2),
        key=st.sampled_from(KEYS),
        then=st.sampled_from(('hold', 'send', 'send', 'answer')),
    )
    def claim(self, daemon, key, then):
        name = self.cluster.names[daemon]
        self.claim_body(name, key, 'body')
        if then != 'hold' and self.claimed:
            self.send(-1, refuses=False)
        if then == 'answer' and self.sent:
            self.record(-1, lost=False)

    @rule(daemon=st.integers(0, 2), key=st.sampled_from(KEYS))
    def claim_with_another_body(self, daemon, key):
        self.claim_body(self.cluster.names[daemon], key, 'other_body')

    def claim_body(self, name, key, body):
        try:
            result = self.cluster.claim(
                name, self.cluster.key(key), getattr(self.cluster, body)
            )
        except RequestError as error:
            assert error.outcome is Outcome.NOT_RUN
            return
        if isinstance(result, Claimed):
            assert not self.runs[key], 'claimed although it ran'
            self.claimed.append((name, key, result.attempt))
        if isinstance(result, Stored):
            assert self.runs[key], 'has an answer although it did not run'

    @precondition(lambda machine: machine.claimed)
    @rule(pick=st.integers(0, 99), refuses=st.booleans())
    def send(self, pick, refuses):
        name, key, attempt = self.claimed.pop(pick % len(self.claimed))
        try:
            self.cluster.ledgers[name].mark_sent(attempt)
        except RequestError as error:
            assert error.outcome is Outcome.NOT_RUN
            return
        self.runs[key] += not refuses
        self.sent.append((name, key, attempt, refuses))

    @precondition(lambda machine: machine.sent)
    @rule(pick=st.integers(0, 99), lost=st.booleans())
    def record(self, pick, lost):
        name, _, attempt, refused = self.sent.pop(pick % len(self.sent))
        ledger = self.cluster.ledgers[name]
        if lost:
            ledger.record_unknown(attempt)
        elif refused:
            ledger.record_not_run(attempt, refused=True)
        else:
            ledger.record_ran(attempt, Answer(status=200))

    @precondition(lambda machine: machine.claimed)
    @rule()
    def give_up_unsent(self):
        name, _, attempt = self.claimed.pop()
        self.cluster.ledgers[name].record_not_run(attempt)

    @rule(daemon=st.integers(0, 2))
    def crash(self, daemon):
        name = self.cluster.names[daemon]
        self.cluster.restart(name)
        self.record_messages(name, self.cluster.network.messengers[name])
        self.claimed = [one for one in self.claimed if one[0] != name]
        self.sent = [one for one in self.sent if one[0] != name]

    @rule(seconds=st.sampled_from((1, 6, 45)))
    def pause(self, seconds):
        self.cluster.clock.advance(timedelta(seconds=seconds))

    @rule(
        operation=st.sampled_from(('put_if', 'get')),
        faults=st.lists(st.sampled_from(FAULTS), min_size=1, max_size=3),
    )
    def break_store(self, operation, faults):
        self.cluster.store.faults.queue(operation, *faults)

    @rule(one=st.integers(0, 2), other=st.integers(0, 2))
    def cut_link(self, one, other):
        self.cluster.network.disconnect(
            self.cluster.names[one], self.cluster.names[other]
        )

    @rule()
    def heal(self):
        self.cluster.network.cut.clear()
        self.cluster.store.faults.clear_all()
        for ledger in self.cluster.ledgers.values():
            ledger.settle()

    @precondition(lambda machine: machine.messages)
    @rule(pick=st.integers(0, 99))
    def repeat_message(self, pick):
        name, sender, message = self.messages[pick % len(self.messages)]
        self.cluster.network.messengers[name].receive(sender, message)

    @invariant()
    def no_call_runs_twice(self):
        assert all(times <= 1 for times in self.runs.values())

    @invariant()
    def no_internal_invariant_is_violated(self):
        assert count_violations() == self.violations


class TestLedgerMachine:
    """Random but reproducible runs of the machine."""

    def test_no_call_runs_twice(self, make_cluster):
        bounds = settings(
            max_examples=250, stateful_step_count=40, derandomize=True, deadline=None
        )
        run_state_machine_as_test(lambda: LedgerMachine(make_cluster), settings=bounds)

    def test_machine_detects_a_second_run(self, make_cluster):
        machine = LedgerMachine(make_cluster)
        machine.runs['k1'] = 2
        with pytest.raises(AssertionError):
            machine.no_call_runs_twice()
