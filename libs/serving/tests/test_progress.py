"""Tests of how a daemon finds that it has missed a change."""

import asyncio
import random
from datetime import timedelta

from virtual_store import StoreClient, VirtualStore
from virtual_time import LoopClock, run_virtual

from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.ids import ABSENT, Revision
from fireflyhitch_serving.changes import Change, ChangeSpan
from fireflyhitch_serving.progress import ARRIVAL_SECONDS, ViewProgress
from fireflyhitch_serving.store_health import StoreHealth
from fireflyhitch_serving.store_view import PeerReports, StoreView, ViewCallbacks

LATER = timedelta(seconds=ARRIVAL_SECONDS + 0.01)


def make_progress() -> tuple[ViewProgress, ManualClock]:
    """Return the progress of a view that was read at revision 100."""
    clock = ManualClock()
    progress = ViewProgress(clock)
    progress.note_whole(Revision(100))
    return progress, clock


class TestProgress:
    def test_a_change_that_peers_know_is_missed_after_a_moment(self) -> None:
        progress, clock = make_progress()
        assert not progress.is_behind(Revision(100))
        assert not progress.is_behind(Revision(107))
        clock.advance(LATER)
        assert progress.is_behind(Revision(107))
        progress.note_whole(Revision(110))
        assert not progress.is_behind(Revision(107))

    def test_changes_that_come_one_after_the_other_are_not_missed(self) -> None:
        progress, clock = make_progress()
        for revision in range(101, 140):
            assert not progress.is_behind(Revision(revision))
            clock.advance(timedelta(seconds=0.1))
            progress.note_span(Revision(revision - 1), Revision(revision))

    def test_a_later_change_does_not_hide_that_an_earlier_one_is_lost(self) -> None:
        """Guards against a view that takes the newest change for all changes."""
        progress, clock = make_progress()
        progress.note_span(Revision(104), Revision(107))
        assert not progress.is_behind(Revision(107))
        clock.advance(LATER)
        assert progress.is_behind(Revision(107))

    def test_a_list_that_does_not_help_is_not_read_at_once_again(self) -> None:
        """Guards against reading without a pause for what no list shows."""
        progress, clock = make_progress()
        assert not progress.is_behind(Revision(900))
        clock.advance(LATER)
        assert progress.is_behind(Revision(900))
        progress.note_whole(Revision(101))
        assert not progress.is_behind(Revision(900))


class TurningRelay:
    """A relay of a daemon that begins to watch when told to."""

    def __init__(self) -> None:
        self.turn = False
        self.passed: list[ChangeSpan] = []

    def watches(self) -> bool:
        """Watch when told to."""
        return self.turn

    def pass_on(self, span: ChangeSpan) -> None:
        """Note what is passed on."""
        self.passed.append(span)

    def find_pause(self) -> float:
        """Return the first watcher's pause."""
        return 0.25


def make_view(
    store: VirtualStore,
    relay: TurningRelay | None = None,
    told: Revision = ABSENT,
    prefix: str = 'servers/',
) -> StoreView:
    """Return a view; its peers know changes up to a revision."""
    return StoreView(
        StoreClient(store, 'gent-1'),
        StoreHealth(LoopClock()),
        prefix,
        ViewCallbacks(lambda key, value, revision: None, lambda: None),
        random.Random(1),  # noqa: S311
        ViewProgress(LoopClock()),
        PeerReports(lambda _: told),
        relay,  # type: ignore[arg-type]
    )


class TestWatchWithoutAnswer:
    def test_a_configuration_that_peers_know_is_read(self) -> None:
        """Guards against an old configuration in force, as a watch's answer was lost."""

        async def script() -> None:
            store = VirtualStore(stalled_watchers={'gent-1'})
            store.put('op/config', b'4')
            view = make_view(store, told=Revision(2), prefix='op/')
            following = asyncio.create_task(view.run())
            await asyncio.sleep(0.1)
            changed = store.put('op/config', b'5')
            await asyncio.sleep(1)
            following.cancel()
            assert view.newest == changed

        run_virtual(script())


class TestRemovedKeys:
    def test_a_list_without_a_key_is_no_change_that_others_lack(self) -> None:
        """Guards against all daemons reading anew for what each of them knows."""

        async def script() -> None:
            store = VirtualStore(stale_seconds=0)
            known = store.put('servers/i-1', b'ready')
            view = make_view(store, TurningRelay())
            following = asyncio.create_task(view.run())
            await asyncio.sleep(0.1)
            store.put('servers/i-1', None)
            store.put('others/a', b'')
            await asyncio.sleep(3)
            following.cancel()
            assert view.newest == known

        run_virtual(script())


class TestNewWatcher:
    def test_what_it_knew_already_is_passed_on_too(self) -> None:
        """Guards against a claim to have told all changes, but for those it had read."""

        async def script() -> None:
            store = VirtualStore(stale_seconds=0)
            store.put('servers/i-1', b'ready')
            store.put('servers/i-2', b'ready')
            relay = TurningRelay()
            view = make_view(store, relay)
            following = asyncio.create_task(view.run())
            await asyncio.sleep(0.1)
            leaving = store.put('servers/i-1', b'draining')
            gone = store.put('servers/i-2', None)
            await asyncio.sleep(3)
            relay.turn = True
            await asyncio.sleep(1)
            following.cancel()
            changes = [
                Change('servers/i-1', b'draining', leaving),
                Change('servers/i-2', None, gone),
            ]
            assert relay.passed == [ChangeSpan('servers/', changes, Revision(2), gone)]

        run_virtual(script())

    def test_what_another_watcher_told_first_is_passed_on_too(self) -> None:
        """Guards against daemons without the store that only this one tells."""

        async def script() -> None:
            store = VirtualStore()
            listed = store.put('servers/i-1', b'ready')
            relay = TurningRelay()
            relay.turn = True
            view = make_view(store, relay)
            following = asyncio.create_task(view.run())
            await asyncio.sleep(0.1)
            leaving = store.put('servers/i-1', b'draining')
            change = Change('servers/i-1', b'draining', leaving)
            span = ChangeSpan('servers/', [change], listed, leaving)
            view.apply_span(span, 'peer gent-2/a1')
            await asyncio.sleep(0.1)
            following.cancel()
            assert relay.passed == [span]

        run_virtual(script())
