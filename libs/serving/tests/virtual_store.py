"""The platform's store in virtual time, with the faults that it may have."""

import asyncio
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import ABSENT, LeaseId, Revision
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_platform.keyvalue import (
    Conflict,
    KeyValue,
    Listing,
    WatchEvent,
    WriteResult,
    Written,
)
from fireflyhitch_serving.store import Put, WatchResult

ANSWER_SECONDS = 0.004
# How long a daemon waits for an answer that does not come.
CALL_SECONDS = 1.5


@dataclass(slots=True)
class VirtualStore:
    """Keys, their history, and whom the store answers.

    :param unresponsive_to: daemons whose calls get no answer.
    :param stalled_watchers: daemons whose waiting watches never get their answer.
    :param stale_seconds: how old reads are that may be old.
    :param calls: by daemon, those without an answer included.
    """

    unresponsive_to: set[str] = field(default_factory=set)
    stalled_watchers: set[str] = field(default_factory=set)
    stale_seconds: float = 0.5
    history: list[tuple[float, WatchEvent]] = field(default_factory=list)
    leases: int = 0
    calls: Counter[str] = field(default_factory=Counter)
    _revision: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, key: str, value: bytes | None) -> Revision:
        """Write a key, or delete it."""
        self._revision += 1
        now = asyncio.get_running_loop().time()
        event = WatchEvent(key, value, Revision(self._revision))
        self.history.append((now, event))
        self._changed.set()
        self._changed = asyncio.Event()
        return event.revision

    def read(self, prefix: str, until: float) -> Listing:
        """Return what stood below a prefix at a time."""
        items: dict[str, KeyValue] = {}
        revision = Revision(0)
        for at, event in self.history:
            if at > until:
                break
            revision = event.revision
            if event.value is None:
                items.pop(event.key, None)
            elif event.key.startswith(prefix):
                items[event.key] = KeyValue(
                    event.key, event.value, event.revision, event.revision
                )
        return Listing(revision, tuple(items.values()))

    def find_events(self, prefix: str, after: Revision) -> tuple[WatchEvent, ...]:
        """Return the changes below a prefix after a revision."""
        return tuple(
            event
            for _, event in self.history
            if event.revision > after and event.key.startswith(prefix)
        )

    async def wait_for_change(self) -> None:
        """Wait for the next write."""
        await self._changed.wait()

    @property
    def revision(self) -> Revision:
        """Return the revision of the last write."""
        return Revision(self._revision)


class StoreClient:
    """One daemon's calls."""

    def __init__(self, store: VirtualStore, daemon: str) -> None:
        self._store = store
        self._daemon = daemon

    async def list(self, prefix: str, *, stale: bool = False) -> Listing:
        """Read all values below a prefix."""
        await self._reach()
        age = self._store.stale_seconds if stale else 0
        return self._store.read(prefix, asyncio.get_running_loop().time() - age)

    async def watch(self, prefix: str, after: Revision, seconds: float) -> WatchResult:
        """Wait for changes after a revision."""
        await self._reach()
        ends = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < ends:
            if self._daemon in self._store.unresponsive_to:
                await self._reach()
            events = self._store.find_events(prefix, after)
            if events and self._daemon not in self._store.stalled_watchers:
                return WatchResult(events, self._store.revision)
            left = ends - asyncio.get_running_loop().time()
            try:
                async with asyncio.timeout(left):
                    await self._store.wait_for_change()
            except TimeoutError:
                break
        return WatchResult((), self._store.revision)

    async def put(
        self, puts: Iterable[Put], deletes: Iterable[str] = ()
    ) -> WriteResult:
        """Write if the keys are as expected."""
        await self._reach()
        now = asyncio.get_running_loop().time()
        for put in puts:
            found = {item.key: item for item in self._store.read(put.key, now).items}
            current = found.get(put.key)
            revision = current.revision if current else ABSENT
            if revision != put.expected:
                return Conflict(current)
            self._store.put(put.key, put.value)
        for key in deletes:
            self._store.put(key, None)
        return Written(self._store.revision)

    async def grant_lease(self, seconds: float) -> LeaseId:
        """Make a lease; it is the daemon's as long as the play lasts."""
        await self._reach()
        self._store.leases += 1
        return LeaseId(self._store.leases)

    async def keep_lease(self, lease: LeaseId) -> bool:
        """Renew a lease."""
        await self._reach()
        return True

    async def end_lease(self, lease: LeaseId) -> None:
        """End a lease."""
        await self._reach()

    async def _reach(self) -> None:
        self._store.calls[self._daemon] += 1
        await asyncio.sleep(ANSWER_SECONDS)
        if self._daemon not in self._store.unresponsive_to:
            return
        await asyncio.sleep(CALL_SECONDS)
        raise PlatformError('no answer', step=Step.STORE_READ, outcome=Outcome.UNKNOWN)
