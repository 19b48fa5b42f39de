"""Tracks whether a view of the store's keys is complete and as new as its peers'.

Broadcast changes may be lost, with all copies and their sender. So each daemon's state
contains the newest change it has received; a daemon that has not received that change a
moment later has missed some change.
"""

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.eras import find_era
from fireflyhitch_model.ids import ABSENT, Revision
from fireflyhitch_serving.store_eras import EraTracker

# Changes reported by peers have arrived by then, unless lost: watchers pause for a
# quarter of a second between two results, and states are sent every 0.1 to 0.4 s.
ARRIVAL_SECONDS = 0.4


class ViewProgress:
    """Which changes below one prefix have been received."""

    def __init__(self, clock: Clock, eras: EraTracker | None = None) -> None:
        """Create the progress of an empty view.

        :param eras: of the store; without any, it stays in the same one.
        """
        self._clock = clock
        self._eras = eras or EraTracker(clock)
        self._complete = ABSENT
        self._shared = ABSENT
        self._newest = ABSENT
        self._reported = ABSENT
        self._reported_at = 0.0

    @property
    def newest(self) -> Revision:
        """Return the revision of the newest change received."""
        return self._newest

    @property
    def complete(self) -> Revision:
        """Return the revision up to which all changes have been received."""
        return self._complete

    @property
    def shared(self) -> Revision:
        """Return the revision up to which peers are known to have received all changes.

        They may lack changes that this daemon has read and not broadcast.
        """
        return self._shared

    def record_change(self, revision: Revision) -> None:
        """Record a single change; earlier ones may be missing."""
        self._newest = max(self._newest, revision)

    def record_listing(self, revision: Revision) -> None:
        """Record that all keys were read as of a revision."""
        self._complete = max(self._complete, revision)
        self._shared = self._shared or revision
        self._reported = ABSENT

    def record_broadcast(self, upto: Revision) -> None:
        """Record that all changes up to a revision were broadcast."""
        self._shared = max(self._shared, upto)

    def record_span(self, after: Revision, upto: Revision) -> None:
        """Record that all changes after a revision were received, up to the last one.

        A span that begins after the last complete revision leaves a gap, and is
        ignored.
        """
        if after <= self._complete < upto:
            self._complete = upto
        if after <= self._shared < upto:
            self._shared = upto

    def is_of_earlier_era(self, revision: Revision) -> bool:
        """Return whether a restore has lost what was read or told at a revision."""
        return find_era(revision) < find_era(self._complete)

    @property
    def may_read_stale(self) -> bool:
        """Return whether stale reads certainly return nothing that a restore lost."""
        return not self._eras.is_recent()

    def find_wanted(self, reported: Revision) -> Revision:
        """Return the revision up to which all changes should be known.

        All keys have to be read again in a new era.

        :param reported: the newest change that any peer has received.
        """
        return max(reported, self._eras.floor)

    def is_behind(self, reported: Revision) -> bool:
        """Return whether a change was missed.

        :param reported: the newest change that any peer has received.
        """
        reported = self.find_wanted(reported)
        if reported <= self._complete:
            return False
        now = self._clock.monotonic()
        if self._reported <= self._complete:
            self._reported = reported
            self._reported_at = now
        return now - self._reported_at >= ARRIVAL_SECONDS
