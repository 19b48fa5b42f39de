"""Measures the router against other policies, in passed time, with equal seeds."""

import json
import statistics
import sys
from dataclasses import dataclass, field

from fireflyhitch_bench.routing_measures import Measure, add_up
from fireflyhitch_bench.routing_runs import (
    LEAST_LATENCY,
    MAKERS,
    ROUND_ROBIN,
    ROUTER,
    run_burst,
    run_large,
    run_outage,
    run_phase,
)
from fireflyhitch_bench.routing_shapes import FLANDERS, LJUBLJANA, Phase
from fireflyhitch_bench.routing_subsets import WAYS, measure_subsets

SEEDS = (11, 12, 13)
FIRMS = (FLANDERS, LJUBLJANA)
FACTOR = 10
LARGE = f'{FACTOR} times the size'
MICROSECONDS = 1_000_000


@dataclass(slots=True)
class Table:
    """Figures by phase and policy."""

    figures: dict[str, dict[str, Measure]] = field(default_factory=dict)
    decisions: dict[str, list[float]] = field(default_factory=dict)

    def add(self, phase: str, policy: str, parts: list[Measure]) -> None:
        """Add a policy's runs in a phase and print its line."""
        total = add_up(parts)
        rows = self.figures.setdefault(phase, {})
        rows[policy] = total
        first = rows[ROUND_ROBIN]
        print(
            f'{phase:17} {policy:16} {total.target_met:7.4f}'
            f' {total.refused / total.offered:8.4f}'
            f' {total.cost:7.3f} {total.cost / first.cost:6.2f}'
            f' {total.cost_of_slots / first.cost_of_slots:6.2f}'
            f' {total.recomputed_per_call:8.1f}'
            f' {total.recomputed_per_call / first.recomputed_per_call:6.2f}'
        )

    def worst_ratio(self, figure: str, baseline: str) -> float:
        """Return the router's highest ratio to a baseline over the phases."""
        ratios: list[float] = [
            getattr(rows[ROUTER], figure) / getattr(rows[baseline], figure)
            for rows in self.figures.values()
        ]
        return max(ratios)

    def best_baselines(self) -> dict[str, float]:
        """Return for each phase the best baseline's share within the target."""
        return {
            phase: max(
                one.target_met for policy, one in rows.items() if policy != ROUTER
            )
            for phase, rows in self.figures.items()
        }


def main() -> None:
    """Run everything, print the table, and a line of JSON last."""
    seeds = tuple(map(int, sys.argv[1:])) or SEEDS
    table = Table()
    print(
        f'{"phase":17} {"policy":16} {"met":>7} {"refused":>8} {"cost":>7}'
        f' {"of rr":>6} {"slots":>6} {"recomp.":>8} {"of rr":>6}'
    )
    for phase in Phase:
        for name in MAKERS:
            _run_phase(table, phase, name, seeds)
    for name in MAKERS:
        runs = [run_large(firm, FACTOR, MAKERS[name], seeds[0]) for firm in FIRMS]
        table.add(LARGE, name, [run.measure for run in runs])
        table.decisions[f'{LARGE} {name}'] = [
            seconds for run in runs for seconds in run.world.decision_seconds
        ]
    _report(table, seeds)


def _run_phase(table: Table, phase: Phase, name: str, seeds: tuple[int, ...]) -> None:
    runs = [
        run_phase(firm, phase, MAKERS[name], seed) for firm in FIRMS for seed in seeds
    ]
    table.add(phase.value, name, [run.measure for run in runs])
    table.decisions.setdefault(name, []).extend(
        seconds for run in runs for seconds in run.world.decision_seconds
    )


def _report(table: Table, seeds: tuple[int, ...]) -> None:
    bursts = {
        name: [run_burst(firm, MAKERS[name], seed) for firm in FIRMS for seed in seeds]
        for name in (ROUND_ROBIN, ROUTER)
    }
    for name, shares in bursts.items():
        small = statistics.mean(one for one, _ in shares)
        large = statistics.mean(other for _, other in shares)
        print(f'burst of a large customer, {name}: small {small:.4f} large {large:.4f}')
    _print_subsets()
    outage = add_up(run_outage(firm, MAKERS[ROUTER], seeds[0]) for firm in FIRMS)
    steady = table.figures[Phase.STEADY.value][ROUTER]
    best = table.best_baselines()
    met = {phase: rows[ROUTER].target_met for phase, rows in table.figures.items()}
    large_decisions = table.decisions[f'{LARGE} {ROUTER}']
    summary = {
        'cost_vs_round_robin': table.worst_ratio('cost', ROUND_ROBIN),
        'cost_vs_least_latency': table.worst_ratio('cost', LEAST_LATENCY),
        'cost_by_slots_vs_round_robin': table.worst_ratio('cost_of_slots', ROUND_ROBIN),
        'target_met': steady.target_met,
        'target_met_best_baseline': best[Phase.STEADY.value],
        'target_met_by_phase': met,
        'target_met_best_baseline_by_phase': best,
        'recomputed_vs_round_robin': table.worst_ratio(
            'recomputed_per_call', ROUND_ROBIN
        ),
        'retry_amplification_in_outage': outage.attempts / outage.offered,
        'small_customer_target_met_under_large_burst': statistics.mean(
            small for small, _ in bursts[ROUTER]
        ),
        'decision_us_p50': _median_us(table.decisions[ROUTER]),
        'decision_us_p50_at_10_times': _median_us(large_decisions),
    }
    print('ratios are the worst of all phases; target_met is that of the steady phase')
    print(json.dumps(summary))


def _print_subsets() -> None:
    for name, divide in WAYS.items():
        one = measure_subsets(divide)
        print(
            f'subsets by {name}: unused {one.unused}, load {one.lowest:.2f} to'
            f' {one.highest:.2f}, changed when a daemon goes {one.daemon_churn:.4f},'
            f' when a replica goes {one.replica_churn:.4f}'
        )


def _median_us(seconds: list[float]) -> float:
    return statistics.median(seconds) * MICROSECONDS


if __name__ == '__main__':
    main()
