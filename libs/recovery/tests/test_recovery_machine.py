"""A state machine of daemons that hand over, crash and lose links at any time."""

from datetime import timedelta

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.invariants import count_violations
from fireflyhitch_recovery.answers import AnswerReader, LogState
from fireflyhitch_recovery.events import START

NAMES = ('a1', 'a2', 'b1', 'c1')
PICK = st.integers(0, 99)


class MachineCaller:
    """Reads one answer and checks that it never mixes two continuations."""

    def __init__(self, tracked):
        self.request_id = tracked.accepted.call.request_id
        self.reader = AnswerReader(tracked.log, START)
        self.log = tracked.log
        self.received = ()
        self.diverged = False

    def reconnect(self, cluster, entry):
        location = entry.hand_over.locations.find(self.request_id)
        holder = cluster.nodes.get(location.daemon_id) if location else None
        tracked = holder.in_flight.find(self.request_id) if holder else None
        if tracked is not None and tracked.log.state is not LogState.MOVED:
            self.log = tracked.log
            self.reader = AnswerReader(tracked.log, self.reader.last)

    def read(self, cluster):
        if self.diverged:
            return
        try:
            part = self.reader.read(cluster.clock, timedelta())
        except RequestError as error:
            assert error.code == 'answer_diverged'
            self.diverged = True
            return
        self.received += part.events
        whole = self.log.read_after(0).events
        shared = min(len(self.received), len(whole))
        assert self.received[:shared] == whole[:shared], 'mixed answers'


class RecoveryMachine(RuleBasedStateMachine):
    """Each continuation generates different events, so that a mix is detected."""

    def __init__(self, make_cluster):
        super().__init__()
        self.cluster = make_cluster(batch_requests=2)
        self.violations = count_violations()
        self.streams = {}
        self.callers = []
        self.event_count = 0
        for messenger in self.cluster.network.messengers.values():
            messenger.ask = self.interleave_generation(messenger.ask)

    def interleave_generation(self, ask):
        def ask_interleaved(peer, message, timeout):
            self.generate()
            try:
                return ask(peer, message, timeout)
            finally:
                self.generate()

        return ask_interleaved

    def pick(self, number):
        return list(self.cluster.nodes.values())[number % len(self.cluster.nodes)]

    def resume_taken_over(self):
        for node in self.cluster.nodes.values():
            while node.taken_over:
                tracked = node.taken_over.pop()
                stream_key = (node.name, tracked.accepted.call.request_id)
                self.streams[stream_key] = tracked.log.open_attempt()

    @rule(number=PICK)
    def accept(self, number):
        node = self.pick(number)
        tracked = self.cluster.accept(node.name, events=())
        caller = MachineCaller(tracked)
        self.streams[(node.name, caller.request_id)] = tracked.log.current()
        self.callers.append(caller)

    @rule()
    def generate(self):
        for stream in self.streams.values():
            self.event_count += 1
            if stream is not None:
                stream.append(b'%d' % self.event_count)
        for caller in self.callers:
            caller.read(self.cluster)

    @rule(number=PICK)
    def hand_over_all(self, number):
        self.accept(number)
        node = self.pick(number)
        node.move(*node.in_flight.list())
        self.resume_taken_over()

    @rule(number=PICK)
    def push_replicas(self, number):
        node = self.pick(number)
        node.hand_over.replicate(
            [one.accepted.call.request_id for one in node.in_flight.list()]
        )

    @precondition(lambda machine: len(machine.cluster.nodes) > 2)
    @rule(number=PICK)
    def kill(self, number):
        name = self.pick(number).name
        self.cluster.kill(name)
        self.streams = {
            stream_key: stream
            for stream_key, stream in self.streams.items()
            if stream_key[0] != name
        }

    @rule(one=st.sampled_from(NAMES), other=st.sampled_from(NAMES), both=st.booleans())
    def cut(self, one, other, both):
        if one != other:
            self.cluster.network.cut.add((one, other))
            if both:
                self.cluster.network.disconnect(one, other)

    @rule()
    def heal(self):
        self.cluster.network.cut.clear()

    @rule(seconds=st.sampled_from((1, 3)), number=PICK)
    def pass_time(self, seconds, number):
        self.cluster.advance(seconds)
        for node in list(self.cluster.nodes.values()):
            node.check()
        self.resume_taken_over()
        self.reconnect(number)

    @rule(number=PICK)
    def reconnect(self, number):
        for caller in self.callers:
            caller.reconnect(self.cluster, self.pick(number))
        self.generate()

    @invariant()
    def no_internal_invariant_is_violated(self):
        assert count_violations() == self.violations


class TestRecoveryMachine:
    """Random but reproducible runs of the machine."""

    def test_answers_are_never_mixed(self, make_cluster):
        # No shrinking: it takes minutes here and delays the failure report.
        bounds = settings(
            max_examples=100,
            stateful_step_count=30,
            derandomize=True,
            deadline=None,
            phases=[Phase.generate],
        )
        run_state_machine_as_test(
            lambda: RecoveryMachine(make_cluster), settings=bounds
        )
