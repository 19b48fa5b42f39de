"""Moves in the key-value service, and what this daemon knows of them."""

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
    """Keeps the merge of all that was read, written and heard of."""

    def __init__(self, store: KeyValueStore) -> None:
        """Make an archive that has read nothing."""
        self._store = store
        self._entries: dict[DeploymentId, _Entry] = {}

    def find(self, deployment: DeploymentId) -> MoveRecord | None:
        """Return the record that holds, as far as known."""
        entry = self._entries.get(deployment)
        return entry.record if entry else None

    def merge(self, record: MoveRecord) -> MoveRecord:
        """Take in a record from anywhere and return what holds."""
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
        """Tell whether the store's revision of a move is known."""
        entry = self._entries.get(deployment)
        return entry is not None and entry.revision is not None

    def has_stored_withdrawal(
        self, deployment: DeploymentId, version: VersionId
    ) -> bool:
        """Tell whether the store has a version down as withdrawn."""
        entry = self._entries.get(deployment)
        if entry is None or entry.stored is None:
            return False
        return version in entry.stored.withdrawn

    def is_stored(self, deployment: DeploymentId) -> bool:
        """Tell whether the store, as last read, has all that is known."""
        entry = self._entries.get(deployment)
        return entry is None or entry.record == entry.stored

    def write(self, record: MoveRecord) -> bool:
        """Write a record if the store holds what was last read.

        An answer that was lost is settled by reading again before the next
        write: the record is found there, or the write had no effect.

        :returns: whether it is certainly in the store.
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
            logger.bind(deployment=deployment).error('move not understood')


def _key(deployment: DeploymentId) -> str:
    return f'{KEY_PREFIX}{deployment}'
