"""Templates with typed parameters for deployments and customers."""

import re
from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Any

from pydantic import AwareDatetime, Field, StrictBool, TypeAdapter, ValidationError

from fireflyhitch_model.states import Priority
from fireflyhitch_settings.documents import (
    Element,
    Location,
    find_key_position,
    find_position,
    format_key,
    strip_positions,
)
from fireflyhitch_settings.errors import SettingsError
from fireflyhitch_settings.schema import (
    CapacityPlan,
    CustomerLimits,
    LatencyTarget,
    PriceEntry,
    SettingsModel,
    VersionMove,
)

# pydantic's error type for an unknown key.
UNKNOWN_KEY = 'extra_forbidden'
PLACEHOLDER = re.compile(r'\$\{([^}]*)\}')


class ParameterType(Enum):
    """Type of a template parameter."""

    STRING = 'string'
    STRINGS = 'strings'
    INTEGER = 'integer'
    NUMBER = 'number'
    BOOLEAN = 'boolean'
    TIMESTAMP = 'timestamp'
    PRIORITY = 'priority'
    PRICES = 'prices'
    MOVE = 'move'
    LATENCY = 'latency'
    LIMITS = 'limits'
    CAPACITY = 'capacity'


_ADAPTERS: dict[ParameterType, TypeAdapter[Any]] = {
    ParameterType.STRING: TypeAdapter(str),
    ParameterType.STRINGS: TypeAdapter(tuple[str, ...]),
    ParameterType.INTEGER: TypeAdapter(Annotated[int, Field(strict=True)]),
    ParameterType.NUMBER: TypeAdapter(Annotated[float, Field(strict=True)]),
    ParameterType.BOOLEAN: TypeAdapter(StrictBool),
    ParameterType.TIMESTAMP: TypeAdapter(AwareDatetime),
    ParameterType.PRIORITY: TypeAdapter(Priority),
    ParameterType.PRICES: TypeAdapter(tuple[PriceEntry, ...]),
    ParameterType.MOVE: TypeAdapter(VersionMove | None),
    ParameterType.LATENCY: TypeAdapter(LatencyTarget),
    ParameterType.LIMITS: TypeAdapter(CustomerLimits),
    ParameterType.CAPACITY: TypeAdapter(CapacityPlan),
}


class Parameter(SettingsModel):
    """Declaration of a template parameter; required if it has no default."""

    type: ParameterType
    default: Any = None
    description: str = ''


class _TemplateSchema(SettingsModel):
    parameters: dict[str, Parameter] = {}
    deployment: Any = None
    customer: Any = None


_TEMPLATE = TypeAdapter(_TemplateSchema)


class TemplateUse(SettingsModel):
    """A reference to a template with parameter values."""

    template: str
    parameters: dict[str, Any] = {}


@dataclass(frozen=True, slots=True)
class Template:
    """A deployment or customer containing placeholders.

    :param section: ``deployment`` or ``customer``.
    """

    name: str
    section: str
    parameters: dict[str, Parameter]
    element: Element

    @property
    def body(self) -> Element:
        """Return the deployment or customer with its placeholders."""
        return self.element.members[self.section]


def read_template(
    name: str, element: Element, errors: list[SettingsError]
) -> Template | None:
    """Read and check a template.

    :returns: the template, or ``None`` if it cannot be used.
    """
    schema = validate(_TEMPLATE, element, ('templates', name), errors)
    if schema is None:
        return None
    sections = [key for key in ('deployment', 'customer') if key in element.members]
    if len(sections) != 1:
        message = 'a template holds either a deployment or a customer'
        errors.append(SettingsError(message, element.position, f'templates.{name}'))
        return None
    template = Template(name, sections[0], schema.parameters, element)
    before = len(errors)
    _check_placeholders(template, template.body, errors)
    _check_defaults(template, errors)
    return template if len(errors) == before else None


def fill_template(
    template: Template, use: Element, location: Location, errors: list[SettingsError]
) -> Element | None:
    """Replace the template's placeholders with the given values.

    :param use: the entry that refers to the template.
    :returns: the expanded body, or ``None`` if a value is wrong or missing.
    """
    before = len(errors)
    given = use.members.get('parameters', Element(use.position, {}, {}))
    chosen: dict[str, Element] = {}
    for name, parameter in template.parameters.items():
        parameter_location = (*location, 'parameters', name)
        found = given.members.get(name) or _read_default(template, name)
        if found is None:
            message = f'missing: template {template.name} needs this parameter'
            errors.append(
                SettingsError(message, given.position, format_key(parameter_location))
            )
            continue
        validate(_ADAPTERS[parameter.type], found, parameter_location, errors)
        chosen[name] = found
    for name in given.members.keys() - template.parameters.keys():
        message = f'unknown: template {template.name} has no such parameter'
        key = format_key((*location, 'parameters', name))
        errors.append(SettingsError(message, given.key_positions[name], key))
    if len(errors) > before:
        return None
    return _substitute(template.body, chosen)


def validate(
    adapter: TypeAdapter[Any],
    element: Element,
    location: Location,
    errors: list[SettingsError],
) -> Any:
    """Validate an element, appending errors with positions to ``errors``.

    :param location: path of the element, for the errors' keys.
    :returns: the validated value, or ``None`` if there were errors.
    """
    try:
        return adapter.validate_python(strip_positions(element))
    except ValidationError as error:
        for detail in error.errors(include_url=False, include_input=False):
            inner = _drop_union_tag(detail['loc'], element)
            key = format_key((*location, *inner))
            find = find_key_position if detail['type'] == UNKNOWN_KEY else find_position
            position = find(element, inner)
            errors.append(SettingsError(detail['msg'].lower(), position, key))
    return None


def _drop_union_tag(location: Location, element: Element) -> Location:
    kind = element.members.get('kind')
    if kind is not None and location and location[0] == kind.value:
        return location[1:]
    return location


def _check_placeholders(
    template: Template, element: Element, errors: list[SettingsError]
) -> None:
    for child in (*element.members.values(), *element.items):
        _check_placeholders(template, child, errors)
    if not isinstance(element.value, str):
        return
    for name in PLACEHOLDER.findall(element.value):
        if name not in template.parameters:
            message = f'the template declares no parameter {name!r}'
            key = f'templates.{template.name}'
            errors.append(SettingsError(message, element.position, key))


def _check_defaults(template: Template, errors: list[SettingsError]) -> None:
    for name, parameter in template.parameters.items():
        default = _read_default(template, name)
        if default is not None:
            location = ('templates', template.name, 'parameters', name, 'default')
            validate(_ADAPTERS[parameter.type], default, location, errors)


def _read_default(template: Template, name: str) -> Element | None:
    declared = template.element.members['parameters'].members[name]
    return declared.members.get('default')


def _substitute(element: Element, chosen: dict[str, Element]) -> Element:
    if isinstance(element.value, dict):
        members = {
            key: _substitute(member, chosen) for key, member in element.value.items()
        }
        return Element(element.position, members, element.key_positions)
    if isinstance(element.value, list):
        listed = [_substitute(member, chosen) for member in element.value]
        return Element(element.position, listed, {})
    if isinstance(element.value, str):
        return _substitute_text(element, element.value, chosen)
    return element


def _substitute_text(
    element: Element, text: str, chosen: dict[str, Element]
) -> Element:
    whole = PLACEHOLDER.fullmatch(text)
    if whole:
        return chosen[whole.group(1)]
    filled = PLACEHOLDER.sub(lambda match: str(chosen[match.group(1)].value), text)
    return Element(element.position, filled, {})
