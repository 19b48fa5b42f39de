"""What one daemon process spends on calls, open streams and their chunks."""

import os
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from fireflyhitch_bench.capacity_fit import Line, Point, fit_line
from fireflyhitch_bench.processes import Process, ProcessGroup
from fireflyhitch_bench.site import API_KEY, BRANDVEILIG, Site, start_site
from fireflyhitch_settings.schema import LatencyTarget

STREAM_COUNTS = (100, 200, 300, 400)
CALL_COUNTS = (100, 200, 300)
TOKENS = 240
TOKEN_SECONDS = 0.05
# All streams are open and have begun by then.
SETTLE_SECONDS = 5.0
MEASURE_SECONDS = 6.0
CLIENTS = 2
ENGINES = 4
CLOCK_TICKS = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
MICROSECONDS = 1e6
# Targets so wide that routing refuses nothing: here the relay is measured.
WIDE = LatencyTarget(first_token_seconds=30, between_tokens_seconds=5)
PLAN = replace(
    BRANDVEILIG, engines=0, services=1, daemons=1, max_streams=1000, latency=WIDE
)


@dataclass(frozen=True, slots=True)
class StreamFigures:
    """What was measured at one number of streams; times in seconds.

    :param cpu_seconds: processor time in the measured while.
    :param chunks: chunks relayed in the measured while.
    :param rss: resident memory in bytes.
    :param seen: the callers' times, through the process that is measured.
    :param direct: the same, straight from the engines.
    """

    streams: int
    cpu_seconds: float
    chunks: float
    rss: float
    seen: dict[str, Any]
    direct: dict[str, Any]


@dataclass(frozen=True, slots=True)
class ProcessFigures:
    """A process at several numbers of streams.

    :param idle_share: share of a core without any call.
    :param chunk: processor time a chunk, in microseconds.
    :param stream: resident bytes an open stream.
    """

    idle_share: float
    runs: tuple[StreamFigures, ...]
    chunk: Line
    stream: Line


def measure_daemon(counts: Sequence[int] = STREAM_COUNTS) -> ProcessFigures:
    """Measure the daemon at each number of streams."""
    with ProcessGroup() as group:
        engines = start_engines(group)
        site = start_site(group, PLAN, engines)
        return _measure_process(group, site.daemons[0], engines, counts)


def measure_threads(counts: Sequence[int] = STREAM_COUNTS) -> ProcessFigures:
    """Measure the baseline of a thread a stream."""
    with ProcessGroup() as group:
        engines = start_engines(group)
        addresses = [engine.ready['address'] for engine in engines]
        baseline = group.start(
            'threads', 'fireflyhitch_bench.capacity_threads', addresses
        )
        return _measure_process(group, baseline, engines, counts)


def measure_calls(counts: Sequence[int] = CALL_COUNTS) -> Line:
    """Measure the daemon's processor time a call, in microseconds.

    The calls have one token, so that what is left is all but the chunks.
    """
    with ProcessGroup() as group:
        site = start_site(group, PLAN, start_engines(group))
        daemon = site.daemons[0]
        idle = _measure_idle(daemon)
        points = [_measure_calls(group, site, daemon, idle, count) for count in counts]
        return fit_line(points)


def read_cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    stat = Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    words = stat.rpartition(')')[2].split()
    return (int(words[11]) + int(words[12])) / CLOCK_TICKS


def read_rss(pid: int) -> int:
    """Return a process's resident memory in bytes."""
    words = Path(f'/proc/{pid}/statm').read_text(encoding='ascii').split()
    return int(words[1]) * PAGE_BYTES


def start_engines(group: ProcessGroup) -> list[Process]:
    """Start engines with fixed token times, a process each."""
    arguments = [
        f'--token-seconds={TOKEN_SECONDS}',
        '--first-token-seconds=0.1',
        '--answer-tokens=100000',
    ]
    module = 'fireflyhitch_standins.engine_server'
    return [
        group.start(f'engine-{number}', module, arguments) for number in range(ENGINES)
    ]


def _measure_process(
    group: ProcessGroup,
    measured: Process,
    engines: list[Process],
    counts: Sequence[int],
) -> ProcessFigures:
    address: str = measured.ready['callers']
    idle = _measure_idle(measured)
    straight = [engine.ready['address'] for engine in engines]
    runs = tuple(
        _measure(group, measured, _for_clients(address), straight, count)
        for count in counts
    )
    cpu = [
        Point(run.chunks, (run.cpu_seconds - idle * MEASURE_SECONDS) * MICROSECONDS)
        for run in runs
    ]
    memory = [Point(run.streams, run.rss) for run in runs]
    return ProcessFigures(idle, runs, fit_line(cpu), fit_line(memory))


def _measure_idle(measured: Process) -> float:
    time.sleep(SETTLE_SECONDS)
    used = _watch_cpu(measured, lambda: time.sleep(MEASURE_SECONDS))
    return used / MEASURE_SECONDS


def _measure(
    group: ProcessGroup,
    measured: Process,
    addresses: list[str],
    straight: list[str],
    count: int,
) -> StreamFigures:
    clients = _start_clients(group, addresses, count, TOKENS)
    time.sleep(SETTLE_SECONDS)
    used = _watch_cpu(measured, lambda: time.sleep(MEASURE_SECONDS))
    rss = read_rss(measured.pid)
    seen = _collect(clients)
    direct = _collect(_start_clients(group, straight, count, TOKENS))
    # All streams run throughout the measured while, at the engines' pace.
    chunks = seen['answered'] * MEASURE_SECONDS / TOKEN_SECONDS
    return StreamFigures(count, used, chunks, rss, seen, direct)


def _measure_calls(
    group: ProcessGroup, site: Site, daemon: Process, idle: float, count: int
) -> Point:
    started = time.monotonic()

    def run() -> None:
        _collect(_start_clients(group, _for_clients(site.entries[0]), count, 1))

    used = _watch_cpu(daemon, run)
    elapsed = time.monotonic() - started
    return Point(count, (used - idle * elapsed) * MICROSECONDS)


def _watch_cpu(measured: Process, meanwhile: Callable[[], None]) -> float:
    before = read_cpu_seconds(measured.pid)
    meanwhile()
    return read_cpu_seconds(measured.pid) - before


def _start_clients(
    group: ProcessGroup, addresses: list[str], count: int, tokens: int
) -> list[Process]:
    each = count // len(addresses)
    return [
        group.start(
            f'client-{number}',
            'fireflyhitch_bench.capacity_client',
            [
                address,
                PLAN.model,
                API_KEY,
                f'--streams={each}',
                f'--tokens={tokens}',
            ],
        )
        for number, address in enumerate(addresses)
    ]


def _for_clients(address: str) -> list[str]:
    return [address for _ in range(CLIENTS)]


def _collect(clients: list[Process]) -> dict[str, Any]:
    """Return the worst of what the clients saw, and the sums of their counts."""
    seen = [client.ready for client in clients]
    collected: dict[str, Any] = {}
    for name in seen[0]:
        pick = sum if name in {'answered', 'chunks'} else max
        collected[name] = pick(one[name] for one in seen)
    return collected
