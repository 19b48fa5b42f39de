"""Types and datagrams for store changes that daemons broadcast."""

from collections.abc import Sequence
from itertools import repeat
from typing import Any

from fireflyhitch_model.eras import find_era, find_number, make_revision
from fireflyhitch_model.ids import ABSENT, Revision, StoreEra
from fireflyhitch_model.records import immutable
from fireflyhitch_serving.packing import pack, unpack
from fireflyhitch_serving.peer_state import decode_rows, encode_rows

CHANGES = 'changes'


@immutable
class Change:
    """A key's new value; ``None`` if the key was removed."""

    key: str
    value: bytes | None
    revision: Revision


@immutable
class ChangeSpan:
    """Changes below one prefix, as received by a daemon that follows the store.

    :param after: the changes are complete from this revision on.
    :param upto: the last revision covered; equal to ``after`` if the changes may be
        incomplete.
    """

    prefix: str
    changes: list[Change]
    after: Revision = ABSENT
    upto: Revision = ABSENT


@immutable
class ChangeMessage:
    """Changes broadcast in one datagram.

    :param sender: the process that broadcasts them.
    """

    sender: str
    span: ChangeSpan

    @property
    def newest(self) -> Revision:
        """Return the highest revision that it tells."""
        revisions = (change.revision for change in self.span.changes)
        return max(revisions, default=self.span.upto)


def encode_changes(message: ChangeMessage) -> bytes:
    """Return a datagram.

    The eras come in a second row, which daemons of versions that know of none pass over.
    """
    span = message.span
    after, upto = find_number(span.after), find_number(span.upto)
    rows: list[object] = [(message.sender, span.prefix, after, upto)]
    rows.extend(
        (change.key, change.value, find_number(change.revision))
        for change in span.changes
    )
    return encode_rows(CHANGES, [pack(rows), pack(_list_eras(span))])


def _list_eras(span: ChangeSpan) -> list[StoreEra]:
    """Return the eras of a span's revisions; a single one if they are all the same."""
    revisions = (span.after, span.upto, *(change.revision for change in span.changes))
    eras = [find_era(revision) for revision in revisions]
    known = {era for era, revision in zip(eras, revisions, strict=True) if revision}
    return list(known) if len(known) == 1 else eras


def decode_changes(data: bytes, first_era: StoreEra) -> ChangeMessage | None:
    """Decode a datagram; return ``None`` for one of another kind.

    :param first_era: era of a message that tells none.
    """
    unpacked = decode_rows(CHANGES, data, unpack)
    if not unpacked:
        return None
    eras = unpacked[1] if len(unpacked) > 1 else [first_era]
    return _decode_message(unpacked[0], eras)


def _decode_message(
    rows: Sequence[Sequence[Any]], eras: Sequence[StoreEra]
) -> ChangeMessage:
    """Return a message from the numbers of its revisions, and their eras."""
    (sender, prefix, *ends), *changed = rows
    numbers = [*ends, *(row[-1] for row in changed)]
    all_eras = eras if len(eras) == len(numbers) else repeat(eras[0])
    after, upto, *revisions = map(make_revision, all_eras, numbers)
    changes = [
        Change(row[0], row[1], revision)
        for row, revision in zip(changed, revisions, strict=True)
    ]
    return ChangeMessage(sender, ChangeSpan(prefix, changes, after, upto))


def split_span(span: ChangeSpan, max_changes: int) -> list[ChangeSpan]:
    """Split a span into spans of at most ``max_changes`` changes, one per datagram.

    The parts of a split span claim no completeness: if one is lost, the others must not
    hide the gap.
    """
    if len(span.changes) <= max_changes:
        return [span]
    return [
        ChangeSpan(span.prefix, span.changes[start : start + max_changes])
        for start in range(0, len(span.changes), max_changes)
    ]
