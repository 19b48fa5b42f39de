"""Tests of how a daemon detects that it has missed a change."""

import asyncio
import random
from datetime import timedelta

from virtual_store import StoreClient, VirtualStore
from virtual_time import LoopClock, run_virtual

from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.ids import ABSENT, Revision
from fireflyhitch_serving.changes import Change, ChangeSpan
from fireflyhitch_serving.progress import ARRIVAL_SECONDS, ViewProgress
from fireflyhitch_serving.store_eras import EraTracker
from fireflyhitch_serving.store_health import StoreHealth
from fireflyhitch_serving.store_view import PeerReports, StoreView, ViewCallbacks

LATER = timedelta(seconds=ARRIVAL_SECONDS + 0.01)


def make_progress() -> tuple[ViewProgress, ManualClock]:
    """Return the progress of a view that was listed at revision 100."""
    clock = ManualClock()
    progress = ViewProgress(clock)
    progress.record_listing(Revision(100))
    return progress, clock


class TestProgress:
    def test_change_reported_by_peers_counts_as_missed_after_a_delay(self) -> None:
        progress, clock = make_progress()
        assert not progress.is_behind(Revision(100))
        assert not progress.is_behind(Revision(107))
        clock.advance(LATER)
        assert progress.is_behind(Revision(107))
        progress.record_listing(Revision(110))
        assert not progress.is_behind(Revision(107))

    def test_consecutive_changes_do_not_count_as_missed(self) -> None:
        progress, clock = make_progress()
        for revision in range(101, 140):
            assert not progress.is_behind(Revision(revision))
            clock.advance(timedelta(seconds=0.1))
            progress.record_span(Revision(revision - 1), Revision(revision))

    def test_later_change_does_not_hide_a_lost_one(self) -> None:
        """Guards against a view that counts as complete once it has the newest change."""
        progress, clock = make_progress()
        progress.record_span(Revision(104), Revision(107))
        assert not progress.is_behind(Revision(107))
        clock.advance(LATER)
        assert progress.is_behind(Revision(107))

    def test_outdated_listing_does_not_trigger_another_at_once(self) -> None:
        """Guards against reading without a pause for a change that no listing contains."""
        progress, clock = make_progress()
        assert not progress.is_behind(Revision(900))
        clock.advance(LATER)
        assert progress.is_behind(Revision(900))
        progress.record_listing(Revision(101))
        assert not progress.is_behind(Revision(900))


class SwitchableRelay:
    """The relay of a daemon that watches while ``is_watching`` is set."""

    def __init__(self) -> None:
        self.is_watching = False
        self.broadcasts: list[ChangeSpan] = []

    def watches(self) -> bool:
        """Return whether this daemon watches."""
        return self.is_watching

    def broadcast(self, span: ChangeSpan) -> None:
        """Record what is broadcast."""
        self.broadcasts.append(span)

    def find_pause(self) -> float:
        """Return the first watcher's pause."""
        return 0.25


def make_view(
    store: VirtualStore,
    relay: SwitchableRelay | None = None,
    reported: Revision = ABSENT,
    prefix: str = 'servers/',
) -> StoreView:
    """Return a view whose peers report ``reported`` as their newest change."""
    return StoreView(
        StoreClient(store, 'gent-1', EraTracker(LoopClock())),
        StoreHealth(LoopClock()),
        prefix,
        ViewCallbacks(lambda key, value, revision: None, lambda: None),
        random.Random(1),  # noqa: S311
        ViewProgress(LoopClock()),
        PeerReports(lambda _: reported),
        relay,  # type: ignore[arg-type]
    )


class TestUnansweredWatch:
    def test_configuration_reported_by_peers_is_read(self) -> None:
        """Guards against an outdated configuration after a watch's answer was lost."""

        async def script() -> None:
            store = VirtualStore(stalled_watchers={'gent-1'})
            store.put('op/config', b'4')
            view = make_view(store, reported=Revision(2), prefix='op/')
            view_task = asyncio.create_task(view.run())
            await asyncio.sleep(0.1)
            changed = store.put('op/config', b'5')
            await asyncio.sleep(1)
            view_task.cancel()
            assert view.newest == changed

        run_virtual(script())


class TestRemovedKeys:
    def test_missing_key_in_a_listing_does_not_advance_the_newest_revision(
        self,
    ) -> None:
        """Guards against all daemons listing again for a change that each has received."""

        async def script() -> None:
            store = VirtualStore(stale_seconds=0)
            known = store.put('servers/i-1', b'ready')
            view = make_view(store, SwitchableRelay())
            view_task = asyncio.create_task(view.run())
            await asyncio.sleep(0.1)
            store.put('servers/i-1', None)
            store.put('others/a', b'')
            await asyncio.sleep(3)
            view_task.cancel()
            assert view.newest == known

        run_virtual(script())


class TestNewWatcher:
    def test_changes_read_before_are_broadcast(self) -> None:
        """Guards against a span that claims completeness but lacks changes read before."""

        async def script() -> None:
            store = VirtualStore(stale_seconds=0)
            store.put('servers/i-1', b'ready')
            store.put('servers/i-2', b'ready')
            relay = SwitchableRelay()
            view = make_view(store, relay)
            view_task = asyncio.create_task(view.run())
            await asyncio.sleep(0.1)
            leaving = store.put('servers/i-1', b'draining')
            gone = store.put('servers/i-2', None)
            await asyncio.sleep(3)
            relay.is_watching = True
            await asyncio.sleep(1)
            view_task.cancel()
            changes = [
                Change('servers/i-1', b'draining', leaving),
                Change('servers/i-2', None, gone),
            ]
            assert relay.broadcasts == [
                ChangeSpan('servers/', changes, Revision(2), gone)
            ]

        run_virtual(script())

    def test_changes_received_from_another_watcher_are_broadcast(self) -> None:
        """Guards against changes not sent to daemons that cannot reach the store."""

        async def script() -> None:
            store = VirtualStore()
            listed = store.put('servers/i-1', b'ready')
            relay = SwitchableRelay()
            relay.is_watching = True
            view = make_view(store, relay)
            view_task = asyncio.create_task(view.run())
            await asyncio.sleep(0.1)
            leaving = store.put('servers/i-1', b'draining')
            change = Change('servers/i-1', b'draining', leaving)
            span = ChangeSpan('servers/', [change], listed, leaving)
            view.apply_span(span, 'peer gent-2/a1')
            await asyncio.sleep(0.1)
            view_task.cancel()
            assert relay.broadcasts == [span]

        run_virtual(script())
