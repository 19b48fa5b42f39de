"""Records of servers that crashed while a request ran on them, from all daemons.

One request may crash every server that starts it, while many other requests run there
too: a single crash does not show which of them caused it. So crashes are recorded by
request content, which all retries share, and by server process. Merging reports is
idempotent and independent of their order.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from cachetools import LRUCache

from fireflyhitch_model.ids import ContentId, ProcessId
from fireflyhitch_routing.broadcast_window import BroadcastWindow

# A request that completed is not the cause of crashes: those up to this long after its
# complete response are attributed to other requests.
EXONERATION_SECONDS = 60.0
# Requests kept, the most recently updated ones.
MAX_SUSPECTS = 4096
MAX_COMPLETED = 16384
# Crashes kept for each request, the newest; more would not change the decision.
MAX_CRASHES = 8
# A later response counts as a change only after this long. Reports take some tenths of
# a second, and a response that other daemons send back must not count as new.
RESPONSE_REPORT_SECONDS = 5.0
# Reports in one message.
MAX_REPORTS = 32


class ServerCrash(NamedTuple):
    """A server process that crashed while a request ran there.

    :param at: monotonic seconds of the crash.
    :param began: monotonic seconds at which the request started to run there.
    """

    at: float
    began: float


class CrashReport(NamedTuple):
    """A daemon's report on one request.

    :param crashes: rows of server process, seconds since its crash, and seconds that the
        request had run there.
    :param completed_age: seconds since the request last completed; ``None`` if it has
        not, as far as known.
    """

    crashes: list[tuple[ProcessId, float, float]]
    completed_age: float | None = None


CrashReports = Mapping[ContentId, CrashReport]


@dataclass(slots=True)
class Suspect:
    """A request during which servers have crashed.

    :param completed_at: monotonic seconds at which the request last completed.
    """

    crashes: dict[ProcessId, ServerCrash] = field(default_factory=dict)
    completed_at: float = float('-inf')
    broadcast: BroadcastWindow = field(default_factory=BroadcastWindow)

    def find_attributable_crashes(self) -> dict[ProcessId, ServerCrash]:
        """Return the crashes that no complete response exonerates the request from."""
        since = self.completed_at + EXONERATION_SECONDS
        return {
            process: crash
            for process, crash in self.crashes.items()
            if crash.at > since
        }

    def make_report(self, now: float) -> CrashReport:
        """Return the report for other daemons."""
        has_completed = self.completed_at > float('-inf')
        return CrashReport(
            [
                (process, round(now - crash.at, 2), round(crash.at - crash.began, 2))
                for process, crash in self.crashes.items()
            ],
            round(now - self.completed_at, 2) if has_completed else None,
        )

    def add_crash(self, process: ProcessId, crash: ServerCrash) -> bool:
        """Add a crash; return whether it is new."""
        if process in self.crashes:
            return False
        self.crashes[process] = crash
        if len(self.crashes) > MAX_CRASHES:
            oldest = min(self.crashes, key=lambda one: self.crashes[one])
            del self.crashes[oldest]
        return process in self.crashes

    def add_response(self, at: float) -> bool:
        """Add a complete response; return whether it should be reported."""
        is_new = at - self.completed_at > RESPONSE_REPORT_SECONDS
        self.completed_at = max(self.completed_at, at)
        return is_new

    def has_more_than(self, report: CrashReport, now: float) -> bool:
        """Return whether this record has something that a report lacks."""
        reported = {process for process, _, _ in report.crashes}
        if self.crashes.keys() - reported:
            return True
        completed_age = (
            float('inf') if report.completed_age is None else report.completed_age
        )
        return now - self.completed_at < completed_age - RESPONSE_REPORT_SECONDS


class CrashTracker:
    """Crash records of this daemon, merged with those received from others."""

    def __init__(self) -> None:
        """Create an empty tracker."""
        self._suspects: OrderedDict[ContentId, Suspect] = OrderedDict()
        self._completed_at: LRUCache[ContentId, float] = LRUCache(MAX_COMPLETED)
        # Suspects that changed recently, and crash counts of those with several.
        self._recent: set[ContentId] = set()
        self._crash_counts: dict[ContentId, int] = {}

    def find(self, content: ContentId) -> Suspect | None:
        """Return the record of a request, if there is one."""
        return self._suspects.get(content)

    def all(self) -> Mapping[ContentId, Suspect]:
        """Return all requests during which servers have crashed."""
        return self._suspects

    def find_suspects(self, min_crashes: int) -> list[ContentId]:
        """Return requests with at least this many crashes, the most crashes first."""
        suspects = [row for row in self._crash_counts.items() if row[1] >= min_crashes]
        suspects.sort(key=lambda row: (-row[1], row[0]))
        return [content for content, _ in suspects]

    def record_crash(
        self, content: ContentId, process: ProcessId, crash: ServerCrash, now: float
    ) -> None:
        """Record that a server crashed while a request of this daemon ran there.

        :param now: monotonic seconds; a crash may be detected some seconds late.
        """
        suspect = self._find_or_add(content)
        if suspect.add_crash(process, crash):
            suspect.broadcast.mark_local(now)
            self._mark_changed(content, suspect, now)

    def record_response(self, content: ContentId, now: float) -> None:
        """Record that a request of this daemon completed."""
        self._completed_at[content] = now
        suspect = self._suspects.get(content)
        if suspect is not None and suspect.add_response(now):
            suspect.broadcast.mark_local(now)
            self._mark_changed(content, suspect, now)

    def report_again(self, content: ContentId, now: float) -> None:
        """Send the record of a request again, as other daemons may lack it."""
        suspect = self._suspects[content]
        suspect.broadcast.mark_local(now)
        self._mark_changed(content, suspect, now)

    def apply_reports(self, reports: CrashReports, now: float) -> None:
        """Merge the reports of another daemon."""
        for content, report in reports.items():
            self._merge_report(content, report, now)

    def build_reports(
        self, now: float, *, include_received: bool
    ) -> dict[ContentId, CrashReport]:
        """Return reports on recent changes, requests with the most crashes first.

        :param include_received: whether to include changes received from other
            daemons, for recipients that those daemons do not reach.
        """
        self._recent = {
            content
            for content in self._recent
            if self._suspects[content].broadcast.is_due(now, include_received=True)
        }
        due = [
            (content, self._suspects[content])
            for content in self._recent
            if self._suspects[content].broadcast.is_due(
                now, include_received=include_received
            )
        ]
        return _make_reports(due, now)

    def build_evidence(self, now: float) -> dict[ContentId, CrashReport]:
        """Return reports on all that may yet be held, the most crashes first.

        They are for daemons that start later, and leave out what a complete response
        exonerates.
        """
        suspects = [
            (content, suspect)
            for content, suspect in self._suspects.items()
            if suspect.find_attributable_crashes()
        ]
        return _make_reports(suspects, now)

    def _merge_report(
        self, content: ContentId, report: CrashReport, now: float
    ) -> None:
        suspect = self._find_or_add(content)
        crashes = [
            (process, ServerCrash(now - age, now - age - ran))
            for process, age, ran in report.crashes
        ]
        changes = [suspect.add_crash(process, crash) for process, crash in crashes]
        if report.completed_age is not None:
            changes.append(suspect.add_response(now - report.completed_age))
        if suspect.has_more_than(report, now) and suspect.broadcast.local_until < now:
            suspect.broadcast.mark_local(now)
            changes.append(True)
        if any(changes):
            self._mark_changed(content, suspect, now)

    def _find_or_add(self, content: ContentId) -> Suspect:
        suspect = self._suspects.get(content)
        if suspect is None:
            completed_at = self._completed_at.get(content, float('-inf'))
            suspect = Suspect(completed_at=completed_at)
            self._suspects[content] = suspect
            self._drop_oldest()
        self._suspects.move_to_end(content)
        return suspect

    def _drop_oldest(self) -> None:
        if len(self._suspects) > MAX_SUSPECTS:
            content, _ = self._suspects.popitem(last=False)
            self._recent.discard(content)
            self._crash_counts.pop(content, None)

    def _mark_changed(self, content: ContentId, suspect: Suspect, now: float) -> None:
        suspect.broadcast.changed_at = now
        self._recent.add(content)
        if len(suspect.crashes) > 1:
            self._crash_counts[content] = len(suspect.crashes)


def _make_reports(
    suspects: list[tuple[ContentId, Suspect]], now: float
) -> dict[ContentId, CrashReport]:
    """Return reports on those with the most crashes, and of these the newest."""
    suspects.sort(
        key=lambda row: (-len(row[1].crashes), -row[1].broadcast.changed_at, row[0])
    )
    return {
        content: suspect.make_report(now) for content, suspect in suspects[:MAX_REPORTS]
    }


def count_rounds(crashes: Iterable[ServerCrash]) -> int:
    """Return the number of successive runs of a request in which servers crashed.

    A run that started after the last counted crash begins a new round. Servers that
    crash at the same moment are assumed to have one cause and count as one round.
    """
    rounds = 0
    last = float('-inf')
    for crash in sorted(crashes):
        if crash.began > last:
            rounds += 1
            last = crash.at
    return rounds
