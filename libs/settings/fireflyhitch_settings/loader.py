"""Loads settings files and reports all errors at once."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from pydantic import TypeAdapter

from fireflyhitch_model.clock import Clock, SystemClock
from fireflyhitch_settings.bootstrap import DaemonSettings
from fireflyhitch_settings.checks import check_configuration
from fireflyhitch_settings.documents import (
    Element,
    Location,
    find_position,
    format_key,
    read_document,
)
from fireflyhitch_settings.errors import SettingsError, SourcePosition, raise_errors
from fireflyhitch_settings.schema import Configuration, Customer, Deployment
from fireflyhitch_settings.templates import (
    Template,
    TemplateUse,
    fill_template,
    read_template,
    validate,
)

MIN_PEER_KEY = 16
SECTIONS = ('templates', 'deployments', 'customers')
TEMPLATE_SECTIONS = {'deployments': 'deployment', 'customers': 'customer'}
_ADAPTERS: dict[str, TypeAdapter[Any]] = {
    'deployments': TypeAdapter(Deployment),
    'customers': TypeAdapter(Customer),
}
_USE = TypeAdapter(TemplateUse)


def load_configuration(
    paths: Iterable[str | Path], clock: Clock | None = None
) -> Configuration:
    """Load files, or all ``*.json`` files of directories, as one configuration.

    :param clock: used to reject move dates that have passed; defaults to the
        system clock.
    :raises SettingsErrors: with every error in all files.
    """
    loader = _ConfigurationLoader()
    files = list(_list_files(paths, loader.errors))
    for path in files:
        document = read_document(path, loader.errors)
        if document is not None:
            loader.add_document(document)
    loader.read_entries('deployments')
    loader.read_entries('customers')
    if not (loader.sources['deployments'] or loader.errors):
        position = SourcePosition(str(files[-1]) if files else 'settings')
        loader.errors.append(SettingsError('no deployment in any file', position))
    configuration = loader.build()
    loader.check(configuration, clock or SystemClock())
    raise_errors(loader.errors)
    return configuration


def load_daemon_settings(path: str | Path) -> DaemonSettings:
    """Load a daemon's own settings.

    :raises SettingsErrors: with every error in the file.
    """
    errors: list[SettingsError] = []
    document = read_document(Path(path), errors)
    settings = None
    if document is not None:
        settings = validate(TypeAdapter(DaemonSettings), document, (), errors)
        _check_peer_key(document, errors)
    raise_errors(errors)
    assert isinstance(settings, DaemonSettings)
    return settings


def _check_peer_key(document: Element, errors: list[SettingsError]) -> None:
    given = document.members.get('peer_key')
    if given is None or len(str(given.value)) >= MIN_PEER_KEY:
        return
    message = f'has to have at least {MIN_PEER_KEY} characters'
    errors.append(SettingsError(message, given.position, 'peer_key'))


@dataclass(slots=True)
class _Entry:
    """A validated deployment or customer and its source element.

    :param index: its index among all entries, including those with errors.
    """

    index: int
    checked: Any
    element: Element


@dataclass(slots=True)
class _ConfigurationLoader:
    """The entries loaded so far and all errors found."""

    errors: list[SettingsError] = field(default_factory=list)
    templates: dict[str, Template | None] = field(default_factory=dict)
    sources: dict[str, list[Element]] = field(
        default_factory=lambda: {'deployments': [], 'customers': []}
    )
    entries: dict[str, list[_Entry]] = field(
        default_factory=lambda: {'deployments': [], 'customers': []}
    )

    def add_document(self, document: Element) -> None:
        """Add a file's templates, deployments and customers."""
        if not isinstance(document.value, dict):
            self._add_error('the file must hold an object', document, ())
            return
        for key in document.members.keys() - set(SECTIONS):
            position = document.key_positions[key]
            self.errors.append(SettingsError('unknown key', position, key))
        for section, sources in self.sources.items():
            listed = document.members.get(section)
            if listed is None:
                continue
            if not isinstance(listed.value, list):
                self._add_error('must be a list', document, (section,))
            sources.extend(listed.items)
        self._add_templates(document)

    def read_entries(self, section: str) -> None:
        """Expand and validate each entry of a section."""
        for index, source in enumerate(self.sources[section]):
            location: Location = (section, index)
            element = self._expand(section, source, location)
            if element is None:
                continue
            checked = validate(_ADAPTERS[section], element, location, self.errors)
            if checked is not None:
                self.entries[section].append(_Entry(index, checked, element))

    def build(self) -> Configuration:
        """Build a configuration from the valid entries."""
        return Configuration(
            deployments=tuple(entry.checked for entry in self.entries['deployments']),
            customers=tuple(entry.checked for entry in self.entries['customers']),
        )

    def check(self, configuration: Configuration, clock: Clock) -> None:
        """Check the entries against each other."""
        for finding in check_configuration(configuration, clock.now()):
            section, index, *inner = finding.location
            if inner[0] == 'customers' and self._lacks_customers():
                continue
            entry = self.entries[str(section)][int(index)]
            position = find_position(entry.element, tuple(inner))
            key = format_key((section, entry.index, *inner))
            self.errors.append(SettingsError(finding.message, position, key))

    def _lacks_customers(self) -> bool:
        # A customer that failed validation must not also be reported as missing.
        return len(self.entries['customers']) < len(self.sources['customers'])

    def _add_templates(self, document: Element) -> None:
        section = document.members.get('templates')
        if section is None:
            return
        if not isinstance(section.value, dict):
            self._add_error('must be an object', document, ('templates',))
        for name, element in section.members.items():
            if name in self.templates:
                self._add_error('the same name twice', document, ('templates', name))
            self.templates[name] = read_template(name, element, self.errors)

    def _expand(
        self, section: str, source: Element, location: Location
    ) -> Element | None:
        if 'template' not in source.members:
            return source
        use = validate(_USE, source, location, self.errors)
        if use is None:
            return None
        position = source.members['template'].position
        key = format_key((*location, 'template'))
        if use.template not in self.templates:
            message = f'there is no template {use.template!r}'
            self.errors.append(SettingsError(message, position, key))
            return None
        template = self.templates[use.template]
        if template is None:
            return None
        if template.section != TEMPLATE_SECTIONS[section]:
            message = f'{use.template!r} is a template of a {template.section}'
            self.errors.append(SettingsError(message, position, key))
            return None
        return fill_template(template, source, location, self.errors)

    def _add_error(self, message: str, element: Element, location: Location) -> None:
        position = find_position(element, location)
        self.errors.append(SettingsError(message, position, format_key(location)))


def _list_files(
    paths: Iterable[str | Path], errors: list[SettingsError]
) -> Iterator[Path]:
    for path in map(Path, paths):
        if not path.is_dir():
            yield path
            continue
        found = sorted(path.glob('*.json'))
        if not found:
            message = 'the directory holds no .json file'
            errors.append(SettingsError(message, SourcePosition(str(path))))
        yield from found
