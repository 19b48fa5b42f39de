"""Bounds of the ledger: sizes, rates, retention and patience."""

from dataclasses import dataclass
from datetime import timedelta

MAX_CLAIM_BYTES = 524288
MAX_RECORD_BYTES = 983040
MAX_ANSWER_BYTES = 8192


@dataclass(frozen=True, slots=True)
class LedgerSettings:
    """How much is kept, for how long, and how long is waited.

    :param shards: how many records the calls are spread over; the same in all
        daemons, and never changed while records are kept.
    :param writes_per_second: the share of the store's rate that all daemons'
        ledgers use together.
    :param retention: how long a repeat gets the stored answer.
    :param max_expired_days: on how many days' expired keys are still refused.
    :param max_claim_bytes: a shard of this size takes no new claim; the rest of
        the store's 1 MB is room for the records of claims already given.
    :param max_answer_bytes: larger answers are not kept.
    :param send_within: how long after it was asked for a claim may be sent.
    :param record_margin: time after the call's deadline in which the daemon
        may still record it before it counts as unknown.
    :param owner_timeout: how long the shard's owner may take to answer.
    :param claim_timeout: how long the store may take in all.
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
