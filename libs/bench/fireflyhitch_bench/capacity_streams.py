"""What one daemon process spends on open streams and their chunks."""

import json
import os
import time
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from fireflyhitch_bench.processes import Process, ProcessGroup
from fireflyhitch_bench.site import API_KEY, BRANDVEILIG, Site, start_site

STREAM_COUNTS = (50, 100, 200, 400)
TOKENS = 200
TOKEN_SECONDS = 0.05
SETTLE_SECONDS = 3.0
MEASURE_SECONDS = 6.0
CLIENTS = 2
ENGINES = 4
CLOCK_TICKS = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')

PLAN = replace(
    BRANDVEILIG,
    engines=0,
    services=1,
    daemons=1,
    max_streams=1000,
)


@dataclass(frozen=True, slots=True)
class StreamFigures:
    """What was measured at one number of streams; times in seconds.

    :param cpu_per_chunk: the daemon's processor time, upkeep taken off.
    :param rss: the daemon's resident memory in bytes.
    """

    streams: int
    cpu_per_chunk: float
    core_share: float
    rss: float
    seen: dict[str, Any]
    direct: dict[str, Any]


def measure_streams() -> list[StreamFigures]:
    """Measure each number of streams, through the daemon and straight."""
    with ProcessGroup() as group:
        engines = [_start_engine(group, number) for number in range(ENGINES)]
        site = start_site(group, PLAN, engines)
        idle = _measure_idle(site.daemons[0])
        return [_measure(group, site, count, idle) for count in STREAM_COUNTS]


def read_cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    stat = Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    words = stat.rpartition(')')[2].split()
    return (int(words[11]) + int(words[12])) / CLOCK_TICKS


def read_rss(pid: int) -> int:
    """Return a process's resident memory in bytes."""
    words = Path(f'/proc/{pid}/statm').read_text(encoding='ascii').split()
    return int(words[1]) * PAGE_BYTES


def _measure_idle(daemon: Process) -> float:
    """Return the share of a core that the daemon's upkeep takes."""
    time.sleep(SETTLE_SECONDS)
    before = read_cpu_seconds(daemon.pid)
    time.sleep(MEASURE_SECONDS)
    return (read_cpu_seconds(daemon.pid) - before) / MEASURE_SECONDS


def _measure(group: ProcessGroup, site: Site, count: int, idle: float) -> StreamFigures:
    daemon = site.daemons[0]
    clients = _start_clients(group, [site.entries[0]] * CLIENTS, site, count)
    time.sleep(SETTLE_SECONDS)
    before = read_cpu_seconds(daemon.pid)
    started = time.monotonic()
    time.sleep(MEASURE_SECONDS)
    elapsed = time.monotonic() - started
    used = read_cpu_seconds(daemon.pid) - before
    rss = read_rss(daemon.pid)
    seen = _collect(clients)
    chunks = count / TOKEN_SECONDS * elapsed
    direct = _collect(_start_clients(group, _list_engines(site), site, count))
    return StreamFigures(
        count, (used - idle * elapsed) / chunks, used / elapsed, rss, seen, direct
    )


def _start_engine(group: ProcessGroup, number: int) -> Process:
    arguments = [
        f'--token-seconds={TOKEN_SECONDS}',
        '--first-token-seconds=0.1',
        '--answer-tokens=100000',
    ]
    module = 'fireflyhitch_standins.engine_server'
    return group.start(f'engine-{number}', module, arguments)


def _list_engines(site: Site) -> list[str]:
    listing = site.call_platform('GET', '/instances')['instances']
    engines = [one['server'] for one in listing if one['server']]
    return [one['address'] for one in engines if one['deployment'] == site.plan.model]


def _start_clients(
    group: ProcessGroup, addresses: list[str], site: Site, count: int
) -> list[Process]:
    each = count // len(addresses)
    return [
        group.start(
            f'client-{number}',
            'fireflyhitch_bench.capacity_client',
            [
                address,
                site.plan.model,
                API_KEY,
                f'--streams={each}',
                f'--tokens={TOKENS}',
            ],
        )
        for number, address in enumerate(addresses)
    ]


def _collect(clients: list[Process]) -> dict[str, Any]:
    """Return the worst of what the clients saw, and the sums of their counts."""
    seen = [client.ready for client in clients]
    collected: dict[str, Any] = {}
    for name in seen[0]:
        pick = sum if name in {'answered', 'chunks'} else max
        collected[name] = pick(one[name] for one in seen)
    return collected


if __name__ == '__main__':
    for figures in measure_streams():
        print(
            json.dumps(
                [
                    figures.streams,
                    figures.cpu_per_chunk * 1e6,
                    figures.core_share,
                    figures.rss / 1e6,
                    figures.seen,
                    figures.direct,
                ]
            )
        )
