"""Changes of the server list as daemons pass them on: types and their datagrams."""

from dataclasses import dataclass

from fireflyhitch_model.ids import Revision
from fireflyhitch_serving.peer_news import read_rows, render_rows

CHANGES = 'changes'


@dataclass(frozen=True, slots=True)
class Change:
    """A key's new value; none if it is gone."""

    key: str
    value: bytes | None
    revision: Revision


@dataclass(frozen=True, slots=True)
class ChangeMessage:
    """Changes passed on in one datagram.

    :param sender: the process that passes them on.
    :param number: of its messages, from 1; a lost one leaves a gap.
    """

    sender: str
    number: int
    changes: list[Change]


def render_changes(message: ChangeMessage) -> bytes:
    """Return a datagram."""
    rows: list[object] = [(message.sender, message.number)]
    rows.extend(
        (change.key, change.value, change.revision) for change in message.changes
    )
    return render_rows(CHANGES, rows)


def read_changes(data: bytes) -> ChangeMessage | None:
    """Read a datagram; nothing for one of another kind."""
    rows = read_rows(CHANGES, data, tuple)
    if not rows:
        return None
    (sender, number), *changes = rows
    return ChangeMessage(sender, number, [Change(*row) for row in changes])
