"""In-memory key-value store with fault injection and a given clock."""

import threading
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from typing import TypeVar

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import ABSENT, LeaseId, Revision
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
from fireflyhitch_standins.faults import Fault, FaultPlan

MAX_VALUE_BYTES = 1024 * 1024
# Delay until a waiting watch sees an expired lease or a fault.
POLL_SECONDS = 0.05
POLL_INTERVAL = timedelta(seconds=POLL_SECONDS)
PEER = 'key-value stand-in'

Returned = TypeVar('Returned')


@dataclass(slots=True)
class _Lease:
    duration: timedelta
    ends: float
    keys: set[str] = field(default_factory=set)


class MemoryKeyValueStore:
    """In-memory ``KeyValueStore`` that counts calls by operation."""

    def __init__(self, clock: Clock) -> None:
        self.faults = FaultPlan()
        self.calls: Counter[str] = Counter()
        self._clock = clock
        self._lock = threading.Lock()
        self._new_events = threading.Event()
        self._revision = 1
        self._compacted = 0
        self._values: dict[str, KeyValue] = {}
        self._history: list[WatchEvent] = []
        self._leases: dict[LeaseId, _Lease] = {}

    @property
    def revision(self) -> int:
        """Return the revision of the last write."""
        return self._revision

    def get(self, key: str) -> KeyValue | None:
        """Read one key."""
        return self._call('get', Step.STORE_READ, lambda: self._values.get(key))

    def get_prefix(self, prefix: str) -> Listing:
        """Read all keys below a prefix at one revision."""

        def read() -> Listing:
            keys = sorted(key for key in self._values if key.startswith(prefix))
            items = tuple(self._values[key] for key in keys)
            return Listing(Revision(self._revision), items)

        return self._call('get_prefix', Step.STORE_READ, read)

    def put_if(
        self,
        key: str,
        value: bytes,
        expected: Revision,
        lease: LeaseId | None = None,
    ) -> WriteResult:
        """Write if the key was last written at a revision."""

        def write() -> WriteResult:
            current = self._values.get(key)
            revision = current.revision if current else ABSENT
            if revision != expected:
                return Conflict(current)
            if lease is not None and lease not in self._leases:
                raise PlatformError(
                    'lease not found',
                    step=Step.STORE_WRITE,
                    peer=PEER,
                    outcome=Outcome.NOT_RUN,
                )
            return self._write(key, value, current, lease)

        if len(value) > MAX_VALUE_BYTES:
            raise PlatformError(
                'value too large',
                step=Step.STORE_WRITE,
                peer=PEER,
                outcome=Outcome.NOT_RUN,
            )
        return self._call('put_if', Step.STORE_WRITE, write)

    def delete_if(self, key: str, expected: Revision) -> WriteResult:
        """Delete if the key was last written at a revision."""

        def delete() -> WriteResult:
            current = self._values.get(key)
            if current is None or current.revision != expected:
                return Conflict(current)
            return self._delete(key)

        return self._call('delete_if', Step.STORE_WRITE, delete)

    def grant_lease(self, duration: timedelta) -> LeaseId:
        """Create a lease."""

        def grant() -> LeaseId:
            self._revision += 1
            lease = LeaseId(self._revision)
            ends = self._clock.monotonic() + duration.total_seconds()
            self._leases[lease] = _Lease(duration, ends)
            return lease

        return self._call('grant_lease', Step.STORE_LEASE, grant)

    def keep_lease(self, lease: LeaseId) -> bool:
        """Renew a lease; return ``False`` if it has expired."""

        def renew() -> bool:
            held = self._leases.get(lease)
            if held is None:
                return False
            held.ends = self._clock.monotonic() + held.duration.total_seconds()
            return True

        return self._call('keep_lease', Step.STORE_LEASE, renew)

    def revoke_lease(self, lease: LeaseId) -> None:
        """Revoke a lease and delete its keys."""
        self._call('revoke_lease', Step.STORE_LEASE, lambda: self._delete_lease(lease))

    def watch(
        self, prefix: str, after: Revision, timeout: timedelta
    ) -> Iterator[WatchEvent]:
        """Yield changes after a revision, in order, until the timeout."""
        ends = self._clock.monotonic() + timeout.total_seconds()
        position = after
        self.count('watch')
        while True:
            for event in self.poll_watch(prefix, position, POLL_INTERVAL):
                position = event.revision
                yield event
            if self._clock.monotonic() >= ends:
                return

    def poll_watch(
        self, prefix: str, after: Revision, max_wait: timedelta
    ) -> list[WatchEvent]:
        """Return changes for a watch that is already counted.

        :param max_wait: how long to wait if there are none yet.
        """
        new_events = self._new_events
        read = partial(self._read_events, prefix, after)
        events = self._run('watch', Step.STORE_WATCH, read)
        if not events:
            self._clock.wait(new_events, max_wait)
            events = self._run('watch', Step.STORE_WATCH, read)
        return events

    def count(self, operation: str) -> None:
        """Count a call."""
        with self._lock:
            self.calls[operation] += 1

    def compact(self) -> None:
        """Discard the event history, as the real store does periodically."""
        with self._lock:
            self._history.clear()
            self._compacted = self._revision

    def restore(self, values: dict[str, KeyValue], revision: int) -> None:
        """Restore an older state, as from a backup."""
        with self._lock:
            self._values = dict(values)
            self._revision = revision
            self._history.clear()

    def dump(self) -> tuple[dict[str, KeyValue], int]:
        """Return the state in the form that ``restore`` accepts."""
        with self._lock:
            return dict(self._values), self._revision

    def _call(
        self, operation: str, step: Step, action: Callable[[], Returned]
    ) -> Returned:
        self.count(operation)
        return self._run(operation, step, action)

    def _run(
        self, operation: str, step: Step, action: Callable[[], Returned]
    ) -> Returned:
        fault = self.faults.take(operation)
        with self._lock:
            if fault is Fault.REFUSED:
                raise PlatformError(
                    f'{operation} refused',
                    step=step,
                    peer=PEER,
                    outcome=Outcome.NOT_RUN,
                )
            if fault is Fault.LOST_REQUEST:
                raise PlatformError(f'no answer to {operation}', step=step, peer=PEER)
            self._expire_leases()
            answer = action()
        if fault is Fault.LOST_ANSWER:
            raise PlatformError(f'no answer to {operation}', step=step, peer=PEER)
        return answer

    def _write(
        self, key: str, value: bytes, current: KeyValue | None, lease: LeaseId | None
    ) -> Written:
        self._revision += 1
        revision = Revision(self._revision)
        created = current.created if current else revision
        self._values[key] = KeyValue(key, value, revision, created)
        for held in self._leases.values():
            held.keys.discard(key)
        if lease is not None:
            self._leases[lease].keys.add(key)
        self._record(WatchEvent(key, value, revision))
        return Written(revision)

    def _delete(self, key: str) -> Written:
        self._revision += 1
        revision = Revision(self._revision)
        self._values.pop(key)
        self._record(WatchEvent(key, None, revision))
        return Written(revision)

    def _record(self, event: WatchEvent) -> None:
        self._history.append(event)
        self._new_events.set()
        self._new_events = threading.Event()

    def _read_events(self, prefix: str, after: Revision) -> list[WatchEvent]:
        if after < self._compacted:
            raise WatchCompacted
        return [
            event
            for event in self._history
            if event.revision > after and event.key.startswith(prefix)
        ]

    def _expire_leases(self) -> None:
        now = self._clock.monotonic()
        ended = [lease for lease, held in self._leases.items() if held.ends <= now]
        for lease in ended:
            self._delete_lease(lease)

    def _delete_lease(self, lease: LeaseId) -> None:
        held = self._leases.pop(lease, None)
        if held is None:
            return
        for key in sorted(held.keys):
            if key in self._values:
                self._delete(key)
