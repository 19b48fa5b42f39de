"""Messages by which a shard's owner commits for the other daemons."""

from typing import ClassVar

from fireflyhitch_ledger.operations import Operation, OperationResult
from fireflyhitch_model.peers import PeerMessage


class CommitRequest(PeerMessage):
    """Asks a shard's owner to commit an operation with its next write.

    It is told rather than asked, so that the owner's link is not held while
    the store writes; the owner tells back a ``CommitReply``.

    :param number: chosen by the sender, to match the reply.
    """

    kind: ClassVar[str] = 'ledger-commit'

    number: int
    shard: int
    operation: Operation


class CommitReply(PeerMessage):
    """Tells what came of a commit.

    :param result: ``None`` if the owner could not reach the store.
    """

    kind: ClassVar[str] = 'ledger-committed'

    number: int
    result: OperationResult | None = None
