"""docs/CAPACITY.md, made from the sweep that the platform's bench has played.

``make bench NAME=capacity`` prints the slopes of docs/sweep.txt, the kept output of the
last sweep, and renders the page anew. Nothing is measured here.
"""

import json
import re
import sys
from dataclasses import dataclass
from pathlib import Path

SWEEP = 'docs/sweep.txt'
PAGE = 'docs/CAPACITY.md'
HEAD = 'middle / busiest'
# A name, columns of ``middle / busiest`` or a dash, a power, and a figure at the target.
ROW = re.compile(
    r'^(?P<name>.*?)  +(?P<columns>(?:[\d.]+ / [\d.]+|-)(?: +(?:[\d.]+ / [\d.]+|-))*)'
    r' +(?P<power>-?[\d.]+) +(?P<target>[\d.]+)$'
)
DAY = re.compile(
    r'^(?P<name>sweep-\d+) +(?P<own>\d+)/(?P<servers>\d+) +[\d.]+ +(?P<worth>-?[\d.]+)'
    r' +(?P<served>[\d.]+) .*?(?P<broken>BROKEN: .*)?$'
)

# What the size to come allows a node, and what of a measured row it is compared with.
BOUNDS = {
    'daemon: processor %': 'control at most 4.1% of a core; the row holds serving as well',
    'daemon: memory MB': '128',
    'daemon: kB a second': '12 for control; the row holds callers and servers as well',
    'config acked, ms': '4,000 until a change is in force',
}


class SweepError(Exception):
    """The kept output is not that of a sweep."""


@dataclass(frozen=True, slots=True)
class Slope:
    """One measured quantity by number of instances.

    :param columns: middle and busiest as the sweep prints them, one a size.
    :param power: the busiest grows as instances to this power.
    :param target: where that leads at the size to come.
    """

    name: str
    columns: tuple[str, ...]
    power: float
    target: float


@dataclass(frozen=True, slots=True)
class SweepDay:
    """The day that was played at one size.

    :param broken: what was wrong with it; empty if nothing was.
    """

    name: str
    instances: int
    servers: int
    worth: float
    served: float
    broken: str


@dataclass(frozen=True, slots=True)
class Sweep:
    """A sweep's figures."""

    sizes: tuple[str, ...]
    target: str
    days: tuple[SweepDay, ...]
    slopes: tuple[Slope, ...]


def read_sweep(text: str) -> Sweep:
    """Read the output of a sweep.

    :raises SweepError: if it holds no table of sizes.
    """
    lines = text.splitlines()
    heads = [number for number, line in enumerate(lines) if line.startswith(HEAD)]
    if not heads:
        raise SweepError(f'{SWEEP} holds no table that begins with {HEAD!r}')
    sizes, _, target = lines[heads[0] + 1].partition(' power ')
    return Sweep(
        tuple(sizes.split()),
        target.split()[-1],
        tuple(_read_day(found) for found in map(DAY.match, lines) if found),
        tuple(_read_slope(found) for found in map(ROW.match, lines) if found),
    )


def _read_day(found: re.Match[str]) -> SweepDay:
    return SweepDay(
        found['name'],
        int(found['own']),
        int(found['servers']),
        float(found['worth']),
        float(found['served']),
        found['broken'] or '',
    )


def _read_slope(found: re.Match[str]) -> Slope:
    columns = re.findall(r'[\d.]+ / [\d.]+|-', found['columns'])
    return Slope(
        found['name'].strip(),
        tuple(columns),
        float(found['power']),
        float(found['target']),
    )


def render_page(sweep: Sweep) -> str:
    """Return docs/CAPACITY.md."""
    head = ' | '.join(sweep.sizes)
    rule = ' | '.join('---' for _ in sweep.sizes)
    days = [
        f'| {day.name} | {day.instances} | {day.servers} | {day.worth:.3f} |'
        f' {day.served:.3f} | {day.broken or "nothing"} |'
        for day in sweep.days
    ]
    slopes = [
        f'| {slope.name} | {" | ".join(slope.columns)} | {slope.power:g} |'
        f' {slope.target:g} | {BOUNDS.get(slope.name, "-")} |'
        for slope in sweep.slopes
    ]
    return '\n'.join(
        (
            '# Capacity',
            '',
            f"From `{SWEEP}`, the last sweep of the platform's bench on the large site;",
            '`make bench NAME=capacity` renders this page anew, and `make test` checks',
            'that both agree. The size to come: 790 instances before 10,000 servers.',
            '',
            '## The day that was played',
            '',
            '| day | instances | servers | worth | served | wrong |',
            '| --- | --- | --- | --- | --- | --- |',
            *days,
            '',
            '## Slopes',
            '',
            'Middle and busiest daemon, or middle and longest time. The busiest grows as',
            'instances to the power given; the last figure carries that on and was not played.',
            '',
            f'| | {head} | power | at {sweep.target} | to come |',
            f'| --- | {rule} | --- | --- | --- |',
            *slopes,
            '',
            '## Targets',
            '',
            'What was aimed at, what was reached, and what binds: [design/size.md](design/size.md).',
            'What each mechanism costs by its number of peers: [design/platform.md](design/platform.md).',
            '',
        )
    )


def main() -> int:
    """Print the slopes and a line of JSON, and write the page."""
    sweep = read_sweep(Path(SWEEP).read_text(encoding='utf-8'))
    page = render_page(sweep)
    Path(PAGE).write_text(page, encoding='utf-8')
    print(page)
    print(json.dumps({slope.name: slope.target for slope in sweep.slopes}))
    return 0


if __name__ == '__main__':
    sys.exit(main())
