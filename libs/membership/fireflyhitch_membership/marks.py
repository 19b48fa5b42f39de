"""Grow-only marks: leaving instances and withdrawn versions."""

from collections.abc import Iterable
from threading import Lock

from loguru import logger

from fireflyhitch_membership.messages import Mark, MarkKind
from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.invariants import Invariant, invariant
from fireflyhitch_model.states import Step

# Digests are compared per bucket, so that one new mark among thousands does not
# require an exchange of all.
BUCKETS = 32
# Holds eleven days at 1,800 restarts or failures a day, in about 4 MB.
MAX_LEAVING_MARKS = 20000

_INVARIANTS = {
    MarkKind.LEAVING: Invariant.LEAVING_STAYS,
    MarkKind.WITHDRAWN: Invariant.WITHDRAWN_STAYS,
}

MarkKey = tuple[MarkKind, str]


class MarkTable:
    """A daemon's marks; merging takes the maximum number for each key.

    The maximum is independent of the order and repetition of messages: a partitioned
    side that reconnects with old marks can only add to the union.
    """

    def __init__(self) -> None:
        self._lock = Lock()
        self._numbers: dict[MarkKey, int] = {}
        self._buckets = [0 for _ in range(BUCKETS)]

    def merge(self, marks: Iterable[Mark]) -> tuple[Mark, ...]:
        """Merge marks into the table.

        :returns: the marks that changed the table.
        """
        with self._lock:
            return tuple(mark for mark in marks if self._apply(mark))

    def number_of(self, kind: MarkKind, key: str) -> int:
        """Return the highest marked number of a key, or 0 if it is not marked."""
        return self._numbers.get((kind, key), 0)

    def all_of(self, kind: MarkKind) -> dict[str, int]:
        """Return the marked number of each key of a kind."""
        with self._lock:
            return {
                key: number
                for (one_kind, key), number in self._numbers.items()
                if one_kind is kind
            }

    def all(self) -> tuple[Mark, ...]:
        """Return all marks."""
        with self._lock:
            return tuple(
                Mark(kind=kind, key=key, number=number)
                for (kind, key), number in self._numbers.items()
            )

    def digest(self) -> int:
        """Return a hash of all marks."""
        with self._lock:
            buckets = repr(self._buckets)
        return hash_text(buckets)

    def bucket_digests(self) -> tuple[int, ...]:
        """Return a hash of the marks in each bucket."""
        with self._lock:
            return tuple(self._buckets)

    def differing(self, remote: tuple[int, ...]) -> tuple[Mark, ...]:
        """Return the marks in the buckets that differ from a peer's."""
        if not remote:
            return ()
        if len(remote) != BUCKETS:
            return self.all()
        local = self.bucket_digests()
        return tuple(
            mark
            for mark in self.all()
            if local[_bucket_of(mark)] != remote[_bucket_of(mark)]
        )

    def _apply(self, mark: Mark) -> bool:
        key = (mark.kind, mark.key)
        before = self._numbers.get(key, 0)
        if mark.number <= before:
            return False
        bucket = _bucket_of(mark)
        if before:
            self._buckets[bucket] ^= _hash(mark.kind, mark.key, before)
        self._buckets[bucket] ^= _hash(mark.kind, mark.key, mark.number)
        self._numbers[key] = mark.number
        invariant(
            self._numbers[key] > before,
            _INVARIANTS[mark.kind],
            f'{mark.key}: {before} to {mark.number}',
            step=Step.PEER,
        )
        self._evict_oldest_leaving(mark.kind)
        return True

    def _evict_oldest_leaving(self, kind: MarkKind) -> None:
        if kind is not MarkKind.LEAVING or len(self._numbers) <= MAX_LEAVING_MARKS:
            return
        oldest = next(key for key in self._numbers if key[0] is MarkKind.LEAVING)
        number = self._numbers.pop(oldest)
        dropped = Mark(kind=oldest[0], key=oldest[1], number=number)
        self._buckets[_bucket_of(dropped)] ^= _hash(*oldest, number)
        logger.bind(step=Step.PEER.value, instance=dropped.key).warning(
            'oldest leaving mark dropped'
        )


def _bucket_of(mark: Mark) -> int:
    return hash_text(mark.key) % BUCKETS


def _hash(kind: MarkKind, key: str, number: int) -> int:
    return hash_text(f'{kind.value}/{key}/{number}')
