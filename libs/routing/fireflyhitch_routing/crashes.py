"""What daemons have seen of servers that ended while a request ran on them.

One request may end each server that begins it. Many others run there as well, and each
of them looks the same to who sees a single end. So the evidence is kept by what a
request asks, over all its repeats, and by server: joined from all daemons in any order,
and told twice, it says the same.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from cachetools import LRUCache

from fireflyhitch_model.ids import ContentId, ProcessId
from fireflyhitch_routing.telling import Telling

# A request that was answered whole ends no servers, and for so long an end under it is
# put down to another.
ANSWERED_SECONDS = 60.0
# Requests remembered, those heard of last.
MOST_SUSPECTS = 4096
MOST_ANSWERED = 16384
# Ends remembered of one request, the newest; more of them tell nothing new.
MOST_ENDS = 8
# An answer is news again after this long; what is told takes some tenths of a second,
# and must not come back as new.
ANSWER_NEWS_SECONDS = 5.0
# In one message.
MOST_TOLD = 32


class ServerCrash(NamedTuple):
    """A server's process that ended while a request ran there.

    :param at: monotonic seconds.
    :param began: monotonic seconds of the request's run.
    """

    at: float
    began: float


class CrashReport(NamedTuple):
    """What a daemon tells of one request.

    :param crashes: rows of a server's process, seconds since it ended, and seconds that the
        request had run there.
    :param answered: seconds since the request was last answered whole, if it was.
    """

    crashes: list[tuple[ProcessId, float, float]]
    answered: float | None = None


CrashReports = Mapping[ContentId, CrashReport]


@dataclass(slots=True)
class Suspect:
    """A request under which servers have ended.

    :param answered_at: monotonic seconds at which it was last answered whole.
    """

    crashes: dict[ProcessId, ServerCrash] = field(default_factory=dict)
    answered_at: float = float('-inf')
    telling: Telling = field(default_factory=Telling)

    def find_unanswered(self) -> dict[ProcessId, ServerCrash]:
        """Return the ends that no whole answer of the request speaks against."""
        since = self.answered_at + ANSWERED_SECONDS
        return {process: end for process, end in self.crashes.items() if end.at > since}

    def describe(self, now: float) -> CrashReport:
        """Return what others are told."""
        answered = now - self.answered_at
        return CrashReport(
            [
                (process, round(now - end.at, 2), round(end.at - end.began, 2))
                for process, end in self.crashes.items()
            ],
            round(answered, 2) if answered < ANSWERED_SECONDS else None,
        )

    def take_end(self, process: ProcessId, end: ServerCrash) -> bool:
        """Take in an end; tell whether it was not known."""
        if process in self.crashes:
            return False
        self.crashes[process] = end
        if len(self.crashes) > MOST_ENDS:
            oldest = min(self.crashes, key=lambda known: self.crashes[known])
            del self.crashes[oldest]
        return process in self.crashes

    def take_answer(self, at: float) -> bool:
        """Take in a whole answer; tell whether that is news."""
        is_news = at - self.answered_at > ANSWER_NEWS_SECONDS
        self.answered_at = max(self.answered_at, at)
        return is_news

    def knows_more_than(self, note: CrashReport, now: float) -> bool:
        """Tell whether there is something here that a teller does not know."""
        told = {process for process, _, _ in note.crashes}
        if self.crashes.keys() - told:
            return True
        answered = float('inf') if note.answered is None else note.answered
        return (
            now - self.answered_at < ANSWERED_SECONDS
            and now - self.answered_at < answered - ANSWER_NEWS_SECONDS
        )


class CrashTracker:
    """The evidence of this daemon and of those that told it theirs."""

    def __init__(self) -> None:
        """Make a book of nothing."""
        self._suspects: OrderedDict[ContentId, Suspect] = OrderedDict()
        self._answered: LRUCache[ContentId, float] = LRUCache(MOST_ANSWERED)
        # Of the suspects: those that changed lately, and those with many ends.
        self._fresh: set[ContentId] = set()
        self._by_ends: dict[ContentId, int] = {}

    def find(self, content: ContentId) -> Suspect | None:
        """Return what is known of a request."""
        return self._suspects.get(content)

    def all(self) -> Mapping[ContentId, Suspect]:
        """Return all that servers have ended under."""
        return self._suspects

    def find_strong(self, least: int) -> list[ContentId]:
        """Return requests under which so many servers ended, those with most first."""
        strong = [row for row in self._by_ends.items() if row[1] >= least]
        strong.sort(key=lambda row: (-row[1], row[0]))
        return [content for content, _ in strong]

    def record_crash(
        self, content: ContentId, process: ProcessId, end: ServerCrash, now: float
    ) -> None:
        """Take in that a server ended while a request of this daemon ran there.

        :param now: monotonic seconds; an end may be found out some seconds late.
        """
        suspect = self._find(content)
        if suspect.take_end(process, end):
            suspect.telling.note_own(now)
            self._note_change(content, suspect, now)

    def record_response(self, content: ContentId, now: float) -> None:
        """Take in that a request of this daemon was answered whole."""
        self._answered[content] = now
        suspect = self._suspects.get(content)
        if suspect is not None and suspect.take_answer(now):
            suspect.telling.note_own(now)
            self._note_change(content, suspect, now)

    def take(self, notes: CrashReports, now: float) -> None:
        """Take in what another daemon tells."""
        for content, note in notes.items():
            self._take_note(content, note, now)

    def tell(self, now: float, *, heard: bool) -> dict[ContentId, CrashReport]:
        """Return what is new, the requests under which most servers ended first.

        :param heard: whether also what others told, for those who do not hear them.
        """
        self._fresh = {
            content
            for content in self._fresh
            if self._suspects[content].telling.is_due(now, heard=True)
        }
        told = [
            (content, self._suspects[content])
            for content in self._fresh
            if self._suspects[content].telling.is_due(now, heard=heard)
        ]
        told.sort(
            key=lambda row: (-len(row[1].crashes), -row[1].telling.changed_at, row[0])
        )
        return {content: suspect.describe(now) for content, suspect in told[:MOST_TOLD]}

    def _take_note(self, content: ContentId, note: CrashReport, now: float) -> None:
        suspect = self._find(content)
        crashes = [
            (process, ServerCrash(now - age, now - age - ran))
            for process, age, ran in note.crashes
        ]
        is_news = [suspect.take_end(process, end) for process, end in crashes]
        if note.answered is not None:
            is_news.append(suspect.take_answer(now - note.answered))
        if suspect.knows_more_than(note, now) and suspect.telling.own_until < now:
            suspect.telling.note_own(now)
            is_news.append(True)
        if any(is_news):
            self._note_change(content, suspect, now)

    def _find(self, content: ContentId) -> Suspect:
        suspect = self._suspects.get(content)
        if suspect is None:
            answered_at = self._answered.get(content, float('-inf'))
            suspect = Suspect(answered_at=answered_at)
            self._suspects[content] = suspect
            self._drop_oldest()
        self._suspects.move_to_end(content)
        return suspect

    def _drop_oldest(self) -> None:
        if len(self._suspects) > MOST_SUSPECTS:
            content, _ = self._suspects.popitem(last=False)
            self._fresh.discard(content)
            self._by_ends.pop(content, None)

    def _note_change(self, content: ContentId, suspect: Suspect, now: float) -> None:
        suspect.telling.changed_at = now
        self._fresh.add(content)
        if len(suspect.crashes) > 1:
            self._by_ends[content] = len(suspect.crashes)


def count_rounds(crashes: Iterable[ServerCrash]) -> int:
    """Return how often a request was sent again after a server had ended under it.

    Servers that end in the same moment have ended for one reason; it counts once.
    """
    rounds = 0
    last = float('-inf')
    for end in sorted(crashes):
        if end.began > last:
            rounds += 1
            last = end.at
    return rounds
