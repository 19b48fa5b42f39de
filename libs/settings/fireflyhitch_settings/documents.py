"""JSON with comments, read so that each value knows its place in its file."""

import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from json5 import loads as parse_json5
from json5 import model
from json5.loader import ModelLoader

from fireflyhitch_settings.errors import Place, SettingsError

POSITION = re.compile(r'line (\d+) column (\d+)')
FIRST_MESSAGE = re.compile(r'(?:The primary error was:\s*)?([^\n]*?)(?: at)?(?::|$)')

Scalar = str | int | float | bool | None
# A path into nested values: keys of objects and indexes of lists.
Location = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Element:
    """A value and where it stands.

    :param key_places: where the keys of an object stand.
    """

    place: Place
    value: 'Scalar | dict[str, Element] | list[Element]'
    key_places: dict[str, Place]

    @property
    def members(self) -> 'dict[str, Element]':
        """Return an object's values by key; empty for anything else."""
        return self.value if isinstance(self.value, dict) else {}

    @property
    def items(self) -> 'list[Element]':
        """Return a list's values; empty for anything else."""
        return self.value if isinstance(self.value, list) else []


def read_document(path: Path, errors: list[SettingsError]) -> Element | None:
    """Read a file, adding what is wrong with it to the errors.

    :returns: its value, or ``None`` if it cannot be parsed.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        errors.append(SettingsError(f'cannot be read: {error}', Place(str(path))))
        return None
    return parse_document(str(path), text, errors)


def parse_document(file: str, text: str, errors: list[SettingsError]) -> Element | None:
    """Parse a text, adding what is wrong with it to the errors."""
    try:
        root = parse_json5(text, loader=ModelLoader())
    except ValueError as error:
        errors.append(_convert_parse_error(file, text, str(error)))
        return None
    return _Converter(file, errors).convert(root.value)


def plain_value(element: Element) -> Any:
    """Return the value without places, as other libraries take it."""
    if isinstance(element.value, dict):
        return {key: plain_value(member) for key, member in element.value.items()}
    if isinstance(element.value, list):
        return [plain_value(member) for member in element.value]
    return element.value


def locate(element: Element, location: Location) -> Place:
    """Return the place of the nearest value that exists on a path.

    A missing key is shown by the object that lacks it.
    """
    for key in location:
        found = _step(element, key)
        if found is None:
            return element.place
        element = found
    return element.place


def locate_key(element: Element, location: Location) -> Place:
    """Return the place of a path's last key rather than of its value."""
    *outer, key = location
    for step in outer:
        element = _step(element, step) or element
    return element.key_places.get(str(key), element.place)


def write_key(location: Sequence[str | int]) -> str:
    """Return a path in the form ``customers[2].limits``."""
    return ''.join(_write_parts(location)).removeprefix('.')


def _write_parts(location: Sequence[str | int]) -> Iterator[str]:
    for key in location:
        yield f'[{key}]' if isinstance(key, int) else f'.{key}'


def _step(element: Element, key: str | int) -> Element | None:
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
        return SettingsError(f'not JSON: {reason}', Place(file, line, column))
    lines = text.splitlines() or ['']
    end = Place(file, len(lines), len(lines[-1]) + 1)
    return SettingsError(f'not JSON: {reason}', end)


_MANY_ERRORS = 'There were multiple errors parsing the JSON5 document.'


class _Converter:
    """Turns the parser's nodes into elements, noting double keys."""

    def __init__(self, file: str, errors: list[SettingsError]) -> None:
        self._file = file
        self._errors = errors

    def convert(self, node: Any) -> Element:
        """Return the element of a node."""
        place = self._place(node)
        if isinstance(node, model.JSONObject):
            return self._convert_object(node, place)
        if isinstance(node, model.JSONArray):
            listed: list[Element] = [self.convert(child) for child in node.values]
            return Element(place, listed, {})
        return Element(place, self._convert_scalar(node, place), {})

    def _convert_object(self, node: model.JSONObject, place: Place) -> Element:
        members: dict[str, Element] = {}
        key_places: dict[str, Place] = {}
        for pair in node.key_value_pairs:
            key = _read_key(pair.key)
            key_place = self._place(pair.key)
            if key in members:
                first = key_places[key]
                message = f'the key stands twice, first at line {first.line}'
                self._errors.append(SettingsError(message, key_place, key))
            members[key] = self.convert(pair.value)
            key_places[key] = key_place
        return Element(place, members, key_places)

    def _convert_scalar(self, node: Any, place: Place) -> Scalar:
        if isinstance(node, model.String):
            return node.characters
        if isinstance(node, (model.NaN, model.Infinity)):
            self._errors.append(SettingsError('not a finite number', place))
            return 0
        if isinstance(node, model.UnaryOp):
            number = node.value.value  # type: ignore[attr-defined]
            return -number if node.op == '-' else number  # type: ignore[no-any-return]
        return node.value  # type: ignore[no-any-return]

    def _place(self, node: Any) -> Place:
        # The parser counts columns from 0.
        return Place(self._file, node.lineno or 1, (node.col_offset or 0) + 1)
