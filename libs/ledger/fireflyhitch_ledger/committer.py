"""Group commit of a shard with compare-and-swap."""

import threading
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from tenacity import (
    Retrying,
    retry_if_exception_type,
    stop_after_attempt,
    wait_random_exponential,
)

from fireflyhitch_ledger.operations import Operation, OperationResult
from fireflyhitch_ledger.records import (
    EMPTY_RECORD,
    ShardRecord,
    decode_record,
    encode_record,
)
from fireflyhitch_ledger.settings import LedgerSettings
from fireflyhitch_ledger.transitions import ApplyResult, apply_operations
from fireflyhitch_ledger.write_limiter import WriteRateLimiter
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import ABSENT, Revision
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_platform.keyvalue import Conflict, KeyValue, KeyValueStore

MAX_STORE_ATTEMPTS = 3
MIN_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 0.2
# Each conflict means that another daemon's write took effect. This many in a row
# only happen if the daemons' membership views differ widely.
MAX_CONFLICTS = 32


class Ticket:
    """An operation that waits for its commit.

    :param lead: called when this ticket becomes the leader, which must call
        ``ShardCommitter.commit``.
    :param finish: called once the ticket has its result or its error.
    """

    def __init__(
        self,
        operation: Operation,
        lead: Callable[[], None],
        finish: Callable[['Ticket'], None],
    ) -> None:
        self.operation = operation
        self.lead = lead
        self.finish = finish
        self.result: OperationResult | None = None
        self.error: PlatformError | None = None
        self.leading = False

    @property
    def finished(self) -> bool:
        """Whether the ticket has its result or its error."""
        return self.result is not None or self.error is not None


class ShardCommitter:
    """Commits all queued operations of one shard in one write.

    One thread at a time is the leader: it writes the queued operations while the
    next batch queues up. Batches thus grow with the load, without a timer.
    """

    def __init__(
        self,
        key: str,
        store: KeyValueStore,
        clock: Clock,
        write_limiter: WriteRateLimiter,
        settings: LedgerSettings,
    ) -> None:
        self._key = key
        self._store = store
        self._clock = clock
        self._write_limiter = write_limiter
        self._settings = settings
        self._lock = threading.Lock()
        self._queue: deque[Ticket] = deque()
        self._has_leader = False
        self._record: ShardRecord | None = None
        self._revision = ABSENT

    def run(self, operation: Operation) -> OperationResult:
        """Commit an operation on the caller's thread and return its result.

        :raises PlatformError: if the store does not reply; the error's outcome
            says whether the operation may have taken effect.
        """
        signal = threading.Event()
        ticket = Ticket(operation, signal.set, lambda _: signal.set())
        self.enqueue(ticket)
        while not ticket.finished:
            if not self._clock.wait(signal, self._settings.claim_timeout):
                return self._give_up(ticket)
            signal.clear()
            if ticket.leading and not ticket.finished:
                self.commit()
        if ticket.result is None:
            raise ticket.error or self._build_timeout(Outcome.UNKNOWN)
        return ticket.result

    def enqueue(self, ticket: Ticket) -> None:
        """Add an operation to the next batch; completion is reported by callback."""
        with self._lock:
            self._queue.append(ticket)
            ticket.leading = not self._has_leader
            self._has_leader = True
        if ticket.leading:
            ticket.lead()

    def commit(self) -> None:
        """Commit the queued batch; call it only after ``lead`` was called."""
        self._wait_for_write_slot()
        with self._lock:
            batch = tuple(self._queue)
            self._queue.clear()
        if batch:
            self._commit_batch(batch)
        self._pass_leadership()
        for ticket in batch:
            ticket.finish(ticket)

    def _pass_leadership(self) -> None:
        with self._lock:
            successor = self._queue[0] if self._queue else None
            self._has_leader = successor is not None
            if successor is not None:
                successor.leading = True
        if successor is not None:
            successor.lead()

    def _give_up(self, ticket: Ticket) -> OperationResult:
        with self._lock:
            queued = ticket in self._queue
            if queued:
                self._queue.remove(ticket)
        if queued and ticket.leading:
            # It became the leader while timing out; without a successor the
            # shard's queue would hang.
            self._pass_leadership()
        if ticket.result is not None:
            return ticket.result
        raise self._build_timeout(Outcome.NOT_RUN if queued else Outcome.UNKNOWN)

    def _build_timeout(self, outcome: Outcome) -> PlatformError:
        return PlatformError(
            'store too slow, request timed out', step=Step.STORE_WRITE, outcome=outcome
        )

    def _wait_for_write_slot(self) -> None:
        delay = self._write_limiter.reserve()
        if delay > 0:
            self._sleep(delay)

    def _commit_batch(self, batch: tuple[Ticket, ...]) -> None:
        operations = tuple(ticket.operation for ticket in batch)
        try:
            results = self._commit_operations(operations)
        except Exception as error:
            # Catch unexpected errors, too: if one ended the leader, the shard's
            # queue would have no leader and its callers would hang.
            failure = _to_platform_error(error)
            for ticket in batch:
                ticket.error = failure
            return
        for ticket, result in zip(batch, results, strict=True):
            ticket.result = result

    def _commit_operations(
        self, operations: tuple[Operation, ...]
    ) -> tuple[OperationResult, ...]:
        batch_state = _BatchState(operations)
        retrying = Retrying(
            stop=stop_after_attempt(MAX_STORE_ATTEMPTS),
            wait=wait_random_exponential(MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS),
            retry=retry_if_exception_type(PlatformError),
            sleep=self._sleep,
            reraise=True,
        )
        try:
            return retrying(self._try_commit, batch_state)
        except PlatformError as error:
            self._record = None
            error.outcome = (
                Outcome.UNKNOWN if batch_state.may_be_written else Outcome.NOT_RUN
            )
            raise

    def _try_commit(self, batch_state: '_BatchState') -> tuple[OperationResult, ...]:
        for _ in range(MAX_CONFLICTS):
            record = self._record or self._read(batch_state)
            applied = self._apply(batch_state.operations, record)
            if applied.changed:
                if self._write(applied, batch_state):
                    return applied.results
            elif batch_state.fresh or applied.is_final:
                return applied.results
            else:
                # The cached record may be stale; read it again.
                self._record = None
        raise PlatformError(
            'lost too many write conflicts',
            step=Step.STORE_WRITE,
            outcome=Outcome.NOT_RUN,
        )

    def _apply(
        self, operations: tuple[Operation, ...], record: ShardRecord
    ) -> ApplyResult:
        now = self._clock.now().timestamp()
        return apply_operations(operations, record, now, self._settings)

    def _read(self, batch_state: '_BatchState') -> ShardRecord:
        record = self._cache(self._store.get(self._key))
        batch_state.fresh = True
        return record

    def _write(self, applied: ApplyResult, batch_state: '_BatchState') -> bool:
        encoded = encode_record(applied.record)
        try:
            written = self._store.put_if(self._key, encoded, self._revision)
        except PlatformError as error:
            # The write may have taken effect. The next try reads the record,
            # where the attempt ids show whether it did.
            self._record = None
            batch_state.may_be_written |= error.outcome is not Outcome.NOT_RUN
            raise
        if isinstance(written, Conflict):
            self._cache(written.current)
            batch_state.fresh = True
            return False
        self._record = applied.record
        self._revision = written.revision
        return True

    def _cache(self, stored: KeyValue | None) -> ShardRecord:
        if stored is None:
            self._record = EMPTY_RECORD
            self._revision = ABSENT
            return self._record
        self._record = decode_record(stored.value, self._settings)
        self._revision = Revision(stored.revision)
        return self._record

    def _sleep(self, seconds: float) -> None:
        self._clock.wait(threading.Event(), timedelta(seconds=seconds))


def _to_platform_error(error: Exception) -> PlatformError:
    if isinstance(error, PlatformError):
        return error
    return PlatformError(repr(error), step=Step.STORE_WRITE)


class _BatchState:
    """State of a batch during its commit.

    :ivar may_be_written: whether the result of a write was lost.
    :ivar fresh: whether the record was read from the store for this batch.
    """

    def __init__(self, operations: tuple[Operation, ...]) -> None:
        self.operations = operations
        self.may_be_written = False
        self.fresh = False
