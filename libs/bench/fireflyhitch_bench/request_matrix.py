"""The fault matrix of requests: every fault at every step, on both paths.

Each cell runs the real ledger or recovery code over fakes in passed time. Run
``python -m fireflyhitch_bench.request_matrix`` to write the table anew.
"""

import sys
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from pathlib import Path

from loguru import logger

from fireflyhitch_bench.ledger_world import (
    Booking,
    BookingWorld,
    ConnectionLost,
    Killed,
    Stage,
    Told,
    pass_by,
)
from fireflyhitch_bench.recovery_callers import Caller, CallerState
from fireflyhitch_bench.recovery_nodes import Node
from fireflyhitch_bench.recovery_world import RecoveryWorld
from fireflyhitch_model.ids import DaemonId
from fireflyhitch_standins.answers import count_tokens
from fireflyhitch_standins.faults import Fault

PAGE = Path('docs/fault-matrix-requests.md')
KEY = 'visit-1'
NOTICE = timedelta(seconds=3)
LONG_PAUSE = timedelta(seconds=90)
SHORT_DELAY = timedelta(seconds=4)
PATIENCE = timedelta(seconds=60)
STORE_FAULTS = 6
STEPS_BEHIND_END = 20
FIRST, SECOND = DaemonId('daemon-0'), DaemonId('daemon-1')


class FaultKind(Enum):
    """The faults of the matrix."""

    CRASH = 'crash'
    PAUSE = 'pause past the lease and wake'
    REPLY_LOST = 'reply lost'
    REPLY_LATE = 'reply late'
    DUPLICATE = 'duplicate'
    STORE_OUTAGE = 'store outage'
    STORE_ANSWER_LOST = 'store answer lost'
    OWNER_CHANGED = 'owner changed'
    TARGET_DIES = 'target dies'
    SECOND_RECLAIM = 'second reclaim during hand-over'
    PARTITION = 'partition'


@dataclass(frozen=True, slots=True)
class BookingCell:
    """What came of one fault at one step of a call that may not be repeated.

    :param told: what its caller was told.
    :param repeat: what a repeat was told after all was mended.
    :param lied: whether the call ran although it was called not run.
    """

    told: Told
    repeat: Told
    runs: int
    lied: bool

    @property
    def holds(self) -> bool:
        """Whether the promises hold."""
        return self.runs <= 1 and not self.lied

    def describe(self) -> str:
        """Return the cell's text."""
        return f'{_name(self.told)}; repeat {_name(self.repeat)}; runs {self.runs}'


@dataclass(frozen=True, slots=True)
class StreamCell:
    """What came of one fault at one step of a model's answer.

    :param excused: whether the daemon died with nobody under notice.
    """

    state: CallerState
    mixed_up: bool
    excused: bool
    recomputed: int

    @property
    def holds(self) -> bool:
        """Whether the promises hold."""
        whole = self.state is CallerState.ANSWERED
        return not self.mixed_up and (whole or self.excused)

    def describe(self) -> str:
        """Return the cell's text."""
        if self.state is not CallerState.ANSWERED:
            return 'told that it is lost'
        return f'whole; {self.recomputed} again' if self.recomputed else 'whole'


def run_booking(fault: FaultKind, stage: Stage) -> BookingCell:
    """Strike one call that may not be repeated, then repeat it."""
    world = BookingWorld(seed=1)
    strike = _BOOKING_FAULTS[fault]

    def at(reached: Stage) -> None:
        if reached is stage:
            strike(world)

    booking = Booking(KEY, at)
    told = world.call(FIRST, booking)
    world.network.dead.clear()
    world.network.cut.clear()
    world.store.faults.clear_all()
    world.clock.advance(LONG_PAUSE)
    world.settle()
    repeat = world.call(SECOND, Booking(KEY, pass_by))
    runs = world.runs[KEY]
    lied = booking.ran and _name(told) == 'not-run'
    return BookingCell(told, repeat, runs, lied)


def _raise_killed(world: BookingWorld) -> None:
    raise Killed


def _raise_lost(world: BookingWorld) -> None:
    raise ConnectionLost


def _pause(world: BookingWorld) -> None:
    world.clock.advance(LONG_PAUSE)


def _delay(world: BookingWorld) -> None:
    world.clock.advance(SHORT_DELAY)


def _duplicate(world: BookingWorld) -> None:
    world.call(SECOND, Booking(KEY, pass_by))


def _stop_store(world: BookingWorld) -> None:
    world.store.faults.set_persistent('*', Fault.REFUSED)


def _lose_store_answers(world: BookingWorld) -> None:
    for _ in range(STORE_FAULTS):
        world.store.faults.queue('put_if', Fault.LOST_ANSWER)


def _change_owner(world: BookingWorld) -> None:
    for name in tuple(world.ledgers):
        if name != FIRST:
            world.kill(name)


def _cut_off(world: BookingWorld) -> None:
    for name in tuple(world.ledgers):
        world.network.disconnect(FIRST, name)
    world.store.faults.set_persistent('*', Fault.LOST_REQUEST)


def _stop_daemon(world: BookingWorld) -> None:
    # A reclaim finds a call under way: it is finished within the notice, as
    # the daemon goes on until then, without the peers that left before.
    _change_owner(world)
    world.clock.advance(NOTICE)


_BOOKING_FAULTS: dict[FaultKind, Callable[[BookingWorld], None]] = {
    FaultKind.CRASH: _raise_killed,
    FaultKind.PAUSE: _pause,
    FaultKind.REPLY_LOST: _raise_lost,
    FaultKind.REPLY_LATE: _delay,
    FaultKind.DUPLICATE: _duplicate,
    FaultKind.STORE_OUTAGE: _stop_store,
    FaultKind.STORE_ANSWER_LOST: _lose_store_answers,
    FaultKind.OWNER_CHANGED: _change_owner,
    FaultKind.TARGET_DIES: _raise_lost,
    FaultKind.SECOND_RECLAIM: _stop_daemon,
    FaultKind.PARTITION: _cut_off,
}

# Claims and records have no part in a model's answer.
STREAM_STAGES = (
    Stage.ACCEPTED,
    Stage.SENT,
    Stage.FIRST_BYTE,
    Stage.MIDDLE,
    Stage.LAST_BYTE,
    Stage.ANSWERED,
)


@dataclass(slots=True)
class _Scene:
    world: RecoveryWorld
    caller: Caller
    node: Node
    excused: bool = False


def run_stream(fault: FaultKind, stage: Stage) -> StreamCell:
    """Strike one model's answer."""
    world = RecoveryWorld(seed=4)
    world.call()
    caller = world.callers[0]
    node = next(one for one in world.list_alive() if one.in_flight.list())
    for _ in range(_count_steps(stage, caller)):
        world.step()
    scene = _Scene(world, caller, node)
    _STREAM_FAULTS[fault](scene)
    world.run_until_answered(PATIENCE)
    return StreamCell(
        caller.state, caller.mixed_up, scene.excused, world.count_recomputed()
    )


def _count_steps(stage: Stage, caller: Caller) -> int:
    """Return how many steps of passed time lead to a step of the answer.

    The engines make one token a step, the first one two steps late.
    """
    tokens = count_tokens(caller.expected)
    steps = {
        Stage.ACCEPTED: 0,
        Stage.SENT: 1,
        Stage.FIRST_BYTE: 3,
        Stage.MIDDLE: tokens // 2,
        Stage.LAST_BYTE: tokens,
        Stage.ANSWERED: tokens + STEPS_BEHIND_END,
    }
    return steps[stage]


def _crash_daemon(scene: _Scene) -> None:
    scene.excused = True
    scene.node.die()


def _pause_daemon(scene: _Scene) -> None:
    # The rest of the world goes on without the daemon, which then wakes.
    scene.world.clock.advance(LONG_PAUSE)


def _lose_stream(scene: _Scene) -> None:
    for engine in scene.world.engines:
        engine.streams.clear()


def _reclaim_twice(scene: _Scene) -> None:
    scene.world.reclaim_daemon(scene.node, NOTICE)
    scene.world.step()
    holders = [one for one in scene.world.list_alive() if one.in_flight.list()]
    for holder in holders:
        if holder is not scene.node:
            scene.world.reclaim_daemon(holder, NOTICE)


def _repeat_read(scene: _Scene) -> None:
    again = scene.node.in_flight.find(scene.caller.request_id)
    if again is not None:
        twin = Caller(scene.node, again, scene.caller.expected)
        scene.world.callers.append(twin)


def _stop_daemon_early(scene: _Scene) -> None:
    scene.world.reclaim_daemon(scene.node, NOTICE)
    scene.world.step()
    scene.node.die()


def _kill_engine(scene: _Scene) -> None:
    for engine in scene.world.engines:
        if engine.streams:
            engine.alive = False


def _cut_off_daemon(scene: _Scene) -> None:
    for other in scene.world.nodes:
        if other != scene.node.daemon_id:
            scene.world.network.disconnect(scene.node.daemon_id, other)


def _cut_off_during_reclaim(scene: _Scene) -> None:
    _cut_off_daemon(scene)
    scene.world.run(NOTICE)
    scene.world.network.cut.clear()
    scene.world.reclaim_daemon(scene.node, NOTICE)


_STREAM_FAULTS: dict[FaultKind, Callable[[_Scene], None]] = {
    FaultKind.CRASH: _crash_daemon,
    FaultKind.PAUSE: _pause_daemon,
    FaultKind.REPLY_LOST: _lose_stream,
    FaultKind.REPLY_LATE: _pause_daemon,
    FaultKind.DUPLICATE: _repeat_read,
    FaultKind.OWNER_CHANGED: _stop_daemon_early,
    FaultKind.TARGET_DIES: _kill_engine,
    FaultKind.SECOND_RECLAIM: _reclaim_twice,
    FaultKind.PARTITION: _cut_off_during_reclaim,
}


def list_booking_cells() -> list[tuple[FaultKind, Stage]]:
    """Return all cells of calls that may not be repeated."""
    return [(fault, stage) for fault in FaultKind for stage in Stage]


def list_stream_cells() -> list[tuple[FaultKind, Stage]]:
    """Return all cells of model answers; the store has no part in those."""
    return [(fault, stage) for fault in _STREAM_FAULTS for stage in STREAM_STAGES]


def render_page() -> str:
    """Run all cells and return the page."""
    bookings = [
        _render_row(fault, [run_booking(fault, stage).describe() for stage in Stage])
        for fault in FaultKind
    ]
    streams = [
        _render_row(
            fault, [run_stream(fault, stage).describe() for stage in STREAM_STAGES]
        )
        for fault in _STREAM_FAULTS
    ]
    return '\n'.join(
        [
            '# Fault matrix: requests',
            '',
            'Written by `python -m fireflyhitch_bench.request_matrix`, which runs each',
            'cell; `libs/bench/tests/test_request_matrix.py` runs them too and checks',
            'that this page is what they give.',
            '',
            '## Calls that may not be repeated',
            '',
            'What the caller was told, what its repeat was told through another daemon',
            'once all was mended and the claim had lapsed, and how often the call ran.',
            '`cut off`: the connection broke without an answer. "Second reclaim": the',
            'other daemons left first.',
            '',
            *_render_head(list(Stage)),
            *bookings,
            '',
            '## Model answers',
            '',
            'Whether the caller got its whole answer, and how many tokens were computed',
            'again. They are not claimed or recorded, so the store has no part. "Owner',
            'changed": the daemon dies a moment after its notice. "Crash" has no notice:',
            'what only that daemon had is lost, and its caller is told.',
            '',
            *_render_head(list(STREAM_STAGES)),
            *streams,
            '',
        ]
    )


def main() -> None:
    """Write the page."""
    logger.remove()
    PAGE.write_text(render_page())
    sys.stdout.write(f'{PAGE}\n')


def _render_head(stages: list[Stage]) -> list[str]:
    names = ' | '.join(stage.value for stage in stages)
    lines = ' | '.join('---' for _ in stages)
    return [f'| fault | {names} |', f'| --- | {lines} |']


def _render_row(fault: FaultKind, cells: list[str]) -> str:
    return f'| {fault.value} | {" | ".join(cells)} |'


def _name(told: Told) -> str:
    return told.outcome.value if told.outcome else 'cut off'


if __name__ == '__main__':
    main()
