"""Benchmark of slopes for the size to come: ``make bench NAME=capacity``.

With ``--write`` it puts them into docs/capacity.json and renders
docs/CAPACITY.md from them.
"""

import argparse
import json
import sys
from pathlib import Path

from fireflyhitch_bench.capacity_page import DATA, PAGE, render_page
from fireflyhitch_bench.capacity_slopes import (
    Slope,
    measure_slopes,
    render_slopes,
)
from fireflyhitch_bench.capacity_streams import (
    ProcessFigures,
    measure_calls,
    measure_daemon,
    measure_threads,
)
from fireflyhitch_bench.config_walk import Walk, walk_fleet

Figures = dict[str, float]


def main() -> int:
    """Measure all, print tables and a line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--write', action='store_true')
    options = parser.parse_args()
    slopes = measure_slopes()
    print(render_slopes(slopes))
    daemon = measure_daemon()
    _print_streams('daemon', daemon)
    threads = measure_threads((100, 200, 400))
    _print_streams('a thread a stream', threads)
    calls = measure_calls()
    print(f'a call without its chunks: {calls.slope:.0f} +- {calls.error:.0f} us')
    figures = {
        **_gather_slopes(slopes),
        **_gather_streams(daemon),
        'baseline_us_per_chunk': threads.chunk.slope,
        'baseline_us_per_chunk_error': threads.chunk.error,
        'call_us': calls.slope,
        'call_us_error': calls.error,
        **_gather_walk(walk_fleet()),
    }
    rounded = {name: float(f'{figure:.4g}') for name, figure in figures.items()}
    if options.write:
        Path(DATA).write_text(f'{json.dumps(rounded, indent=2)}\n', encoding='utf-8')
        Path(PAGE).write_text(render_page(rounded), encoding='utf-8')
    print(json.dumps(rounded))
    return 0


def _print_streams(name: str, figures: ProcessFigures) -> None:
    chunk, stream = figures.chunk, figures.stream
    print(
        f'\n{name}: {chunk.slope:.1f} +- {chunk.error:.1f} us a chunk, '
        f'{stream.slope / 1000:.1f} +- {stream.error / 1000:.1f} kB a stream, '
        f'{figures.idle_share:.3f} of a core idle'
    )
    print(
        f'{"streams":>8}{"answered":>9}{"core":>7}{"MB":>6}'
        f'{"first p50":>11}{"p95":>8}{"gap p50":>9}{"p95":>8}'
        f'{"straight p50":>14}{"p95":>8}{"gap p50":>9}{"p95":>8}  ms'
    )
    for run in figures.runs:
        seen, direct = run.seen, run.direct
        core = run.cpu_seconds / (run.chunks or 1) * 20 * run.streams
        print(
            f'{run.streams:>8}{seen["answered"]:>9}{core:>7.2f}{run.rss / 1e6:>6.0f}'
            f'{seen["first_p50"] * 1e3:>11.0f}{seen["first_p95"] * 1e3:>8.0f}'
            f'{seen["gap_p50"] * 1e3:>9.1f}{seen["gap_p95"] * 1e3:>8.1f}'
            f'{direct["first_p50"] * 1e3:>14.0f}{direct["first_p95"] * 1e3:>8.0f}'
            f'{direct["gap_p50"] * 1e3:>9.1f}{direct["gap_p95"] * 1e3:>8.1f}'
        )


def _gather_slopes(slopes: list[Slope]) -> Figures:
    figures: Figures = {}
    for slope in slopes:
        figures[slope.name] = slope.line.slope
        figures[f'{slope.name}_error'] = slope.line.error
        figures[f'{slope.name}_base'] = slope.line.base
    smallest = next(one for one in slopes if one.name == 'decision_us_per_replica')
    figures['decision_us_at_5'] = smallest.points[0].measured
    figures['decision_us_at_50'] = smallest.points[1].measured
    return figures


def _gather_streams(daemon: ProcessFigures) -> Figures:
    figures: Figures = {
        'relay_us_per_chunk': daemon.chunk.slope,
        'relay_us_per_chunk_error': daemon.chunk.error,
        'stream_bytes': daemon.stream.slope,
        'stream_bytes_error': daemon.stream.error,
        'process_bytes': daemon.stream.base,
        'idle_core_share': daemon.idle_share,
    }
    for run in daemon.runs:
        seen, direct = run.seen, run.direct
        for name in ('first_p50', 'first_p95', 'gap_p50', 'gap_p95'):
            added = (seen[name] - direct[name]) * 1000
            figures[f'added_{name}_ms_at_{run.streams}'] = added
        ratio = seen['gap_p95'] / direct['gap_p95']
        figures[f'gap_p95_ratio_at_{run.streams}'] = ratio
        figures[f'answered_share_at_{run.streams}'] = seen['answered'] / run.streams
    return figures


def _gather_walk(walk: Walk) -> Figures:
    return {
        'peers_bytes_per_s_790': walk.bytes_mean,
        'peers_bytes_per_s_790_heaviest': walk.bytes_heaviest,
        'peers_frames_per_s_790': walk.frames_per_second,
        'peers_choices_core_share_790': walk.choices_core_share,
        'configuration_hops_790': walk.hops_dark,
        'configuration_store_reads_per_s_790': walk.store_reads,
        'configuration_store_writes_per_s_790': walk.store_writes,
        'configuration_bytes_assumed': walk.configuration_bytes,
    }


if __name__ == '__main__':
    sys.exit(main())
