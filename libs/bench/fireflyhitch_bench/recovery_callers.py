"""Callers in passed time, who check each answer that they read."""

from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING

from fireflyhitch_bench.recovery_nodes import CUSTOMER, Node
from fireflyhitch_model.errors import InvariantError, RequestError
from fireflyhitch_recovery.answers import AnswerEnd, AnswerReader, LogState
from fireflyhitch_recovery.continuation import parse_generated_text
from fireflyhitch_recovery.events import START
from fireflyhitch_recovery.requests import TrackedRequest

if TYPE_CHECKING:
    from fireflyhitch_bench.recovery_world import RecoveryWorld

# A caller whose connection broke, or whose answer nobody knows, asks again.
RECONNECT_SECONDS = 0.1
# Counted in steps: what daemons wait for side by side passes here one after the
# other, so that the clock may run far ahead of the callers.
GIVE_UP_STEPS = 300


class CallerState(Enum):
    """How far a caller is."""

    WAITING = 'waiting'
    ANSWERED = 'answered'
    LOST = 'lost'


class Caller:
    """Reads one answer, reconnecting by its last event id when cut off."""

    def __init__(self, node: Node, tracked: TrackedRequest, expected: str) -> None:
        self.request_id = tracked.accepted.call.request_id
        self.expected = expected
        self.text = ''
        self.state = CallerState.WAITING
        self.reason = ''
        self.gaps: list[float] = []
        self._node = node
        self._reader: AnswerReader | None = AnswerReader(tracked.log, START)
        self._last = START
        self._cut_off: float | None = None
        self._ask_at = 0.0
        self._steps_without = 0

    @property
    def mixed_up(self) -> bool:
        """Whether it has read anything but its own answer, in order."""
        return not self.expected.startswith(self.text)

    def step(self, world: 'RecoveryWorld') -> None:
        """Read what there is, or look for who has the rest."""
        now = world.clock.monotonic()
        if self.state is not CallerState.WAITING:
            return
        if self._node.dead:
            self._reader = None
        if self._reader is not None:
            self._read(world, now)
            return
        if self._cut_off is None:
            self._cut_off = now
            self._steps_without = 0
            self._ask_at = now + RECONNECT_SECONDS
        if now >= self._ask_at:
            self._ask_at = now + RECONNECT_SECONDS
            self._reconnect(world)
        self._steps_without += 1
        if self._steps_without > GIVE_UP_STEPS:
            self._end(CallerState.LOST, 'nobody has it')

    def _read(self, world: 'RecoveryWorld', now: float) -> None:
        reader = self._reader
        if reader is None:
            return
        try:
            part = reader.read(world.clock, timedelta())
        except (RequestError, InvariantError) as error:
            self._end(CallerState.LOST, str(error))
            return
        self._last = reader.last
        if part.events:
            self.text += parse_generated_text(part.events).text
            if self._cut_off is not None:
                self.gaps.append(now - self._cut_off)
                self._cut_off = None
        if part.end is AnswerEnd.COMPLETE:
            whole = self.text == self.expected
            self._end(
                CallerState.ANSWERED if whole else CallerState.LOST, 'ended early'
            )
        elif part.state is LogState.MOVED and not part.events:
            self._reader = None

    def _reconnect(self, world: 'RecoveryWorld') -> None:
        entry = world.choose_entry()
        if entry is None:
            return
        location = entry.hand_over.locations.find(self.request_id)
        if location is None or location.daemon_id in world.network.dead:
            return
        holder = world.nodes[location.daemon_id]
        if not world.network.reaches(entry.daemon_id, holder.daemon_id):
            return
        tracked = holder.in_flight.find_for_customer(self.request_id, CUSTOMER)
        if tracked is not None and tracked.log.state is not LogState.MOVED:
            self._node = holder
            self._reader = AnswerReader(tracked.log, self._last)

    def _end(self, state: CallerState, reason: str) -> None:
        self.state = state
        self.reason = '' if state is CallerState.ANSWERED else reason
