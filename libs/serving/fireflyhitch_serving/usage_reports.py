"""Reports each window's usage once: counts are fixed in the store before they are sent.

A successor that finds fixed counts sends just these again, so that the platform never
gets two different reports of a window.
"""

import asyncio
import json
from collections.abc import Callable

from loguru import logger

from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import ABSENT, CustomerId, FencingNumber
from fireflyhitch_model.records import immutable
from fireflyhitch_platform.keyvalue import Conflict, Written
from fireflyhitch_serving.duty_calls import CallResult, DutyCalls
from fireflyhitch_serving.leases import LeaderLease, Leadership
from fireflyhitch_serving.store import AsyncStore, Put
from fireflyhitch_serving.usage import UsageTracker

# Not below the watched prefix: only a new leader reads it.
USAGE_PREFIX = 'fireflyhitch-usage/'
# Peers' last counts of a window are here some turns of messages after its end, a lost one
# included. With many daemons a turn takes seconds, and an earlier report lacks requests.
SETTLE_SECONDS = 1.5
SETTLE_TURNS = 2.0
# A daemon that is not heard may come back with its counts; longer than this the
# report does not wait for it, so that there is time to send it again.
LATEST_PART = 0.6
LOOK_SECONDS = 0.5
# All daemons may be killed at once, and their counts with them. The leader keeps what it
# has heard in the store this often, or a window's report would lack most of its requests.
# Only a new leader reads it, so nobody's watch wakes up.
SAVE_SECONDS = 1.0
SAVED_PREFIX = 'fireflyhitch-counts/'
SAVED_KEY = f'{SAVED_PREFIX}recent'
# Fixed counts bear no lease: leases may run out while the store is away, and a window
# must not be fixed twice. They are deleted once no leader can come back to them.
KEPT_FIXED = 60
KEPT_DONE = 64


@immutable
class UsageSchedule:
    """When usage is due.

    :param window_seconds: length of a window.
    :param late_seconds: after a window's end, by when its report is due.
    """

    window_seconds: float
    late_seconds: float


class UsageReporter:
    """Reports windows while this daemon leads."""

    def __init__(
        self,
        book: UsageTracker,
        lease: LeaderLease,
        store: AsyncStore,
        calls: DutyCalls,
        wall: Callable[[], float],
        all_heard: Callable[[], bool],
        turn_seconds: Callable[[], float],
        terms: UsageSchedule,
    ) -> None:
        """Make a reporter that has reported nothing.

        :param all_heard: whether every daemon there is has been heard just now.
        :param turn_seconds: in which each daemon has told its counts.
        """
        self._book = book
        self._lease = lease
        self._store = store
        self._calls = calls
        self._wall = wall
        self._all_heard = all_heard
        self._turn_seconds = turn_seconds
        self._window_seconds = terms.window_seconds
        self._late_seconds = terms.late_seconds
        # Windows back from the newest whose reports are still due.
        self._span = int(terms.late_seconds // terms.window_seconds) + 1
        self._fixed: dict[int, dict[CustomerId, int]] = {}
        self._done: list[int] = []
        self._saved = ABSENT
        self._saved_at = 0.0
        self._read_under: FencingNumber | None = None

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            self._forget_old()
            leadership = self._lease.current_leadership()
            if leadership is None:
                continue
            try:
                await self._keep_counts(leadership)
            except PlatformError as error:
                logger.bind(error=str(error)).warning('counts not kept')
            if self._read_under == leadership.fencing:
                # Without what a leader before kept, a report would lack it for good.
                await self._report_due()

    async def _keep_counts(self, leadership: Leadership) -> None:
        """Read what a leader before kept, then keep what is known now and again."""
        if self._read_under != leadership.fencing:
            await self._read_kept()
            self._read_under = leadership.fencing
        now = self._wall()
        if now - self._saved_at < SAVE_SECONDS:
            return
        recent = self._book.recent(now)
        if not recent:
            return
        value = json.dumps(recent).encode()
        result = await self._store.put([Put(SAVED_KEY, value, self._saved)])
        if isinstance(result, Written):
            self._saved = result.revision
            self._saved_at = now
        else:
            await self._read_kept()

    async def _read_kept(self) -> None:
        listing = await self._store.list(SAVED_PREFIX)
        self._saved = ABSENT
        for item in listing.items:
            self._saved = item.revision
            for process, windows in json.loads(item.value).items():
                counts = {int(window): found for window, found in windows.items()}
                self._book.merge_counts(process, counts)
        fixed = await self._store.list(USAGE_PREFIX)
        for item in fixed.items:
            window = int(item.key.removeprefix(USAGE_PREFIX))
            self._fixed[window] = json.loads(item.value)

    async def _report_due(self) -> None:
        now = self._wall()
        newest = self._book.find_window(now) - 1
        for due in range(newest - self._span, newest + 1):
            if due in self._done or not self._is_settled(due, now):
                continue
            try:
                await self._report(due)
            except PlatformError as error:
                logger.bind(window=due, error=str(error)).warning('usage not fixed')
                return

    def _forget_old(self) -> None:
        """Drop windows that nobody can report any more, also while others lead."""
        newest = self._book.find_window(self._wall()) - 1
        oldest = newest - 2 * self._span
        self._book.forget_before(oldest)
        self._fixed = {
            window: counts for window, counts in self._fixed.items() if window >= oldest
        }

    def _is_settled(self, window: int, now: float) -> bool:
        past = now - (window + 1) * self._window_seconds
        if past < SETTLE_SECONDS + SETTLE_TURNS * self._turn_seconds():
            return False
        return self._all_heard() or past > self._late_seconds * LATEST_PART

    async def _report(self, window: int) -> None:
        counts = self._fixed.get(window)
        if counts is None:
            counts = await self._fix(window)
        leadership = self._lease.current_leadership()
        if counts is None or leadership is None:
            return
        result = await self._calls.report_usage(leadership, window, counts)
        logger.bind(
            window=window,
            requests=sum(counts.values()),
            processes=self._book.count_reporters(window),
            all_heard=self._all_heard(),
            fencing=leadership.fencing,
            result=result.value,
        ).info('usage reported')
        if result is CallResult.DONE:
            self._done = [*self._done[-KEPT_DONE:], window]

    async def _fix(self, window: int) -> dict[CustomerId, int] | None:
        counts = self._book.sum_window(window)
        put = Put(_key(window), json.dumps(counts).encode(), ABSENT)
        result = await self._store.put([put], deletes=[_key(window - KEPT_FIXED)])
        if isinstance(result, Conflict):
            if result.current is None:
                return None
            counts = json.loads(result.current.value)
        self._fixed[window] = counts
        return counts


def _key(window: int) -> str:
    return f'{USAGE_PREFIX}{window}'
