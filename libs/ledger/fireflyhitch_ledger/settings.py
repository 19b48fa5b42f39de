"""Limits of the ledger: sizes, rates, retention and timeouts."""

from dataclasses import dataclass
from datetime import timedelta

MAX_CLAIM_BYTES = 524288
MAX_RECORD_BYTES = 983040
MAX_ANSWER_BYTES = 8192


@dataclass(frozen=True, slots=True)
class LedgerSettings:
    """Limits of the ledger.

    :param shards: number of records that the calls are spread over; it must be
        the same in all daemons and must not change while records are kept.
    :param writes_per_second: share of the store's write rate for the ledgers of
        all daemons together.
    :param write_burst: number of writes that may exceed the rate at once.
    :param retention: period in which a repeat gets the stored answer.
    :param max_expired_days: number of days whose expired keys are still refused.
    :param max_claim_bytes: a shard of this size accepts no new claim; the rest of
        the store's 1 MB is reserved for the records of granted claims.
    :param max_record_bytes: a shard of this size stores no more answers.
    :param max_answer_bytes: larger answers are not stored.
    :param send_within: time from the claim request in which the call may be sent.
    :param record_margin: time after the call's deadline in which the daemon may
        still record it before its outcome counts as unknown.
    :param owner_timeout: time that the shard's owner has to reply.
    :param unresponsive_time: time for which an unresponsive owner is skipped.
    :param claim_timeout: total time that the store has for a commit.
    :param max_pending: number of records that wait for the store.
    """

    shards: int = 16
    writes_per_second: float = 300
    write_burst: int = 16
    retention: timedelta = timedelta(hours=24)
    max_expired_days: int = 30
    max_claim_bytes: int = MAX_CLAIM_BYTES
    max_record_bytes: int = MAX_RECORD_BYTES
    max_answer_bytes: int = MAX_ANSWER_BYTES
    send_within: timedelta = timedelta(seconds=5)
    record_margin: timedelta = timedelta(seconds=10)
    owner_timeout: timedelta = timedelta(seconds=1)
    unresponsive_time: timedelta = timedelta(seconds=5)
    claim_timeout: timedelta = timedelta(seconds=2)
    settle_interval: timedelta = timedelta(seconds=1)
    workers: int = 4
    max_pending: int = 10000


DEFAULT_SETTINGS = LedgerSettings()
