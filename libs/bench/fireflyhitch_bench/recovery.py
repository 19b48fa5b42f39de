"""What reclaims cost callers: lost answers, time cut off, tokens computed again.

Real hand-over and resume code runs over fakes in passed time. Run it with
``make bench NAME=recovery``.
"""

import json
import sys
import threading
import time
import timeit
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from loguru import logger

from fireflyhitch_bench.recovery_callers import CallerState
from fireflyhitch_bench.recovery_world import DOMAINS, RecoveryWorld
from fireflyhitch_model.ids import DaemonId
from fireflyhitch_model.invariants import count_violations
from fireflyhitch_recovery.answers import AnswerLog

NOTICES = (30, 10, 3)
SEEDS = (1, 2, 3)
CALLS = 240
CALLS_A_STEP = 4
PATIENCE = timedelta(seconds=60)
PERCENTILE = 0.99
EVENT_BYTES = 120
APPENDS = 200000
REPEATS = 5
NANOSECONDS = 1e9


def measure_appends() -> dict[str, float]:
    """Return nanoseconds an event, for ways of appending to an answer."""
    event = bytes(EVENT_BYTES)
    plain: list[bytes] = []
    guarded: list[bytes] = []
    lock = threading.Lock()

    def append_locked(added: bytes) -> bool:
        with lock:
            guarded.append(added)
        return True

    ways = {
        'plain list': plain.append,
        'answer log': AnswerLog(DaemonId('bench')).current().append,
        'list and lock': append_locked,
    }
    return {name: _time_appends(append, event) for name, append in ways.items()}


def _time_appends(append: Callable[[bytes], object], event: bytes) -> float:
    runs = timeit.repeat(lambda: append(event), number=APPENDS, repeat=REPEATS)
    return round(min(runs) / APPENDS * NANOSECONDS, 1)


@dataclass(slots=True)
class Tally:
    """What became of the requests of one or more runs."""

    accepted: int = 0
    answered: int = 0
    lost: int = 0
    mixed_up: int = 0
    recomputed: int = 0
    restart: int = 0
    gaps: list[float] = field(default_factory=list)
    ways: Counter[str] = field(default_factory=Counter)

    def add(self, other: 'Tally') -> None:
        """Add the figures of another run."""
        self.accepted += other.accepted
        self.answered += other.answered
        self.lost += other.lost
        self.mixed_up += other.mixed_up
        self.recomputed += other.recomputed
        self.restart += other.restart
        self.gaps.extend(other.gaps)
        self.ways.update(other.ways)

    @property
    def ratio(self) -> float:
        """Tokens computed again, against starting each lost answer anew."""
        return self.recomputed / self.restart if self.restart else 0.0

    @property
    def gap_p99(self) -> float:
        """Seconds for which callers were cut off, at the 99th percentile."""
        ordered = sorted(self.gaps)
        return ordered[int(len(ordered) * PERCENTILE)] if ordered else 0.0


def collect(world: RecoveryWorld) -> Tally:
    """Return what became of a world's requests."""
    states = Counter(caller.state for caller in world.callers)
    return Tally(
        accepted=len(world.callers),
        answered=states[CallerState.ANSWERED],
        lost=len(world.callers) - states[CallerState.ANSWERED],
        mixed_up=sum(caller.mixed_up for caller in world.callers),
        recomputed=world.count_recomputed(),
        restart=world.restart_tokens,
        gaps=[gap for caller in world.callers for gap in caller.gaps],
        ways=Counter(plan.kind.value for plan in world.plans),
    )


def fill(world: RecoveryWorld) -> None:
    """Have callers arrive over some seconds."""
    for _ in range(CALLS // CALLS_A_STEP):
        for _ in range(CALLS_A_STEP):
            world.call()
        world.step()


def run_daemon_notice(seed: int, notice: timedelta) -> Tally:
    """Reclaim one daemon; its engines stay."""
    world = RecoveryWorld(seed)
    fill(world)
    node = world.list_alive()[0]
    node.leave(notice)
    world.run(notice)
    node.die()
    world.run_until_answered(PATIENCE)
    return collect(world)


def run_engine_notice(seed: int, notice: timedelta) -> Tally:
    """Reclaim one engine; its daemons stay."""
    world = RecoveryWorld(seed)
    fill(world)
    world.reclaim_engine(world.engines[0], notice)
    world.run_until_answered(PATIENCE)
    return collect(world)


def run_engine_crash(seed: int, notice: timedelta) -> Tally:
    """Lose one engine without any notice."""
    world = RecoveryWorld(seed)
    fill(world)
    world.run(notice)
    world.engines[0].alive = False
    world.run_until_answered(PATIENCE)
    return collect(world)


def run_wave(seed: int, notice: timedelta) -> Tally:
    """Reclaim all daemons and engines of a failure domain at once."""
    world = RecoveryWorld(seed)
    fill(world)
    world.reclaim_domain(DOMAINS[0], notice)
    world.run_until_answered(PATIENCE)
    return collect(world)


SCENARIOS = {
    'daemon': run_daemon_notice,
    'engine': run_engine_notice,
    'wave': run_wave,
}
# Without a notice nothing can be exported: it is told apart from the rest.
CRASH = 'engine crash'


def main() -> None:
    """Run all scenarios and print the figures."""
    logger.remove()
    started = time.perf_counter()
    violations = count_violations()
    total = Tally()
    rows = []
    _print_row('scenario', 'notice', 'accepted', 'lost', 'mixed', 'ratio', 'cut p99')
    for name, scenario in SCENARIOS.items():
        for seconds in NOTICES:
            tally = _run_seeds(scenario, timedelta(seconds=seconds))
            total.add(tally)
            rows.append({'scenario': name, 'notice_s': seconds, **_describe(tally)})
            _print_tally(name, f'{seconds} s', tally)
    crash = _run_seeds(run_engine_crash, timedelta())
    _print_tally(CRASH, 'none', crash)
    appends = measure_appends()
    sys.stdout.write(f'append, ns an event: {appends}\n')
    summary = {
        **_describe(total),
        'violations': count_violations() - violations,
        'ways': dict(total.ways),
        'scenarios': rows,
        'engine_crash': _describe(crash),
        'append_ns': appends,
        'seconds': round(time.perf_counter() - started, 1),
    }
    sys.stdout.write(f'{json.dumps(summary)}\n')


def _run_seeds(scenario: Callable[[int, timedelta], Tally], notice: timedelta) -> Tally:
    tally = Tally()
    for seed in SEEDS:
        tally.add(scenario(seed, notice))
    return tally


def _print_tally(name: str, notice: str, tally: Tally) -> None:
    _print_row(
        name,
        notice,
        str(tally.accepted),
        str(tally.lost),
        str(tally.mixed_up),
        f'{tally.ratio:.3f}',
        f'{tally.gap_p99:.2f} s',
    )


def _describe(tally: Tally) -> dict[str, float]:
    return {
        'accepted': tally.accepted,
        'answered': tally.answered,
        'lost': tally.lost,
        'mixed_up': tally.mixed_up,
        'recomputed_tokens_vs_restart': round(tally.ratio, 4),
        'handover_s_p99': round(tally.gap_p99, 3),
    }


def _print_row(*cells: str) -> None:
    sys.stdout.write(f'{"".join(f"{cell:>14}" for cell in cells)}\n')


if __name__ == '__main__':
    main()
