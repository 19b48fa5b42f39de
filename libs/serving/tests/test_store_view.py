"""Tests of what is taken for gone after a break with the store."""

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


class Break:
    """A view that has just got its store back after ten seconds."""

    def __init__(self, *, others_settled: bool) -> None:
        self.changes: list[tuple[str, bytes | None]] = []
        self.clock = ManualClock()
        health = StoreHealth(self.clock)
        health.others_settled = lambda: others_settled
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
        self.view.take_change(Change(SERVER, b'{}', Revision(5)), 'watch')
        health.record_failure(PlatformError('cut', step=Step.STORE_WATCH))
        self.clock.advance(timedelta(seconds=10))
        health.record_response()
        self.clock.advance(timedelta(seconds=0.7))

    def remove(self) -> None:
        """Have the store tell that the server's entry is gone."""
        self.view.take_change(Change(SERVER, None, Revision(9)), 'watch')


class TestMissingServers:
    def test_after_a_cut_of_this_daemon_alone_what_is_gone_is_gone(self) -> None:
        # Only this daemon was cut off; its peers heard the store all the while, and
        # servers could renew their entries. One that leaves without notice just after
        # the cut must get nothing more: holding it for those that may come back gave
        # it a request 2.1 s after the store had acknowledged that it left.
        scene = Break(others_settled=True)
        scene.remove()
        assert scene.changes[-1] == (SERVER, None)

    def test_after_an_outage_for_all_a_server_may_come_back(self) -> None:
        # The store was away for everybody, and entries lapsed with it. A server that
        # lives writes its own again within two seconds, and goes on being used.
        scene = Break(others_settled=False)
        scene.remove()
        assert scene.changes[-1] == (SERVER, b'{}')
        scene.view.take_change(Change(SERVER, b'{}', Revision(12)), 'watch')
        assert (SERVER, None) not in scene.changes


class ForgetfulStore:
    """A store whose watch was cut, and whose list shows what it did not tell."""

    def __init__(self) -> None:
        self.listings = [
            Listing(Revision(5), (KeyValue(SERVER, b'{}', Revision(5), Revision(5)),)),
            Listing(Revision(9), (KeyValue(SERVER, b'[]', Revision(9), Revision(5)),)),
        ]

    async def list(self, prefix: str, *, stale: bool = False) -> Listing:
        """Return the next list."""
        if not self.listings:
            raise asyncio.CancelledError
        return self.listings.pop(0)

    async def watch(self, prefix: str, after: Revision, seconds: float) -> None:
        """Tell that the history is gone."""
        raise WatchCompacted


class NotedRelay:
    """A relay of a daemon that watches, which notes what it is to pass on."""

    def __init__(self) -> None:
        self.passed: list[ChangeSpan] = []

    def watches(self) -> bool:
        """Watch."""
        return True

    def pass_on(self, span: ChangeSpan) -> None:
        """Note changes."""
        self.passed.append(span)


class TestForgottenHistory:
    def test_what_a_list_shows_after_a_gap_is_passed_on(self) -> None:
        # The store forgets its history while a server begins to leave. The daemon that
        # watches for its failure domain lists anew; its neighbours read a list that
        # is seconds old, and went on sending to that server for 3.2 s.
        relay = NotedRelay()
        view = StoreView(
            ForgetfulStore(),  # type: ignore[arg-type]
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
        assert relay.passed == [
            ChangeSpan('servers/', changes, Revision(5), Revision(9))
        ]


class TestSources:
    def test_the_lines_of_a_change_tell_how_it_came_to_be_known(self) -> None:
        """Guards against a late change whose way nobody can tell afterwards."""
        sources: list[object] = []
        number = logger.add(
            lambda line: sources.append(line.record['extra'].get('source'))
        )
        view = StoreView(
            ForgetfulStore(),  # type: ignore[arg-type]
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


class TestWitness:
    def test_a_process_that_has_just_started_vouches_for_nothing(self) -> None:
        # The store was away for all; a daemon that starts as it returns has seen no
        # break. Its word would have its peers drop servers that come back in a second.
        clock = ManualClock()
        health = StoreHealth(clock)
        assert not health.vouches()
        health.record_response()
        assert not health.vouches()
        clock.advance(timedelta(seconds=1))
        assert not health.vouches()
        clock.advance(timedelta(seconds=2))
        health.record_response()
        assert health.vouches()

    def test_a_daemon_that_asks_the_store_for_nothing_vouches_for_nothing(
        self,
    ) -> None:
        """Guards against a break that nobody saw, as nobody asked the store."""
        clock = ManualClock()
        health = StoreHealth(clock)
        health.record_response()
        clock.advance(timedelta(seconds=3))
        health.record_response()
        assert health.vouches()
        clock.advance(timedelta(seconds=RECENT_SECONDS + 0.1))
        assert not health.vouches()
        assert not health.is_settled()

    def test_a_daemon_that_has_lost_the_store_vouches_for_nothing(self) -> None:
        clock = ManualClock()
        health = StoreHealth(clock)
        health.record_response()
        clock.advance(timedelta(seconds=60))
        health.record_failure(PlatformError('cut', step=Step.STORE_WATCH))
        assert not health.vouches()
        clock.advance(timedelta(seconds=4))
        health.record_response()
        clock.advance(timedelta(seconds=2))
        health.record_response()
        assert not health.vouches()
        clock.advance(timedelta(seconds=1))
        assert health.vouches()
