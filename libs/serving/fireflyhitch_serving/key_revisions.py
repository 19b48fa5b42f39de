"""What is believed of the store's keys below a prefix.

While the store is away the last belief holds. Keys that it lost meanwhile may be those
of servers that live and could not renew: they are kept until shortly after its return,
by when living servers have written them again.
"""

from collections.abc import Callable

from fireflyhitch_model.ids import Revision
from fireflyhitch_platform.keyvalue import Listing
from fireflyhitch_serving.changes import Change, ChangeSpan

# Removed keys remembered, so that an old read does not bring them back.
MOST_GONE = 1000

# Told a key's new value, none when it is gone, and its revision; returns at once.
TellChange = Callable[[str, bytes | None, Revision], None]


class KeyBeliefs:
    """The newest known revision of each key, and which keys are gone or missing."""

    def __init__(self, is_settled: Callable[[], bool], tell: TellChange) -> None:
        """Make beliefs of nothing.

        :param is_settled: whether what the store lacks now is gone for good.
        """
        self._is_settled = is_settled
        self._tell = tell
        self._known: dict[str, Revision] = {}
        self._gone: dict[str, Revision] = {}
        self._missing: dict[str, Revision] = {}

    @property
    def count(self) -> int:
        """Return how many keys are believed to be there."""
        return len(self._known)

    @property
    def has_missing(self) -> bool:
        """Tell whether keys are held that the store lacks."""
        return bool(self._missing)

    def is_news(self, key: str, revision: Revision) -> bool:
        """Tell whether a value is newer than what is known.

        A read that may be old shows what was removed since, and old values.
        """
        return revision > max(self._known.get(key, -1), self._gone.get(key, -1))

    def find_changes(self, listing: Listing) -> list[Change]:
        """Return what a list shows that is not known."""
        found = [
            Change(item.key, item.value, item.revision)
            for item in listing.items
            if self.is_news(item.key, item.revision)
        ]
        present = {item.key for item in listing.items}
        gone = sorted(self._known.keys() - present)
        found.extend(Change(key, None, listing.revision) for key in gone)
        return found

    def find_span(self, prefix: str, listing: Listing, since: Revision) -> ChangeSpan:
        """Return all that has changed since a revision, known here before or not."""
        changes = [
            Change(item.key, item.value, item.revision)
            for item in listing.items
            if item.revision > since
        ]
        removed = {**self._gone, **self._missing}
        changes.extend(
            Change(key, None, revision)
            for key, revision in removed.items()
            if revision > since
        )
        return ChangeSpan(prefix, changes, since, listing.revision)

    def find_newest_shown(self, listing: Listing) -> list[Revision]:
        """Return the revisions of what a list shows that is not known.

        Keys that are held although the store lacks them are not among these.
        """
        return [
            change.revision
            for change in self.find_changes(listing)
            if change.value is not None or change.key not in self._missing
        ]

    def take(self, change: Change) -> None:
        """Take in a key's new value, or that the store lacks it."""
        if change.value is None:
            self._lose(change.key, change.revision)
        elif self.is_news(change.key, change.revision):
            self._missing.pop(change.key, None)
            self._known[change.key] = change.revision
            self._tell(change.key, change.value, change.revision)

    def drop_missing(self) -> None:
        """Forget the keys that did not come back, once that is known."""
        if not self._missing or not self._is_settled():
            return
        for key, revision in self._missing.items():
            self._forget(key, revision)
        self._missing = {}

    def _lose(self, key: str, revision: Revision) -> None:
        if key not in self._known or self._known[key] > revision:
            return
        if self._is_settled():
            self._forget(key, revision)
        else:
            self._missing[key] = revision

    def _forget(self, key: str, revision: Revision) -> None:
        self._known.pop(key, None)
        self._gone[key] = revision
        if len(self._gone) > MOST_GONE:
            del self._gone[next(iter(self._gone))]
        self._tell(key, None, revision)
