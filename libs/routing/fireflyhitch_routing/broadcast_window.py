"""For how long what is new is told to other daemons."""

from dataclasses import dataclass

# Again and again, since messages are lost.
TELL_SECONDS = 1.5


@dataclass(slots=True)
class Telling:
    """When a piece of knowledge is told; all in monotonic seconds.

    :param changed_at: since when all of it is known here.
    :param own_until: until which this daemon tells it as its own, since others may not
        know it.
    """

    changed_at: float = float('-inf')
    own_until: float = float('-inf')

    def note_own(self, now: float) -> None:
        """Have it told as this daemon's own from now on."""
        self.own_until = now + TELL_SECONDS

    def is_due(self, now: float, *, heard: bool) -> bool:
        """Tell whether it is told now.

        :param heard: to those as well who do not hear whom it came from.
        """
        if self.own_until >= now:
            return True
        return heard and now - self.changed_at < TELL_SECONDS
