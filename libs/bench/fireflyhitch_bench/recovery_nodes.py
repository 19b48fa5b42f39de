"""Daemons in passed time around the real recovery code."""

import json
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import TYPE_CHECKING

from fireflyhitch_bench.fake_engines import FakeEngine
from fireflyhitch_model.calls import Call
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.ids import (
    AttemptId,
    CustomerId,
    DaemonId,
    DeploymentId,
    RequestId,
)
from fireflyhitch_model.peers import Daemon, PeerMessage
from fireflyhitch_model.states import Priority
from fireflyhitch_recovery.answers import AnswerEnd, AttemptStream, LogState
from fireflyhitch_recovery.continuation import (
    build_continuation,
    count_remaining_tokens,
    is_continuable,
    parse_generated_text,
)
from fireflyhitch_recovery.drain import Drain
from fireflyhitch_recovery.handover import HandOver
from fireflyhitch_recovery.inflight import InFlight
from fireflyhitch_recovery.reclaim import RequestProgress, plan_reclaim
from fireflyhitch_recovery.requests import (
    AcceptedRequest,
    CompletionKind,
    Placement,
    TrackedRequest,
)
from fireflyhitch_recovery.resume import (
    ResumeContext,
    ResumeKind,
    plan_resume,
)
from fireflyhitch_standins.answers import count_tokens
from fireflyhitch_standins.peers import MemoryPeerMessenger, MemoryPeerNetwork

if TYPE_CHECKING:
    from fireflyhitch_bench.recovery_world import RecoveryWorld

CUSTOMER = CustomerId('customer')
DEPLOYMENT = DeploymentId('model')
MAX_STREAMS = 250
ONE_WAY = timedelta(milliseconds=1.3)
TOKEN_TIME = timedelta(milliseconds=50)
ANSWER_SECONDS = 120.0


class DelayedMessenger(MemoryPeerMessenger):
    """A messenger whose asks take their time on the passed clock."""

    def __init__(
        self, daemon: Daemon, network: MemoryPeerNetwork, clock: ManualClock
    ) -> None:
        super().__init__(daemon, network)
        self._clock = clock

    def ask(
        self, peer: DaemonId, message: PeerMessage, timeout: timedelta
    ) -> PeerMessage:
        """Send and return the answer, after the way there and back."""
        here = self.daemon.daemon_id
        reaches = self._network.reaches(here, peer)
        self._clock.advance(2 * ONE_WAY if reaches else timeout)
        return super().ask(peer, message, timeout)


@dataclass(slots=True)
class _Relay:
    """A request that a node relays, and how much of its stream it has read."""

    tracked: TrackedRequest
    stream: AttemptStream
    engine: FakeEngine
    attempt: AttemptId
    read: int
    stays: bool = False


class Node:
    """A daemon: it relays streams, resumes them and hands them over."""

    def __init__(self, world: 'RecoveryWorld', daemon: Daemon) -> None:
        self.daemon = daemon
        self.dead = False
        self.drain = Drain(world.clock)
        self.in_flight = InFlight(daemon.daemon_id, world.clock)
        messenger = DelayedMessenger(daemon, world.network, world.clock)
        world.network.messengers[daemon.daemon_id] = messenger
        self.hand_over = HandOver(
            daemon,
            messenger,
            world.clock,
            self.in_flight,
            self._take_over,
            self._read_room,
        )
        self._world = world
        self._relays: dict[RequestId, _Relay] = {}
        self._adopted: list[TrackedRequest] = []

    @property
    def daemon_id(self) -> DaemonId:
        """The daemon's id."""
        return self.daemon.daemon_id

    def accept(self, prompt: str, max_tokens: int) -> TrackedRequest:
        """Accept a request and start its stream."""
        clock = self._world.clock
        now = clock.monotonic()
        request_id = self._world.name_request(self.daemon_id)
        call = Call(
            request_id,
            CUSTOMER,
            DEPLOYMENT,
            'completions',
            Priority(hash_text(request_id) % len(Priority)),
            count_tokens(prompt),
            max_tokens,
            (),
            now,
            now + ANSWER_SECONDS,
        )
        body = json.dumps({'prompt': prompt, 'max_tokens': max_tokens}).encode()
        tracked = self.in_flight.register(
            AcceptedRequest(call, CompletionKind.TEXT, body, streaming=True)
        )
        self._start(tracked, tracked.log.current(), body)
        return tracked

    def step(self) -> None:
        """Carry what the engines have produced, and mend what was lost."""
        adopted = tuple(self._adopted)
        self._adopted.clear()
        for tracked in adopted:
            self._go_on(tracked)
        for request_id, relay in tuple(self._relays.items()):
            if relay.tracked.log.state is LogState.MOVED:
                # The connection stays open: the engine would cancel what the
                # peer is about to read on.
                self._relays.pop(request_id)
            else:
                self._carry(request_id, relay)

    def leave(self, notice: timedelta) -> None:
        """Act on a notice: protect what can finish here, hand over the rest."""
        self.drain.start(notice)
        ends = self._world.clock.monotonic() + notice.total_seconds()
        plan = plan_reclaim(notice, map(_read_progress, self.in_flight.list()))
        left = ends - self._world.clock.monotonic()
        self.hand_over.hand_over(plan.move, timedelta(seconds=left))
        self.hand_over.replicate(plan.finish)

    def die(self) -> None:
        """End at once; its connections to engines close."""
        self.dead = True
        self._world.network.dead.add(self.daemon_id)
        for engine in self._world.engines:
            for attempt in engine.streams:
                engine.close(attempt, self.daemon_id)
        self._relays.clear()

    def _take_over(self, tracked: TrackedRequest) -> None:
        self._adopted.append(tracked)

    def _read_room(self) -> int:
        if not self.drain.ready or self.dead:
            return 0
        return MAX_STREAMS - len(self.in_flight.list())

    def _carry(self, request_id: RequestId, relay: _Relay) -> None:
        now = self._world.clock.monotonic()
        if not relay.engine.has_stream(relay.attempt):
            self._relays.pop(request_id)
            self._go_on(relay.tracked)
            return
        stream = relay.engine.streams[relay.attempt]
        events = stream.read(relay.read, now)
        relay.read += len(events)
        if events:
            relay.stream.extend(events)
        if stream.first + relay.read > stream.total:
            self._relays.pop(request_id)
            self.in_flight.finish(relay.tracked, AnswerEnd.COMPLETE)
        elif stream.cancelled_at is not None and not events:
            self._relays.pop(request_id)
            self._go_on(relay.tracked, leave=True)
        elif relay.engine.leaves_at is not None and not relay.stays:
            self._leave_engine(request_id, relay, relay.engine.leaves_at - now)

    def _leave_engine(
        self, request_id: RequestId, relay: _Relay, time_left: float
    ) -> None:
        """Move a stream that its leaving engine cannot finish in time."""
        progress = _read_progress(relay.tracked)
        plan = plan_reclaim(timedelta(seconds=max(0, time_left)), (progress,))
        relay.stays = not plan.move
        if plan.move and relay.tracked.log.state is LogState.OPEN:
            self._relays.pop(request_id)
            self._go_on(relay.tracked, leave=True)

    def _go_on(self, tracked: TrackedRequest, *, leave: bool = False) -> None:
        """Find the answer's next token.

        :param leave: whether its stream has given all that it will. Until then
            it is read on, even if its engine leaves or has cancelled it: the
            caller may hold more of it than this daemon was given.
        """
        generated = parse_generated_text(tracked.log.read_after(0).events)
        if generated.finished:
            self.in_flight.finish(tracked, AnswerEnd.COMPLETE)
            return
        self._world.note_loss(tracked, generated.tokens)
        source = self._world.find_engine(tracked.placement)
        facts = self._collect_facts(tracked, source, generated.tokens)
        if leave:
            facts = replace(facts, stream_reachable=False)
        plan = plan_resume(facts)
        self._world.plans.append(plan)
        if plan.kind is ResumeKind.ENGINE_STREAM and source and tracked.placement:
            self._read_on(tracked, source, tracked.placement)
            return
        stream = tracked.log.open_attempt()
        if stream is None:
            # Held for a hand-over; whoever has it afterwards goes on.
            self._adopted.append(tracked)
            return
        accepted = tracked.accepted
        body = build_continuation(accepted.kind, accepted.body, generated)
        imported = facts.kv_tokens if plan.kind is ResumeKind.KV_IMPORT else 0
        self._close_source(tracked, source)
        self._start(tracked, stream, body, imported)

    def _collect_facts(
        self, tracked: TrackedRequest, source: FakeEngine | None, generated: int
    ) -> ResumeContext:
        call = tracked.accepted.call
        placement = tracked.placement
        if source is None or placement is None:
            return ResumeContext(call.prompt_tokens, generated)
        has = source.has_stream(placement.engine_attempt)
        return ResumeContext(
            call.prompt_tokens,
            generated,
            stream_reachable=has,
            kv_tokens=call.prompt_tokens + generated if has else 0,
            continuable=is_continuable(tracked.accepted.body),
        )

    def _close_source(self, tracked: TrackedRequest, source: FakeEngine | None) -> None:
        if source is not None and tracked.placement is not None:
            source.close(tracked.placement.engine_attempt, self.daemon_id)

    def _read_on(
        self, tracked: TrackedRequest, engine: FakeEngine, placement: Placement
    ) -> None:
        attempt = placement.engine_attempt
        engine.streams[attempt].readers.add(self.daemon_id)
        events = len(tracked.log.read_after(0).events)
        self._relays[tracked.accepted.call.request_id] = _Relay(
            tracked,
            tracked.log.current(),
            engine,
            attempt,
            events - placement.offset,
        )

    def _start(
        self,
        tracked: TrackedRequest,
        stream: AttemptStream,
        body: bytes,
        imported: int = 0,
    ) -> None:
        request_id = tracked.accepted.call.request_id
        engine = self._world.choose_engine(self.daemon.failure_domain)
        attempt = self._world.name_attempt()
        engine.start(request_id, attempt, body, self.daemon_id, imported)
        offset = len(tracked.log.read_after(0).events)
        tracked.placement = Placement(engine.server_id, '', attempt, offset)
        self._relays[request_id] = _Relay(tracked, stream, engine, attempt, 0)


def _read_progress(tracked: TrackedRequest) -> RequestProgress:
    accepted = tracked.accepted
    generated = parse_generated_text(tracked.log.read_after(0).events)
    limit = accepted.call.max_tokens
    return RequestProgress(
        accepted.call.request_id,
        accepted.call.priority,
        count_remaining_tokens(accepted.body, generated.tokens, limit),
        TOKEN_TIME,
    )
