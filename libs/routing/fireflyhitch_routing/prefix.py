"""What is thought to be in the backend servers' prefix caches.

Entries come from own dispatches and from cache events, which are late and may be
lost. A wrong entry costs time, never correctness: the engine computes what it
does not find.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from fireflyhitch_model.backends import CacheEvent
from fireflyhitch_model.ids import BackendServerId

MAX_BLOCKS = 65536
# Each server, and each new start of one, takes a bit; above this many the index
# starts empty rather than sweep its entries under the router's lock.
MAX_SLOTS = 1024


class PrefixIndex:
    """Which server holds which prompt block; bounded, not thread-safe.

    :param max_blocks: blocks kept, the least recently used dropped first; 65,536
        take 9.6 MB.
    """

    def __init__(self, max_blocks: int = MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        # An OrderedDict, as taking the oldest entry of a plain dict is slow once
        # many at its front have been deleted.
        self._holders: OrderedDict[int, int] = OrderedDict()
        self._slots: dict[BackendServerId, int] = {}
        self._next_slot = 0
        self._sequences: dict[BackendServerId, int] = {}
        self.lost_events = 0

    def __len__(self) -> int:
        """Return how many blocks are known."""
        return len(self._holders)

    def find(self, blocks: Sequence[int]) -> dict[BackendServerId, int]:
        """Return for each server how many first blocks it is thought to hold.

        :returns: only servers with at least one block.
        """
        holders_of = self._holders.get
        mask = holders_of(blocks[0], 0) if blocks else 0
        if not mask:
            return {}
        first = mask
        ends: list[tuple[int, int]] = []
        for depth, block in enumerate(blocks):
            remaining = mask & holders_of(block, 0)
            if remaining == mask:
                continue
            ends.append((depth, mask & ~remaining))
            mask = remaining
            if not mask:
                break
        return {
            server: _depth_of(bit, ends, len(blocks))
            for server, bit in self._slots.items()
            if first & bit
        }

    def add(self, server: BackendServerId, blocks: Iterable[int]) -> None:
        """Note that a server holds blocks, or soon will."""
        bit = self._bit(server)
        holders = self._holders
        for block in blocks:
            holders[block] = holders.get(block, 0) | bit
            holders.move_to_end(block)
        while len(holders) > self._max_blocks:
            holders.popitem(last=False)

    def drop(self, server: BackendServerId, blocks: Iterable[int]) -> None:
        """Note that a server does not hold blocks."""
        keep = ~self._bit(server)
        holders = self._holders
        for block in blocks:
            mask = holders.get(block, 0) & keep
            if mask:
                holders[block] = mask
            else:
                holders.pop(block, None)

    def forget(self, server: BackendServerId) -> None:
        """Note that a server holds nothing, or is gone."""
        self._slots.pop(server, None)
        self._sequences.pop(server, None)

    def take_event(self, event: CacheEvent) -> None:
        """Take in a cache event; an old or repeated one changes nothing."""
        seen = self._sequences.get(event.server_id, 0)
        if event.sequence <= seen:
            return
        if seen:
            self.lost_events += event.sequence - seen - 1
        if event.cleared:
            self.forget(event.server_id)
        self._sequences[event.server_id] = event.sequence
        self.add(event.server_id, event.stored)
        self.drop(event.server_id, event.removed)

    def _bit(self, server: BackendServerId) -> int:
        bit = self._slots.get(server)
        if bit is not None:
            return bit
        if self._next_slot >= MAX_SLOTS:
            self._holders.clear()
            self._slots.clear()
            self._next_slot = 0
        bit = 1 << self._next_slot
        self._next_slot += 1
        self._slots[server] = bit
        return bit


def _depth_of(bit: int, ends: Sequence[tuple[int, int]], whole: int) -> int:
    for depth, dropped in ends:
        if dropped & bit:
            return depth
    return whole
