"""Tells from daemons' log lines which requests were lost or late, when, and why.

Run it over the lines of all daemons::

    python -m fireflyhitch_bench.losses --late 1.0 LINES...

Lines are JSON objects, one a line, as the daemons write them; whatever stands before an
object, such as a collector's own time, is passed over.
"""

import argparse
import json
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

WINDOW_SECONDS = 2.0
ANSWERED = 'request answered'
REFUSED = 'request refused'
FAILED = 'attempt failed'
BROKEN_OFF = 'answer broken off'
# An answer was foreseen as late if this part of its time was expected.
FORESEEN_PART = 0.5
LAST_IN_A_HUNDRED = 0.99


class Cause(Enum):
    """Why an answer was late, as far as its line tells."""

    ANOTHER_FIRST = 'another server first'
    LONG_QUEUE = 'a wait that was expected'
    LATE_SERVER = 'its server, later than expected'


@dataclass(slots=True)
class Window:
    """What ended in a short time."""

    answered: int = 0
    late: int = 0
    causes: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True)
class Losses:
    """What lines tell of requests.

    :param late: seconds to a first event after which an answer is late.
    :param unreadable: lines that were cut, or another program's.
    """

    late: float
    unreadable: int = 0
    windows: defaultdict[int, Window] = field(
        default_factory=lambda: defaultdict(Window)
    )
    routes: defaultdict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    causes: defaultdict[str, Counter[Cause]] = field(
        default_factory=lambda: defaultdict(Counter)
    )

    def take(self, text: str) -> None:
        """Take in a line; those that tell of no request are passed over."""
        line = read_line(text)
        if line is None:
            self.unreadable += 1
            return
        event = line.get('event')
        if event not in {ANSWERED, REFUSED, FAILED, BROKEN_OFF}:
            return
        window = self.windows[int(line['time'] // WINDOW_SECONDS)]
        if event == ANSWERED:
            self._take_answer(line, window)
            return
        reason = line.get('code') or line.get('ending') or 'broken off'
        window.causes[f'{event}: {reason}'] += 1

    def _take_answer(self, line: dict[str, Any], window: Window) -> None:
        route = line['route']
        self.routes[route].append(line['first'])
        window.answered += 1
        if line['first'] <= self.late:
            return
        window.late += 1
        cause = find_cause(line)
        self.causes[route][cause] += 1
        window.causes[f'late: {cause.value}'] += 1


def find_cause(line: dict[str, Any]) -> Cause:
    """Return why an answer was late, from the line of its end."""
    if line['sends'] > 1:
        return Cause.ANOTHER_FIRST
    if line['expected'] >= line['first'] * FORESEEN_PART:
        return Cause.LONG_QUEUE
    return Cause.LATE_SERVER


def read_line(text: str) -> dict[str, Any] | None:
    """Return the object in a line; nothing for a cut one or another program's."""
    start = text.find('{')
    if start < 0:
        return None
    try:
        found: dict[str, Any] = json.loads(text[start:])
    except json.JSONDecodeError:
        return None
    return found


def render(losses: Losses) -> str:
    """Return tables for people: by window, then by route."""
    begin = min(losses.windows, default=0)
    rows = ['from second   answered   late   besides']
    for number, window in sorted(losses.windows.items()):
        besides = ', '.join(
            f'{cause} {count}' for cause, count in window.causes.most_common()
        )
        second = (number - begin) * WINDOW_SECONDS
        rows.append(f'{second:11.0f} {window.answered:10} {window.late:6}   {besides}')
    rows.append('')
    rows.append('route   answered   p50 s   p99 s   late, by cause')
    for route, firsts in sorted(losses.routes.items()):
        ranked = sorted(firsts)
        last = ranked[int(len(ranked) * LAST_IN_A_HUNDRED)]
        causes = ', '.join(
            f'{cause.value} {count}'
            for cause, count in losses.causes[route].most_common()
        )
        middle = ranked[len(ranked) // 2]
        rows.append(f'{route} {len(ranked):8} {middle:7.3f} {last:7.3f}   {causes}')
    rows.append('')
    rows.append(f'lines that could not be read: {losses.unreadable}')
    return '\n'.join(rows)


def main() -> None:
    """Print the tables of some files of lines."""
    parser = argparse.ArgumentParser(description='Which requests were lost, and why.')
    parser.add_argument('files', nargs='+', type=Path)
    parser.add_argument('--late', type=float, default=1.0, help='seconds')
    options = parser.parse_args()
    losses = Losses(options.late)
    for path in options.files:
        with path.open(encoding='utf-8', errors='replace') as text:
            for line in text:
                losses.take(line)
    print(render(losses))


if __name__ == '__main__':
    main()
