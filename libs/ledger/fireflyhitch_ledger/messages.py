"""Peer messages for commits by the owner of a shard."""

from typing import ClassVar

from fireflyhitch_ledger.operations import Operation, OperationResult
from fireflyhitch_model.peers import PeerMessage


class CommitRequest(PeerMessage):
    """Asks a shard's owner to commit an operation with its next write.

    It is a one-way message, so that the link to the owner is not blocked while
    the store writes; the owner sends a ``CommitReply`` back.

    :param number: chosen by the sender to match the reply.
    """

    kind: ClassVar[str] = 'ledger-commit'

    number: int
    shard: int
    operation: Operation


class CommitReply(PeerMessage):
    """Reports the result of a commit.

    :param result: ``None`` if the commit failed, for example because the owner
        could not reach the store.
    """

    kind: ClassVar[str] = 'ledger-committed'

    number: int
    result: OperationResult | None = None
