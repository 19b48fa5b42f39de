"""Protocol and records of the key-value store."""

from collections.abc import Iterator
from datetime import timedelta
from typing import Protocol

from fireflyhitch_model.ids import LeaseId, Revision
from fireflyhitch_model.records import immutable


@immutable
class KeyValue:
    """A stored value.

    :param revision: the store's revision at which it was last written.
    :param created: the store's revision at which the key was created.
    """

    key: str
    value: bytes
    revision: Revision
    created: Revision


@immutable
class Listing:
    """The values below a prefix, read at one revision of the store."""

    revision: Revision
    items: tuple[KeyValue, ...]


@immutable
class Written:
    """A write that took effect."""

    revision: Revision


@immutable
class Conflict:
    """A write that had no effect because the key had another revision."""

    current: KeyValue | None


WriteResult = Written | Conflict


@immutable
class WatchEvent:
    """A change below a watched prefix; the value is ``None`` for a deletion."""

    key: str
    value: bytes | None
    revision: Revision


class WatchCompacted(Exception):
    """The requested revision was compacted: re-list, then watch again."""


class KeyValueStore(Protocol):
    """A store with compare-and-swap, leases and watches.

    Each method may raise ``PlatformError``, whose ``outcome`` tells whether a write
    certainly had no effect or may have had one. Each call counts against the
    store's rate limits; a waiting watch counts as one call.
    """

    def get(self, key: str) -> KeyValue | None:
        """Read one key."""

    def get_prefix(self, prefix: str) -> Listing:
        """Read all keys below a prefix at one revision."""

    def put_if(
        self,
        key: str,
        value: bytes,
        expected: Revision,
        lease: LeaseId | None = None,
    ) -> WriteResult:
        """Write if the key was last written at a revision (0: does not exist)."""

    def delete_if(self, key: str, expected: Revision) -> WriteResult:
        """Delete if the key was last written at a revision."""

    def grant_lease(self, duration: timedelta) -> LeaseId:
        """Create a lease; its keys are deleted when it expires."""

    def keep_lease(self, lease: LeaseId) -> bool:
        """Renew a lease.

        :returns: ``False`` if the lease has expired.
        """

    def revoke_lease(self, lease: LeaseId) -> None:
        """Revoke a lease and delete its keys."""

    def watch(
        self, prefix: str, after: Revision, timeout: timedelta
    ) -> Iterator[WatchEvent]:
        """Yield changes after a revision, in order, until the timeout.

        :raises WatchCompacted: if that revision is no longer held.
        """
