"""The fault matrix of configuration: every fault at every step, from one table.

Run as a program it writes the page in docs; the tests run the same cells.
"""

import sys
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from enum import Enum
from pathlib import Path

from fireflyhitch_bench.config_fleet import (
    DOMAINS,
    Fleet,
    Seat,
    is_accepted,
    make_configuration,
)
from fireflyhitch_membership.configuration import (
    ActiveConfiguration,
    DomainRevision,
    ProposalResult,
)
from fireflyhitch_membership.configuration_store import CONFIGURATION_KEY
from fireflyhitch_membership.heads import (
    Body,
    make_body_key,
    make_head,
    pack_head,
    unpack_head,
)
from fireflyhitch_membership.records import pack, unpack, write_canonical
from fireflyhitch_model.ids import (
    ABSENT,
    ChangeId,
    FailureDomainId,
    Revision,
)
from fireflyhitch_model.states import Outcome
from fireflyhitch_platform.keyvalue import Written
from fireflyhitch_standins.faults import Fault

PAGE = Path('docs/fault-matrix-configuration.md')
FAULT_ROUNDS = 5
HEALING_ROUNDS = 60
PROPOSER = 0
OTHER_OPERATOR = 4
CHANGE = 'change'
OTHER_CHANGE = 'other'
LATER_CHANGE = 'later'
# The body is written first; the head's write is what accepts a change.
HEAD_WRITE = 2


class MatrixStep(Enum):
    """The step of a change at which the fault begins."""

    READ = 'read'
    PROPOSE = 'propose'
    ACCEPT = 'accept'
    SPREAD = 'spread'
    APPLY = 'apply'
    CONFIRM = 'confirm'


@dataclass(frozen=True, slots=True)
class MatrixFault:
    """A row of the table.

    :param begin: turns the fault on.
    :param end: turns it off, where it does not end by itself.
    """

    name: str
    begin: Callable[[Fleet], None]
    end: Callable[[Fleet], None]


@dataclass(frozen=True, slots=True)
class CellResult:
    """What a cell showed.

    :param result: what the operator was told.
    :param after_fault: rounds until all agree, counted from the fault's end.
    :param reverted: how often a daemon went back to an older revision.
    :param in_force: whether the change is part of what came into force.
    :param confirmed: what the status showed by failure domain at the end.
    """

    result: ProposalResult | Outcome
    after_fault: int
    reverted: int
    agreed: bool
    in_force: bool
    later_accepted: bool
    confirmed: dict[FailureDomainId, DomainRevision]

    def told(self) -> str:
        """Return in a word what the operator was told."""
        if isinstance(self.result, Outcome):
            return self.result.value
        return 'accepted' if is_accepted(self.result) else 'rejected'


def run_cell(fault: MatrixFault, step: MatrixStep) -> CellResult:
    """Run one change with a fault that begins at a step, and heal."""
    fleet = Fleet()
    _settle(fleet, fleet.propose(PROPOSER, 'base', ABSENT))
    run = _Run(fleet, fault, step)
    result = run.change()
    for _ in range(FAULT_ROUNDS):
        fleet.run_round()
    fault.end(fleet)
    rounds = _run_until_agreed(fleet)
    in_force = CHANGE in run.applied_changes()
    latest = max(fleet.revisions())
    later = fleet.propose(OTHER_OPERATOR, LATER_CHANGE, latest)
    _run_until_agreed(fleet)
    fleet.pass_time()
    return CellResult(
        result,
        rounds,
        sum(_count_reverts(seat) for seat in fleet.seats),
        fleet.agree(),
        in_force,
        is_accepted(later),
        fleet.seats[PROPOSER].keeper.revisions_by_failure_domain(),
    )


class _Run:
    """One change, with the fault's beginning at its step."""

    def __init__(self, fleet: Fleet, fault: MatrixFault, step: MatrixStep) -> None:
        self._fleet = fleet
        self._fault = fault
        self._step = step
        self._writes = 0
        self._changes: set[str] = set()
        for seat in fleet.seats:
            seat.keeper.on_change(self._note)

    def change(self) -> ProposalResult | Outcome:
        self._reach(MatrixStep.READ)
        self._fleet.run_round()
        self._reach(MatrixStep.PROPOSE)
        self._fleet.store.faults.before(self._before_call)
        receiver = self._fleet.seats[-1].keeper
        receiver.on_change(lambda _one: self._reach(MatrixStep.APPLY))
        expected = self._fleet.seats[PROPOSER].revision()
        result = self._fleet.propose(PROPOSER, CHANGE, expected)
        self._reach(MatrixStep.SPREAD)
        self._fleet.run_round()
        self._reach(MatrixStep.CONFIRM)
        self._fleet.seats[PROPOSER].keeper.revisions_by_failure_domain()
        return result

    def applied_changes(self) -> set[str]:
        return self._changes

    def _note(self, in_force: ActiveConfiguration) -> None:
        self._changes.add(in_force.change_id)

    def _before_call(self, operation: str) -> None:
        self._writes += operation == 'put_if'
        if self._writes == HEAD_WRITE:
            self._reach(MatrixStep.ACCEPT)

    def _reach(self, step: MatrixStep) -> None:
        if step is not self._step:
            return
        begin = self._fault.begin
        self._fault = MatrixFault(self._fault.name, _do_nothing, _do_nothing)
        begin(self._fleet)


def _settle(fleet: Fleet, result: ProposalResult | Outcome) -> None:
    if not is_accepted(result):
        raise RuntimeError(f'the fleet did not start: {result}')
    _run_until_agreed(fleet)


def _run_until_agreed(fleet: Fleet) -> int:
    for rounds in range(HEALING_ROUNDS):
        if fleet.agree():
            return rounds
        fleet.run_round()
    return HEALING_ROUNDS


def _count_reverts(seat: Seat) -> int:
    pairs = zip(seat.applied, seat.applied[1:], strict=False)
    return sum(later <= earlier for earlier, later in pairs)


def _do_nothing(_fleet: Fleet) -> None:
    """Begin or end nothing."""


def _lift(fleet: Fleet) -> None:
    fleet.store.faults.clear_all()
    fleet.store.faults.before(None)


def _refuse_all(fleet: Fleet) -> None:
    fleet.store.faults.set_persistent('*', Fault.REFUSED)


def _slow_down(fleet: Fleet) -> None:
    """Let each call take longer than its caller waits."""
    fleet.store.faults.set_persistent('*', Fault.LOST_ANSWER)
    fleet.store.faults.before(lambda _one: fleet.clock.advance(timedelta(seconds=2)))


def _lose_answers(fleet: Fleet) -> None:
    lost = Fault.LOST_ANSWER
    fleet.store.faults.queue('put_if', lost, Fault.NONE, lost)


def _forget_events(fleet: Fleet) -> None:
    fleet.store.restore(*fleet.store.dump())


def _compact(fleet: Fleet) -> None:
    """Compact past the revision from which the next watch begins."""

    def write_and_compact(operation: str) -> None:
        if operation != 'watch':
            return
        fleet.store.faults.before(None)
        fleet.store.put_if('unrelated', b'', ABSENT)
        fleet.store.compact()

    fleet.store.faults.before(write_and_compact)


def _cut_peer(fleet: Fleet) -> None:
    cut = fleet.seats[1].daemon.daemon_id
    for seat in fleet.seats:
        fleet.peers.disconnect(cut, seat.daemon.daemon_id)


def _cut_domain(fleet: Fleet) -> None:
    for near in fleet.of_domain(DOMAINS[0]):
        near.gate.cut = True
        for far in fleet.of_domain(DOMAINS[1]):
            fleet.peers.disconnect(near.daemon.daemon_id, far.daemon.daemon_id)


def _lose_one_way(fleet: Fleet) -> None:
    sender = fleet.seats[PROPOSER].daemon.daemon_id
    fleet.peers.cut.update((sender, seat.daemon.daemon_id) for seat in fleet.seats)


def _join(fleet: Fleet) -> None:
    fleet.peers.cut.clear()
    for seat in fleet.seats:
        seat.gate.cut = False


def _pause(fleet: Fleet) -> None:
    fleet.seats[1].paused = True
    fleet.clock.advance(timedelta(seconds=30))


def _resume(fleet: Fleet) -> None:
    fleet.seats[1].paused = False


def _jump(fleet: Fleet) -> None:
    fleet.clock.jump_wall_clock(timedelta(days=-1))


def _restart(fleet: Fleet) -> None:
    fleet.restart(PROPOSER)


def _propose_too(fleet: Fleet) -> None:
    expected = fleet.seats[OTHER_OPERATOR].revision()
    fleet.propose(OTHER_OPERATOR, OTHER_CHANGE, expected)


def _write_as_newer_release(fleet: Fleet) -> None:
    """Accept a change with fields that this release does not know."""
    stored = fleet.store.get(CONFIGURATION_KEY)
    if stored is None:
        return
    head = unpack_head(stored.value, 'store')
    body = fleet.store.get(head.bodies[-1].key)
    if body is None:
        return
    base = unpack(body.value, 'store')
    document = make_configuration('newer').model_dump(mode='json')
    document['deployments'][0]['of_a_later_release'] = True
    plain = base.follow(
        Revision(base.revision + 1), ChangeId('newer'), make_configuration('newer')
    )
    record = replace(plain, text=write_canonical(document))
    content = pack(record)
    key = make_body_key(content, record.revision)
    written = fleet.store.put_if(key, content, ABSENT)
    if isinstance(written, Written):
        place = Body(key, written.revision)
        newer = pack_head(make_head(base, record, head.bodies, place))
        fleet.store.put_if(CONFIGURATION_KEY, newer, stored.revision)


FAULTS = (
    MatrixFault('store down', _refuse_all, _lift),
    MatrixFault('store slow', _slow_down, _lift),
    MatrixFault('answer lost after effect', _lose_answers, _lift),
    MatrixFault('watch gap', _forget_events, _do_nothing),
    MatrixFault('compacted watch', _compact, _lift),
    MatrixFault('peer cut off', _cut_peer, _join),
    MatrixFault('failure domain cut off', _cut_domain, _join),
    MatrixFault('one-way loss', _lose_one_way, _join),
    MatrixFault('process paused past its heartbeat', _pause, _resume),
    MatrixFault('clock jump', _jump, _do_nothing),
    MatrixFault('restart mid-change', _restart, _do_nothing),
    MatrixFault('two operators at once', _propose_too, _do_nothing),
    MatrixFault('old and new release', _write_as_newer_release, _do_nothing),
)


def write_page() -> str:
    """Return the page that shows the table with what each cell gave."""
    steps = list(MatrixStep)
    head = ' | '.join(step.value for step in steps)
    lines = [
        '# Fault matrix of configuration',
        '',
        'Generated by `python -m fireflyhitch_bench.config_matrix`; the tests run',
        'the same cells. A column is the step at which the fault begins; it lasts',
        'five more rounds. A cell shows what the operator was told, and how many',
        "rounds of a second after the fault's end all six daemons agreed. In each",
        'cell no daemon goes back to an older revision, what was told is true of',
        'what came into force, and the next change is accepted.',
        '',
        f'| fault | {head} |',
        f'| --- |{" --- |" * len(steps)}',
    ]
    for fault in FAULTS:
        cells = ' | '.join(_describe(run_cell(fault, step)) for step in steps)
        lines.append(f'| {fault.name} | {cells} |')
    return '\n'.join((*lines, ''))


def _describe(cell: CellResult) -> str:
    return f'{cell.told()}, {cell.after_fault}'


if __name__ == '__main__':
    PAGE.write_text(write_page())
    sys.stdout.write(PAGE.read_text())
