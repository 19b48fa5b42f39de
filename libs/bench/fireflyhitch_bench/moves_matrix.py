"""Every fault at every step of a version move; writes the table for the docs.

Run as ``make bench NAME=moves_matrix``. In each cell a whole move is run, and
the fault begins when the step is first reached.
"""

import argparse
import json
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from loguru import logger

from fireflyhitch_bench.moves_world import WINDOW, World
from fireflyhitch_model.invariants import count_violations
from fireflyhitch_rollout.records import MoveState
from fireflyhitch_settings.schema import VersionMove
from fireflyhitch_standins.faults import Fault

FAULT_SECONDS = 20.0
STEP_SECONDS = 2
SETTLE_STEPS = 40
AFTER_STEPS = 40
# Instances that nobody needs are kept for five minutes.
RETIRE_STEPS = 190
STEPS = (
    'plan',
    'lease',
    'start',
    'load',
    'canary',
    'raise',
    'verdict',
    'withdraw',
    'retire',
    'report',
)
# Steps that only a bad version comes to.
BAD_STEPS = frozenset(('verdict', 'withdraw'))
Act = Callable[[World], None]


@dataclass(frozen=True, slots=True)
class FaultKind:
    """A fault: how it begins and how it ends."""

    name: str
    begin: Act
    finish: Act


@dataclass(frozen=True, slots=True)
class Cell:
    """What became of a move in one cell.

    :param reached: whether the step came, and so the fault.
    :param wrong: promises that were broken; empty if all held.
    """

    fault: str
    step: str
    reached: bool
    result: str
    wrong: tuple[str, ...]


def run_cell(fault: FaultKind, step: str) -> Cell:
    """Run one move with one fault at one step."""
    trigger = _Trigger(step)
    bad = step in BAD_STEPS
    before = count_violations()
    world = World(trigger.tell, bad)
    for _ in range(SETTLE_STEPS):
        world.step()
    world.name_move()
    trigger.armed = True
    began: float | None = None
    after = RETIRE_STEPS if step == 'retire' else AFTER_STEPS
    for _ in range(int(WINDOW.total_seconds()) // STEP_SECONDS + after):
        trigger.act = None if began is not None else fault.begin
        trigger.world = world
        world.step()
        now = world.clock.monotonic()
        if trigger.fired and began is None:
            began = now
        if began is not None and now - began >= FAULT_SECONDS:
            fault.finish(world)
            began = float('inf')
    wrong = list(dict.fromkeys(world.wrong))
    if count_violations() != before:
        wrong.append('an invariant was broken')
    result = _check_end(world, bad, wrong)
    return Cell(fault.name, step, trigger.fired, result, tuple(wrong))


class _Trigger:
    """Begins the fault when the step is first reached after the move began."""

    def __init__(self, step: str) -> None:
        self.armed = False
        self.fired = False
        self.act: Act | None = None
        self.world: World | None = None
        self._step = step

    def tell(self, step: str) -> None:
        if not self.armed or self.fired or step != self._step:
            return
        self.fired = True
        if self.act is not None and self.world is not None:
            self.act(self.world)


def _check_end(world: World, bad: bool, wrong: list[str]) -> str:
    reports = [report for node in world.nodes for report in node.manager.moves()]
    states = {report.state for report in reports}
    if len(states) != 1:
        wrong.append('daemons differ on the end')
    if not states <= {MoveState.DONE, MoveState.ROLLED_BACK}:
        wrong.append('the move did not end by its date')
    if bad and MoveState.DONE in states:
        wrong.append('a bad version is done')
    reasons = {report.reason for report in reports if report.reason}
    names = sorted(reason.name.lower() for reason in reasons)
    return f'{min(state.value for state in states)}: {", ".join(names)}'


def _stop_store(world: World) -> None:
    world.store.faults.set_persistent('*', Fault.LOST_REQUEST)


def _lift_store(world: World) -> None:
    world.store.faults.clear_all()


def _pause(world: World) -> None:
    world.paused.add(world.running)


def _resume(world: World) -> None:
    world.paused.clear()


def _lose_answers(world: World) -> None:
    world.store.faults.queue('put_if', Fault.LOST_ANSWER, Fault.LOST_ANSWER)


def _refuse(world: World) -> None:
    world.cloud.refusing = True


def _stop_refusing(world: World) -> None:
    world.cloud.refusing = False


def _reclaim(world: World) -> None:
    domain = next(iter(world.cloud.instances.values())).failure_domain
    for name, one in tuple(world.cloud.instances.items()):
        if one.failure_domain == domain:
            world.cloud.instances.pop(name)


def _restart_engines(world: World) -> None:
    for engine in world.engines.engines.values():
        engine.version = type(engine.version)('none')


def _hold_orders(world: World) -> None:
    world.engines.holding = True


def _release_orders(world: World) -> None:
    world.engines.release()


def _cut_all(world: World) -> None:
    _separate(world, ('daemon-0', 'daemon-1'), ('daemon-1', 'daemon-2'))
    _separate(world, ('daemon-0', 'daemon-2'))


def _partition(world: World) -> None:
    _separate(world, ('daemon-0', 'daemon-1'), ('daemon-0', 'daemon-2'))


def _separate(world: World, *pairs: tuple[str, str]) -> None:
    ids = {str(node.daemon_id): node.daemon_id for node in world.nodes}
    for one, other in pairs:
        world.network.disconnect(ids[one], ids[other])


def _heal(world: World) -> None:
    world.network.cut.clear()


def _race(world: World) -> None:
    move = world.deployment.move
    if move is None:
        return
    sooner = VersionMove(
        to_version=move.to_version, move_by=move.move_by - timedelta(seconds=60)
    )
    world.configure(world.nodes[:1], sooner)
    world.configure(world.nodes[1:], move)


def _settle_race(world: World) -> None:
    world.configure(world.nodes, world.deployment.move)


def _jump(world: World) -> None:
    world.clock.jump_wall_clock(timedelta(hours=1))


def _jump_back(world: World) -> None:
    world.clock.jump_wall_clock(-timedelta(hours=1))


def _do_nothing(world: World) -> None:
    """Leave the world as it is: the fault was over at once."""


FAULTS = (
    FaultKind('store down', _stop_store, _lift_store),
    FaultKind('lease lapsed while paused', _pause, _resume),
    FaultKind('answer to a write lost', _lose_answers, _do_nothing),
    FaultKind('start refused', _refuse, _stop_refusing),
    FaultKind('reclaim in mid load', _reclaim, _do_nothing),
    FaultKind('engine restarts', _restart_engines, _do_nothing),
    FaultKind('order late', _hold_orders, _release_orders),
    FaultKind('evidence late or lost', _cut_all, _heal),
    FaultKind('operators race', _race, _settle_race),
    FaultKind('partition', _partition, _heal),
    FaultKind('clock jump', _jump, _jump_back),
)


def render_table(cells: list[Cell]) -> str:
    """Return the matrix as a page."""
    lines = [
        '# Faults of version moves and capacity',
        '',
        'Written by `make bench NAME=moves_matrix`. Each cell is one whole move of',
        f'{int(WINDOW.total_seconds())} s in passed time on three daemons; the fault',
        f'begins when the step is first reached and lasts {int(FAULT_SECONDS)} s.',
        'Store down is for all daemons; a partition cuts one from its peers, not from',
        'the store; late evidence cuts all links; a paused daemon takes no step.',
        'At the steps verdict and withdraw the new version is bad. Shown is how the',
        'move ended at all daemons; **bold** is a broken promise, and - a step that',
        'was not reached.',
        '',
        f'| fault | {" | ".join(STEPS)} |',
        f'|{"---|" * (len(STEPS) + 1)}',
    ]
    for fault in FAULTS:
        row = [_show(cell) for cell in cells if cell.fault == fault.name]
        lines.append(f'| {fault.name} | {" | ".join(row)} |')
    return '\n'.join([*lines, ''])


def _show(cell: Cell) -> str:
    if cell.wrong:
        return f'**{"; ".join(cell.wrong)}**'
    return cell.result if cell.reached else '-'


def main() -> None:
    """Run all cells, print the table and the counts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--output', help='write the page to this file')
    options = parser.parse_args()
    logger.remove()
    cells = [run_cell(fault, step) for fault in FAULTS for step in STEPS]
    page = render_table(cells)
    print(page)
    if options.output:
        with open(options.output, 'w', encoding='utf-8') as target:
            target.write(page)
    broken = sum(bool(cell.wrong) for cell in cells)
    reached = sum(cell.reached for cell in cells)
    figures = {'cells': len(cells), 'reached': reached, 'broken': broken}

    print(json.dumps({'bench': 'moves_matrix', **figures}))


if __name__ == '__main__':
    main()
