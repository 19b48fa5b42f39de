"""Reports each window's usage; the counts are fixed in the store before they are sent.

A successor that finds fixed counts sends just these again, so the platform never gets
two different reports of a window.
"""

import asyncio
from collections.abc import Callable

from loguru import logger

from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import ABSENT, FencingNumber
from fireflyhitch_model.records import immutable
from fireflyhitch_serving.duty_calls import CallResult, DutyCalls
from fireflyhitch_serving.fixed_counts import FixedCounts
from fireflyhitch_serving.leases import LeaderLease, Leadership
from fireflyhitch_serving.saved_counts import SavedCounts
from fireflyhitch_serving.usage import UsageTracker

# Peers' last counts of a window arrive some exchange rounds after its end, allowing for
# a lost message. With many daemons a round takes seconds, and an earlier report would
# lack requests.
SETTLE_SECONDS = 1.5
SETTLE_ROUNDS = 2.0
# An unresponsive daemon may come back with its counts. The report waits for it at most
# this fraction of the time until it is due, which leaves time to send it again.
MAX_WAIT_FRACTION = 0.6
CHECK_INTERVAL_SECONDS = 0.5
# All daemons may be killed at once, and their counts with them. The leader saves the
# counts that it received this often; otherwise a window's report would lack most of its
# requests. It saves all windows that are not fixed yet: the lead may be taken, or a
# report held back for an unresponsive daemon, some windows after the requests. While
# a stopped leader has no successor, its deputies save theirs.
SAVE_SECONDS = 1.0
RETAINED_REPORTED_WINDOWS = 64
# Stands for the fencing number of a deputy, which has none and only saves counts.
DEPUTY = FencingNumber(ABSENT)


@immutable
class UsageSchedule:
    """The windows of usage reports, and when a report is due.

    :param window_seconds: length of a window.
    :param late_seconds: time after a window's end by which its report is due.
    """

    window_seconds: float
    late_seconds: float


@immutable
class PeerCounts:
    """What is known of the other daemons and their counts.

    :param all_heard: returns whether every daemon has sent a message recently.
    :param propagation_seconds: returns the time in which each daemon has sent its
        counts.
    :param is_deputy: returns whether this daemon saves counts in the leader's place.
    """

    all_heard: Callable[[], bool]
    propagation_seconds: Callable[[], float]
    is_deputy: Callable[[], bool]


class UsageReporter:
    """Reports windows while this daemon leads."""

    def __init__(
        self,
        tracker: UsageTracker,
        lease: LeaderLease,
        saved: SavedCounts,
        fixed: FixedCounts,
        calls: DutyCalls,
        wall_clock: Callable[[], float],
        peers: PeerCounts,
        schedule: UsageSchedule,
    ) -> None:
        """Create a reporter that has reported nothing."""
        self._tracker = tracker
        self._lease = lease
        self._fixed = fixed
        self._calls = calls
        self._wall_clock = wall_clock
        self._peers = peers
        self._saved = saved
        self._window_seconds = schedule.window_seconds
        self._late_seconds = schedule.late_seconds
        # Number of windows before the newest whose reports may still be due.
        self._span = int(schedule.late_seconds // schedule.window_seconds) + 1
        self._reported_windows: list[int] = []
        self._saved_at = 0.0
        self._loaded_under: FencingNumber | None = None
        # The term in which this daemon has taken over all that was fixed before.
        self._term: FencingNumber | None = None
        # Windows before this one are reported only with counts that were fixed.
        self._complete_since = 0
        # The term in which this daemon leads, and the window in which that began.
        self._led_term: FencingNumber | None = None
        self._led_since = 0

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self._forget_old()
            leadership = self._lease.current_leadership()
            if leadership is not None or self._peers.is_deputy():
                await self._persist_counts(leadership)
            if leadership is not None and self._loaded_under == leadership.fencing:
                # A report made before the counts of an earlier leader are loaded would
                # lack them permanently.
                await self._report_due()

    async def _persist_counts(self, leadership: Leadership | None) -> None:
        """Load and save counts, as the leader or as a deputy."""
        try:
            await self._load_or_save(leadership)
        except PlatformError as error:
            logger.bind(error=str(error)).warning('counts not kept')

    async def _load_or_save(self, leadership: Leadership | None) -> None:
        """Load the saved counts on taking over, then save counts periodically."""
        fencing = leadership.fencing if leadership else DEPUTY
        if self._loaded_under != fencing:
            if leadership is None:
                await self._load_fixed()
            else:
                await self._take_over(leadership)
            await self._saved.load()
            self._loaded_under = fencing
            logger.bind(
                fencing=fencing,
                deputy=fencing == DEPUTY,
                stored=sorted(self._fixed.stored_windows),
                known=sorted(self._fixed.windows),
                complete_since=self._complete_since,
            ).info('counts loaded')
        now = self._wall_clock()
        if now - self._saved_at < SAVE_SECONDS:
            return
        unfixed = self._tracker.find_unfixed(
            self._find_oldest_due(now), self._fixed.windows
        )
        if not unfixed:
            return
        if await self._saved.save(unfixed, as_deputy=fencing == DEPUTY):
            self._saved_at = now
        else:
            await self._saved.load()

    async def _take_over(self, leadership: Leadership) -> None:
        """Learn which windows earlier leaders have fixed, and record how far that goes.

        The record comes last: if this leader ends before, the next one does the same.
        """
        self._begin_term(leadership)
        since = await self._load_fixed()
        if since is None:
            since = await self._complete_fixed(leadership)
        self._complete_since = since
        self._term = leadership.term

    def _begin_term(self, leadership: Leadership) -> None:
        """Record when a term began; taking over may take several attempts."""
        if self._led_term != leadership.term:
            self._led_term = leadership.term
            self._led_since = self._find_newest()

    async def _complete_fixed(self, leadership: Leadership) -> int:
        """Write again what is known to be fixed; return since when that is complete."""
        if self._term == leadership.term:
            since = self._complete_since
        else:
            await self._fixed.ask_peers()
            # By a clock that was wrong, the window of that moment may have been reported.
            since = self._led_since + 1
        self._fixed.apply_stored()
        await self._fixed.write_again()
        await self._fixed.record_complete_since(since)
        logger.bind(since=since, known=sorted(self._fixed.windows)).warning(
            'earlier windows are reported only as fixed'
        )
        return since

    async def _load_fixed(self) -> int | None:
        return await self._fixed.load(self._find_newest())

    def _find_newest(self) -> int:
        return self._tracker.find_window(self._wall_clock())

    async def _report_due(self) -> None:
        now = self._wall_clock()
        for due in range(self._find_oldest_due(now), self._tracker.find_window(now)):
            if due in self._reported_windows or not self._is_settled(due, now):
                continue
            try:
                await self._report(due)
            except PlatformError as error:
                logger.bind(window=due, error=str(error)).warning('usage not fixed')
                return

    def _find_oldest_due(self, now: float) -> int:
        """Return the oldest window whose report may still be due."""
        return self._tracker.find_window(now) - 1 - self._span

    def _forget_old(self) -> None:
        """Drop windows that can no longer be reported, also while others lead."""
        newest = self._tracker.find_window(self._wall_clock()) - 1
        oldest = newest - 2 * self._span
        self._tracker.forget_before(oldest)
        self._fixed.keep_only(oldest, newest)

    def _is_settled(self, window: int, now: float) -> bool:
        elapsed = now - (window + 1) * self._window_seconds
        if elapsed < SETTLE_SECONDS + SETTLE_ROUNDS * self._peers.propagation_seconds():
            return False
        return (
            self._peers.all_heard() or elapsed > self._late_seconds * MAX_WAIT_FRACTION
        )

    async def _report(self, window: int) -> None:
        counts = self._fixed.find(window)
        if counts is None and window < self._complete_since:
            return
        if counts is None:
            counts = self._tracker.sum_window(window)
        counts = await self._fixed.fix(window, counts)
        leadership = self._lease.current_leadership()
        if counts is None or leadership is None:
            return
        result = await self._calls.report_usage(leadership, window, counts)
        logger.bind(
            window=window,
            requests=sum(counts.values()),
            counts=dict(counts),
            processes=self._tracker.count_reporters(window),
            all_heard=self._peers.all_heard(),
            fencing=leadership.fencing,
            result=result.value,
        ).info('usage reported')
        if result is CallResult.DONE:
            self._reported_windows = [
                *self._reported_windows[-RETAINED_REPORTED_WINDOWS:],
                window,
            ]
