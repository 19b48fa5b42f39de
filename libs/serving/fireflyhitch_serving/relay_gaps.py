"""Finds messages of changes that were lost on the way here."""

from dataclasses import dataclass, field

from cachetools import LRUCache

from fireflyhitch_model.clock import Clock
from fireflyhitch_serving.changes import ChangeMessage

# Both datagrams of a message have come by then, or were lost.
ARRIVAL_SECONDS = 0.25
# Peers' processes whose messages are counted, those heard last.
MOST_SENDERS = 256


@dataclass(slots=True)
class _Sender:
    settled: int
    told: int = 0
    told_at: float = 0
    got: set[int] = field(default_factory=set)


class RelayGaps:
    """Which peers' messages of changes were lost on the way here.

    Both datagrams of a message are lost where an instance's link is full for a moment,
    and a daemon that does not watch then sends to leaving servers for seconds: reads
    that may be old do not show it in time while the store's copies are behind. Each
    peer tells in its news how many messages it has sent, so a loss shows soon.
    """

    def __init__(self, clock: Clock) -> None:
        """Make gaps of peers that were not heard yet."""
        self._clock = clock
        self._senders: LRUCache[str, _Sender] = LRUCache(MOST_SENDERS)

    def note_message(self, message: ChangeMessage) -> None:
        """Take in that a message has come."""
        sender = self._senders.get(message.sender)
        if sender is not None:
            sender.got.add(message.number)

    def is_lost(self, process: str, sent: int) -> bool:
        """Take in how many messages a peer has sent; tell whether one was lost.

        A loss is told once, and only after both datagrams had their time.
        """
        now = self._clock.monotonic()
        sender = self._senders.get(process)
        if sender is None:
            self._senders[process] = _Sender(settled=sent)
            return False
        if sent <= sender.settled:
            return False
        if sender.told <= sender.settled:
            sender.told = sent
            sender.told_at = now
        if now - sender.told_at < ARRIVAL_SECONDS:
            return False
        expected = set(range(sender.settled + 1, sender.told + 1))
        lost = not expected <= sender.got
        sender.settled = sender.told
        sender.got -= expected
        return lost
