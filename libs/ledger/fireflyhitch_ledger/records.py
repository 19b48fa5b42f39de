"""The record of a shard: its calls and its stored form."""

from dataclasses import dataclass, replace
from datetime import UTC, datetime
from enum import IntEnum
from typing import Any

import cbor2

from fireflyhitch_ledger.keys import KeyDigest
from fireflyhitch_ledger.operations import Answer, AnswerHeader
from fireflyhitch_ledger.settings import LedgerSettings
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import AttemptId
from fireflyhitch_model.states import Outcome, Step

FORMAT = 1
SHORT_DIGEST_BYTES = 8
NEVER = float('inf')


class EntryState(IntEnum):
    """State of a call; stored as its number."""

    CLAIMED = 0
    RAN = 1
    NOT_RUN = 2
    UNKNOWN = 3


@dataclass(frozen=True, slots=True)
class Entry:
    """The record of one call.

    :param since: wall clock time of its claim, in seconds since 1970.
    :param lapses_at: see ``Operation``.
    """

    attempt: AttemptId
    body_digest: bytes
    state: EntryState
    since: float
    lapses_at: float
    answer: Answer | None = None


@dataclass(frozen=True, slots=True)
class ExpiredDay:
    """Short digests of the calls whose entries expired on one day."""

    day: int
    ran: frozenset[bytes] = frozenset()
    unknown: frozenset[bytes] = frozenset()


@dataclass(frozen=True, slots=True)
class ShardRecord:
    """Immutable state of one shard; each change creates a new record.

    Entries stay encoded, since a commit changes only a few out of thousands.

    :param prune_at: wall clock time at which the oldest entry expires, in seconds
        since 1970.
    :param size: approximate size of the stored form in bytes.
    """

    entries: dict[KeyDigest, bytes]
    expired: tuple[ExpiredDay, ...] = ()
    prune_at: float = NEVER
    size: int = 0

    def find_expired(self, digest: KeyDigest) -> Outcome | None:
        """Return the outcome of a call whose entry has expired, if recorded."""
        short_digest = digest[:SHORT_DIGEST_BYTES]
        for day in self.expired:
            if short_digest in day.ran:
                return Outcome.RAN
            if short_digest in day.unknown:
                return Outcome.UNKNOWN
        return None


EMPTY_RECORD = ShardRecord({})


def encode_entry(entry: Entry) -> bytes:
    """Return the stored form of an entry."""
    answer = entry.answer
    return cbor2.dumps(
        [
            entry.attempt,
            entry.body_digest,
            int(entry.state),
            entry.since,
            entry.lapses_at,
            None if answer is None else _pack_answer(answer),
        ]
    )


def decode_entry(encoded: bytes) -> Entry:
    """Return the entry for a stored form."""
    attempt, body_digest, *rest = cbor2.loads(encoded)
    state, since, lapses_at, answer = rest
    return Entry(
        attempt,
        body_digest,
        EntryState(state),
        since,
        lapses_at,
        None if answer is None else _unpack_answer(answer),
    )


def encode_record(record: ShardRecord) -> bytes:
    """Return the stored form of a shard."""
    expired = [
        [day.day, b''.join(sorted(day.ran)), b''.join(sorted(day.unknown))]
        for day in record.expired
    ]
    return cbor2.dumps([FORMAT, record.entries, expired])


def decode_record(stored: bytes, settings: LedgerSettings) -> ShardRecord:
    """Return the record of a stored shard.

    :raises PlatformError: if its format is that of another release; overwriting
        it would lose the records of calls.
    """
    version, entries, expired = cbor2.loads(stored)
    if version != FORMAT:
        raise PlatformError(
            f'unsupported ledger record format {version}',
            step=Step.STORE_READ,
            outcome=Outcome.NOT_RUN,
        )
    days = tuple(
        ExpiredDay(day, _split_short_digests(ran), _split_short_digests(unknown))
        for day, ran, unknown in expired
    )
    return ShardRecord(
        entries, days, _find_prune_time(entries, settings), size=len(stored)
    )


def prune_record(
    record: ShardRecord, now: float, settings: LedgerSettings
) -> ShardRecord:
    """Replace the entries past their retention by short digests.

    The number of days with digests is limited, not their age. If days were
    dropped by date, one clock far ahead would drop them all, and calls with old
    keys could run again.

    :param now: wall clock time in seconds since 1970.
    """
    if now < record.prune_at:
        return record
    cutoff = now - settings.retention.total_seconds()
    kept: dict[KeyDigest, bytes] = {}
    ran: set[bytes] = set()
    unknown: set[bytes] = set()
    for digest, encoded in record.entries.items():
        entry = decode_entry(encoded)
        if entry.since > cutoff:
            kept[digest] = encoded
        elif entry.state is EntryState.RAN:
            ran.add(digest[:SHORT_DIGEST_BYTES])
        elif entry.state is not EntryState.NOT_RUN:
            unknown.add(digest[:SHORT_DIGEST_BYTES])
    today = ExpiredDay(_read_day(now), frozenset(ran), frozenset(unknown))
    pruned = ShardRecord(
        kept,
        _add_day(record.expired, today)[-settings.max_expired_days :],
        _find_prune_time(kept, settings),
    )
    return replace(pruned, size=len(encode_record(pruned)))


def _add_day(days: tuple[ExpiredDay, ...], added: ExpiredDay) -> tuple[ExpiredDay, ...]:
    if not added.ran and not added.unknown:
        return days
    if not days or days[-1].day != added.day:
        return (*days, added)
    last = days[-1]
    merged = ExpiredDay(last.day, last.ran | added.ran, last.unknown | added.unknown)
    return (*days[:-1], merged)


def _read_day(now: float) -> int:
    return datetime.fromtimestamp(now, UTC).toordinal()


def _find_prune_time(
    entries: dict[KeyDigest, bytes], settings: LedgerSettings
) -> float:
    if not entries:
        return NEVER
    oldest = min(decode_entry(encoded).since for encoded in entries.values())
    return oldest + settings.retention.total_seconds()


def _pack_answer(answer: Answer) -> list[Any]:
    headers = [[header.name, header.value] for header in answer.headers]
    return [answer.status, headers, answer.body]


def _unpack_answer(packed: list[Any]) -> Answer:
    status, headers, body = packed
    return Answer(
        status=status,
        headers=tuple(AnswerHeader(name=name, value=value) for name, value in headers),
        body=body,
    )


def _split_short_digests(joined: bytes) -> frozenset[bytes]:
    starts = range(0, len(joined), SHORT_DIGEST_BYTES)
    return frozenset(joined[start : start + SHORT_DIGEST_BYTES] for start in starts)
