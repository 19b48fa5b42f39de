"""Renders documents as text and JSON."""

import difflib
import json
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

INDENT = '  '


def render_json(document: object) -> str:
    """Render a document as one line of JSON."""
    return json.dumps(document, ensure_ascii=False, separators=(',', ':'))


def render_text(document: Mapping[str, Any]) -> str:
    """Render a document as human-readable lines and tables."""
    return '\n'.join(_render_mapping(document, ''))


def render_difference(
    old: object, new: object, old_name: str, new_name: str
) -> Iterator[str]:
    """Yield the lines of a unified diff between two documents."""
    return difflib.unified_diff(
        _list_lines(old), _list_lines(new), old_name, new_name, lineterm=''
    )


def render_table(rows: Sequence[Mapping[str, Any]]) -> Iterator[str]:
    """Yield a header and one line per row; the columns are the rows' keys."""
    columns = list(dict.fromkeys(name for row in rows for name in row))
    cells = [columns]
    cells.extend([_render_value(row.get(name)) for name in columns] for row in rows)
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for line in cells:
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        yield INDENT.join(padded).rstrip()


def _render_mapping(document: Mapping[str, Any], indent: str) -> Iterator[str]:
    for name, member in document.items():
        if isinstance(member, Mapping) and member:
            yield f'{indent}{name}:'
            yield from _render_mapping(member, indent + INDENT)
        elif _is_table(member):
            yield f'{indent}{name}:'
            yield from (f'{indent}{INDENT}{line}' for line in render_table(member))
        else:
            yield f'{indent}{name}: {_render_value(member)}'


def _is_table(member: object) -> bool:
    if not isinstance(member, list) or not member:
        return False
    return all(isinstance(row, Mapping) for row in member)


def _render_value(member: object) -> str:
    if member is None:
        return '-'
    if isinstance(member, bool):
        return 'yes' if member else 'no'
    if isinstance(member, float):
        return f'{member:.6g}'
    if isinstance(member, list):
        return ', '.join(_render_value(part) for part in member) or '-'
    if isinstance(member, Mapping):
        return render_json(member)
    return str(member)


def _list_lines(document: object) -> list[str]:
    text = json.dumps(document, ensure_ascii=False, indent=2, sort_keys=True)
    return text.splitlines()


def join_lines(lines: Iterable[str]) -> str:
    """Join lines into one text."""
    return '\n'.join(lines)
