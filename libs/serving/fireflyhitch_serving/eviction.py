"""Decides which callers' connections are given up when all of them hold too much.

Answers a shortage of memory or descriptors that callers cause. An ordinary caller holds
little, and keeps the daemon waiting only for moments; a caller that holds much for long
is the first to go. A connection whose request is being served is no candidate.
"""

from collections.abc import Iterable
from enum import Enum
from typing import NewType

from fireflyhitch_model.records import immutable

ConnectionId = NewType('ConnectionId', int)

# A connection without a served request counts as if its caller had kept the daemon
# waiting for so many times as long.
UNSERVED_FACTOR = 4.0
# Callers that have only just begun differ by what they hold.
MIN_WAITED_SECONDS = 0.05


class Shortage(Enum):
    """What callers use too much of."""

    MEMORY = 'memory'
    DESCRIPTORS = 'descriptors'


class Eviction(Enum):
    """How a connection was given up.

    ``UNREAD`` stands for one that was closed with a response that was not read.
    """

    REFUSED = 'refused'
    CLOSED = 'closed'
    UNREAD = 'unread'


@immutable
class Holding:
    """What a connection holds while the daemon waits for its caller.

    :param waited: seconds since its caller began to send, or to leave unread, what is
        held; since the last response if it is idle.
    :param served: whether a request of it has been served.
    :param refused: whether it only waits to be closed.
    """

    connection: ConnectionId
    held_bytes: int
    waited: float
    served: bool = False
    refused: bool = False


def choose_for_memory(
    holdings: Iterable[Holding], excess_bytes: int
) -> list[ConnectionId]:
    """Return the connections to give up so that so many bytes are released.

    Those come first that hold most for longest.
    """
    chosen = []
    for holding in sorted(holdings, key=_rank_by_memory, reverse=True):
        if excess_bytes <= 0:
            break
        chosen.append(holding.connection)
        excess_bytes -= holding.held_bytes
    return chosen


def choose_for_descriptors(
    holdings: Iterable[Holding], count: int
) -> list[ConnectionId]:
    """Return a number of connections to give up; those that wait longest come first."""
    ranked = sorted(holdings, key=_rank_by_wait, reverse=True)
    return [holding.connection for holding in ranked[:count]]


def _rank_by_memory(holding: Holding) -> tuple[bool, float]:
    return holding.refused, holding.held_bytes * _weigh_wait(holding)


def _rank_by_wait(holding: Holding) -> tuple[bool, float]:
    return holding.refused, _weigh_wait(holding)


def _weigh_wait(holding: Holding) -> float:
    waited = holding.waited + MIN_WAITED_SECONDS
    return waited if holding.served else waited * UNSERVED_FACTOR
