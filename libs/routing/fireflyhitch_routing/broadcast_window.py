"""How long a change is broadcast to other daemons."""

from dataclasses import dataclass

# A change is sent repeatedly within this time, since messages may be lost.
BROADCAST_SECONDS = 1.5


@dataclass(slots=True)
class BroadcastWindow:
    """The time in which a record is broadcast; all in monotonic seconds.

    :param changed_at: when the record last changed on this daemon.
    :param local_until: until when this daemon broadcasts the record as its own, since
        others may not have it.
    """

    changed_at: float = float('-inf')
    local_until: float = float('-inf')

    def mark_local(self, now: float) -> None:
        """Broadcast the record as this daemon's own from now on."""
        self.local_until = now + BROADCAST_SECONDS

    def is_due(self, now: float, *, include_received: bool) -> bool:
        """Return whether the record should be sent now.

        :param include_received: whether to include changes received from other daemons,
            for recipients that those daemons do not reach.
        """
        if self.local_until >= now:
            return True
        return include_received and now - self.changed_at < BROADCAST_SECONDS
