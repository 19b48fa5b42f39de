"""Daemons, engines and callers of four failure domains in passed time."""

import random
from datetime import timedelta

from fireflyhitch_bench.fake_engines import FakeEngine
from fireflyhitch_bench.recovery_callers import Caller, CallerState
from fireflyhitch_bench.recovery_nodes import Node
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.ids import (
    AttemptId,
    BackendServerId,
    DaemonId,
    FailureDomainId,
    RequestId,
)
from fireflyhitch_model.peers import Daemon
from fireflyhitch_recovery.inflight import make_daemon_tag
from fireflyhitch_recovery.requests import Placement, TrackedRequest
from fireflyhitch_recovery.resume import ResumePlan
from fireflyhitch_standins.answers import write_token
from fireflyhitch_standins.peers import MemoryPeerNetwork

DOMAINS = tuple(map(FailureDomainId, ('gent', 'brugge', 'kortrijk', 'aalst')))
STEP = timedelta(milliseconds=50)
STEPS_BETWEEN_CHECKS = 20
SAME_LOSS_SECONDS = 1.0


class RecoveryWorld:
    """Some daemons and engines in each of four failure domains.

    :ivar restart_tokens: what starting each lost answer anew would compute.
    """

    def __init__(self, seed: int, daemons: int = 2, engines: int = 2) -> None:
        self.random = random.Random(seed)
        self.clock = ManualClock()
        self.network = MemoryPeerNetwork()
        self.engines = [
            FakeEngine(BackendServerId(f'{domain}-engine-{number}'), domain, self.clock)
            for domain in DOMAINS
            for number in range(engines)
        ]
        self.nodes: dict[DaemonId, Node] = {}
        self.callers: list[Caller] = []
        self.plans: list[ResumePlan] = []
        self.restart_tokens = 0
        self._attempts = 0
        self._steps = 0
        self._lost_at: dict[RequestId, float] = {}
        self._prompt_tokens = 0
        self._leaving_nodes: list[tuple[float, Node]] = []
        for domain in DOMAINS:
            for number in range(daemons):
                self.add_node(DaemonId(f'{domain}-{number}'), domain)

    def add_node(self, daemon_id: DaemonId, domain: FailureDomainId) -> Node:
        """Start a daemon."""
        node = Node(self, Daemon(daemon_id, domain, '', ''))
        self.nodes[daemon_id] = node
        return node

    def call(self) -> None:
        """Have a caller send a request through the balancer."""
        node = self.choose_entry()
        if node is None:
            return
        count = self.random.randint(20, 200)
        words = self.random.randint(50, 1500)
        prompt = ' '.join(f'w{self.random.randint(0, 999)}' for _ in range(words))
        tracked = node.accept(prompt, count)
        self._prompt_tokens += words
        prompt_hash = hash_text(prompt)
        expected = ''.join(write_token(prompt_hash, index) for index in range(count))
        self.callers.append(Caller(node, tracked, expected))

    def step(self) -> None:
        """Let one step of time pass for everybody."""
        self.clock.advance(STEP)
        self._end_what_leaves()
        for node in self.list_alive():
            node.step()
        for caller in self.callers:
            caller.step(self)
        self._steps += 1
        if self._steps % STEPS_BETWEEN_CHECKS == 0:
            self._check_peers()

    def run(self, duration: timedelta) -> None:
        """Let a duration pass."""
        ends = self.clock.monotonic() + duration.total_seconds()
        while self.clock.monotonic() < ends:
            self.step()

    def run_until_answered(self, patience: timedelta) -> None:
        """Let time pass until no caller waits any more."""
        for _ in range(patience // STEP):
            if not self.list_waiting():
                return
            self.step()

    def reclaim_domain(self, domain: FailureDomainId, notice: timedelta) -> None:
        """Give all daemons and engines of a failure domain one notice."""
        leaves_at = self.clock.monotonic() + notice.total_seconds()
        leaving_engines = [one for one in self.engines if one.domain == domain]
        for engine in leaving_engines:
            engine.leaves_at = leaves_at
        nodes = [
            node for node in self.list_alive() if node.daemon.failure_domain == domain
        ]
        for node in nodes:
            node.drain.start(notice)
            self._leaving_nodes.append((leaves_at, node))
        for leaving in nodes:
            left = leaves_at - self.clock.monotonic()
            leaving.leave(timedelta(seconds=left))

    def reclaim_daemon(self, node: Node, notice: timedelta) -> None:
        """Give one daemon a notice."""
        leaves_at = self.clock.monotonic() + notice.total_seconds()
        self._leaving_nodes.append((leaves_at, node))
        node.leave(notice)

    def reclaim_engine(self, engine: FakeEngine, notice: timedelta) -> None:
        """Give one engine a notice; daemons move what it cannot finish."""
        engine.leaves_at = self.clock.monotonic() + notice.total_seconds()

    def list_alive(self) -> list[Node]:
        """Return the daemons that run."""
        return [node for node in self.nodes.values() if not node.dead]

    def list_waiting(self) -> list[Caller]:
        """Return the callers without their whole answer."""
        return [one for one in self.callers if one.state is CallerState.WAITING]

    def choose_entry(self) -> Node | None:
        """Return a daemon as the balancer does: any that is ready."""
        ready = [node for node in self.list_alive() if node.drain.ready]
        return self.random.choice(ready) if ready else None

    def choose_engine(self, domain: FailureDomainId) -> FakeEngine:
        """Return an engine that stays, of the failure domain if it has one."""
        staying = [one for one in self.engines if one.alive and one.leaves_at is None]
        near = [engine for engine in staying if engine.domain == domain]
        return self.random.choice(near or staying)

    def find_engine(self, placement: Placement | None) -> FakeEngine | None:
        """Return the engine that a request was placed at."""
        if placement is None:
            return None
        found = [one for one in self.engines if one.server_id == placement.server_id]
        return found[0] if found else None

    def name_attempt(self) -> AttemptId:
        """Return an id for an engine's stream."""
        self._attempts += 1
        return AttemptId(f'attempt-{self._attempts}')

    def name_request(self, daemon_id: DaemonId) -> RequestId:
        """Return a request id that is the same in each run of a seed."""
        return RequestId(f'{make_daemon_tag(daemon_id)}-{len(self.callers)}')

    def note_loss(self, tracked: TrackedRequest, generated: int) -> None:
        """Count what starting this answer anew would compute, once a loss."""
        request_id = tracked.accepted.call.request_id
        now = self.clock.monotonic()
        if now - self._lost_at.get(request_id, -SAME_LOSS_SECONDS) < SAME_LOSS_SECONDS:
            return
        self._lost_at[request_id] = now
        self.restart_tokens += tracked.accepted.call.prompt_tokens + generated

    def count_recomputed(self) -> int:
        """Return how many prompt tokens the engines computed more than once."""
        computed = sum(engine.prefilled.total() for engine in self.engines)
        return computed - self._prompt_tokens

    def _end_what_leaves(self) -> None:
        now = self.clock.monotonic()
        for leaves_at, node in tuple(self._leaving_nodes):
            if leaves_at <= now:
                self._leaving_nodes.remove((leaves_at, node))
                node.die()
        for engine in self.engines:
            if engine.leaves_at is not None and engine.leaves_at <= now:
                engine.alive = False

    def _check_peers(self) -> None:
        for node in self.list_alive():
            node.hand_over.handover_receiver.check_senders()
            node.hand_over.check_peers()
