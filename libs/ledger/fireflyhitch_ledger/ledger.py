"""The ledger of calls that may not be repeated."""

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
    """Return an id that no other attempt has."""
    return AttemptId(uuid.uuid4().hex)


class Ledger:
    """Sees to it that a call with an idempotency key is sent at most once.

    A call is claimed in the key-value service before its first byte leaves.
    A claim passes to another attempt only once the first has recorded that it
    was not run; a claim that lapses without a record counts as unknown for
    good. Safe to call from any thread.

    :param daemon_id: this daemon, as ``messenger.live()`` names it.
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
        """Start the threads that commit for peers and settle what is left.

        Before that, a peer's request is committed on the thread that brings it.
        """
        self._workers.start(self.settle, self._settings.settle_interval)

    def stop(self) -> None:
        """Settle once more and end the threads."""
        self._workers.stop()
        self.settle()

    def claim(self, key: CallKey, body_digest: BodyDigest, call: Call) -> ClaimResult:
        """Claim a call before it is sent.

        :param body_digest: of method, path and body, from ``digest_body``.
        :param call: its deadline bounds how long the claim counts as running.
        :returns: ``Claimed`` if the call is to be sent now; else why not.
        :raises RequestError: ``not-run`` if the store cannot be reached in
            time, or has no room for the key.
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
        """Ask for leave to send, right before the first byte goes out.

        :raises RequestError: ``not-run`` if the claim has lapsed; this is
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

        :returns: whether the store has it already; if not, it is tried again
            in the background, and the caller can have its answer all the same.
        """
        self._attempts.close(attempt)
        return self._record(_build_record(attempt, OperationKind.RECORD_RAN, answer))

    def record_not_run(self, attempt: Attempt, *, refused: bool = False) -> bool:
        """Record that the call was not run, so that it can be claimed again.

        :param refused: whether the backend server said that it refused the
            call before execution; without that it must not have been sent.
        :returns: whether the store has it already.
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

        :returns: whether the store has it already.
        """
        self._attempts.close(attempt)
        return self._record(_build_record(attempt, OperationKind.RECORD_UNKNOWN))

    def settle(self) -> None:
        """Try once more to record what the store has not taken."""
        for operation in self._pending.list():
            try:
                result = self._execute(operation)
            except PlatformError as error:
                logger.bind(step=error.step.value, peer=error.peer).warning(
                    'ledger records wait for the store'
                )
                return
            self._pending.remove(operation)
            self._check_record(operation, result)

    def count_pending(self) -> int:
        """Return how many records the store has not taken yet."""
        return len(self._pending.list())

    def _is_expired(self, key: CallKey) -> bool:
        created_at = read_key_time(key.key)
        if created_at is None:
            return False
        return self._clock.now() - created_at > self._settings.retention

    def _build_attempt(
        self, key: CallKey, body_digest: BodyDigest, call: Call
    ) -> Attempt:
        # Both times count from before the store is asked, so that the time the
        # claim takes is not given to it twice.
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
        # The claim may be in the store without an owner; until it is taken
        # back, the caller's next try would be told that the call is running.
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
            # The owner may still commit what it was told.
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
    """A reply that is waited for."""

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
