"""The key-value service as the other libraries see it."""

from collections.abc import Iterator
from datetime import timedelta
from typing import Protocol

from fireflyhitch_model.ids import LeaseId, Revision
from fireflyhitch_model.records import immutable


@immutable
class KeyValue:
    """A stored value.

    :param revision: the store's revision at which it was last written.
    :param created: the store's revision at which the key came to be.
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
    """A write that had no effect, since the key held another revision."""

    current: KeyValue | None


WriteResult = Written | Conflict


@immutable
class WatchEvent:
    """A change below a watched prefix; no value means the key was deleted."""

    key: str
    value: bytes | None
    revision: Revision


class WatchCompacted(Exception):
    """The store no longer holds the revision asked for: read anew, then watch."""


class KeyValueStore(Protocol):
    """Compare-and-swap, leases and watches.

    Each method raises ``PlatformError``; its ``outcome`` tells whether a write
    certainly had no effect or may have had one. Each call counts against the
    store's rates, a waiting watch as one.
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
        """Make a lease; keys bound to it go when it ends."""

    def keep_lease(self, lease: LeaseId) -> bool:
        """Renew a lease.

        :returns: whether the lease was still there to renew.
        """

    def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""

    def watch(
        self, prefix: str, after: Revision, timeout: timedelta
    ) -> Iterator[WatchEvent]:
        """Yield changes after a revision, in order, until the timeout.

        :raises WatchCompacted: if that revision is no longer held.
        """
