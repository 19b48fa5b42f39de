"""Parses JSON5 files and keeps the source position of each value."""

import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from json5 import loads as parse_json5
from json5 import model
from json5.loader import ModelLoader

from fireflyhitch_settings.errors import SettingsError, SourcePosition

POSITION = re.compile(r'line (\d+) column (\d+)')
FIRST_MESSAGE = re.compile(r'(?:The primary error was:\s*)?([^\n]*?)(?: at)?(?::|$)')

Scalar = str | int | float | bool | None
# A path into nested values: object keys and list indexes.
Location = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Element:
    """A value with its source position.

    :param key_positions: positions of an object's keys.
    """

    position: SourcePosition
    value: 'Scalar | dict[str, Element] | list[Element]'
    key_positions: dict[str, SourcePosition]

    @property
    def members(self) -> 'dict[str, Element]':
        """Return an object's members by key, or an empty dict for other values."""
        return self.value if isinstance(self.value, dict) else {}

    @property
    def items(self) -> 'list[Element]':
        """Return a list's items, or an empty list for other values."""
        return self.value if isinstance(self.value, list) else []


def read_document(path: Path, errors: list[SettingsError]) -> Element | None:
    """Read and parse a file, appending any errors to ``errors``.

    :returns: its root element, or ``None`` if it cannot be parsed.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        errors.append(
            SettingsError(f'cannot be read: {error}', SourcePosition(str(path)))
        )
        return None
    return parse_document(str(path), text, errors)


def parse_document(file: str, text: str, errors: list[SettingsError]) -> Element | None:
    """Parse a text, appending any errors to ``errors``."""
    try:
        root = parse_json5(text, loader=ModelLoader())
    except ValueError as error:
        errors.append(_convert_parse_error(file, text, str(error)))
        return None
    return _Converter(file, errors).convert(root.value)


def strip_positions(element: Element) -> Any:
    """Return the value as plain Python objects, without positions."""
    if isinstance(element.value, dict):
        return {key: strip_positions(member) for key, member in element.value.items()}
    if isinstance(element.value, list):
        return [strip_positions(member) for member in element.value]
    return element.value


def find_position(element: Element, location: Location) -> SourcePosition:
    """Return the position of the deepest existing value on a path.

    For a missing key this is the position of the object that lacks it.
    """
    for key in location:
        found = _get_child(element, key)
        if found is None:
            return element.position
        element = found
    return element.position


def find_key_position(element: Element, location: Location) -> SourcePosition:
    """Return the position of a path's last key instead of its value."""
    *outer, key = location
    for step in outer:
        element = _get_child(element, step) or element
    return element.key_positions.get(str(key), element.position)


def format_key(location: Sequence[str | int]) -> str:
    """Format a path, for example as ``customers[2].limits``."""
    return ''.join(_format_parts(location)).removeprefix('.')


def _format_parts(location: Sequence[str | int]) -> Iterator[str]:
    for key in location:
        yield f'[{key}]' if isinstance(key, int) else f'.{key}'


def _get_child(element: Element, key: str | int) -> Element | None:
    if isinstance(key, str):
        return element.members.get(key)
    items = element.items
    return items[key] if 0 <= key < len(items) else None


def _read_key(key: Any) -> str:
    text = key.characters if isinstance(key, model.String) else key.name
    return str(text)


def _convert_parse_error(file: str, text: str, message: str) -> SettingsError:
    position = POSITION.search(message)
    first = FIRST_MESSAGE.search(message.removeprefix(_MANY_ERRORS).strip())
    reason = first.group(1).strip() if first else message
    if position:
        line, column = (int(figure) for figure in position.groups())
        return SettingsError(f'not JSON: {reason}', SourcePosition(file, line, column))
    lines = text.splitlines() or ['']
    end = SourcePosition(file, len(lines), len(lines[-1]) + 1)
    return SettingsError(f'not JSON: {reason}', end)


_MANY_ERRORS = 'There were multiple errors parsing the JSON5 document.'


class _Converter:
    """Converts parser nodes to elements and reports duplicate keys."""

    def __init__(self, file: str, errors: list[SettingsError]) -> None:
        self._file = file
        self._errors = errors

    def convert(self, node: Any) -> Element:
        """Convert a node and its children."""
        position = self._find_position(node)
        if isinstance(node, model.JSONObject):
            return self._convert_object(node, position)
        if isinstance(node, model.JSONArray):
            listed: list[Element] = [self.convert(child) for child in node.values]
            return Element(position, listed, {})
        return Element(position, self._convert_scalar(node, position), {})

    def _convert_object(
        self, node: model.JSONObject, position: SourcePosition
    ) -> Element:
        members: dict[str, Element] = {}
        key_positions: dict[str, SourcePosition] = {}
        for pair in node.key_value_pairs:
            key = _read_key(pair.key)
            key_position = self._find_position(pair.key)
            if key in members:
                first = key_positions[key]
                message = f'the key stands twice, first at line {first.line}'
                self._errors.append(SettingsError(message, key_position, key))
            members[key] = self.convert(pair.value)
            key_positions[key] = key_position
        return Element(position, members, key_positions)

    def _convert_scalar(self, node: Any, position: SourcePosition) -> Scalar:
        if isinstance(node, model.String):
            return node.characters
        if isinstance(node, (model.NaN, model.Infinity)):
            self._errors.append(SettingsError('not a finite number', position))
            return 0
        if isinstance(node, model.UnaryOp):
            number = node.value.value  # type: ignore[attr-defined]
            return -number if node.op == '-' else number  # type: ignore[no-any-return]
        return node.value  # type: ignore[no-any-return]

    def _find_position(self, node: Any) -> SourcePosition:
        # The parser's columns are 0-based.
        return SourcePosition(self._file, node.lineno or 1, (node.col_offset or 0) + 1)
