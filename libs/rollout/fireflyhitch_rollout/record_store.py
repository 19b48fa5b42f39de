"""Move records in the key-value store, merged with records from peers."""

from dataclasses import dataclass

from loguru import logger
from pydantic import ValidationError

from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import ABSENT, DeploymentId, Revision, VersionId
from fireflyhitch_platform.keyvalue import Conflict, KeyValue, KeyValueStore
from fireflyhitch_rollout.records import MoveRecord, merge_records

KEY_PREFIX = 'moves/'


@dataclass(slots=True)
class _Entry:
    record: MoveRecord | None = None
    stored: MoveRecord | None = None
    revision: Revision | None = None


class MoveRecordStore:
    """Holds the merge of all records read, written and received."""

    def __init__(self, store: KeyValueStore) -> None:
        """Create an empty store that has not read anything."""
        self._store = store
        self._entries: dict[DeploymentId, _Entry] = {}

    def find(self, deployment: DeploymentId) -> MoveRecord | None:
        """Return the merged record of a deployment."""
        entry = self._entries.get(deployment)
        return entry.record if entry else None

    def merge(self, record: MoveRecord) -> MoveRecord:
        """Merge a record from any source and return the result."""
        entry = self._entries.setdefault(record.deployment, _Entry())
        previous = entry.record
        entry.record = record if previous is None else merge_records(previous, record)
        return entry.record

    def read_all(self) -> bool:
        """Read all moves from the store.

        :returns: whether the store could be read.
        """
        try:
            listing = self._store.get_prefix(KEY_PREFIX)
        except PlatformError as error:
            logger.bind(step=error.step.value).warning('moves not read')
            return False
        for item in listing.items:
            self._apply(DeploymentId(item.key.removeprefix(KEY_PREFIX)), item)
        return True

    def read(self, deployment: DeploymentId) -> bool:
        """Read one move from the store.

        :returns: whether the store could be read.
        """
        try:
            current = self._store.get(_key(deployment))
        except PlatformError as error:
            logger.bind(step=error.step.value).warning('move not read')
            return False
        self._apply(deployment, current)
        return True

    def has_revision(self, deployment: DeploymentId) -> bool:
        """Return whether the key's revision, needed for a write, is known."""
        entry = self._entries.get(deployment)
        return entry is not None and entry.revision is not None

    def has_stored_withdrawal(
        self, deployment: DeploymentId, version: VersionId
    ) -> bool:
        """Return whether the stored record marks a version as withdrawn."""
        entry = self._entries.get(deployment)
        if entry is None or entry.stored is None:
            return False
        return version in entry.stored.withdrawn

    def is_stored(self, deployment: DeploymentId) -> bool:
        """Return whether the record last read or written equals the merged one."""
        entry = self._entries.get(deployment)
        return entry is None or entry.record == entry.stored

    def write(self, record: MoveRecord) -> bool:
        """Write a record if the key was not changed since it was last read.

        After a lost response the key is read again before the next write, which
        shows whether the write took effect.

        :returns: whether the record is known to be stored.
        """
        entry = self._entries.setdefault(record.deployment, _Entry())
        if entry.revision is None:
            return False
        expected = entry.revision
        entry.revision = None
        content = record.model_dump_json().encode()
        try:
            written = self._store.put_if(_key(record.deployment), content, expected)
        except PlatformError as error:
            logger.bind(step=error.step.value).warning('move not written')
            return False
        if isinstance(written, Conflict):
            self._apply(record.deployment, written.current)
            return False
        entry.revision = written.revision
        entry.stored = record
        self.merge(record)
        return True

    def _apply(self, deployment: DeploymentId, current: KeyValue | None) -> None:
        entry = self._entries.setdefault(deployment, _Entry())
        entry.revision = current.revision if current else ABSENT
        if current is None:
            return
        try:
            entry.stored = MoveRecord.model_validate_json(current.value)
            self.merge(entry.stored)
        except ValidationError:
            logger.bind(deployment=deployment).error('invalid move record')


def _key(deployment: DeploymentId) -> str:
    return f'{KEY_PREFIX}{deployment}'
