"""A simulated store in virtual time, with injectable faults."""

import asyncio
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from fireflyhitch_model.eras import UNKNOWN_ERA, find_number, make_revision
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import ABSENT, LeaseId, Revision, StoreEra
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_platform.keyvalue import (
    Conflict,
    KeyValue,
    Listing,
    WatchCompacted,
    WatchEvent,
    WriteResult,
    Written,
)
from fireflyhitch_serving.store import Put, WatchResult
from fireflyhitch_serving.store_eras import EraTracker

ANSWER_SECONDS = 0.004
# How long a daemon waits for an answer that does not come.
CALL_SECONDS = 1.5


@dataclass(slots=True)
class VirtualStore:
    """Keys, their history, and the daemons that the store answers.

    :param unresponsive_to: daemons whose calls get no answer.
    :param stalled_watchers: daemons whose open watches never return changes.
    :param stale_seconds: age of the snapshot that stale reads return.
    :param calls: by daemon, unanswered ones included.
    :param expires_leases: whether leases end, with their keys, unless renewed.
    """

    unresponsive_to: set[str] = field(default_factory=set)
    stalled_watchers: set[str] = field(default_factory=set)
    stale_seconds: float = 0.5
    history: list[tuple[float, WatchEvent]] = field(default_factory=list)
    leases: int = 0
    calls: Counter[str] = field(default_factory=Counter)
    era: StoreEra = UNKNOWN_ERA
    expires_leases: bool = False
    kept_leases: dict[int, float] = field(default_factory=dict)
    key_leases: dict[str, int] = field(default_factory=dict)
    granted_leases: dict[int, float] = field(default_factory=dict)
    lease_seconds: dict[int, float] = field(default_factory=dict)
    lease_by_number: dict[int, int] = field(default_factory=dict)
    _revision: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, key: str, value: bytes | None) -> Revision:
        """Write a key, or delete it."""
        self._revision += 1
        now = asyncio.get_running_loop().time()
        event = WatchEvent(key, value, make_revision(self.era, self._revision))
        self.history.append((now, event))
        self._changed.set()
        self._changed = asyncio.Event()
        return event.revision

    def put_under_lease(self, put: Put) -> None:
        """Write a key that is deleted with its lease, if it has one."""
        number = find_number(self.put(put.key, put.value))
        self.key_leases.pop(put.key, None)
        self.lease_by_number.pop(number, None)
        if put.lease is not None:
            self.key_leases[put.key] = put.lease
            self.lease_by_number[number] = put.lease

    def read(self, prefix: str, until: float) -> Listing:
        """Return the keys below a prefix as of a time."""
        items: dict[str, KeyValue] = {}
        number = 0
        for at, event in self.history:
            if at > until:
                break
            number = find_number(event.revision)
            if event.value is None:
                items.pop(event.key, None)
            elif event.key.startswith(prefix):
                revision = self._as_now(event.revision)
                items[event.key] = KeyValue(event.key, event.value, revision, revision)
        return Listing(make_revision(self.era, number), tuple(items.values()))

    def find_events(self, prefix: str, after: Revision) -> tuple[WatchEvent, ...]:
        """Return the changes below a prefix after a revision."""
        return tuple(
            WatchEvent(event.key, event.value, self._as_now(event.revision))
            for _, event in self.history
            if find_number(event.revision) > find_number(after)
            and event.key.startswith(prefix)
        )

    def restore(self, seconds: float) -> dict[str, bytes | None]:
        """Come back as of some seconds ago, in a new era.

        :returns: the last values written since, by key.
        """
        until = asyncio.get_running_loop().time() - seconds
        lost = {event.key: event.value for at, event in self.history if at > until}
        self.history = [(at, event) for at, event in self.history if at <= until]
        self._revision = max(
            (find_number(event.revision) for _, event in self.history), default=0
        )
        self.era = StoreEra(self.era + 1)
        self._restore_leases(until)
        return lost

    def _restore_leases(self, until: float) -> None:
        """Hold the leases that were granted until a time, and their keys.

        The numbers of the others will be given out again.
        """
        self.granted_leases = {
            lease: granted_at
            for lease, granted_at in self.granted_leases.items()
            if granted_at <= until
        }
        self.leases = max(self.granted_leases, default=0)
        self.kept_leases = {}
        for lease in self.granted_leases:
            self.keep_lease(lease)
        self.key_leases = {}
        for item in self.read('', until).items:
            held_by = self.lease_by_number.get(find_number(item.revision))
            if held_by is not None:
                self.key_leases[item.key] = held_by

    def keep_lease(self, lease: int) -> None:
        """Grant or renew a lease."""
        now = asyncio.get_running_loop().time()
        self.kept_leases[lease] = now + self.lease_seconds[lease]

    def end_leases(self) -> None:
        """End the leases that have run out, and delete their keys."""
        now = asyncio.get_running_loop().time()
        ended = {lease for lease, until in self.kept_leases.items() if until <= now}
        if not self.expires_leases or not ended:
            return
        for lease in ended:
            del self.kept_leases[lease]
        for key, lease in tuple(self.key_leases.items()):
            if lease in ended:
                del self.key_leases[key]
                self.put(key, None)

    def _as_now(self, revision: Revision) -> Revision:
        """Return a revision as answers of the current era hold it."""
        return make_revision(self.era, find_number(revision))

    async def wait_for_change(self) -> None:
        """Wait for the next write."""
        await self._changed.wait()

    @property
    def revision(self) -> Revision:
        """Return the revision of the last write."""
        return make_revision(self.era, self._revision)


class StoreClient:
    """One daemon's calls."""

    def __init__(self, store: VirtualStore, daemon: str, eras: EraTracker) -> None:
        self._store = store
        self._daemon = daemon
        self._eras = eras

    async def list(self, prefix: str, *, stale: bool = False) -> Listing:
        """Read all values below a prefix."""
        await self._reach()
        age = self._store.stale_seconds if stale else 0
        return self._store.read(prefix, asyncio.get_running_loop().time() - age)

    async def watch(self, prefix: str, after: Revision, seconds: float) -> WatchResult:
        """Wait for changes after a revision."""
        await self._reach()
        self._check_era(after)
        ends = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < ends:
            if self._daemon in self._store.unresponsive_to:
                await self._reach()
            events = self._store.find_events(prefix, after)
            if events:
                self._check_era(after)
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
        """Write if the keys are at the expected revisions."""
        await self._reach()
        now = asyncio.get_running_loop().time()
        puts = list(puts)
        if any(put.expected and put.expected < self._eras.floor for put in puts):
            return Conflict(None)
        for put in puts:
            if put.lease is not None and put.lease not in self._store.kept_leases:
                raise PlatformError('no such lease', step=Step.STORE_LEASE)
            found = {item.key: item for item in self._store.read(put.key, now).items}
            current = found.get(put.key)
            revision = current.revision if current else ABSENT
            if revision != put.expected:
                return Conflict(current)
            self._store.put_under_lease(put)
        for key in deletes:
            self._store.put(key, None)
        return Written(self._store.revision)

    async def grant_lease(self, seconds: float) -> LeaseId:
        """Create a lease."""
        await self._reach()
        self._store.leases += 1
        now = asyncio.get_running_loop().time()
        self._store.granted_leases[self._store.leases] = now
        self._store.lease_seconds[self._store.leases] = seconds
        self._store.keep_lease(self._store.leases)
        return LeaseId(self._store.leases)

    async def keep_lease(self, lease: LeaseId) -> bool:
        """Renew a lease."""
        await self._reach()
        if lease not in self._store.kept_leases:
            return False
        self._store.keep_lease(lease)
        return True

    async def end_lease(self, lease: LeaseId) -> None:
        """Revoke a lease."""
        await self._reach()

    def _check_era(self, after: Revision) -> None:
        self._eras.record(self._store.era, 'store')
        if after < self._eras.floor:
            raise WatchCompacted

    async def _reach(self) -> None:
        self._store.calls[self._daemon] += 1
        await asyncio.sleep(ANSWER_SECONDS)
        if self._daemon not in self._store.unresponsive_to:
            self._store.end_leases()
            self._eras.record(self._store.era, 'store')
            return
        await asyncio.sleep(CALL_SECONDS)
        raise PlatformError('no answer', step=Step.STORE_READ, outcome=Outcome.UNKNOWN)
