"""Reads operators' files into a configuration, with all errors at once."""

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
    locate,
    read_document,
    write_key,
)
from fireflyhitch_settings.errors import Place, SettingsError, raise_errors
from fireflyhitch_settings.schema import Configuration, Customer, Deployment
from fireflyhitch_settings.templates import (
    Template,
    TemplateUse,
    fill_in,
    read_template,
    validate,
)

SECTIONS = ('templates', 'deployments', 'customers')
SECTION_OF_TEMPLATE = {'deployments': 'deployment', 'customers': 'customer'}
_ADAPTERS: dict[str, TypeAdapter[Any]] = {
    'deployments': TypeAdapter(Deployment),
    'customers': TypeAdapter(Customer),
}
_USE = TypeAdapter(TemplateUse)


def load_configuration(
    paths: Iterable[str | Path], clock: Clock | None = None
) -> Configuration:
    """Read files, or all ``*.json`` files of directories, as one configuration.

    :param clock: tells whether a move's date has passed; the system's if absent.
    :raises SettingsErrors: with every error in all of the files.
    """
    loading = _Loading()
    files = list(_list_files(paths, loading.errors))
    for path in files:
        document = read_document(path, loading.errors)
        if document is not None:
            loading.add_document(document)
    loading.read_entries('deployments')
    loading.read_entries('customers')
    if not (loading.sources['deployments'] or loading.errors):
        place = Place(str(files[-1]) if files else 'settings')
        loading.errors.append(SettingsError('no deployment in any file', place))
    configuration = loading.build()
    loading.check(configuration, clock or SystemClock())
    raise_errors(loading.errors)
    return configuration


def load_daemon_settings(path: str | Path) -> DaemonSettings:
    """Read a daemon's own settings.

    :raises SettingsErrors: with every error in the file.
    """
    errors: list[SettingsError] = []
    document = read_document(Path(path), errors)
    settings = None
    if document is not None:
        settings = validate(TypeAdapter(DaemonSettings), document, (), errors)
    raise_errors(errors)
    assert isinstance(settings, DaemonSettings)
    return settings


@dataclass(slots=True)
class _Entry:
    """A checked deployment or customer and the element it was read from.

    :param index: its place among all entries, also those that have errors.
    """

    index: int
    checked: Any
    element: Element


@dataclass(slots=True)
class _Loading:
    """What has been read so far, and all errors found."""

    errors: list[SettingsError] = field(default_factory=list)
    templates: dict[str, Template | None] = field(default_factory=dict)
    sources: dict[str, list[Element]] = field(
        default_factory=lambda: {'deployments': [], 'customers': []}
    )
    entries: dict[str, list[_Entry]] = field(
        default_factory=lambda: {'deployments': [], 'customers': []}
    )

    def add_document(self, document: Element) -> None:
        """Take over a file's templates, deployments and customers."""
        if not isinstance(document.value, dict):
            self._add_error('the file must hold an object', document, ())
            return
        for key in document.members.keys() - set(SECTIONS):
            place = document.key_places[key]
            self.errors.append(SettingsError('unknown key', place, key))
        for section, sources in self.sources.items():
            listed = document.members.get(section)
            if listed is None:
                continue
            if not isinstance(listed.value, list):
                self._add_error('must be a list', document, (section,))
            sources.extend(listed.items)
        self._add_templates(document)

    def read_entries(self, section: str) -> None:
        """Fill in and check each entry of a section by itself."""
        for index, source in enumerate(self.sources[section]):
            location: Location = (section, index)
            element = self._expand(section, source, location)
            if element is None:
                continue
            checked = validate(_ADAPTERS[section], element, location, self.errors)
            if checked is not None:
                self.entries[section].append(_Entry(index, checked, element))

    def build(self) -> Configuration:
        """Return what is right in itself as a configuration."""
        return Configuration(
            deployments=tuple(entry.checked for entry in self.entries['deployments']),
            customers=tuple(entry.checked for entry in self.entries['customers']),
        )

    def check(self, configuration: Configuration, clock: Clock) -> None:
        """Check the parts against each other."""
        for finding in check_configuration(configuration, clock.now()):
            section, index, *inner = finding.location
            if inner[0] == 'customers' and self._lacks_customers():
                continue
            entry = self.entries[str(section)][int(index)]
            place = locate(entry.element, tuple(inner))
            key = write_key((section, entry.index, *inner))
            self.errors.append(SettingsError(finding.message, place, key))

    def _lacks_customers(self) -> bool:
        # A customer with an error of its own is not missing for deployments.
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
        place = source.members['template'].place
        key = write_key((*location, 'template'))
        if use.template not in self.templates:
            message = f'there is no template {use.template!r}'
            self.errors.append(SettingsError(message, place, key))
            return None
        template = self.templates[use.template]
        if template is None:
            return None
        if template.section != SECTION_OF_TEMPLATE[section]:
            message = f'{use.template!r} is a template of a {template.section}'
            self.errors.append(SettingsError(message, place, key))
            return None
        return fill_in(template, source, location, self.errors)

    def _add_error(self, message: str, element: Element, location: Location) -> None:
        place = locate(element, location)
        self.errors.append(SettingsError(message, place, write_key(location)))


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
            errors.append(SettingsError(message, Place(str(path))))
        yield from found
