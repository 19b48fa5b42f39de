"""Remembers which server processes have left, for a store that forgets it.

A store that comes back from an older copy lists servers as ready that have told since
that they leave, and others that are gone. They write it again within a moment, but until
then they must get no new requests.
"""

from cachetools import LRUCache

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.eras import find_era
from fireflyhitch_model.ids import ProcessId, Revision, StoreEra
from fireflyhitch_serving.servers import ServerRecord, ServerRegistry

MAX_DEPARTED = 4096
# Servers write their entries again within 2 s of the store's return; the entry of one
# that is gone has expired by then.
REWRITE_SECONDS = 3.0


class DepartedServers:
    """The processes that the store has listed as leaving, or has ceased to list."""

    def __init__(self, servers: ServerRegistry, clock: Clock) -> None:
        """Create a table without any."""
        self._servers = servers
        self._clock = clock
        self._drained: LRUCache[ProcessId, StoreEra] = LRUCache(MAX_DEPARTED)
        self._removed: LRUCache[ProcessId, StoreEra] = LRUCache(MAX_DEPARTED)

    def record_removed(self, record: ServerRecord, revision: Revision) -> None:
        """Record that a server is no longer listed."""
        self._removed[record.process] = find_era(revision)

    def record_listed(self, record: ServerRecord, revision: Revision) -> None:
        """Record an entry, and hold back a server that a restore lists again.

        A server that drains ends for certain. One whose entry was removed may live, and
        need not write again what the copy holds.
        """
        era = find_era(revision)
        if not record.server.ready:
            self._drained[record.process] = era
        elif self._drained.get(record.process, era) < era:
            self._servers.mark_leaving(record.process)
        elif self._removed.pop(record.process, era) < era:
            record.rest(REWRITE_SECONDS, self._clock.monotonic())
