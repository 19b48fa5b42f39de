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
from fireflyhitch_routing.broadcast_window import Telling

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


class ServerEnd(NamedTuple):
    """A server's process that ended while a request ran there.

    :param at: monotonic seconds.
    :param began: monotonic seconds of the request's run.
    """

    at: float
    began: float


class CrashNote(NamedTuple):
    """What a daemon tells of one request.

    :param ends: rows of a server's process, seconds since it ended, and seconds that the
        request had run there.
    :param answered: seconds since the request was last answered whole, if it was.
    """

    ends: list[tuple[ProcessId, float, float]]
    answered: float | None = None


CrashNotes = Mapping[ContentId, CrashNote]


@dataclass(slots=True)
class Suspect:
    """A request under which servers have ended.

    :param answered_at: monotonic seconds at which it was last answered whole.
    """

    ends: dict[ProcessId, ServerEnd] = field(default_factory=dict)
    answered_at: float = float('-inf')
    telling: Telling = field(default_factory=Telling)

    def find_unanswered(self) -> dict[ProcessId, ServerEnd]:
        """Return the ends that no whole answer of the request speaks against."""
        since = self.answered_at + ANSWERED_SECONDS
        return {process: end for process, end in self.ends.items() if end.at > since}

    def describe(self, now: float) -> CrashNote:
        """Return what others are told."""
        answered = now - self.answered_at
        return CrashNote(
            [
                (process, round(now - end.at, 2), round(end.at - end.began, 2))
                for process, end in self.ends.items()
            ],
            round(answered, 2) if answered < ANSWERED_SECONDS else None,
        )

    def take_end(self, process: ProcessId, end: ServerEnd) -> bool:
        """Take in an end; tell whether it was not known."""
        if process in self.ends:
            return False
        self.ends[process] = end
        if len(self.ends) > MOST_ENDS:
            oldest = min(self.ends, key=lambda known: self.ends[known])
            del self.ends[oldest]
        return process in self.ends

    def take_answer(self, at: float) -> bool:
        """Take in a whole answer; tell whether that is news."""
        is_news = at - self.answered_at > ANSWER_NEWS_SECONDS
        self.answered_at = max(self.answered_at, at)
        return is_news

    def knows_more_than(self, note: CrashNote, now: float) -> bool:
        """Tell whether there is something here that a teller does not know."""
        told = {process for process, _, _ in note.ends}
        if self.ends.keys() - told:
            return True
        answered = float('inf') if note.answered is None else note.answered
        return (
            now - self.answered_at < ANSWERED_SECONDS
            and now - self.answered_at < answered - ANSWER_NEWS_SECONDS
        )


class CrashBook:
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

    def note_end(
        self, content: ContentId, process: ProcessId, end: ServerEnd, now: float
    ) -> None:
        """Take in that a server ended while a request of this daemon ran there.

        :param now: monotonic seconds; an end may be found out some seconds late.
        """
        suspect = self._find(content)
        if suspect.take_end(process, end):
            suspect.telling.note_own(now)
            self._note_change(content, suspect, now)

    def note_answer(self, content: ContentId, now: float) -> None:
        """Take in that a request of this daemon was answered whole."""
        self._answered[content] = now
        suspect = self._suspects.get(content)
        if suspect is not None and suspect.take_answer(now):
            suspect.telling.note_own(now)
            self._note_change(content, suspect, now)

    def take(self, notes: CrashNotes, now: float) -> None:
        """Take in what another daemon tells."""
        for content, note in notes.items():
            self._take_note(content, note, now)

    def tell(self, now: float, *, heard: bool) -> dict[ContentId, CrashNote]:
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
            key=lambda row: (-len(row[1].ends), -row[1].telling.changed_at, row[0])
        )
        return {content: suspect.describe(now) for content, suspect in told[:MOST_TOLD]}

    def _take_note(self, content: ContentId, note: CrashNote, now: float) -> None:
        suspect = self._find(content)
        ends = [
            (process, ServerEnd(now - age, now - age - ran))
            for process, age, ran in note.ends
        ]
        is_news = [suspect.take_end(process, end) for process, end in ends]
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
        if len(suspect.ends) > 1:
            self._by_ends[content] = len(suspect.ends)


def count_rounds(ends: Iterable[ServerEnd]) -> int:
    """Return how often a request was sent again after a server had ended under it.

    Servers that end in the same moment have ended for one reason; it counts once.
    """
    rounds = 0
    last = float('-inf')
    for end in sorted(ends):
        if end.began > last:
            rounds += 1
            last = end.at
    return rounds
