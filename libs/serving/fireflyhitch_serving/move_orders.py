"""Orders and records of moves, also across a restore of the store from an older copy."""

import json
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from loguru import logger

from fireflyhitch_model.eras import find_era, find_number
from fireflyhitch_model.external_values import (
    PARSE_ERRORS,
    parse_integer,
    parse_number,
)
from fireflyhitch_model.ids import ABSENT, DeploymentId, Revision
from fireflyhitch_model.records import immutable
from fireflyhitch_rollout.short_moves import MoveEnd

# Earlier orders of a service that a restored store may hold again.
MAX_EARLIER = 8


@immutable
class MoveOrder:
    """An operator's order to move a service to a version.

    :param revision: revision of the order in the store; a later order has a higher one.
    :param seconds: time within which the move is completed or rolled back.
    """

    service: DeploymentId
    target: str
    seconds: float
    revision: Revision

    @property
    def number(self) -> int:
        """Return the number that records and results name the order by.

        It is the same in a new era of the store, if the copy holds the order.
        """
        return find_number(self.revision)

    def repeats(self, other: 'MoveOrder') -> bool:
        """Return whether it orders the same as another one."""
        return (self.target, self.seconds) == (other.target, other.seconds)


@immutable
class MoveRecord:
    """A move's start and end.

    :param order: number of the order.
    :param began: seconds since 1970.
    """

    order: int = 0
    began: float = 0
    end: MoveEnd | None = None


def encode_record(record: MoveRecord) -> bytes:
    """Return a record as stored."""
    end = record.end.value if record.end else None
    fields = {'order': record.order, 'began': record.began, 'end': end}
    return json.dumps(fields).encode()


def decode_record(value: bytes) -> MoveRecord:
    """Decode a record as stored; a malformed one stands for no move, as a missing one."""
    try:
        return _decode_record(json.loads(value))
    except PARSE_ERRORS as error:
        logger.bind(error=repr(error)).error('malformed move record')
        return MoveRecord()


def _decode_record(fields: Mapping[str, Any]) -> MoveRecord:
    return MoveRecord(
        parse_integer(fields['order']),
        parse_number(fields['began']),
        MoveEnd(fields['end']) if fields['end'] else None,
    )


@dataclass(slots=True)
class Move:
    """A service's newest order, and what is known of its move.

    :param is_stored: whether the store holds the record.
    :param withdrawn: number of the last order whose version was withdrawn here.
    """

    order: MoveOrder | None = None
    record: MoveRecord = field(default_factory=MoveRecord)
    is_stored: bool = True
    withdrawn: int = 0
    _revision: Revision = ABSENT
    _stored: MoveRecord = field(default_factory=MoveRecord)
    _earlier: deque[MoveOrder] = field(
        default_factory=lambda: deque(maxlen=MAX_EARLIER)
    )

    @property
    def has_begun(self) -> bool:
        """Return whether the newest order's start is recorded."""
        return self.order is not None and self.record.order == self.order.number

    @property
    def has_ended(self) -> bool:
        """Return whether the newest order has ended."""
        return self.has_begun and self.record.end is not None

    @property
    def is_withdrawn(self) -> bool:
        """Return whether the newest order's version was withdrawn here."""
        return self.order is not None and self.withdrawn == self.order.number

    def apply_order(self, order: MoveOrder, *, is_rewritten: bool) -> bool:
        """Apply an order; return whether it is a new one.

        A restored store first holds an earlier order, or none, until the operators have
        written the newest one again.

        :param is_rewritten: whether the store came back from an older copy a moment ago.
        """
        known = self.order
        if known is not None and order.revision <= known.revision:
            return False
        if known is None or find_era(order.revision) == find_era(known.revision):
            self._replace_order(order)
            return True
        if order.repeats(known) and (is_rewritten or order.number == known.number):
            self._adopt(order, known)
            return False
        if any(_is_same(order, earlier) for earlier in self._earlier):
            return False
        self._replace_order(order)
        return True

    def apply_record(self, record: MoveRecord | None, revision: Revision) -> None:
        """Apply a record from the store; ``None`` if it holds none.

        What is known of the newest order's move stays known if a restored store lacks
        it, or holds an earlier state, also if a leader that knew less has written that.
        """
        if revision < self._revision:
            # The view of the store may be behind what this daemon has written.
            return
        self._revision = revision
        self._stored = record or MoveRecord()
        self.is_stored = not self._is_outdated(self._stored, revision)
        if self.is_stored:
            self.record = self._stored

    def learn(
        self, order: MoveOrder, record: MoveRecord, *, is_rewritten: bool
    ) -> bool:
        """Apply what a peer knows of an order's move; return whether it was news.

        :param is_rewritten: whether the store came back from an older copy a moment ago.
        """
        known = self.order
        if known is None or not order.repeats(known):
            return False
        if order.number != known.number and not is_rewritten:
            return False
        if self.has_begun and (self.has_ended or record.end is None):
            return False
        self.record = replace(record, order=known.number)
        self.is_stored = False
        return True

    def _is_outdated(self, record: MoveRecord, revision: Revision) -> bool:
        """Return whether more is known of the newest order's move than a record tells."""
        if not self.has_begun:
            return False
        if record.order == self.record.order:
            return self.has_ended and record.end is not self.record.end
        assert self.order is not None
        is_same_era = find_era(revision) == find_era(self.order.revision)
        # The record of an order that is still to come is known before that order.
        return not is_same_era or record.order < self.order.number

    def _replace_order(self, order: MoveOrder) -> None:
        if self.order is not None:
            self._earlier.append(self.order)
            self._forget(order.number)
        self.order = order
        is_same_era = find_era(self._revision) == find_era(order.revision)
        if is_same_era and self._stored.order == order.number:
            self.record = self._stored
            self.is_stored = True

    def _forget(self, number: int) -> None:
        """Drop what is known of an order whose number another one has got."""
        if self.record.order == number:
            self.record = MoveRecord()
            self.is_stored = False
        if self.withdrawn == number:
            self.withdrawn = 0

    def _adopt(self, order: MoveOrder, known: MoveOrder) -> None:
        """Go on with the move under the number that its order has now."""
        self.order = order
        if order.number == known.number:
            return
        if self.record.order == known.number:
            self.record = replace(self.record, order=order.number)
            self.is_stored = False
        if self.withdrawn == known.number:
            self.withdrawn = order.number


def _is_same(order: MoveOrder, earlier: MoveOrder) -> bool:
    return order.number == earlier.number and order.repeats(earlier)
