"""One bound on what all callers' connections hold together, and on their number.

Each connection says what it holds whenever that changes: what was read and is no
complete request yet, requests that wait or are served, and responses that were not read.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from itertools import count
from typing import Protocol

from loguru import logger

from fireflyhitch_model.records import immutable
from fireflyhitch_serving.eviction import (
    ConnectionId,
    Eviction,
    Holding,
    Shortage,
    choose_for_descriptors,
    choose_for_memory,
)

# Of the process's memory, for all that callers' connections hold.
MAX_MEMORY_FRACTION = 0.3
# Of that, for connections that hold much each. The rest is kept for small requests.
MAX_LARGE_FRACTION = 0.75
LARGE_BYTES = 131_072
# Of the process's descriptors. The others are for servers, peers, the store and files.
MAX_DESCRIPTOR_FRACTION = 0.6
# Once a bound is passed, so much of it is released, so that the next callers find room
# without another search.
RELEASED_FRACTION = 0.1
REPORT_SECONDS = 1.0


@immutable
class CallerBounds:
    """What callers' connections may use.

    :param max_bytes: held by all connections together.
    :param max_large_bytes: held by the connections that hold much each.
    :param max_connections: their number.
    """

    max_bytes: int
    max_large_bytes: int
    max_connections: int


def make_bounds(memory_bytes: int, descriptors: int) -> CallerBounds:
    """Return the bounds in a process.

    :param memory_bytes: that the process may use in all.
    :param descriptors: that it may have open.
    """
    max_bytes = int(memory_bytes * MAX_MEMORY_FRACTION)
    return CallerBounds(
        max_bytes,
        int(max_bytes * MAX_LARGE_FRACTION),
        int(descriptors * MAX_DESCRIPTOR_FRACTION),
    )


class Holder(Protocol):
    """A connection that holds memory for its caller."""

    def describe_holding(
        self, connection: ConnectionId, held_bytes: int
    ) -> Holding | None:
        """Return what can be released; ``None`` while its request is served.

        :param held_bytes: what it holds in all.
        """

    def evict(self, shortage: Shortage) -> Eviction:
        """Refuse its caller's request, or close it."""


class CallerMemory:
    """What all callers' connections of a process hold."""

    def __init__(
        self,
        bounds: CallerBounds,
        count_eviction: Callable[[Shortage, Eviction], None],
    ) -> None:
        """Create an account without connections.

        :param count_eviction: counts a connection that was given up.
        """
        self.held_bytes = 0
        self.large_bytes = 0
        self._bounds = bounds
        self._count_eviction = count_eviction
        self._ids = count()
        self._holders: dict[ConnectionId, Holder] = {}
        self._held: dict[ConnectionId, int] = {}
        self._evicting = False
        self._reserving: ConnectionId | None = None
        self._evicted: Counter[str] = Counter()

    @property
    def connections(self) -> int:
        """Return the number of connections."""
        return len(self._holders)

    def add(self, holder: Holder, held_bytes: int) -> ConnectionId:
        """Add a connection, and give up others if they are too many."""
        connection = ConnectionId(next(self._ids))
        self._holders[connection] = holder
        self._held[connection] = 0
        self.update(connection, held_bytes)
        excess = len(self._holders) - self._bounds.max_connections
        if excess > 0 and not self._evicting:
            excess += int(self._bounds.max_connections * RELEASED_FRACTION)
            chosen = choose_for_descriptors(self._list_holdings(), excess)
            self._evict(chosen, Shortage.DESCRIPTORS)
        return connection

    def remove(self, connection: ConnectionId) -> None:
        """Remove a connection that is closed."""
        self.update(connection, 0)
        self._holders.pop(connection, None)
        self._held.pop(connection, None)

    def update(self, connection: ConnectionId, held_bytes: int) -> None:
        """Record what a connection holds, and give up others if that is too much.

        The connection itself may be given up.
        """
        before = self._held.get(connection)
        if before is None or before == held_bytes:
            return
        self._held[connection] = held_bytes
        self.held_bytes += held_bytes - before
        self.large_bytes += _count_large(held_bytes) - _count_large(before)
        if held_bytes > before and not self._evicting:
            self._make_room(large=held_bytes > LARGE_BYTES)

    def reserve(self, connection: ConnectionId, held_bytes: int) -> bool:
        """Return whether there is room for a request that is about to be served.

        Other connections are given up for it, but none that serves a request itself.

        :param held_bytes: what its connection then holds in all.
        """
        self._reserving = connection
        try:
            self.update(connection, held_bytes)
        finally:
            self._reserving = None
        bounds = self._bounds
        fits = self.held_bytes <= bounds.max_bytes
        if held_bytes > LARGE_BYTES:
            fits = fits and self.large_bytes <= bounds.max_large_bytes
        return fits

    async def report(self) -> None:
        """Log what was given up, in one line each second at most."""
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            if not self._evicted:
                continue
            logger.bind(
                **self._evicted,
                held_bytes=self.held_bytes,
                connections=self.connections,
            ).warning('callers evicted')
            self._evicted.clear()

    def _make_room(self, *, large: bool) -> None:
        bounds = self._bounds
        if self.held_bytes > bounds.max_bytes:
            released = int(bounds.max_bytes * RELEASED_FRACTION)
            excess = self.held_bytes - bounds.max_bytes + released
            chosen = choose_for_memory(self._list_holdings(), excess)
            self._evict(chosen, Shortage.MEMORY)
        elif large and self.large_bytes > bounds.max_large_bytes:
            excess = self.large_bytes - bounds.max_large_bytes
            holdings = (
                holding
                for holding in self._list_holdings()
                if holding.held_bytes > LARGE_BYTES
            )
            self._evict(choose_for_memory(holdings, excess), Shortage.MEMORY)

    def _list_holdings(self) -> Iterable[Holding]:
        for connection, holder in self._holders.items():
            if connection == self._reserving:
                continue
            holding = holder.describe_holding(connection, self._held[connection])
            if holding is not None:
                yield holding

    def _evict(self, chosen: Iterable[ConnectionId], shortage: Shortage) -> None:
        self._evicting = True
        try:
            for connection in chosen:
                done = self._holders[connection].evict(shortage)
                self._evicted[f'{done.value}_for_{shortage.value}'] += 1
                self._count_eviction(shortage, done)
        finally:
            self._evicting = False


def _count_large(held_bytes: int) -> int:
    return held_bytes if held_bytes > LARGE_BYTES else 0
