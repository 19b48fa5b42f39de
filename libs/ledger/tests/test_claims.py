"""Tests of claims, recorded outcomes and the results of repeats."""

import uuid
from datetime import timedelta
from itertools import repeat

import cbor2
import pytest

from fireflyhitch_ledger.messages import CommitReply, CommitRequest
from fireflyhitch_ledger.operations import (
    Answer,
    AnswerHeader,
    Operation,
    OperationKind,
    OperationResult,
    ResultKind,
)
from fireflyhitch_ledger.results import (
    Claimed,
    Expired,
    InProgress,
    Mismatch,
    Stored,
    UnknownOutcome,
    build_refusal,
)
from fireflyhitch_model.errors import InvariantError, RequestError
from fireflyhitch_model.ids import AttemptId
from fireflyhitch_model.states import Outcome
from fireflyhitch_standins.faults import Fault

ANSWER = Answer(
    status=201, headers=(AnswerHeader(name='Location', value='/v/1'),), body=b'ok'
)


class TestClaim:
    """Results of a first claim and its repeats."""

    def test_repeat_is_in_progress_then_gets_the_stored_answer(self, cluster):
        key = cluster.key()
        attempt = cluster.claim('gent', key).attempt
        assert cluster.claim('brugge', key) == InProgress()
        cluster.ledgers['gent'].mark_sent(attempt)
        assert cluster.ledgers['gent'].record_ran(attempt, ANSWER)
        for name in cluster.names:
            assert cluster.claim(name, key) == Stored(ANSWER)

    def test_same_key_with_another_body_is_refused(self, cluster):
        cluster.claim('gent', cluster.key())
        result = cluster.claim('aalst', cluster.key(), cluster.other_body)
        assert result == Mismatch()
        assert build_refusal(result).outcome is Outcome.NOT_RUN

    def test_customers_do_not_share_keys(self, cluster):
        assert isinstance(cluster.claim('gent', cluster.key()), Claimed)
        other = cluster.key(customer='c2')
        assert isinstance(cluster.claim('gent', other), Claimed)

    def test_call_that_was_not_run_can_be_claimed_again(self, cluster):
        key = cluster.key()
        attempt = cluster.claim('gent', key).attempt
        cluster.ledgers['gent'].mark_sent(attempt)
        cluster.ledgers['gent'].record_not_run(attempt, refused=True)
        assert isinstance(cluster.claim('brugge', key), Claimed)

    def test_large_answer_is_not_kept(self, cluster):
        key = cluster.key()
        attempt = cluster.claim('gent', key).attempt
        large = Answer(status=200, body=bytes(cluster.settings.max_answer_bytes + 1))
        cluster.ledgers['gent'].record_ran(attempt, large)
        assert cluster.claim('gent', key) == Stored(None)

    def test_full_shard_refuses_new_keys_and_records_the_old(self, make_cluster):
        cluster = make_cluster(shards=1, max_claim_bytes=300)
        attempts = []
        with pytest.raises(RequestError) as caught:
            for number in range(10):
                attempts.append(
                    cluster.claim('gent', cluster.key(f'k{number}')).attempt
                )
        assert caught.value.outcome is Outcome.NOT_RUN
        assert len(attempts) > 1
        assert all(cluster.ledgers['gent'].record_ran(one, ANSWER) for one in attempts)


class TestSending:
    """The permission to send once."""

    def test_second_send_violates_the_invariant(self, cluster):
        attempt = cluster.claim('gent', cluster.key()).attempt
        cluster.ledgers['gent'].mark_sent(attempt)
        with pytest.raises(InvariantError):
            cluster.ledgers['gent'].mark_sent(attempt)

    def test_not_run_after_sending_violates_the_invariant(self, cluster):
        key = cluster.key()
        attempt = cluster.claim('gent', key).attempt
        cluster.ledgers['gent'].mark_sent(attempt)
        with pytest.raises(InvariantError):
            cluster.ledgers['gent'].record_not_run(attempt)
        cluster.ledgers['gent'].settle()
        assert cluster.claim('gent', key) == UnknownOutcome()

    def test_daemon_resumed_after_its_claim_expired_does_not_send(self, cluster):
        """A daemon claims a call and is paused before it sends.

        Its claim expires, and a repeat gets an unknown outcome. The resumed
        daemon must not send but record that the call was not run, so that the
        next repeat can run it.
        """
        key = cluster.key()
        attempt = cluster.claim('gent', key).attempt
        cluster.clock.advance(timedelta(minutes=5))
        assert cluster.claim('brugge', key) == UnknownOutcome()
        with pytest.raises(RequestError) as caught:
            cluster.ledgers['gent'].mark_sent(attempt)
        assert caught.value.outcome is Outcome.NOT_RUN
        cluster.ledgers['gent'].settle()
        assert isinstance(cluster.claim('brugge', key), Claimed)

    def test_answer_after_the_claim_expired_is_still_stored(self, cluster):
        """The service answers long after the claim expired.

        A repeat before the answer gets an unknown outcome. A later one must get
        the answer, since no other attempt can have run.
        """
        key = cluster.key()
        attempt = cluster.claim('gent', key).attempt
        cluster.ledgers['gent'].mark_sent(attempt)
        cluster.clock.advance(timedelta(minutes=5))
        assert cluster.claim('brugge', key) == UnknownOutcome()
        cluster.ledgers['gent'].record_ran(attempt, ANSWER)
        assert cluster.claim('brugge', key) == Stored(ANSWER)


class TestStoreFaults:
    """A store that is down, or whose replies are lost."""

    def test_store_down_refuses_before_dispatch(self, cluster):
        cluster.store.faults.set_persistent('*', Fault.REFUSED)
        with pytest.raises(RequestError) as caught:
            cluster.claim('gent', cluster.key())
        assert caught.value.outcome is Outcome.NOT_RUN
        assert caught.value.retry_after is not None

    def test_lost_write_reply_is_resolved_by_reading_back(self, cluster):
        cluster.store.faults.queue('put_if', Fault.LOST_ANSWER)
        key = cluster.key()
        assert isinstance(cluster.claim('gent', key), Claimed)
        assert cluster.claim('brugge', key) == InProgress()

    def test_abandoned_claim_of_unknown_outcome_is_withdrawn(self, cluster):
        """The replies to all writes are lost, then the store is down.

        The caller gets `not-run`, which is true since the attempt is never sent,
        but the store may contain its claim. Once the store is available again,
        the daemon must withdraw the claim so that a repeat can run the call.
        """
        key = cluster.key()
        owner = cluster.rank(key)[0]
        cluster.store.faults.queue('put_if', *repeat(Fault.LOST_ANSWER, 9))
        cluster.store.faults.queue('get', Fault.NONE, *repeat(Fault.LOST_REQUEST, 9))
        with pytest.raises(RequestError):
            cluster.claim(owner, key)
        assert cluster.ledgers[owner].count_pending() == 1
        cluster.store.faults.clear_all()
        cluster.ledgers[owner].settle()
        assert isinstance(cluster.claim('brugge', key), Claimed)

    def test_record_waits_for_the_store(self, cluster):
        key = cluster.key()
        attempt = cluster.claim('gent', key).attempt
        cluster.ledgers['gent'].mark_sent(attempt)
        cluster.store.faults.set_persistent('*', Fault.REFUSED)
        assert not cluster.ledgers['gent'].record_ran(attempt, ANSWER)
        cluster.store.faults.clear_all()
        cluster.ledgers['gent'].settle()
        assert cluster.ledgers['gent'].count_pending() == 0
        assert cluster.claim('aalst', key) == Stored(ANSWER)

    def test_record_of_unknown_format_is_not_overwritten(self, cluster):
        cluster.store.put_if('ledger/0', cbor2.dumps([9, {}, []]), 0)
        with pytest.raises(RequestError):
            for number in range(999):
                cluster.claim('gent', cluster.key(f'k{number}'))


class TestOwner:
    """Commits by the shard's owner and without it."""

    def test_owner_writes_for_the_others(self, cluster):
        key = cluster.key()
        owner, other, _ = cluster.rank(key)
        seen = []
        cluster.network.messengers[owner].handle(
            CommitRequest, lambda sender, message: seen.append(sender)
        )
        cluster.claim(other, key)
        assert seen == [other]

    def test_unreachable_owner_is_bypassed(self, cluster):
        """The owner and another daemon cannot reach each other; both write the shard.

        With compare-and-swap, a key must be granted to only one of them.
        """
        key = cluster.key()
        owner, other, _ = cluster.rank(key)
        cluster.network.disconnect(owner, other)
        assert isinstance(cluster.claim(other, key), Claimed)
        assert cluster.claim(owner, key) == InProgress()
        again = cluster.key('k2')
        results = [cluster.claim(name, again) for name in (owner, other)]
        assert [type(result) for result in results] == [Claimed, InProgress]

    def test_cached_record_does_not_hide_what_another_daemon_wrote(self, cluster):
        key = cluster.key()
        owner, other, _ = cluster.rank(key)
        attempt = cluster.claim(owner, key).attempt
        cluster.network.disconnect(owner, other)
        assert cluster.claim(other, key) == InProgress()
        cluster.ledgers[owner].record_ran(attempt, ANSWER)
        assert cluster.claim(other, key) == Stored(ANSWER)

    def test_delayed_claim_is_not_granted(self, cluster):
        """A claim reaches the owner after its sender has withdrawn it.

        If it were granted, no daemon would send the call, and its outcome would
        stay unknown.
        """
        key = cluster.key()
        owner, other, _ = cluster.rank(key)
        held = []
        network = cluster.network.messengers[owner]
        network.handle(CommitRequest, lambda _, message: held.append(message))
        cluster.store.faults.set_persistent('*', Fault.LOST_REQUEST)
        with pytest.raises(RequestError):
            cluster.claim(other, key)
        cluster.store.faults.clear_all()
        cluster.ledgers[other].settle()
        cluster.restart(owner)
        cluster.network.messengers[owner].receive(other, held[0])
        assert isinstance(cluster.claim(other, key), Claimed)

    def test_messages_round_trip(self):
        operation = Operation(
            kind=OperationKind.RECORD_RAN,
            digest=bytes(range(240, 256)),
            attempt=AttemptId('a'),
            answer=ANSWER,
        )
        request = CommitRequest(number=1, shard=2, operation=operation)
        result = OperationResult(kind=ResultKind.EXPIRED, outcome=Outcome.RAN)
        for message in (request, CommitReply(number=1, result=result)):
            wire = cbor2.loads(cbor2.dumps(message.model_dump()))
            assert type(message).model_validate(wire) == message


class TestRetention:
    """Expiry of calls."""

    def test_expired_key_is_refused(self, cluster):
        key = cluster.key()
        attempt = cluster.claim('gent', key).attempt
        cluster.ledgers['gent'].record_ran(attempt, ANSWER)
        cluster.clock.advance(timedelta(days=2))
        assert cluster.claim('brugge', key) == Expired(Outcome.RAN)

    def test_expired_key_is_refused_after_further_writes(self, make_cluster):
        cluster = make_cluster(shards=1)
        key = cluster.key()
        attempt = cluster.claim('gent', key).attempt
        cluster.ledgers['gent'].record_ran(attempt, ANSWER)
        for day in range(25):
            cluster.clock.advance(timedelta(days=1, seconds=1))
            cluster.claim('gent', cluster.key(f'day {day}'))
        assert cluster.claim('brugge', key) == Expired(Outcome.RAN)
        assert len(cluster.store.get('ledger/0').value) < 1024

    def test_expired_digests_survive_a_clock_far_ahead(self, make_cluster):
        cluster = make_cluster(shards=1)
        key = cluster.key()
        cluster.ledgers['gent'].record_ran(cluster.claim('gent', key).attempt, ANSWER)
        cluster.clock.jump_wall_clock(timedelta(days=3650))
        cluster.claim('gent', cluster.key('other'))
        assert cluster.claim('gent', key) == Expired(Outcome.RAN)

    def test_key_with_an_old_creation_time_is_always_refused(self, cluster):
        made = int((cluster.clock.now() - timedelta(days=90)).timestamp() * 1000)
        old = uuid.UUID(int=made << 80 | 7 << 76 | 2 << 62 | 5)
        assert cluster.claim('gent', cluster.key(str(old))) == Expired(Outcome.UNKNOWN)
        assert isinstance(cluster.claim('gent', cluster.key()), Claimed)
