"""Tests of a daemon's view of the store, mainly after outages."""

import asyncio
import random
from contextlib import suppress
from datetime import timedelta

from loguru import logger

from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import ABSENT, Revision
from fireflyhitch_model.states import Step
from fireflyhitch_platform.keyvalue import KeyValue, Listing, WatchCompacted
from fireflyhitch_serving.changes import Change, ChangeSpan
from fireflyhitch_serving.progress import ViewProgress
from fireflyhitch_serving.store_health import RECENT_SECONDS, StoreHealth
from fireflyhitch_serving.store_view import PeerReports, StoreView, ViewCallbacks

SERVER = 'servers/i-1'


class RestoredStoreScene:
    """A view whose store has just returned after an outage of ten seconds."""

    def __init__(self, *, is_settled_for_peers: bool) -> None:
        self.changes: list[tuple[str, bytes | None]] = []
        self.clock = ManualClock()
        health = StoreHealth(self.clock)
        health.is_settled_for_peers = lambda: is_settled_for_peers
        events = ViewCallbacks(
            lambda key, value, revision: self.changes.append((key, value)),
            lambda: None,
        )
        self.view = StoreView(
            None,  # type: ignore[arg-type]
            health,
            'servers/',
            events,
            random.Random(1),  # noqa: S311
            ViewProgress(ManualClock()),
            PeerReports(lambda prefix: ABSENT),
        )
        self.view.apply_change(Change(SERVER, b'{}', Revision(5)), 'watch')
        health.record_failure(PlatformError('cut', step=Step.STORE_WATCH))
        self.clock.advance(timedelta(seconds=10))
        health.record_success()
        self.clock.advance(timedelta(seconds=0.7))

    def remove(self) -> None:
        """Apply the removal of the server's entry."""
        self.view.apply_change(Change(SERVER, None, Revision(9)), 'watch')


class TestMissingServers:
    def test_missing_server_is_removed_if_only_this_daemon_was_cut_off(self) -> None:
        # Only this daemon was cut off; its peers reached the store all the time, and
        # servers renewed their entries. A server that left without notice just after the
        # cut was kept, as it might come back, and got a request 2.1 s after the store
        # had acknowledged that it left.
        scene = RestoredStoreScene(is_settled_for_peers=True)
        scene.remove()
        assert scene.changes[-1] == (SERVER, None)

    def test_missing_server_is_kept_after_an_outage_for_all_daemons(self) -> None:
        # The store was unreachable for all, and entries expired. A live server writes
        # its entry again within two seconds, and must stay in use.
        scene = RestoredStoreScene(is_settled_for_peers=False)
        scene.remove()
        assert scene.changes[-1] == (SERVER, b'{}')
        scene.view.apply_change(Change(SERVER, b'{}', Revision(12)), 'watch')
        assert (SERVER, None) not in scene.changes


class CompactedStore:
    """A store whose history was compacted during a watch.

    Its second listing contains the change that the watch missed.
    """

    def __init__(self) -> None:
        self.listings = [
            Listing(Revision(5), (KeyValue(SERVER, b'{}', Revision(5), Revision(5)),)),
            Listing(Revision(9), (KeyValue(SERVER, b'[]', Revision(9), Revision(5)),)),
        ]

    async def list(self, prefix: str, *, stale: bool = False) -> Listing:
        """Return the next listing."""
        if not self.listings:
            raise asyncio.CancelledError
        return self.listings.pop(0)

    async def watch(self, prefix: str, after: Revision, seconds: float) -> None:
        """Report that the history is compacted."""
        raise WatchCompacted


class RecordingRelay:
    """The relay of a watching daemon; records what it is to broadcast."""

    def __init__(self) -> None:
        self.broadcasts: list[ChangeSpan] = []

    def watches(self) -> bool:
        """Return that this daemon watches."""
        return True

    def broadcast(self, span: ChangeSpan) -> None:
        """Record changes."""
        self.broadcasts.append(span)


class TestCompactedHistory:
    def test_changes_listed_after_compaction_are_broadcast(self) -> None:
        # The store compacts its history while a server begins to drain, so the domain's
        # watcher lists again. The other daemons read a listing that was seconds old, and
        # sent requests to that server for another 3.2 s, as no change was broadcast.
        relay = RecordingRelay()
        view = StoreView(
            CompactedStore(),  # type: ignore[arg-type]
            StoreHealth(ManualClock()),
            'servers/',
            ViewCallbacks(lambda key, value, revision: None, lambda: None),
            random.Random(1),  # noqa: S311
            ViewProgress(ManualClock()),
            PeerReports(lambda prefix: ABSENT),
            relay,  # type: ignore[arg-type]
        )
        with suppress(asyncio.CancelledError):
            asyncio.run(view.run())
        changes = [Change(SERVER, b'[]', Revision(9))]
        assert relay.broadcasts == [
            ChangeSpan('servers/', changes, Revision(5), Revision(9))
        ]


class TestSources:
    def test_log_lines_of_a_change_name_its_source(self) -> None:
        """Guards against late changes whose source cannot be found in the logs."""
        sources: list[object] = []
        number = logger.add(
            lambda line: sources.append(line.record['extra'].get('source'))
        )
        view = StoreView(
            CompactedStore(),  # type: ignore[arg-type]
            StoreHealth(ManualClock()),
            'servers/',
            ViewCallbacks(
                lambda key, *rest: logger.info('server changed'), lambda: None
            ),
            random.Random(1),  # noqa: S311
            ViewProgress(ManualClock()),
            PeerReports(lambda prefix: ABSENT),
        )
        change = Change('servers/i-2', b'{}', Revision(1))
        view.apply_span(ChangeSpan('servers/', [change]), 'peer gent-2/a1')
        with suppress(asyncio.CancelledError):
            asyncio.run(view.run())
        logger.remove(number)
        assert [source for source in sources if source] == [
            'peer gent-2/a1',
            'list',
            'list',
            'list',
        ]


class TestStability:
    def test_new_process_is_not_stable(self) -> None:
        # The store was unreachable for all; a daemon that starts as it returns has seen
        # no outage. If it reported the store as stable, its peers would drop servers
        # that come back within a second.
        clock = ManualClock()
        health = StoreHealth(clock)
        assert not health.is_stable()
        health.record_success()
        assert not health.is_stable()
        clock.advance(timedelta(seconds=1))
        assert not health.is_stable()
        clock.advance(timedelta(seconds=2))
        health.record_success()
        assert health.is_stable()

    def test_daemon_without_recent_calls_is_not_stable(
        self,
    ) -> None:
        """Guards against an unnoticed outage during which this daemon made no call."""
        clock = ManualClock()
        health = StoreHealth(clock)
        health.record_success()
        clock.advance(timedelta(seconds=3))
        health.record_success()
        assert health.is_stable()
        clock.advance(timedelta(seconds=RECENT_SECONDS + 0.1))
        assert not health.is_stable()
        assert not health.is_settled()

    def test_daemon_is_not_stable_just_after_an_outage(self) -> None:
        clock = ManualClock()
        health = StoreHealth(clock)
        health.record_success()
        clock.advance(timedelta(seconds=60))
        health.record_failure(PlatformError('cut', step=Step.STORE_WATCH))
        assert not health.is_stable()
        clock.advance(timedelta(seconds=4))
        health.record_success()
        clock.advance(timedelta(seconds=2))
        health.record_success()
        assert not health.is_stable()
        clock.advance(timedelta(seconds=1))
        assert health.is_stable()
