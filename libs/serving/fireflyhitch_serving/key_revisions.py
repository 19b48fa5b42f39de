"""Tracks the revisions of the store's keys below a prefix.

While the store is unreachable the last state stays valid. Keys it lost meanwhile may
belong to live servers that could not renew their leases, so they are kept until shortly
after its return, by when live servers have written them again.
"""

from collections.abc import Callable

from fireflyhitch_model.eras import find_era
from fireflyhitch_model.ids import Revision
from fireflyhitch_platform.keyvalue import KeyValue, Listing
from fireflyhitch_serving.changes import Change, ChangeSpan

# Removed keys remembered, so that a stale read doesn't restore them.
MAX_REMOVED = 1000

# Called with a key's new value (``None`` if it was removed) and its revision; must
# return at once.
ChangeCallback = Callable[[str, bytes | None, Revision], None]


class KeyRevisions:
    """The newest revision of each key, and which keys were removed or are missing."""

    def __init__(
        self,
        is_settled: Callable[[], bool],
        on_change: ChangeCallback,
        on_missing: Callable[[str], None],
    ) -> None:
        """Create an empty table.

        :param is_settled: returns whether keys that the store lacks now are gone for
            good.
        :param on_missing: called with a key that is kept although the store lacks it.
        """
        self._is_settled = is_settled
        self._on_change = on_change
        self._on_missing = on_missing
        self._revisions: dict[str, Revision] = {}
        self._values: dict[str, bytes] = {}
        self._removed: dict[str, Revision] = {}
        self._missing: dict[str, Revision] = {}

    @property
    def count(self) -> int:
        """Return the number of keys, missing ones included."""
        return len(self._revisions)

    @property
    def has_missing(self) -> bool:
        """Return whether keys are kept that the store lacks."""
        return bool(self._missing)

    def is_newer(self, key: str, revision: Revision) -> bool:
        """Return whether a value is newer than the stored one.

        A stale read returns old values, and keys that have been removed since.
        """
        return revision > max(self._revisions.get(key, -1), self._removed.get(key, -1))

    def list_items(self) -> tuple[KeyValue, ...]:
        """Return all keys, missing ones included."""
        return tuple(
            KeyValue(key, self._values[key], revision, revision)
            for key, revision in self._revisions.items()
        )

    def find_changes(self, listing: Listing) -> list[Change]:
        """Return the changes in a listing that are new here."""
        found = [
            Change(item.key, item.value, item.revision)
            for item in listing.items
            if self.is_newer(item.key, item.revision) and not self._is_reread(item)
        ]
        present = {item.key for item in listing.items}
        gone = sorted(self._revisions.keys() - present)
        found.extend(Change(key, None, listing.revision) for key in gone)
        return found

    def _is_reread(self, item: KeyValue) -> bool:
        """Return whether a key has the value that it had before the store was restored.

        The store holds all keys again then; those that are as before are no change.
        """
        known = self._revisions.get(item.key)
        return (
            known is not None
            and find_era(item.revision) > find_era(known)
            and item.value == self._values[item.key]
            and item.key not in self._missing
        )

    def find_span(self, prefix: str, listing: Listing, since: Revision) -> ChangeSpan:
        """Return all changes since a revision that are known here.

        :param listing: applied before.
        """
        changes = [
            Change(key, self._values[key], revision)
            for key, revision in self._revisions.items()
            if revision > since and key not in self._missing
        ]
        removed = {**self._removed, **self._missing}
        changes.extend(
            Change(key, None, revision)
            for key, revision in removed.items()
            if revision > since
        )
        return ChangeSpan(prefix, changes, since, listing.revision)

    def find_new_revisions(self, listing: Listing) -> list[Revision]:
        """Return the revisions of the changes in a listing that are new here.

        Keys that are kept although the store lacks them are left out.
        """
        return [
            change.revision
            for change in self.find_changes(listing)
            if change.value is not None or change.key not in self._missing
        ]

    def apply(self, change: Change) -> None:
        """Apply a key's new value, or its absence from the store."""
        if change.value is None:
            self._mark_absent(change.key, change.revision)
        elif self.is_newer(change.key, change.revision):
            self._missing.pop(change.key, None)
            self._revisions[change.key] = change.revision
            self._values[change.key] = change.value
            self._on_change(change.key, change.value, change.revision)

    def drop_missing(self) -> None:
        """Remove the keys that did not come back, once the store has settled."""
        if not self._missing or not self._is_settled():
            return
        for key, revision in self._missing.items():
            self._remove(key, revision)
        self._missing = {}

    def _mark_absent(self, key: str, revision: Revision) -> None:
        if key not in self._revisions or self._revisions[key] > revision:
            return
        if self._is_settled():
            self._remove(key, revision)
        elif key not in self._missing:
            self._missing[key] = revision
            self._on_missing(key)

    def _remove(self, key: str, revision: Revision) -> None:
        self._revisions.pop(key, None)
        self._values.pop(key, None)
        self._removed[key] = revision
        if len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]
        self._on_change(key, None, revision)
