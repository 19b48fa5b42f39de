"""An asynchronous interface to the platform's key-value store.

The values and results are those of the product's ``KeyValueStore``.
"""

from collections.abc import Iterable
from typing import Protocol

from fireflyhitch_model.ids import LeaseId, Revision
from fireflyhitch_model.records import immutable
from fireflyhitch_platform.keyvalue import Listing, WatchEvent, WriteResult


@immutable
class Put:
    """A value to write if its key was last written at ``expected`` (0: does not exist)."""

    key: str
    value: bytes
    expected: Revision
    lease: LeaseId | None = None


@immutable
class WatchResult:
    """Changes in order, and the revision to continue from."""

    events: tuple[WatchEvent, ...]
    revision: Revision


class AsyncStore(Protocol):
    """Compare-and-swap, leases and watches.

    Each method raises ``PlatformError``; its ``outcome`` shows whether a write
    certainly had no effect or may have had one.
    """

    async def list(self, prefix: str, *, stale: bool = False) -> Listing:
        """Read all values below a prefix; each page at its own revision.

        :param stale: allows a snapshot some seconds old, which costs less.
        :returns: with the first page's revision, from which to watch.
        """

    async def watch(self, prefix: str, after: Revision, seconds: float) -> WatchResult:
        """Wait for changes after a revision.

        :raises WatchCompacted: if that revision has been compacted.
        """

    async def put(
        self, puts: Iterable[Put], deletes: Iterable[str] = ()
    ) -> WriteResult:
        """Write all or nothing, and then delete keys, which need not exist."""

    async def grant_lease(self, seconds: float) -> LeaseId:
        """Create a lease."""

    async def keep_lease(self, lease: LeaseId) -> bool:
        """Renew a lease; return whether it still existed."""

    async def end_lease(self, lease: LeaseId) -> None:
        """Revoke a lease and delete its keys."""
