"""Pure state transitions of a shard's record."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from fireflyhitch_ledger.keys import KeyDigest
from fireflyhitch_ledger.operations import (
    FINAL_RESULTS,
    Answer,
    Operation,
    OperationKind,
    OperationResult,
    ResultKind,
)
from fireflyhitch_ledger.records import (
    Entry,
    EntryState,
    ShardRecord,
    decode_entry,
    encode_entry,
    prune_record,
)
from fireflyhitch_ledger.settings import LedgerSettings

RECORDED_STATES = {
    OperationKind.RECORD_RAN: EntryState.RAN,
    OperationKind.RECORD_NOT_RUN: EntryState.NOT_RUN,
    OperationKind.RECORD_UNKNOWN: EntryState.UNKNOWN,
}
SETTLED_STATES = frozenset((EntryState.RAN, EntryState.NOT_RUN))
CLAIMED = OperationResult(kind=ResultKind.CLAIMED)
IN_PROGRESS = OperationResult(kind=ResultKind.IN_PROGRESS)
UNKNOWN = OperationResult(kind=ResultKind.UNKNOWN)
MISMATCH = OperationResult(kind=ResultKind.MISMATCH)
FULL = OperationResult(kind=ResultKind.FULL)
RECORDED = OperationResult(kind=ResultKind.RECORDED)
CONTRADICTED = OperationResult(kind=ResultKind.CONTRADICTED)
SUPERSEDED = OperationResult(kind=ResultKind.SUPERSEDED)


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """A record after some operations.

    :param changed: whether the record must be written before the results hold.
    :param is_final: whether the results hold even if the record read was stale.
    """

    record: ShardRecord
    results: tuple[OperationResult, ...]
    changed: bool
    is_final: bool


def apply_operations(
    operations: Iterable[Operation],
    record: ShardRecord,
    now: float,
    settings: LedgerSettings,
) -> ApplyResult:
    """Apply operations in order.

    :param now: wall clock time in seconds since 1970. It is used to tell running
        calls from interrupted ones and to prune, but never to permit sending.
    """
    pruned = prune_record(record, now, settings)
    update = _RecordUpdate(pruned, settings, now)
    results = tuple(update.apply(operation) for operation in operations)
    is_final = all(result.kind in FINAL_RESULTS for result in results)
    return ApplyResult(update.finish(), results, update.changed, is_final)


class _RecordUpdate:
    """A mutable copy of a record during an update."""

    def __init__(
        self, record: ShardRecord, settings: LedgerSettings, now: float
    ) -> None:
        self.changed = False
        self._record = record
        self._entries = dict(record.entries)
        self._size = record.size
        self._settings = settings
        self._now = now
        self._prune_at = record.prune_at

    def finish(self) -> ShardRecord:
        """Return the record with all changes."""
        return replace(
            self._record,
            entries=self._entries,
            prune_at=self._prune_at,
            size=self._size,
        )

    def apply(self, operation: Operation) -> OperationResult:
        """Apply one operation."""
        digest = KeyDigest(operation.digest)
        encoded = self._entries.get(digest)
        entry = None if encoded is None else decode_entry(encoded)
        if operation.kind is OperationKind.CLAIM:
            return self._claim(digest, entry, operation)
        return self._settle(digest, entry, operation)

    def _claim(
        self, digest: KeyDigest, entry: Entry | None, operation: Operation
    ) -> OperationResult:
        if entry is None:
            return self._create_claim(digest, operation)
        if entry.body_digest != operation.body_digest:
            return MISMATCH
        if entry.attempt == operation.attempt:
            # A repeated claim: the reply was lost, or both the owner and the
            # sender commit it.
            held = entry.state is EntryState.CLAIMED
            return CLAIMED if held else SUPERSEDED
        if entry.state is EntryState.NOT_RUN:
            return self._grant(digest, operation)
        if entry.state is EntryState.RAN:
            return OperationResult(kind=ResultKind.STORED, answer=entry.answer)
        cut_off = self._now >= entry.lapses_at
        if entry.state is EntryState.UNKNOWN or cut_off:
            return UNKNOWN
        return IN_PROGRESS

    def _create_claim(self, digest: KeyDigest, operation: Operation) -> OperationResult:
        outcome = self._record.find_expired(digest)
        if outcome is not None:
            return OperationResult(kind=ResultKind.EXPIRED, outcome=outcome)
        if self._size >= self._settings.max_claim_bytes:
            return FULL
        return self._grant(digest, operation)

    def _grant(self, digest: KeyDigest, operation: Operation) -> OperationResult:
        if self._now >= operation.lapses_at:
            # A delayed claim: its sender has given up. A grant would leave the
            # call with an unknown outcome.
            return SUPERSEDED
        self._put_entry(digest, operation, EntryState.CLAIMED)
        return CLAIMED

    def _settle(
        self, digest: KeyDigest, entry: Entry | None, operation: Operation
    ) -> OperationResult:
        if entry is None:
            return self._record_unclaimed(digest, operation)
        if entry.attempt != operation.attempt:
            return SUPERSEDED
        state = RECORDED_STATES[operation.kind]
        contradicted = {state, entry.state} == SETTLED_STATES
        if contradicted:
            return CONTRADICTED
        if entry.state in SETTLED_STATES or entry.state is state:
            return RECORDED
        answer = self._select_stored_answer(operation.answer)
        self._write_entry(digest, replace(entry, state=state, answer=answer))
        return RECORDED

    def _record_unclaimed(
        self, digest: KeyDigest, operation: Operation
    ) -> OperationResult:
        gone = self._record.find_expired(digest) is not None
        if gone or operation.kind is not OperationKind.RECORD_NOT_RUN:
            return SUPERSEDED
        # The attempt gave up before its claim was committed. Without an entry, a
        # delayed claim would be granted and leave an unknown outcome.
        self._put_entry(digest, operation, EntryState.NOT_RUN)
        return RECORDED

    def _select_stored_answer(self, answer: Answer | None) -> Answer | None:
        if answer is None or len(answer.body) > self._settings.max_answer_bytes:
            return None
        fits = self._size + len(answer.body) < self._settings.max_record_bytes
        return answer if fits else None

    def _put_entry(
        self, digest: KeyDigest, operation: Operation, state: EntryState
    ) -> None:
        entry = Entry(
            operation.attempt,
            operation.body_digest,
            state,
            self._now,
            operation.lapses_at,
        )
        self._write_entry(digest, entry)
        lifetime = self._settings.retention.total_seconds()
        self._prune_at = min(self._prune_at, self._now + lifetime)

    def _write_entry(self, digest: KeyDigest, entry: Entry) -> None:
        encoded = encode_entry(entry)
        before = self._entries.get(digest, b'')
        self._size += len(encoded) - len(before) + len(digest)
        self._entries[digest] = encoded
        self.changed = True
