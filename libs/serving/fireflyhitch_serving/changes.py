"""Types and datagrams for store changes that daemons broadcast."""

from fireflyhitch_model.ids import ABSENT, Revision
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


def encode_changes(message: ChangeMessage) -> bytes:
    """Return a datagram."""
    span = message.span
    rows: list[object] = [(message.sender, span.prefix, span.after, span.upto)]
    rows.extend((change.key, change.value, change.revision) for change in span.changes)
    return encode_rows(CHANGES, [pack(rows)])


def decode_changes(data: bytes) -> ChangeMessage | None:
    """Decode a datagram; return ``None`` for one of another kind."""
    unpacked = decode_rows(CHANGES, data, unpack)
    if not unpacked:
        return None
    (sender, prefix, after, upto), *changes = unpacked[0]
    span = ChangeSpan(prefix, [Change(*row) for row in changes], after, upto)
    return ChangeMessage(sender, span)


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
