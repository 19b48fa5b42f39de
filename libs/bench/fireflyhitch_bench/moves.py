"""Version moves: the product's against two baselines over the same moves.

Run as ``make bench NAME=moves``; ``--moves`` makes a shorter trial.
"""

import argparse
import json
import math
import os
import statistics
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from random import Random

from loguru import logger

from fireflyhitch_bench.moves_backends import (
    DOMAINS,
    OLD,
    STEP_SECONDS,
    Backends,
    Case,
    Kind,
    draw_case,
)
from fireflyhitch_bench.moves_policies import (
    DAEMONS,
    CanaryPolicy,
    MoveManagerPolicy,
    Policy,
    SteppedPolicy,
)
from fireflyhitch_fleet.needs import VersionNeed
from fireflyhitch_fleet.planner import (
    Bounds,
    Market,
    Placement,
    PlanRequest,
    plan_version,
)
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.ids import VersionId
from fireflyhitch_model.states import MachineClass

MOVES = 210
GOOD_PART = 0.5
# Seeds from 0 to 209 and from 1000 to 1209 were looked at while the policy was
# made.
FIRST_SEED = 2000
BAD_KINDS = tuple(kind for kind in Kind if kind is not Kind.GOOD)
ON_DEMAND_PRICE = 1.0
PLAN_SECONDS = 30.0
REFUSED = 0.1
AFTERWARDS = 30.0
BOUNDS = Bounds(survive_domain_loss=0.5, min_servers=1, max_servers=64, max_on_demand=8)
POLICIES: dict[str, Callable[[Case, ManualClock], Policy]] = {
    'fireflyhitch': MoveManagerPolicy,
    'canary': CanaryPolicy,
    'stepped': SteppedPolicy,
}


@dataclass(frozen=True, slots=True)
class Result:
    """What became of one move under one policy."""

    kind: Kind
    seed: int
    done: bool
    in_time: bool
    reason: str
    calls: int
    new_calls: int
    after_verdict: float
    after_fault: float
    cost: float
    on_demand_cost: float


class Fleet:
    """Starts and stops servers by the product's plan, in a cloud that refuses."""

    def __init__(self, case: Case, backends: Backends, clock: ManualClock) -> None:
        """Begin with the old version's servers."""
        self._random = Random(f'fleet {case.seed}')
        self._case = case
        self._backends = backends
        self._clock = clock
        self._planned = -math.inf
        self._markets: dict[Placement, Market] = {}
        for domain in DOMAINS:
            price = self._random.uniform(0.3, 0.45)
            cheap = Placement(domain, MachineClass.RECLAIMABLE)
            self._markets[cheap] = Market(price, 64, 0.3)
            dear = Placement(domain, MachineClass.ON_DEMAND)
            self._markets[dear] = Market(ON_DEMAND_PRICE, 64)
        self._fulfil(VersionNeed(OLD, 1), wait=0, refused=0)

    def step(self, needs: Sequence[VersionNeed]) -> None:
        """Plan anew from time to time."""
        now = self._clock.monotonic()
        if now - self._planned < PLAN_SECONDS:
            return
        self._planned = now
        for need in needs:
            self._fulfil(need, self._case.start_seconds, REFUSED)
        wanted = {version_need.version for version_need in needs}
        for server_id, engine in tuple(self._backends.engines.items()):
            if engine.server.version not in wanted:
                self._backends.stop(server_id)

    def _fulfil(self, need: VersionNeed, wait: float, refused: float) -> None:
        servers = max(1, math.ceil(need.traffic_fraction * self._case.needed))
        running: dict[Placement, int] = {}
        for engine in self._backends.engines.values():
            server = engine.server
            if server.version == need.version and not engine.leaving:
                place = Placement(server.failure_domain, server.machine_class)
                running[place] = running.get(place, 0) + 1
        plan = plan_version(
            PlanRequest(need.version, servers, running, need.scale_in_protected),
            self._markets,
            BOUNDS,
            self._case.start_seconds / 3600,
        )
        for place, count in plan.starts.items():
            for _ in range(count):
                if self._random.random() >= refused:
                    self._start(need.version, place, wait)
        for place, count in plan.stops.items():
            self._stop(need.version, place, count)

    def _start(self, version: VersionId, place: Placement, wait: float) -> None:
        price = self._markets[place].price
        domain, machine_class = place
        self._backends.add(version, domain, machine_class, price, wait)

    def _stop(self, version: VersionId, place: Placement, count: int) -> None:
        engines = self._backends.engines
        names = [
            name
            for name, engine in engines.items()
            if engine.server.version == version
            and engine.server.failure_domain == place.failure_domain
            and engine.server.machine_class is place.machine_class
        ]
        for name in names[:count]:
            self._backends.stop(name)


def run_move(name: str, case: Case) -> Result:
    """Run one move under one policy until shortly after its end."""
    clock = ManualClock()
    backends = Backends(case, clock, DAEMONS)
    fleet = Fleet(case, backends, clock)
    policy = POLICIES[name](case, clock)
    ended_at = math.inf
    at_end = (0, 0)
    while clock.monotonic() < case.window.total_seconds() + 60:
        clock.advance(timedelta(seconds=STEP_SECONDS))
        for ended in backends.serve(policy.pick):
            policy.record(ended)
        policy.step(backends)
        fleet.step(policy.list_needs())
        ending = policy.find_ending()
        if ending is not None and math.isinf(ended_at):
            ended_at = ending.at
            at_end = (backends.counts.calls, backends.counts.new_calls)
        if clock.monotonic() >= ended_at + AFTERWARDS:
            break
    return _sum_up(case, policy, backends, at_end)


def _sum_up(
    case: Case, policy: Policy, backends: Backends, at_end: tuple[int, int]
) -> Result:
    counts = backends.counts
    ending = policy.find_ending()
    window = case.window.total_seconds()
    done = ending is not None and ending.done
    at = ending.at if ending else window
    hours = at / 3600
    return Result(
        kind=case.kind,
        seed=case.seed,
        done=done,
        in_time=ending is not None and at <= window + STEP_SECONDS,
        reason=ending.reason if ending else 'none',
        calls=at_end[0],
        new_calls=at_end[1],
        after_verdict=0 if done else max(counts.last_new - at, 0),
        after_fault=0 if done else max(counts.last_new - counts.first_fault, 0),
        cost=counts.cost,
        on_demand_cost=2 * case.needed * hours * ON_DEMAND_PRICE,
    )


def summarise(results: Sequence[Result]) -> dict[str, float]:
    """Return the figures of one policy."""
    good = [result for result in results if result.kind is Kind.GOOD]
    bad = [result for result in results if result.kind is not Kind.GOOD]
    back = [result for result in bad if not result.done]
    exposures = [result.new_calls / result.calls for result in bad]
    faults = [result.after_fault for result in back]
    bad_calls = sum(result.calls for result in bad)
    return {
        'good_done_in_time': _part(result.done and result.in_time for result in good),
        'good_taken_back': _part(result.reason == 'fault' for result in good),
        'bad_taken_back': _part(not result.done for result in bad),
        'bad_exposure_share': sum(result.new_calls for result in bad) / bad_calls,
        'bad_exposure_worst': max(exposures),
        'bad_exposure_p90': sorted(exposures)[int(0.9 * len(exposures))],
        'bad_new_work_after_verdict_s': max(
            (result.after_verdict for result in back), default=0
        ),
        'bad_new_work_after_first_fault_s_p50': statistics.median(faults or [0]),
        'cost_vs_on_demand': sum(result.cost for result in results)
        / sum(result.on_demand_cost for result in results),
    }


def list_cases(moves: int, first_seed: int) -> list[Case]:
    """Return the moves: half of them good, the rest bad in turns."""
    good = round(moves * GOOD_PART)
    kinds = [Kind.GOOD for _ in range(good)]
    kinds += [BAD_KINDS[number % len(BAD_KINDS)] for number in range(moves - good)]
    return [draw_case(first_seed + number, kind) for number, kind in enumerate(kinds)]


def main() -> None:
    """Run all moves under all policies and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--moves', type=int, default=MOVES)
    parser.add_argument('--policy', choices=sorted(POLICIES))
    parser.add_argument('--seed', type=int, default=FIRST_SEED)
    parser.add_argument('--workers', type=int, default=(os.cpu_count() or 2) // 2)
    parser.add_argument('--details', action='store_true')
    options = parser.parse_args()
    names = [options.policy] if options.policy else list(POLICIES)
    cases = list_cases(options.moves, options.seed)
    results = run_all(names, cases, options.workers)
    figures = {name: summarise(some) for name, some in results.items()}
    if options.details:
        for some in results.values():
            _print_details(some)
    _print_table(figures)
    mine, *others = names
    line: dict[str, object] = {'bench': 'moves', 'moves': len(cases)}
    line.update(_round(figures[mine]))
    line['baselines'] = {other: _round(figures[other]) for other in others}
    print(json.dumps(line))


def run_all(
    names: Sequence[str], cases: Sequence[Case], workers: int
) -> dict[str, list[Result]]:
    """Run all moves under each policy, several at a time."""
    results: dict[str, list[Result]] = {}
    with ProcessPoolExecutor(workers, initializer=logger.remove) as pool:
        for name in names:
            runs = pool.map(partial(run_move, name), cases, chunksize=2)
            results[name] = list(runs)
    return results


def _print_table(figures: dict[str, dict[str, float]]) -> None:
    heads = [f'{name:>14}' for name in figures]
    print(f'{"":38}', *heads)
    keys = next(iter(figures.values()))
    for key in keys:
        cells = [f'{figure[key]:14.4f}' for figure in figures.values()]
        print(f'{key:38}', *cells)


def _print_details(results: Sequence[Result]) -> None:
    for kind in Kind:
        chosen = [result for result in results if result.kind is kind]
        calls = sum(result.calls for result in chosen)
        share = sum(result.new_calls for result in chosen) / max(calls, 1)
        print(f'{kind.value}: {len(chosen)} moves, share of calls {share:.4f}')
        for result in sorted(chosen, key=_find_exposure):
            exposure = round(_find_exposure(result), 4)
            print(f'  seed {result.seed} {result.done} {result.reason} {exposure}')


def _find_exposure(result: Result) -> float:
    return result.new_calls / result.calls


def _part(holds: Iterable[bool]) -> float:
    kept = list(holds)
    return sum(kept) / len(kept) if kept else 0


def _round(figures: dict[str, float]) -> dict[str, float]:
    return {key: round(figure, 4) for key, figure in figures.items()}


if __name__ == '__main__':
    main()
