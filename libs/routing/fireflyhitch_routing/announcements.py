"""What servers announce about themselves in responses, shared by all daemons.

Each daemon sends to a given server only rarely, so what one of them is told is broadcast
to all others. An announcement of a server's process holds until that process says
otherwise.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from loguru import logger

from fireflyhitch_model import external_values
from fireflyhitch_model.ids import BackendServerId, ProcessId
from fireflyhitch_routing.broadcast_window import BroadcastWindow

# Reports in one message.
MAX_REPORTS = 64
# Counted from the server's last response.
EXPIRY_SECONDS = 600.0
# Announcements kept, the most recent ones.
MAX_ANNOUNCEMENTS = 4096


class AnnouncementKind(Enum):
    """What servers announce; the values are part of the daemons' messages."""

    LIMIT = 'limit'
    BRITTLE = 'brittle'
    LEAVING = 'leaving'


class Report(NamedTuple):
    """A daemon's report on what a server process has announced.

    :param value: ``None`` if it does not announce it any more.
    :param age: seconds since the server announced it.
    """

    value: float | None
    age: float


Reports = Mapping[ProcessId, Report]
# Reports on announcements of several kinds, by the kind's value.
ReportsByKind = Mapping[str, Reports]


@dataclass(slots=True)
class _Announcement:
    """What a server process last announced.

    :param at: monotonic seconds at which it did so.
    """

    value: float | None
    at: float
    server: BackendServerId | None = None
    broadcast: BroadcastWindow = field(default_factory=BroadcastWindow)


def parse_number(text: str | None) -> float | None:
    """Parse a number that a server announces; an invalid text announces nothing."""
    if text is None:
        return None
    try:
        # Beyond its bound, peers would regard this daemon's whole state as unreadable.
        number = external_values.parse_number(text)
    except ValueError:
        return None
    return None if number < 0 else number


class Announcements:
    """The announcements of one kind, by server process."""

    def __init__(
        self, kind: str, on_change: Callable[[ProcessId, float | None], None]
    ) -> None:
        """Create a table without announcements.

        :param kind: for the log.
        :param on_change: called when a server's value has changed.
        """
        self._kind = kind
        self._on_change = on_change
        self._announcements: dict[ProcessId, _Announcement] = {}
        self._in_force: set[ProcessId] = set()

    @property
    def has_any(self) -> bool:
        """Return whether any server's announcement is in force."""
        return bool(self._in_force)

    def find(self, process: ProcessId) -> float | None:
        """Return what a server process announces, if it announces anything."""
        if process not in self._in_force:
            return None
        return self._announcements[process].value

    def record_response(
        self,
        process: ProcessId,
        server: BackendServerId,
        value: float | None,
        sent: float,
        now: float,
    ) -> None:
        """Apply the announcement in a server's response.

        :param value: ``None`` if the response has none.
        :param sent: monotonic seconds at which the request was sent; a response without
            an announcement to a request sent before the last one does not end it.
        """
        known = self._announcements.get(process)
        if known is None:
            if value is None:
                return
            known = self._add(process)
        elif value is None and (known.value is None or sent < known.at):
            return
        known.server = server
        self._set(process, known, value, now, now)
        known.broadcast.mark_local(now)

    def apply_reports(self, reports: Reports, now: float) -> None:
        """Merge the reports of another daemon; the latest announcement wins."""
        for process, report in reports.items():
            known = self._announcements.get(process)
            at = now - report.age
            if known is None:
                known = self._add(process)
            if at > known.at:
                self._set(process, known, report.value, at, now)

    def build_reports(
        self, now: float, *, include_received: bool
    ) -> dict[ProcessId, Report]:
        """Return reports on recent announcements, the latest first.

        :param include_received: whether to include those received from other daemons.
        """
        self._drop_expired(now)
        due = [
            (process, known)
            for process, known in self._announcements.items()
            if known.broadcast.is_due(now, include_received=include_received)
        ]
        due.sort(key=lambda row: row[1].at, reverse=True)
        return {
            process: Report(known.value, round(now - known.at, 2))
            for process, known in due[:MAX_REPORTS]
        }

    def _add(self, process: ProcessId) -> _Announcement:
        if len(self._announcements) >= MAX_ANNOUNCEMENTS:
            self._drop(min(self._announcements, key=self._find_time))
        added = _Announcement(None, float('-inf'))
        self._announcements[process] = added
        return added

    def _find_time(self, process: ProcessId) -> float:
        return self._announcements[process].at

    def _drop_expired(self, now: float) -> None:
        """Drop what servers have not announced for a long time.

        Announcements of servers missing from the instance list are kept: a server may be
        missing only because the store was unavailable.
        """
        expired = [
            process
            for process, known in self._announcements.items()
            if now - known.at > EXPIRY_SECONDS
        ]
        for process in expired:
            self._drop(process)

    def _drop(self, process: ProcessId) -> None:
        del self._announcements[process]
        self._in_force.discard(process)

    def _set(
        self,
        process: ProcessId,
        known: _Announcement,
        value: float | None,
        at: float,
        now: float,
    ) -> None:
        was = known.value
        known.value = value
        known.at = at
        known.broadcast.changed_at = now
        if value is None:
            self._in_force.discard(process)
        else:
            self._in_force.add(process)
        if value == was:
            return
        logger.bind(server=known.server, process=process, value=value, was=was).info(
            self._kind
        )
        self._on_change(process, value)


class AnnouncementTables:
    """The announcements of all kinds, as daemons exchange them."""

    def __init__(self, tables: Mapping[AnnouncementKind, Announcements]) -> None:
        """Create the exchange of some tables."""
        self._tables = tables

    def build_reports(self, now: float, *, include_received: bool) -> ReportsByKind:
        """Return reports on recent announcements of each kind that has any.

        :param include_received: whether to include those received from other daemons.
        """
        built = {
            kind.value: table.build_reports(now, include_received=include_received)
            for kind, table in self._tables.items()
        }
        return {kind: reports for kind, reports in built.items() if reports}

    def apply_reports(self, reports: ReportsByKind, now: float) -> None:
        """Merge the reports of another daemon."""
        for kind, table in self._tables.items():
            table.apply_reports(reports.get(kind.value, {}), now)
