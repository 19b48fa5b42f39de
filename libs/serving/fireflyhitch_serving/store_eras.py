"""Tracks the era of the store, as its answers and the peers tell it.

A store that comes back from an older copy has lost what was written since, and gives
revisions and leases out again. Whatever rests on a revision or a lease of an earlier era
has to be read or written again; the components that hold any are told here.
"""

from collections.abc import Callable, Iterable, Mapping

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.eras import (
    UNKNOWN_ERA,
    find_era,
    find_number,
    make_floor,
    make_revision,
)
from fireflyhitch_model.ids import Revision, StoreEra

# Stale reads may still return what a restore has lost, for as long as they lag.
MAX_STALE_SECONDS = 5.0
# Key of the era in the revisions that daemons report by key prefix.
ERA = 'era'

# Store numbers by key prefix, all of one era, and that era if it is known.
ReportedRevisions = Mapping[str, int]


class EraTracker:
    """The newest era known, and who has to be told of a new one."""

    def __init__(self, clock: Clock) -> None:
        """Create a tracker that knows no era."""
        self._clock = clock
        self._first: StoreEra | None = None
        self._current: StoreEra | None = None
        self._known_since = float('-inf')
        self._callbacks: list[Callable[[], None]] = []
        self._first_callbacks: list[Callable[[], None]] = []

    @property
    def current(self) -> StoreEra:
        """Return the newest era known."""
        return UNKNOWN_ERA if self._current is None else self._current

    @property
    def first(self) -> StoreEra:
        """Return the first era known, to which messages without any belong.

        Daemons of versions that know of no eras send such messages, and go on with
        revisions of the first era after a restore.
        """
        return UNKNOWN_ERA if self._first is None else self._first

    @property
    def has_changed(self) -> bool:
        """Return whether the store has come back from an older copy since the start."""
        return self._first != self._current

    @property
    def floor(self) -> Revision:
        """Return a revision below all of the current era."""
        return make_floor(self.current)

    def add_callback(self, callback: Callable[[], None]) -> None:
        """Add a callback for each new era after the first one; it must return at once."""
        self._callbacks.append(callback)

    def add_first_callback(self, callback: Callable[[], None]) -> None:
        """Add a callback for the first era that is known; it must return at once.

        A process may have run for long without hearing of the store, which may have
        been restored since.
        """
        self._first_callbacks.append(callback)

    def record_revision(self, revision: Revision, source: str) -> None:
        """Record the era of a peer's revision, if the peer knows any.

        :param source: the peer, for the log.
        """
        era = find_era(revision)
        if era != UNKNOWN_ERA:
            self.record(era, source)

    def record(self, era: StoreEra, source: str) -> None:
        """Record an era that the store or a peer has told.

        :param source: who told it, for the log.
        """
        if self._current is not None and era <= self._current:
            return
        former = self._current
        self._current = era
        if era != UNKNOWN_ERA:
            self._known_since = self._clock.monotonic()
        log = logger.bind(era=era, source=source)
        if former is None:
            self._first = era
            log.info('store era known')
            for first_callback in self._first_callbacks:
                first_callback()
            return
        log.bind(former=former).warning('store restored from an older copy')
        for callback in self._callbacks:
            callback()

    def is_recent(self) -> bool:
        """Return whether the store may have been restored a moment ago.

        A process that has just started cannot know of a restore before its start.
        """
        return self._clock.monotonic() - self._known_since < MAX_STALE_SECONDS

    def report(self, newest: Mapping[str, Revision]) -> dict[str, int]:
        """Return revisions as daemons report them.

        Those of earlier eras are left out: they say nothing about the current one.
        """
        reported = {
            prefix: find_number(revision)
            for prefix, revision in newest.items()
            if find_era(revision) == self.current
        }
        if self._current is not None:
            reported[ERA] = self._current
        return reported

    def read_report(self, reported: ReportedRevisions) -> dict[str, Revision]:
        """Return the revisions that a daemon reports, by key prefix."""
        era = self.find_reported_era(reported)
        return {
            prefix: make_revision(era, number)
            for prefix, number in reported.items()
            if prefix != ERA
        }

    def find_reported(self, reported: ReportedRevisions, prefix: str) -> Revision:
        """Return the newest revision below a prefix that a daemon reports."""
        era = self.find_reported_era(reported)
        return make_revision(era, reported.get(prefix, 0))

    def find_reported_era(self, reported: ReportedRevisions) -> StoreEra:
        """Return the era of a daemon's report."""
        return StoreEra(reported.get(ERA, self.first))

    def is_current(self, reported: ReportedRevisions) -> bool:
        """Return whether a daemon that sends a report knows of the newest era."""
        return self.find_reported_era(reported) >= self.current

    def merge_reports(self, reports: Iterable[ReportedRevisions]) -> dict[str, int]:
        """Return the newest revision that any daemon reports, by key prefix."""
        merged: dict[str, Revision] = {}
        for reported in reports:
            for prefix, revision in self.read_report(reported).items():
                merged[prefix] = max(merged.get(prefix, revision), revision)
        return self.report(merged)
