"""Tests of crash records and of the quarantine of requests that crash servers."""

import random

from hypothesis import given
from hypothesis import strategies as st

from fireflyhitch_model.identity import identify_content, identify_process
from fireflyhitch_model.ids import BackendServerId, ContentId, CustomerId, ProcessId
from fireflyhitch_routing.broadcast_window import BROADCAST_SECONDS
from fireflyhitch_routing.crashes import (
    EXONERATION_SECONDS,
    MAX_CRASHES,
    MAX_REPORTS,
    MAX_SUSPECTS,
    CrashTracker,
    ServerCrash,
    count_rounds,
)
from fireflyhitch_routing.quarantine import HOLD_SECONDS, Hold, Quarantine

CRASHING = ContentId('crashing')
HARMLESS = ContentId('harmless')
SETTLE_SECONDS = 0.2


class Fleet:
    """Daemons that record crashes and exchange reports."""

    def __init__(self, count: int = 1) -> None:
        self.trackers = [CrashTracker() for _ in range(count)]
        self.quarantines = [Quarantine(tracker) for tracker in self.trackers]
        self.now = 100.0
        self.crashed = 0

    def crash_server(self, at: int, *contents: ContentId, ran: float = 0.1) -> None:
        """Crash a server during requests of one daemon, and advance the time."""
        self.crashed += 1
        process = ProcessId(self.crashed)
        for content in contents:
            crash = ServerCrash(self.now, self.now - ran)
            self.trackers[at].record_crash(content, process, crash, self.now)
        self.now += 1
        self.exchange()

    def exchange(self) -> None:
        """Let each daemon report to all others, then review the holds."""
        for sender in self.trackers:
            reports = sender.build_reports(self.now, include_received=False)
            for tracker in self.trackers:
                if tracker is not sender:
                    tracker.apply_reports(reports, self.now)
        for quarantine in self.quarantines:
            quarantine.review(self.now, 0)

    def count_holding(self, content: ContentId) -> int:
        """Return how many daemons hold a request."""
        waits = (one.find_remaining_hold(content, self.now) for one in self.quarantines)
        return sum(wait is not None for wait in waits)


class TestContent:
    def test_retries_have_the_same_content_id(self) -> None:
        baker, miller = CustomerId('baker'), CustomerId('miller')
        content = identify_content(baker, 'POST', '/a/?x=1', b'body')
        assert content == identify_content(baker, 'POST', '/a/?x=1', b'body')
        others = {
            identify_content(miller, 'POST', '/a/?x=1', b'body'),
            identify_content(None, 'POST', '/a/?x=1', b'body'),
            identify_content(baker, 'PUT', '/a/?x=1', b'body'),
            identify_content(baker, 'POST', '/a/?x=2', b'body'),
            identify_content(baker, 'POST', '/a/?x=1', b'other'),
            identify_content(baker, 'POST', '/a/?x=1b', b'ody'),
        }
        assert len(others) == 6
        assert content not in others


class TestQuarantine:
    def test_crashes_seen_by_different_daemons_are_added_up(self) -> None:
        fleet = Fleet(3)
        fleet.crash_server(0, CRASHING)
        fleet.crash_server(1, CRASHING)
        assert not fleet.count_holding(CRASHING)
        fleet.crash_server(2, CRASHING)
        assert fleet.count_holding(CRASHING) == 3

    def test_a_harmless_concurrent_request_is_not_held(self) -> None:
        # The caller's retries reach servers that the other request crashes too.
        fleet = Fleet(2)
        fleet.crash_server(0, CRASHING)
        fleet.crash_server(1, CRASHING, HARMLESS)
        fleet.crash_server(0, CRASHING, HARMLESS)
        fleet.crash_server(1, HARMLESS)
        assert fleet.count_holding(CRASHING) == 2
        assert not fleet.count_holding(HARMLESS)

    def test_of_two_concurrent_requests_the_one_that_crashes_again_is_held(
        self,
    ) -> None:
        fleet = Fleet()
        for _ in range(3):
            fleet.crash_server(0, CRASHING, HARMLESS)
        assert not fleet.count_holding(CRASHING)
        fleet.crash_server(0, CRASHING)
        assert fleet.count_holding(CRASHING)
        assert not fleet.count_holding(HARMLESS)

    def test_a_popular_request_is_not_held_for_crashes_of_others(self) -> None:
        # It runs on each server that another request crashes, and completes elsewhere.
        fleet = Fleet(5)
        for step in range(40):
            fleet.trackers[step % 5].record_response(HARMLESS, fleet.now)
            fleet.crash_server((step + 1) % 5, HARMLESS, ContentId(f'other-{step}'))
            assert not fleet.count_holding(HARMLESS)

    def test_a_response_before_the_first_crash_exonerates_a_request(self) -> None:
        fleet = Fleet(2)
        fleet.trackers[1].record_response(HARMLESS, fleet.now)
        for _ in range(4):
            fleet.crash_server(0, HARMLESS)
        assert not fleet.count_holding(HARMLESS)

    def test_old_crashes_are_replaced_by_recent_ones(self) -> None:
        fleet = Fleet()
        for _ in range(2 * MAX_CRASHES):
            fleet.crash_server(0, CRASHING)
        fleet.trackers[0].record_response(CRASHING, fleet.now)
        fleet.now += 2 * HOLD_SECONDS
        fleet.exchange()
        assert not fleet.count_holding(CRASHING)
        for _ in range(3):
            fleet.crash_server(0, CRASHING)
        assert fleet.count_holding(CRASHING)

    def test_an_old_response_does_not_exonerate_a_request(self) -> None:
        fleet = Fleet()
        fleet.trackers[0].record_response(CRASHING, fleet.now)
        fleet.now += EXONERATION_SECONDS + 1
        for _ in range(3):
            fleet.crash_server(0, CRASHING)
        assert fleet.count_holding(CRASHING)

    def test_simultaneous_crashes_count_as_one(self) -> None:
        # A failure domain loses power while a request runs on five of its servers.
        fleet = Fleet()
        for number in range(5):
            crash = ServerCrash(fleet.now, fleet.now - 0.3)
            fleet.trackers[0].record_crash(
                HARMLESS, ProcessId(number), crash, fleet.now
            )
        fleet.exchange()
        assert not fleet.count_holding(HARMLESS)

    def test_a_hold_waits_for_reports_of_responses(self) -> None:
        fleet = Fleet()
        for _ in range(2):
            fleet.crash_server(0, CRASHING)
        crash = ServerCrash(fleet.now, fleet.now - 0.1)
        fleet.trackers[0].record_crash(CRASHING, ProcessId(9), crash, fleet.now)
        quarantine = fleet.quarantines[0]
        quarantine.review(fleet.now, SETTLE_SECONDS)
        assert quarantine.find_remaining_hold(CRASHING, fleet.now) is None
        quarantine.review(fleet.now + SETTLE_SECONDS, SETTLE_SECONDS)
        assert quarantine.find_remaining_hold(CRASHING, fleet.now) is not None

    def test_a_late_response_releases_a_hold(self) -> None:
        fleet = Fleet(2)
        for _ in range(3):
            fleet.crash_server(0, HARMLESS)
        assert fleet.count_holding(HARMLESS) == 2
        fleet.trackers[1].record_response(HARMLESS, fleet.now)
        fleet.exchange()
        assert not fleet.count_holding(HARMLESS)

    def test_a_hold_expires(self) -> None:
        fleet = Fleet()
        for _ in range(3):
            fleet.crash_server(0, CRASHING)
        fleet.now += HOLD_SECONDS
        fleet.exchange()
        assert not fleet.count_holding(CRASHING)
        assert not fleet.quarantines[0].held()

    def test_a_hold_from_the_store_takes_effect_at_once(self) -> None:
        fleet = Fleet()
        hold = Hold(fleet.now + 10, frozenset((ProcessId(1),)))
        fleet.quarantines[0].add_hold(CRASHING, hold, fleet.now)
        assert fleet.quarantines[0].find_remaining_hold(CRASHING, fleet.now) == 10


class TestReports:
    def test_a_restarted_daemon_receives_older_crashes_with_the_next_one(self) -> None:
        fleet = Fleet(2)
        fleet.crash_server(0, CRASHING)
        fleet.crash_server(0, CRASHING)
        fleet.now += 10 * BROADCAST_SECONDS
        fleet.trackers[1] = CrashTracker()
        fleet.quarantines[1] = Quarantine(fleet.trackers[1])
        fleet.crash_server(1, CRASHING)
        fleet.exchange()
        assert fleet.count_holding(CRASHING) == 2

    @given(st.randoms(use_true_random=False), st.integers(2, 6))
    def test_order_and_repetition_of_reports_do_not_matter(
        self, rng: random.Random, count: int
    ) -> None:
        senders = [CrashTracker() for _ in range(3)]
        for number in range(count):
            crash = ServerCrash(number / 10, number / 10 - 0.05)
            rng.choice(senders).record_crash(
                CRASHING, ProcessId(number), crash, crash.at
            )
        received = [
            sender.build_reports(1, include_received=False)
            for sender in (*senders, *senders)
        ]
        rng.shuffle(received)
        tracker = CrashTracker()
        for reports in received:
            tracker.apply_reports(reports, 1)
        suspect = tracker.find(CRASHING)
        assert suspect is not None
        assert suspect.crashes.keys() == set(range(count))

    def test_a_crash_that_is_detected_late_is_reported(self) -> None:
        # A server on a lost instance is only unresponsive until it is no longer listed.
        sender, other = CrashTracker(), CrashTracker()
        crash = ServerCrash(10, 9.9)
        sender.record_crash(CRASHING, ProcessId(1), crash, 10 + 3 * BROADCAST_SECONDS)
        other.apply_reports(
            sender.build_reports(10 + 3 * BROADCAST_SECONDS, include_received=False), 20
        )
        assert other.find(CRASHING) is not None

    def test_reports_end_when_nothing_changes(self) -> None:
        fleet = Fleet(8)
        fleet.crash_server(0, CRASHING)
        fleet.crash_server(1, CRASHING)
        for _ in range(10):
            fleet.now += BROADCAST_SECONDS
            fleet.exchange()
        assert not any(
            tracker.build_reports(fleet.now, include_received=True)
            for tracker in fleet.trackers
        )

    def test_messages_and_memory_stay_bounded_with_thousands_of_crashes(
        self,
    ) -> None:
        fleet = Fleet()
        for number in range(2 * MAX_SUSPECTS):
            crash = ServerCrash(fleet.now, fleet.now - 1)
            content = ContentId(f'r{number}')
            fleet.trackers[0].record_crash(content, ProcessId(number), crash, fleet.now)
        assert len(fleet.trackers[0].all()) == MAX_SUSPECTS
        assert (
            len(fleet.trackers[0].build_reports(fleet.now, include_received=True))
            == MAX_REPORTS
        )


class TestRounds:
    def test_a_run_that_began_before_the_last_crash_is_in_the_same_round(self) -> None:
        crashes = [ServerCrash(1, 0), ServerCrash(1.2, 0.9), ServerCrash(3, 2)]
        assert count_rounds(crashes) == 2

    def test_each_start_of_a_server_is_a_new_process(self) -> None:
        server = BackendServerId('i-1')
        assert identify_process(server, 1) != identify_process(server, 2)
