"""Prefix cache of the engine model, with delayed and lossy events."""

from collections import OrderedDict, deque
from collections.abc import Iterable

from fireflyhitch_model.backends import CacheEvent
from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.ids import BackendServerId
from fireflyhitch_standins.engine_messages import EngineProfile

MAX_KEPT_EVENTS = 4096
HASH_BITS = 64
HASH_RANGE = float(2**HASH_BITS)


class EngineCache:
    """Prompt blocks in limited memory with LRU eviction."""

    def __init__(self, server_id: BackendServerId, profile: EngineProfile) -> None:
        self._server_id = server_id
        self._profile = profile
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_KEPT_EVENTS)
        self._sequence = 0

    def match(self, blocks: Iterable[int]) -> int:
        """Return the length of the cached prefix and mark its blocks as used."""
        matched = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            matched += 1
        return matched

    def store(self, blocks: Iterable[int], max_blocks: int, at: float) -> None:
        """Add blocks and evict the oldest above the limit.

        :param max_blocks: number of blocks that running calls leave to the cache.
        :param at: seconds, for the event's delay.
        """
        stored = []
        for block in blocks:
            if block not in self._blocks:
                stored.append(block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        removed = self._shrink(max_blocks)
        if stored or removed:
            self._record(at, tuple(stored), tuple(removed))

    def clear(self, at: float) -> None:
        """Remove all blocks, as on an engine restart."""
        self._blocks.clear()
        self._record(at, (), (), cleared=True)

    def events(self, after: int, at: float) -> tuple[CacheEvent, ...]:
        """Return the events after a sequence number that are visible at a time."""
        visible_before = at - self._profile.event_lag
        return tuple(
            event
            for recorded, event in self._events
            if event.sequence > after and recorded <= visible_before
        )

    def _shrink(self, max_blocks: int) -> list[int]:
        removed = []
        while len(self._blocks) > max(max_blocks, 0):
            block, _ = self._blocks.popitem(last=False)
            removed.append(block)
        return removed

    def _record(
        self,
        at: float,
        stored: tuple[int, ...],
        removed: tuple[int, ...],
        *,
        cleared: bool = False,
    ) -> None:
        self._sequence += 1
        draw = hash_text(f'{self._server_id}/{self._sequence}') / HASH_RANGE
        if draw < self._profile.event_loss:
            return
        event = CacheEvent(self._server_id, self._sequence, stored, removed, cleared)
        self._events.append((at, event))
