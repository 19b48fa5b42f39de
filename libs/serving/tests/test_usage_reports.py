"""Tests of when usage is reported, by a leader without a network."""

import asyncio
import json
from collections.abc import Callable, Sequence
from typing import Any

from fireflyhitch_model.clock import SystemClock
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import (
    ABSENT,
    CustomerId,
    FailureDomainId,
    FencingNumber,
    Revision,
)
from fireflyhitch_model.states import Step
from fireflyhitch_platform.keyvalue import KeyValue, Listing, Written
from fireflyhitch_serving.duty_calls import CallResult
from fireflyhitch_serving.fixed_counts import (
    COMPLETE_SINCE_KEY,
    FixedCounts,
    KeeperCalls,
)
from fireflyhitch_serving.leases import Leadership
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.saved_counts import SAVED_KEY, SAVED_PREFIX, SavedCounts
from fireflyhitch_serving.store import Put
from fireflyhitch_serving.store_eras import EraTracker
from fireflyhitch_serving.usage import UsageTracker
from fireflyhitch_serving.usage_reports import (
    PeerCounts,
    UsageReporter,
    UsageSchedule,
)

BAKERY = CustomerId('bakery')
# No restore has lost any fixed counts.
NOTHING_LOST = b'{"era": 0, "window": 0}'


class FakeLeader:
    """Lease, store and platform calls of a leader; all calls succeed."""

    def __init__(self) -> None:
        self.reported: dict[int, dict[CustomerId, int]] = {}
        self.written: dict[str, Any] = {}

    def current_leadership(self) -> Leadership:
        """Return a valid leadership."""
        return Leadership(FencingNumber(7), 3, FencingNumber(7))

    async def list(self, prefix: str, *, stale: bool = False) -> Listing:
        """Return an empty listing."""
        if prefix != COMPLETE_SINCE_KEY:
            return Listing(ABSENT, ())
        complete = KeyValue(prefix, NOTHING_LOST, Revision(1), Revision(1))
        return Listing(Revision(1), (complete,))

    async def put(self, puts: Sequence[Put], deletes: object = ()) -> Written:
        """Accept the write."""
        for put in puts:
            self.written[put.key] = json.loads(put.value)
        return Written(Revision(1))

    async def report_usage(
        self, leadership: Leadership, window: int, counts: dict[CustomerId, int]
    ) -> CallResult:
        """Record a report."""
        self.reported[window] = dict(counts)
        return CallResult.DONE


def make_reporter(
    leader: FakeLeader,
    tracker: UsageTracker,
    wall_clock: Callable[[], float],
    propagation_seconds: float = 0.1,
) -> UsageReporter:
    """Return a reporter that has heard from all daemons."""
    clock = SystemClock()
    peers = PeerRegistry('local', FailureDomainId('gent'), clock, wall_clock)
    fixed = FixedCounts(
        leader,  # type: ignore[arg-type]
        EraTracker(clock),
        peers,
        KeeperCalls(lambda *message: None, read_nothing),
    )
    return UsageReporter(
        tracker,
        leader,  # type: ignore[arg-type]
        SavedCounts(leader, tracker, FailureDomainId('gent')),  # type: ignore[arg-type]
        fixed,
        leader,  # type: ignore[arg-type]
        wall_clock,
        PeerCounts(lambda: True, lambda: propagation_seconds, bool),
        UsageSchedule(5, 10),
    )


async def read_nothing(prefix: str, daemons: list[str]) -> list[Listing]:
    """Return that no peer responds."""
    return []


class TestSettling:
    def test_a_window_waits_for_counts_that_propagate_slowly(self, monkeypatch) -> None:
        # With 75 daemons, one of another failure domain sends its counts every 1.9 s.
        # Its last counts of a window arrive 2.5 s after the window's end; an earlier
        # report would lack them.
        monkeypatch.setattr(f'{UsageReporter.__module__}.CHECK_INTERVAL_SECONDS', 0)
        leader = FakeLeader()
        tracker = UsageTracker('local', 5)
        clock = [10.0]
        reporter = make_reporter(leader, tracker, lambda: clock[0], 1.9)

        async def script() -> None:
            running = asyncio.create_task(reporter.run())
            tracker.merge_counts('remote', {1: {BAKERY: 30}})
            for now, count in ((11.9, 34), (12.5, 40), (15.5, 40)):
                clock[0] = now
                await asyncio.sleep(0.01)
                tracker.merge_counts('remote', {1: {BAKERY: count}})
            running.cancel()

        asyncio.run(script())
        assert leader.reported[1] == {BAKERY: 40}


class UnreadableStoreLeader(FakeLeader):
    """A leader that cannot read the store at first."""

    def __init__(self) -> None:
        super().__init__()
        self.readable = False

    async def list(self, prefix: str, *, stale: bool = False) -> Listing:
        """Return the saved counts, or fail."""
        if not self.readable:
            raise PlatformError('slow', step=Step.STORE_READ)
        if prefix != SAVED_PREFIX:
            return await super().list(prefix)
        value = b'{"gone": {"1": {"bakery": 9}}}'
        kept = KeyValue(SAVED_KEY, value, Revision(3), Revision(3))
        return Listing(Revision(3), (kept,))


class TestTakeover:
    def test_nothing_is_reported_before_saved_counts_are_loaded(
        self, monkeypatch
    ) -> None:
        # All daemons were killed, and the first leader after that cannot read the store
        # for a moment. Its report lacked all counts of the earlier daemons, and only
        # the first report of a window is accepted.
        monkeypatch.setattr(f'{UsageReporter.__module__}.CHECK_INTERVAL_SECONDS', 0)
        leader = UnreadableStoreLeader()
        reporter = make_reporter(leader, UsageTracker('local', 5), lambda: 13.0)

        async def script() -> None:
            running = asyncio.create_task(reporter.run())
            await asyncio.sleep(0.01)
            assert not leader.reported
            leader.readable = True
            for _ in range(100):
                await asyncio.sleep(0.001)
            running.cancel()

        asyncio.run(script())
        assert leader.reported[1] == {BAKERY: 9}


class UncertainStoreLeader(UnreadableStoreLeader):
    """A leader that cannot read at first the store that has come back from a copy."""

    async def list(self, prefix: str, *, stale: bool = False) -> Listing:
        """Return no record of completeness, or fail."""
        listing = await super().list(prefix)
        return Listing(ABSENT, ()) if prefix == COMPLETE_SINCE_KEY else listing


class TestLongTakeover:
    def test_only_windows_before_the_term_are_left_out(self, monkeypatch) -> None:
        """Windows that ended while a leader took over were never reported."""
        monkeypatch.setattr(f'{UsageReporter.__module__}.CHECK_INTERVAL_SECONDS', 0)
        leader = UncertainStoreLeader()
        tracker = UsageTracker('local', 5)
        clock = [13.0]
        reporter = make_reporter(leader, tracker, lambda: clock[0])

        async def script() -> None:
            tracker.merge_counts('remote', {3: {BAKERY: 30}})
            running = asyncio.create_task(reporter.run())
            await asyncio.sleep(0.01)
            clock[0] = 23.0
            leader.readable = True
            await asyncio.sleep(0.1)
            running.cancel()

        asyncio.run(script())
        assert leader.reported == {3: {BAKERY: 30}}


class TestSavedCounts:
    def test_a_late_leader_saves_windows_that_nobody_has_fixed(
        self, monkeypatch
    ) -> None:
        # The lead is taken two windows after the requests. If all daemons were killed
        # before the report, the counts of the requests were lost.
        monkeypatch.setattr(f'{UsageReporter.__module__}.CHECK_INTERVAL_SECONDS', 0)
        leader = FakeLeader()
        tracker = UsageTracker('local', 5)
        tracker.count(BAKERY, 7.0)
        # News of the other daemons takes so long that no window is settled.
        reporter = make_reporter(leader, tracker, lambda: 17.0, 10)

        async def script() -> None:
            running = asyncio.create_task(reporter.run())
            await asyncio.sleep(0.01)
            running.cancel()

        asyncio.run(script())
        assert leader.written[SAVED_KEY] == {'local': {'1': {BAKERY: 1}}}

    def test_a_fixed_window_is_not_saved_again(self, monkeypatch) -> None:
        # Its counts are in the store already, and each save is written in full.
        monkeypatch.setattr(f'{UsageReporter.__module__}.CHECK_INTERVAL_SECONDS', 0)
        leader = FakeLeader()
        tracker = UsageTracker('local', 5)
        tracker.count(BAKERY, 7.0)
        clock = [17.0]
        reporter = make_reporter(leader, tracker, lambda: clock[0])

        async def script() -> None:
            running = asyncio.create_task(reporter.run())
            await asyncio.sleep(0.01)
            tracker.count(BAKERY, 18.0)
            clock[0] = 18.5
            await asyncio.sleep(0.01)
            running.cancel()

        asyncio.run(script())
        assert leader.reported[1] == {BAKERY: 1}
        assert leader.written[SAVED_KEY] == {'local': {'3': {BAKERY: 1}}}


class Follower(FakeLeader):
    """A daemon that does not lead."""

    def current_leadership(self) -> None:  # type: ignore[override]
        """Return no leadership."""


class TestRetention:
    def test_a_daemon_that_never_leads_drops_old_windows_too(self, monkeypatch) -> None:
        # Most daemons never lead. Their trackers grew with each window and each process
        # that ever sent counts, until the process ended.
        monkeypatch.setattr(f'{UsageReporter.__module__}.CHECK_INTERVAL_SECONDS', 0)
        leader = Follower()
        tracker = UsageTracker('local', 5)
        clock = [10.0]
        reporter = make_reporter(leader, tracker, lambda: clock[0])

        async def script() -> None:
            running = asyncio.create_task(reporter.run())
            for number in range(20):
                clock[0] = 10.0 + 5 * number
                window = tracker.find_window(clock[0])
                tracker.merge_counts(f'process-{number}', {window: {BAKERY: 1}})
                await asyncio.sleep(0.005)
            running.cancel()

        asyncio.run(script())
        assert not tracker.sum_window(2)
        # At most eight windows back, and this process itself.
        assert tracker.count_processes() <= 9
