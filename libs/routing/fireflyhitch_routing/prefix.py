"""Index of the blocks that backend servers probably hold in their prefix caches.

Entries come from this daemon's own calls and from cache events, which are delayed and
may be lost. A wrong entry costs time but not correctness: the engine computes blocks
that it does not find.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from fireflyhitch_model.backends import CacheEvent
from fireflyhitch_model.ids import BackendServerId

MAX_BLOCKS = 65536
# Each start of a server takes a bit. Above this many bits the index is cleared, as
# removing single bits would iterate over all entries under the router's lock.
MAX_SLOTS = 1024


class PrefixIndex:
    """Maps prompt blocks to the servers that hold them; bounded, not thread-safe.

    :param max_blocks: maximum number of blocks, the least recently used are dropped
        first; 65,536 take 9.6 MB.
    """

    def __init__(self, max_blocks: int = MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        # Bit masks of servers by block. An OrderedDict, as removing the oldest entry
        # of a plain dict is slow once many at its front have been deleted.
        self._holders: OrderedDict[int, int] = OrderedDict()
        self._slots: dict[BackendServerId, int] = {}
        self._next_slot = 0
        self._sequences: dict[BackendServerId, int] = {}
        self.lost_events = 0

    def __len__(self) -> int:
        """Return the number of blocks."""
        return len(self._holders)

    def find(self, blocks: Sequence[int]) -> dict[BackendServerId, int]:
        """Return how many leading blocks each server probably holds.

        :returns: only servers with at least one block.
        """
        holders_of = self._holders.get
        mask = holders_of(blocks[0], 0) if blocks else 0
        if not mask:
            return {}
        first = mask
        mismatches: list[tuple[int, int]] = []
        for depth, block in enumerate(blocks):
            remaining = mask & holders_of(block, 0)
            if remaining == mask:
                continue
            mismatches.append((depth, mask & ~remaining))
            mask = remaining
            if not mask:
                break
        return {
            server: _depth_of(bit, mismatches, len(blocks))
            for server, bit in self._slots.items()
            if first & bit
        }

    def add(self, server: BackendServerId, blocks: Iterable[int]) -> None:
        """Record that a server holds blocks, or soon will."""
        bit = self._bit(server)
        holders = self._holders
        for block in blocks:
            holders[block] = holders.get(block, 0) | bit
            holders.move_to_end(block)
        while len(holders) > self._max_blocks:
            holders.popitem(last=False)

    def remove(self, server: BackendServerId, blocks: Iterable[int]) -> None:
        """Record that a server does not hold blocks."""
        inverse = ~self._bit(server)
        holders = self._holders
        for block in blocks:
            mask = holders.get(block, 0) & inverse
            if mask:
                holders[block] = mask
            else:
                holders.pop(block, None)

    def clear_server(self, server: BackendServerId) -> None:
        """Record that a server holds no blocks, or is gone."""
        self._slots.pop(server, None)
        self._sequences.pop(server, None)

    def apply_event(self, event: CacheEvent) -> None:
        """Apply a cache event; an old or repeated one is ignored."""
        last = self._sequences.get(event.server_id, 0)
        if event.sequence <= last:
            return
        if last:
            self.lost_events += event.sequence - last - 1
        if event.cleared:
            self.clear_server(event.server_id)
        self._sequences[event.server_id] = event.sequence
        self.add(event.server_id, event.stored)
        self.remove(event.server_id, event.removed)

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


def _depth_of(bit: int, mismatches: Sequence[tuple[int, int]], length: int) -> int:
    for depth, mismatched in mismatches:
        if mismatched & bit:
            return depth
    return length
