"""Which requests are held back, since they end the servers that run them.

Such a request takes with it all that runs beside it, and its caller tries again. Held
back are those that ended the third server, and by nothing else than their own doing:

- A request that was answered whole lately is not held, however many servers end while
  it runs there: a popular one is at many servers that others end.
- Servers that end in one moment, as when a failure domain loses power, count as one.
- Ends under a request that is held already count for no other.
- Of two requests under which the same servers ended, neither is held until one of them
  stands out, or it goes on for too long.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from loguru import logger

from fireflyhitch_model.ids import ContentId, ProcessId
from fireflyhitch_routing.crashes import (
    CrashTracker,
    ServerCrash,
    Suspect,
    count_rounds,
)

# Ended under a request, it is held.
ENDS_TO_HOLD = 3
# In so many moments that follow each other.
ROUNDS_TO_HOLD = 2
# With so many ends, it is held also if another request was there each time.
ENDS_OF_CERTAINTY = 5
# From the last end; the server's software may have been mended by then.
HOLD_SECONDS = 600.0
MOST_HELD = 256


@dataclass(slots=True)
class Hold:
    """A request that is held back.

    :param until: monotonic seconds.
    :param processes: of the servers that ended under it.
    """

    until: float
    processes: frozenset[ProcessId]


class Quarantine:
    """Holds requests by the evidence in a book."""

    def __init__(self, book: CrashTracker) -> None:
        """Make a quarantine of nothing."""
        self._book = book
        self._held: dict[ContentId, Hold] = {}
        self._seen_at: dict[ContentId, float] = {}

    def find_remaining_hold(self, content: ContentId, now: float) -> float | None:
        """Return the seconds for which a request is held back, if it is."""
        hold = self._held.get(content)
        if hold is None or hold.until <= now:
            return None
        return hold.until - now

    def held(self) -> Mapping[ContentId, Hold]:
        """Return the requests that are held back."""
        return self._held

    def add_hold(self, content: ContentId, hold: Hold) -> None:
        """Hold a request that others have found to end servers."""
        if content not in self._held and len(self._held) < MOST_HELD:
            self._hold(content, hold, 'told')

    def review(self, now: float, settled: float) -> None:
        """Hold what the evidence is enough for, and release what it is not any more.

        :param settled: seconds in which others tell what speaks for a request.
        """
        for held in list(self._held):
            self._release_wrong(held, now)
        strong = self._book.find_strong(ENDS_TO_HOLD)
        self._seen_at = {content: self._seen_at.get(content, now) for content in strong}
        for content, seen_at in self._seen_at.items():
            if content not in self._held and now - seen_at >= settled:
                self._judge(content, now)

    def _judge(self, content: ContentId, now: float) -> None:
        suspect = self._book.find(content)
        if suspect is None:
            return
        crashes = self._find_unexplained(suspect)
        if (
            len(crashes) < ENDS_TO_HOLD
            or count_rounds(crashes.values()) < ROUNDS_TO_HOLD
        ):
            return
        if len(crashes) < ENDS_OF_CERTAINTY and self._has_rival(content, crashes):
            return
        until = max(end.at for end in crashes.values()) + HOLD_SECONDS
        if until > now and len(self._held) < MOST_HELD:
            self._hold(content, Hold(until, frozenset(crashes)), 'seen')

    def _find_unexplained(self, suspect: Suspect) -> dict[ProcessId, ServerCrash]:
        held = (hold.processes for hold in self._held.values())
        explained = frozenset[ProcessId]().union(*held)
        return {
            process: end
            for process, end in suspect.find_unanswered().items()
            if process not in explained
        }

    def _has_rival(self, content: ContentId, processes: Iterable[ProcessId]) -> bool:
        """Tell whether all these servers ended under another request as well."""
        wanted = set(processes)
        return any(
            wanted <= rival.find_unanswered().keys()
            for other, rival in self._book.all().items()
            if other != content and other not in self._held
        )

    def _hold(self, content: ContentId, hold: Hold, how: str) -> None:
        self._held[content] = hold
        logger.bind(content=content, ended=len(hold.processes), how=how).warning(
            'request held'
        )

    def _release_wrong(self, content: ContentId, now: float) -> None:
        hold = self._held[content]
        suspect = self._book.find(content)
        answered = suspect is not None and not suspect.find_unanswered()
        if hold.until > now and not answered:
            return
        del self._held[content]
        logger.bind(content=content, answered=answered).info('request released')
