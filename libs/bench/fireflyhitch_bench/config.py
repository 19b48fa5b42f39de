"""Benchmark of membership and configuration: run as ``make bench NAME=config``."""

import json
import statistics
import sys

from loguru import logger

from fireflyhitch_bench.config_run import RunResult, run_size
from fireflyhitch_bench.config_walk import Walk, walk_fleet

SIZES = (9, 18, 36)
SEED = 20260101
PERCENTILES = 100
MEGABYTE = 1048576


def main() -> None:
    """Run all sizes, walk the large fleet, and print both."""
    logger.remove()
    results = [run_size(size, SEED) for size in SIZES]
    walk = walk_fleet()
    _print_runs(results)
    _print_walk(walk)
    sys.stdout.write(f'{json.dumps(_summarize(results, walk))}\n')


def _print_runs(results: list[RunResult]) -> None:
    print('Daemons over loopback, a process each, 4 failure domains, 10% of peer')
    print('messages dropped, one failure domain without the store, a change each')
    print('two seconds. Bytes count both directions with headers.')
    print(
        f'{"daemons":>8}{"in force p50":>14}{"p99":>8}{"worst":>8}{"leaving":>9}'
        f'{"reverted":>9}{"late":>6}{"B/s mean":>10}{"B/s most":>10}{"core":>8}{"most":>8}{"MB":>5}'
    )
    for one in results:
        print(
            f'{one.daemons:>8}{statistics.median(one.delays):>13.3f}s'
            f'{_p99(one.delays):>7.2f}s{max(one.delays):>7.2f}s'
            f'{max(one.leaving):>8.2f}s{one.reverted:>9}{one.unfinished:>6}'
            f'{one.bytes_mean:>10.0f}{one.bytes_most:>10.0f}{one.core_mean:>8.4f}{one.core_most:>8.4f}'
            f'{one.memory_most // MEGABYTE:>5}'
        )


def _print_walk(walk: Walk) -> None:
    print()
    print('790 daemons in 19 failure domains, 42,000 changes a day: the functions')
    print('that choose who sends to whom, called for all; sizes from the encoder.')
    print(f'a configuration of {walk.configuration_bytes} bytes of JSON (assumed)')
    for name, size in walk.parts.items():
        print(f'{name:>20}: {size:>8.0f} B/s a daemon')
    print(f'{"all":>20}: {walk.bytes_mean:>8.0f} B/s a daemon')
    print(f'{"heaviest daemon":>20}: {walk.bytes_heaviest:>8.0f} B/s')
    print(f'{"hops":>20}: {walk.hops}, without the store {walk.hops_dark}')
    print(
        f'{"store":>20}: {walk.store_reads:.1f} reads, {walk.store_writes:.2f} writes/s'
    )
    print()


def _summarize(results: list[RunResult], walk: Walk) -> dict[str, float]:
    by_size = {one.daemons: one for one in results}
    per_frame = statistics.median(one.seconds_per_frame for one in results)
    share = walk.frames_per_second * per_frame + walk.choices_core_share
    summary: dict[str, float] = {
        'in_force_p99_s_9': round(_p99(by_size[9].delays), 3),
        'in_force_p99_s_36': round(_p99(by_size[36].delays), 3),
        'reverted': sum(one.reverted for one in results),
        'unfinished': sum(one.unfinished for one in results),
        'spread_hops_790': walk.hops_dark,
        'store_reads_per_s_790': round(walk.store_reads, 2),
        'store_writes_per_s_790': round(walk.store_writes, 2),
    }
    summary.update(
        (f'bytes_per_node_per_s_{size}', round(by_size[size].bytes_mean))
        for size in SIZES
    )
    summary['bytes_per_node_per_s_790'] = round(walk.bytes_mean)
    summary['bytes_heaviest_node_per_s_790'] = round(walk.bytes_heaviest)
    summary['cpu_core_share_per_node_790'] = round(share, 4)
    summary['leaving_new_work_after_s'] = round(
        max(max(one.leaving) for one in results), 3
    )
    return summary


def _p99(values: list[float]) -> float:
    return statistics.quantiles(values, n=PERCENTILES, method='inclusive')[-1]


if __name__ == '__main__':
    main()
