"""Tests of when a window's usage is reported, with a leader that has no network."""

import asyncio
from collections.abc import Callable

from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import ABSENT, CustomerId, FencingNumber, Revision
from fireflyhitch_model.states import Step
from fireflyhitch_platform.keyvalue import KeyValue, Listing, Written
from fireflyhitch_serving.duty_calls import CallResult
from fireflyhitch_serving.leases import Leadership
from fireflyhitch_serving.usage import UsageTracker
from fireflyhitch_serving.usage_reports import (
    SAVED_KEY,
    SAVED_PREFIX,
    UsageReporter,
    UsageSchedule,
)

BAKERY = CustomerId('bakery')


class LeaderAlone:
    """Lease, store and duty calls of a leader whose calls all succeed."""

    def __init__(self) -> None:
        self.reported: dict[int, dict[CustomerId, int]] = {}

    def current_leadership(self) -> Leadership:
        """Lead."""
        return Leadership(FencingNumber(7), 3)

    async def list(self, prefix: str, *, stale: bool = False) -> Listing:
        """Return nothing."""
        return Listing(ABSENT, ())

    async def put(self, puts: object, deletes: object = ()) -> Written:
        """Write."""
        return Written(Revision(1))

    async def report_usage(
        self, leadership: Leadership, window: int, counts: dict[CustomerId, int]
    ) -> CallResult:
        """Take a report."""
        self.reported[window] = dict(counts)
        return CallResult.DONE


def make_reporter(
    alone: LeaderAlone,
    book: UsageTracker,
    wall: Callable[[], float],
    turn_seconds: float = 0.1,
) -> UsageReporter:
    """Return a reporter that hears all daemons."""
    return UsageReporter(
        book,
        alone,  # type: ignore[arg-type]
        alone,  # type: ignore[arg-type]
        alone,  # type: ignore[arg-type]
        wall,
        lambda: True,
        lambda: turn_seconds,
        UsageSchedule(5, 10),
    )


class TestSettling:
    def test_a_window_waits_for_the_counts_of_far_daemons(self, monkeypatch) -> None:
        # 75 daemons: a far one tells its counts each 1.9 s. Its last counts of a window
        # come 2.5 s after the window's end; a report before that would lack them.
        monkeypatch.setattr(f'{UsageReporter.__module__}.LOOK_SECONDS', 0)
        alone = LeaderAlone()
        book = UsageTracker('here', 5)
        clock = [10.0]
        reporter = make_reporter(alone, book, lambda: clock[0], 1.9)

        async def script() -> None:
            running = asyncio.create_task(reporter.run())
            book.merge_counts('far', {1: {BAKERY: 30}})
            for now, told in ((11.9, 34), (12.5, 40), (15.5, 40)):
                clock[0] = now
                await asyncio.sleep(0.01)
                book.merge_counts('far', {1: {BAKERY: told}})
            running.cancel()

        asyncio.run(script())
        assert alone.reported[1] == {BAKERY: 40}


class UnreadableOnce(LeaderAlone):
    """A leader whose first reads of the store fail."""

    def __init__(self) -> None:
        super().__init__()
        self.readable = False

    async def list(self, prefix: str, *, stale: bool = False) -> Listing:
        """Return what a leader before kept, or fail."""
        if not self.readable:
            raise PlatformError('slow', step=Step.STORE_READ)
        if prefix != SAVED_PREFIX:
            return Listing(ABSENT, ())
        value = b'{"gone": {"1": {"bakery": 9}}}'
        kept = KeyValue(SAVED_KEY, value, Revision(3), Revision(3))
        return Listing(Revision(3), (kept,))


class TestTakingOver:
    def test_nothing_is_reported_before_kept_counts_are_read(self, monkeypatch) -> None:
        # All daemons were killed; the first leader after that cannot read the store for
        # a moment. What it reported then lacked all that the daemons before had
        # counted, and the first report of a window is the only one that counts.
        monkeypatch.setattr(f'{UsageReporter.__module__}.LOOK_SECONDS', 0)
        alone = UnreadableOnce()
        reporter = make_reporter(alone, UsageTracker('here', 5), lambda: 13.0)

        async def script() -> None:
            running = asyncio.create_task(reporter.run())
            await asyncio.sleep(0.01)
            assert not alone.reported
            alone.readable = True
            for _ in range(100):
                await asyncio.sleep(0.001)
            running.cancel()

        asyncio.run(script())
        assert alone.reported[1] == {BAKERY: 9}


class NoLeader(LeaderAlone):
    """A daemon that does not lead."""

    def current_leadership(self) -> None:  # type: ignore[override]
        """Do not lead."""


class TestForgetting:
    def test_a_daemon_that_never_leads_forgets_old_windows_too(
        self, monkeypatch
    ) -> None:
        # Most daemons never lead. Their books grew with each window and each process
        # that ever told counts, until the process ended.
        monkeypatch.setattr(f'{UsageReporter.__module__}.LOOK_SECONDS', 0)
        alone = NoLeader()
        book = UsageTracker('here', 5)
        clock = [10.0]
        reporter = make_reporter(alone, book, lambda: clock[0])

        async def script() -> None:
            running = asyncio.create_task(reporter.run())
            for number in range(20):
                clock[0] = 10.0 + 5 * number
                window = book.find_window(clock[0])
                book.merge_counts(f'process-{number}', {window: {BAKERY: 1}})
                await asyncio.sleep(0.005)
            running.cancel()

        asyncio.run(script())
        assert not book.sum_window(2)
        # Eight windows back at the most, and this process itself.
        assert book.count_processes() <= 9
