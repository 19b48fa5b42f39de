"""The engine stand-in's prefix cache and its late, gapped events."""

from collections import OrderedDict, deque
from collections.abc import Iterable

from fireflyhitch_model.backends import CacheEvent
from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.ids import BackendServerId
from fireflyhitch_standins.engine_messages import EngineProfile

KEPT_EVENTS = 4096
HASH_BITS = 64
HASH_RANGE = float(2**HASH_BITS)


class EngineCache:
    """Prompt blocks in limited memory, the least recently used dropped first."""

    def __init__(self, server_id: BackendServerId, profile: EngineProfile) -> None:
        self._server_id = server_id
        self._profile = profile
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=KEPT_EVENTS)
        self._sequence = 0

    def match(self, blocks: Iterable[int]) -> int:
        """Return how many first blocks are cached, and touch them."""
        matched = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            matched += 1
        return matched

    def store(self, blocks: Iterable[int], room: int, at: float) -> None:
        """Add blocks and drop old ones beyond the room.

        :param room: how many blocks running calls leave to the cache.
        :param at: seconds, for the event's delay.
        """
        stored = []
        for block in blocks:
            if block not in self._blocks:
                stored.append(block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        removed = self._shrink(room)
        if stored or removed:
            self._record(at, tuple(stored), tuple(removed))

    def clear(self, at: float) -> None:
        """Forget everything, as an engine that starts again does."""
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

    def _shrink(self, room: int) -> list[int]:
        removed = []
        while len(self._blocks) > max(room, 0):
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
