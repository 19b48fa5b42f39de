"""The ledger of non-repeatable calls."""

import threading
import uuid
from collections.abc import Callable
from functools import partial
from itertools import count

from loguru import logger

from fireflyhitch_ledger.attempts import AttemptRegistry
from fireflyhitch_ledger.committer import ShardCommitter, Ticket
from fireflyhitch_ledger.keys import (
    BodyDigest,
    CallKey,
    KeyDigest,
    choose_shard,
    digest_key,
    read_key_time,
)
from fireflyhitch_ledger.messages import CommitReply, CommitRequest
from fireflyhitch_ledger.operations import (
    Answer,
    Operation,
    OperationKind,
    OperationResult,
    ResultKind,
)
from fireflyhitch_ledger.pending_records import PendingRecords
from fireflyhitch_ledger.results import (
    Attempt,
    Claimed,
    ClaimResult,
    Expired,
    InProgress,
    Mismatch,
    Stored,
    UnknownOutcome,
    build_unavailable,
)
from fireflyhitch_ledger.settings import DEFAULT_SETTINGS, LedgerSettings
from fireflyhitch_ledger.shard_owners import ShardOwners
from fireflyhitch_ledger.workers import Workers
from fireflyhitch_ledger.write_limiter import WriteRateLimiter
from fireflyhitch_model.calls import Call
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import PlatformError, RequestError
from fireflyhitch_model.ids import AttemptId, DaemonId
from fireflyhitch_model.invariants import Invariant, invariant
from fireflyhitch_model.peers import PeerMessenger
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_platform.keyvalue import KeyValueStore

PREFIX = 'ledger/'


def make_attempt_id() -> AttemptId:
    """Return a unique attempt id."""
    return AttemptId(uuid.uuid4().hex)


class Ledger:
    """Ensures that a call with an idempotency key is sent at most once.

    A call is claimed in the key-value store before its first byte is sent. The
    claim is granted to another attempt only once the first has recorded that
    the call was not run. A claim that expires without a recorded outcome counts
    as unknown for good, unless its own attempt still records one. Safe to call
    from any thread.

    :param daemon_id: id of this daemon in ``messenger.live()``.
    """

    def __init__(
        self,
        daemon_id: DaemonId,
        store: KeyValueStore,
        messenger: PeerMessenger,
        clock: Clock,
        settings: LedgerSettings = DEFAULT_SETTINGS,
        new_attempt: Callable[[], AttemptId] = make_attempt_id,
    ) -> None:
        self._messenger = messenger
        self._clock = clock
        self._settings = settings
        self._new_attempt = new_attempt
        write_limiter = WriteRateLimiter(
            clock, settings.writes_per_second, settings.write_burst
        )
        self._committers = tuple(
            ShardCommitter(f'{PREFIX}{shard}', store, clock, write_limiter, settings)
            for shard in range(settings.shards)
        )
        self._owners = ShardOwners(daemon_id, messenger, clock, write_limiter, settings)
        self._attempts = AttemptRegistry(clock)
        self._pending = PendingRecords(settings.max_pending)
        self._workers = Workers(settings.workers, clock)
        self._request_numbers = count(1)
        self._pending_replies: dict[int, _PendingReply] = {}
        messenger.handle(CommitRequest, self._handle_request)
        messenger.handle(CommitReply, self._handle_reply)

    def start(self) -> None:
        """Start the threads that commit for peers and write pending records.

        Before that, a peer's request is committed on the receiving thread.
        """
        self._workers.start(self.settle, self._settings.settle_interval)

    def stop(self) -> None:
        """Stop the threads and write the pending records once more."""
        self._workers.stop()
        self.settle()

    def claim(self, key: CallKey, body_digest: BodyDigest, call: Call) -> ClaimResult:
        """Claim a call before it is sent.

        :param body_digest: digest of method, path and body; see ``digest_body``.
        :param call: its deadline limits how long the claim counts as running.
        :returns: ``Claimed`` if the call may be sent now, otherwise the reason
            why not.
        :raises RequestError: ``not-run`` if the store cannot be reached in time
            or the key's shard is full.
        """
        if self._is_expired(key):
            return Expired(Outcome.UNKNOWN)
        attempt = self._build_attempt(key, body_digest, call)
        operation = Operation(
            kind=OperationKind.CLAIM,
            digest=attempt.digest,
            attempt=attempt.attempt_id,
            body_digest=body_digest,
            lapses_at=attempt.lapses_at,
        )
        try:
            result = self._execute(operation)
        except PlatformError as error:
            self._withdraw_claim(attempt, error)
            raise build_unavailable('the call could not be claimed', error.peer)
        if result.kind is ResultKind.CLAIMED:
            self._attempts.add(attempt)
        return _convert_result(result, attempt)

    def mark_sent(self, attempt: Attempt) -> None:
        """Mark a call as sent, right before its first byte is sent.

        :raises RequestError: ``not-run`` if the claim has expired; this is
            recorded, so that the caller can claim the call again.
        :raises InvariantError: if the attempt was sent before.
        """
        try:
            self._attempts.send(attempt)
        except RequestError:
            self._pending.add(_build_record(attempt, OperationKind.RECORD_NOT_RUN))
            raise

    def record_ran(self, attempt: Attempt, answer: Answer) -> bool:
        """Record that the call ran; its repeats get the answer.

        :returns: whether the record is written. If not, the write is retried in
            the background, and the caller can get its answer all the same.
        """
        self._attempts.close(attempt)
        return self._record(_build_record(attempt, OperationKind.RECORD_RAN, answer))

    def record_not_run(self, attempt: Attempt, *, refused: bool = False) -> bool:
        """Record that the call was not run, so that it can be claimed again.

        :param refused: whether the backend server reported that it refused the
            call before execution; otherwise it must not have been sent.
        :returns: whether the record is written.
        :raises InvariantError: if the call was sent and not refused.
        """
        sent = self._attempts.close(attempt)
        if sent and not refused:
            self._pending.add(_build_record(attempt, OperationKind.RECORD_UNKNOWN))
        invariant(
            refused or not sent,
            Invariant.NOT_RUN_IS_CERTAIN,
            attempt.attempt_id,
            step=Step.RECORD,
        )
        return self._record(_build_record(attempt, OperationKind.RECORD_NOT_RUN))

    def record_unknown(self, attempt: Attempt) -> bool:
        """Record that the call was sent and its answer lost.

        :returns: whether the record is written.
        """
        self._attempts.close(attempt)
        return self._record(_build_record(attempt, OperationKind.RECORD_UNKNOWN))

    def settle(self) -> None:
        """Retry writing the pending records to the store."""
        for operation in self._pending.list():
            try:
                result = self._execute(operation)
            except PlatformError as error:
                logger.bind(step=error.step.value, peer=error.peer).warning(
                    'store unavailable, ledger records still pending'
                )
                return
            self._pending.remove(operation)
            self._check_record(operation, result)

    def count_pending(self) -> int:
        """Return the number of records not yet written to the store."""
        return len(self._pending.list())

    def _is_expired(self, key: CallKey) -> bool:
        created_at = read_key_time(key.key)
        if created_at is None:
            return False
        return self._clock.now() - created_at > self._settings.retention

    def _build_attempt(
        self, key: CallKey, body_digest: BodyDigest, call: Call
    ) -> Attempt:
        # Both times are measured from before the store request, so that its
        # duration does not extend them.
        now = self._clock.monotonic()
        send_within = self._settings.send_within.total_seconds()
        margin = self._settings.record_margin.total_seconds()
        wall = self._clock.now().timestamp()
        return Attempt(
            self._new_attempt(),
            digest_key(key),
            body_digest,
            send_by=min(now + send_within, call.deadline),
            lapses_at=wall + max(0, call.deadline - now) + margin,
        )

    def _withdraw_claim(self, attempt: Attempt, error: PlatformError) -> None:
        if error.outcome is Outcome.NOT_RUN:
            return
        # The claim may be in the store although no attempt uses it. Until it is
        # withdrawn, the caller's next try would get ``InProgress``.
        self._pending.add(_build_record(attempt, OperationKind.RECORD_NOT_RUN))

    def _record(self, operation: Operation) -> bool:
        try:
            result = self._execute(operation)
        except PlatformError:
            self._pending.add(operation)
            return False
        self._check_record(operation, result)
        return True

    def _check_record(self, operation: Operation, result: OperationResult) -> None:
        invariant(
            result.kind is not ResultKind.CONTRADICTED,
            Invariant.NOT_RUN_IS_CERTAIN,
            f'{operation.attempt} was recorded otherwise before',
            step=Step.RECORD,
        )

    def _execute(self, operation: Operation) -> OperationResult:
        shard = choose_shard(KeyDigest(operation.digest), self._settings.shards)
        owner = self._owners.find(shard)
        if owner is None:
            return self._committers[shard].run(operation)
        result = self._ask_owner(owner, shard, operation)
        if result is not None:
            return result
        try:
            return self._committers[shard].run(operation)
        except PlatformError as error:
            # The owner may still commit the request that it received.
            error.outcome = Outcome.UNKNOWN
            raise

    def _ask_owner(
        self, owner: DaemonId, shard: int, operation: Operation
    ) -> OperationResult | None:
        number = next(self._request_numbers)
        reply = _PendingReply()
        self._pending_replies[number] = reply
        request = CommitRequest(number=number, shard=shard, operation=operation)
        self._messenger.tell(owner, request)
        answered = self._clock.wait(reply.received, self._settings.owner_timeout)
        self._pending_replies.pop(number, None)
        if not answered or reply.result is None:
            self._owners.mark_unresponsive(owner)
        return reply.result

    def _handle_request(self, sender: DaemonId, request: CommitRequest) -> None:
        committer = self._committers[request.shard]
        ticket = Ticket(
            request.operation,
            lead=lambda: self._workers.submit(committer.commit),
            finish=partial(self._reply, sender, request.number),
        )
        committer.enqueue(ticket)

    def _reply(self, sender: DaemonId, number: int, ticket: Ticket) -> None:
        self._messenger.tell(sender, CommitReply(number=number, result=ticket.result))

    def _handle_reply(self, sender: DaemonId, message: CommitReply) -> None:
        reply = self._pending_replies.get(message.number)
        if reply is not None:
            reply.result = message.result
            reply.received.set()


class _PendingReply:
    """A reply that a caller waits for."""

    def __init__(self) -> None:
        self.received = threading.Event()
        self.result: OperationResult | None = None


def _build_record(
    attempt: Attempt, kind: OperationKind, answer: Answer | None = None
) -> Operation:
    return Operation(
        kind=kind,
        digest=attempt.digest,
        attempt=attempt.attempt_id,
        body_digest=attempt.body_digest,
        answer=answer,
    )


def _convert_result(result: OperationResult, attempt: Attempt) -> ClaimResult:
    if result.kind is ResultKind.CLAIMED:
        return Claimed(attempt)
    if result.kind is ResultKind.STORED:
        return Stored(result.answer)
    if result.kind is ResultKind.EXPIRED:
        return Expired(result.outcome)
    if result.kind is ResultKind.MISMATCH:
        return Mismatch()
    if result.kind is ResultKind.IN_PROGRESS:
        return InProgress()
    if result.kind is ResultKind.UNKNOWN:
        return UnknownOutcome()
    full = result.kind is ResultKind.FULL
    raise build_unavailable('the ledger is full' if full else 'the claim came too late')
