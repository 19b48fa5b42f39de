"""Changes in the store as daemons pass them on: types and their datagrams."""

import zlib
from typing import Any

import cbor2

from fireflyhitch_model.ids import ABSENT, Revision
from fireflyhitch_model.records import immutable
from fireflyhitch_serving.peer_state import read_rows, render_rows

CHANGES = 'changes'
# Values are JSON with few words in them: the fastest level takes off most of it.
COMPRESSION_LEVEL = 1


@immutable
class Change:
    """A key's new value; none if it is gone."""

    key: str
    value: bytes | None
    revision: Revision


@immutable
class ChangeSpan:
    """Changes below one prefix, as one who follows the store has learned them.

    :param after: from which revision on these are all changes.
    :param upto: the revision of the last one; the same as ``after`` for some changes
        that need not be all.
    """

    prefix: str
    changes: list[Change]
    after: Revision = ABSENT
    upto: Revision = ABSENT


@immutable
class ChangeMessage:
    """Changes passed on in one datagram.

    :param sender: the process that passes them on.
    """

    sender: str
    span: ChangeSpan


def render_changes(message: ChangeMessage) -> bytes:
    """Return a datagram."""
    span = message.span
    rows: list[object] = [(message.sender, span.prefix, span.after, span.upto)]
    rows.extend((change.key, change.value, change.revision) for change in span.changes)
    packed = zlib.compress(cbor2.dumps(rows), COMPRESSION_LEVEL)
    return render_rows(CHANGES, [packed])


def decode_changes(data: bytes) -> ChangeMessage | None:
    """Read a datagram; nothing for one of another kind."""
    packed = read_rows(CHANGES, data, _unpack)
    if not packed:
        return None
    (sender, prefix, after, upto), *changes = packed[0]
    span = ChangeSpan(prefix, [Change(*row) for row in changes], after, upto)
    return ChangeMessage(sender, span)


def _unpack(packed: bytes) -> list[Any]:
    try:
        rows: list[Any] = cbor2.loads(zlib.decompress(packed))
    except zlib.error as error:
        raise ValueError('changes are not readable') from error
    return rows


def part_span(span: ChangeSpan, most: int) -> list[ChangeSpan]:
    """Part a span for datagrams of so many changes each.

    The parts of one that does not fit claim nothing: if one of them is lost, the others
    must not pass for the whole.
    """
    if len(span.changes) <= most:
        return [span]
    return [
        ChangeSpan(span.prefix, span.changes[start : start + most])
        for start in range(0, len(span.changes), most)
    ]
