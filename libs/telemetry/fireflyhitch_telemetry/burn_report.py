"""Renders burn rates as text, JSON and an HTML page."""

import html
import json
from collections.abc import Iterator, Sequence

import pygal
from pygal.etree import etree

from fireflyhitch_telemetry.burn import BurnRow, BurnSnapshot
from fireflyhitch_telemetry.burn_windows import Window

MEDIAN = 0.5
TAIL = 0.95
SHOWN_ROWS = 20
HEADER_PIXELS = 120
ROW_PIXELS = 40
HEADERS = (
    'customer',
    'deployment',
    'route',
    'version',
    'requests',
    'bad',
    'p50',
    'p95',
)
STYLE = 'body{font-family:sans-serif}td,th{padding:2px 8px;text-align:left}'


def render_text(snapshot: BurnSnapshot) -> str:
    """Return a plain-text table."""
    table = [_header_cells(), *(_row_cells(row) for row in snapshot.rows)]
    widths = [max(len(cell) for cell in column) for column in zip(*table, strict=True)]
    lines = _summary_lines(snapshot)
    for cells in table:
        padded = zip(cells, widths, strict=True)
        lines.append('  '.join(cell.ljust(width) for cell, width in padded).rstrip())
    return '\n'.join(lines)


def render_json(snapshot: BurnSnapshot) -> str:
    """Return the report as one JSON object."""
    rows = []
    for row in snapshot.rows:
        document = row.model_dump(mode='json', exclude={'latencies'})
        document['burn'] = {
            window.value: row.windows[window].burn_rate(row.target.share)
            for window in Window
        }
        document['first_token_seconds'] = {
            'p50': row.latency_quantile(MEDIAN),
            'p95': row.latency_quantile(TAIL),
        }
        rows.append(document)
    whole = snapshot.model_dump(mode='json', exclude={'rows'})
    return json.dumps({**whole, 'rows': rows})


def render_html(snapshot: BurnSnapshot) -> str:
    """Return a self-contained HTML page with plots."""
    table = [_header_cells(), *(_row_cells(row) for row in snapshot.rows)]
    body = ''.join(f'<p>{html.escape(line)}</p>' for line in _summary_lines(snapshot))
    rows = ''.join(_render_cells(cells) for cells in table)
    plots = ''.join(_plot(snapshot))
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f'<title>Service-level burn</title><style>{STYLE}</style></head>'
        f'<body><h1>Service-level burn</h1>{body}'
        f'<table>{rows}</table>{plots}</body></html>'
    )


def _summary_lines(snapshot: BurnSnapshot) -> list[str]:
    domains = ', '.join(snapshot.failure_domains)
    lines = [
        f'Taken {snapshot.taken.isoformat()} from {snapshot.daemons} daemons '
        f'in {domains}; counted since {snapshot.since.isoformat()}.',
    ]
    if snapshot.unreached:
        missing = ', '.join(snapshot.unreached)
        lines.append(f'Not all daemons could be asked in: {missing}.')
    lines.append('Burn 1 uses up the error budget exactly; more is too fast.')
    return lines


def _header_cells() -> list[str]:
    return [*HEADERS, *(f'burn {window.value}' for window in Window)]


def _row_cells(row: BurnRow) -> list[str]:
    longest = row.windows[Window.DAYS_3]
    burns = [row.windows[window].burn_rate(row.target.share) for window in Window]
    return [
        *row.key,
        str(longest.good + longest.bad),
        str(longest.bad),
        _format_seconds(row.latency_quantile(MEDIAN)),
        _format_seconds(row.latency_quantile(TAIL)),
        *(f'{burn:.2f}' for burn in burns),
    ]


def _format_seconds(seconds: float | None) -> str:
    return '-' if seconds is None else f'{seconds:.3f} s'


def _render_cells(cells: Sequence[str]) -> str:
    return f'<tr>{"".join(f"<td>{html.escape(cell)}</td>" for cell in cells)}</tr>'


def _plot(snapshot: BurnSnapshot) -> Iterator[str]:
    rows = sorted(snapshot.rows, key=_max_burn_rate, reverse=True)[:SHOWN_ROWS]
    if not rows:
        return
    names = [' '.join(row.key) for row in rows]
    for window in Window:
        chart = _make_chart(f'Burn over {window.value}', names)
        burns = [row.windows[window].burn_rate(row.target.share) for row in rows]
        chart.add('burn', burns)
        yield _render(chart)
    chart = _make_chart('Time to the first token, seconds', names)
    chart.add('p50', [row.latency_quantile(MEDIAN) for row in rows])
    chart.add('p95', [row.latency_quantile(TAIL) for row in rows])
    yield _render(chart)


def _make_chart(title: str, names: list[str]) -> pygal.HorizontalBar:
    chart = pygal.HorizontalBar(
        title=title,
        js=(),
        disable_xml_declaration=True,
        height=HEADER_PIXELS + ROW_PIXELS * len(names),
    )
    chart.x_labels = names
    return chart


def _render(chart: pygal.HorizontalBar) -> str:
    # Removes scripts, so that a content security policy may forbid them.
    tree = chart.render_tree()
    for parent in tree.iter():
        for child in list(parent):
            if str(child.tag).endswith('script'):
                parent.remove(child)
    return str(etree.tostring(tree, encoding='unicode'))


def _max_burn_rate(row: BurnRow) -> float:
    return max(row.windows[window].burn_rate(row.target.share) for window in Window)
