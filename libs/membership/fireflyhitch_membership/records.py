"""Configuration records, their serialization, and differences between two records.

A record keeps the text that the proposer wrote, so a daemon of an older release
forwards it unchanged, including fields that it does not know.
"""

import json
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import cached_property
from typing import Any

from loguru import logger
from pydantic import ValidationError

from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.ids import ABSENT, ChangeId, Revision
from fireflyhitch_model.states import Step
from fireflyhitch_settings.schema import Configuration

RECORD_FORMAT = 1
# Far more than can be compressed into the store's largest value.
MAX_TEXT_BYTES = 33554432
# A proposal whose response was lost is resolved within seconds; at 42,000 changes
# a day this covers a minute.
MAX_RECENT_CHANGES = 32
# The lists in the configuration and the field that identifies an item of each.
ITEM_KEYS: Mapping[str, str] = {'deployments': 'name', 'customers': 'customer_id'}

# Exceptions raised when a document does not have the expected structure.
DECODE_ERRORS = (ValueError, LookupError, TypeError, zlib.error)

Json = dict[str, Any]


@dataclass(frozen=True)
class ConfigurationRecord:
    """One accepted configuration.

    :param recent: the most recent changes, including this one, with the revisions
        at which they were accepted.
    :param text: the configuration as canonical JSON.
    """

    revision: Revision
    change_id: ChangeId
    recent: tuple[tuple[ChangeId, Revision], ...]
    text: str

    @cached_property
    def content(self) -> int:
        """Return a hash of the text."""
        return hash_text(self.text)

    @cached_property
    def configuration(self) -> Configuration:
        """Return the parsed configuration, without fields that this release lacks.

        :raises ValidationError: if it is invalid.
        """
        return parse_configuration(self.text)

    def accepted_revision(self, change_id: ChangeId) -> Revision:
        """Return the revision at which a recent change was accepted, or 0."""
        return dict(self.recent).get(change_id, ABSENT)

    def follow(
        self, revision: Revision, change_id: ChangeId, configuration: Configuration
    ) -> 'ConfigurationRecord':
        """Return the record of the next change.

        Defaults are written out, so that a release with other defaults does not change
        what the operator accepted.
        """
        recent = (*self.recent, (change_id, revision))[-MAX_RECENT_CHANGES:]
        text = write_canonical(configuration.model_dump(mode='json'))
        return ConfigurationRecord(revision, change_id, recent, text)


EMPTY_RECORD = ConfigurationRecord(ABSENT, ChangeId(''), (), '{}')


def pack(record: ConfigurationRecord) -> bytes:
    """Serialize a record as compressed JSON, the stored format."""
    document = {
        'format': RECORD_FORMAT,
        'revision': record.revision,
        'change_id': record.change_id,
        'recent': record.recent,
        'configuration': json.loads(record.text),
    }
    return zlib.compress(write_canonical(document).encode())


def unpack(content: bytes, peer: str) -> ConfigurationRecord:
    """Deserialize a stored record.

    :raises PlatformError: if the content is not a valid record.
    """
    try:
        document = json.loads(_inflate(content))
        return ConfigurationRecord(
            Revision(int(document['revision'])),
            ChangeId(str(document['change_id'])),
            tuple((ChangeId(one), Revision(at)) for one, at in document['recent']),
            write_canonical(document['configuration']),
        )
    except DECODE_ERRORS as error:
        raise PlatformError(
            'unreadable configuration', step=Step.CONFIGURE, peer=peer
        ) from error


def pack_difference(base: ConfigurationRecord, record: ConfigurationRecord) -> bytes:
    """Return the serialized difference between a record and a later one."""
    old = json.loads(base.text)
    new = json.loads(record.text)
    other_fields = {key: value for key, value in new.items() if key not in ITEM_KEYS}
    difference = {
        'plain': other_fields,
        'recent': record.recent,
        'set': {key: _changed(old, new, key) for key in ITEM_KEYS},
        'removed': {key: _removed(old, new, key) for key in ITEM_KEYS},
    }
    return zlib.compress(write_canonical(difference).encode())


def apply_difference(
    base: ConfigurationRecord,
    content: bytes,
    revision: Revision,
    change_id: ChangeId,
) -> ConfigurationRecord | None:
    """Apply a serialized difference and return the later record.

    Existing items keep their positions and new ones are appended. A difference does
    not encode the order of items; the caller detects a wrong order by the content
    hash.

    :returns: ``None`` if the difference cannot be decoded.
    """
    try:
        difference = json.loads(_inflate(content))
        old = json.loads(base.text)
        new = dict(difference['plain'])
        for key in ITEM_KEYS:
            new[key] = _apply_items(
                old.get(key, []),
                difference['set'][key],
                frozenset(difference['removed'][key]),
                key,
            )
        recent = tuple(
            (ChangeId(one), Revision(at)) for one, at in difference['recent']
        )
    except DECODE_ERRORS:
        return None
    return ConfigurationRecord(revision, change_id, recent, write_canonical(new))


def parse_configuration(text: str) -> Configuration:
    """Parse a configuration, ignoring unknown fields.

    Operator input is checked for unknown fields before it is accepted. Here they can
    only come from a newer release that runs concurrently; rejecting them would keep
    this daemon on an old configuration until it is upgraded.

    :raises ValidationError: if it is invalid in any other way.
    """
    document = json.loads(text)
    try:
        return Configuration.model_validate(document)
    except ValidationError as error:
        unknown = [one['loc'] for one in error.errors() if _is_unknown(one['type'])]
        if not unknown:
            raise
    for location in unknown:
        _remove(document, location)
    logger.bind(step=Step.CONFIGURE.value).warning(
        'unknown fields ignored', fields=unknown
    )
    return Configuration.model_validate(document)


def write_canonical(document: object) -> str:
    """Return canonical JSON, identical for equal documents."""
    return json.dumps(document, sort_keys=True, separators=(',', ':'))


def _inflate(content: bytes) -> bytes:
    inflater = zlib.decompressobj()
    text = inflater.decompress(content, MAX_TEXT_BYTES)
    if inflater.unconsumed_tail:
        raise ValueError('too large')
    return text


def _index(document: Json, key: str) -> dict[str, Json]:
    return {item[ITEM_KEYS[key]]: item for item in document.get(key, [])}


def _changed(old: Json, new: Json, key: str) -> list[Json]:
    before = _index(old, key)
    after = _index(new, key)
    return [item for name, item in after.items() if before.get(name) != item]


def _removed(old: Json, new: Json, key: str) -> list[str]:
    return sorted(_index(old, key).keys() - _index(new, key).keys())


def _apply_items(
    items: Iterable[Json], changed: Iterable[Json], removed: frozenset[str], key: str
) -> list[Json]:
    name = ITEM_KEYS[key]
    result = {item[name]: item for item in items if item[name] not in removed}
    result.update((item[name], item) for item in changed)
    return list(result.values())


def _is_unknown(kind: str) -> bool:
    return kind == 'extra_forbidden'


def _remove(document: Any, location: tuple[int | str, ...]) -> None:
    """Delete the field at a pydantic error location.

    Locations inside a union contain the name of its branch, which is skipped.
    """
    container = document
    for part in location[:-1]:
        if isinstance(part, int) or part in container:
            container = container[part]
    container.pop(location[-1], None)
