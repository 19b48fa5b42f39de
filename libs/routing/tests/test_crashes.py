"""Tests of the evidence on requests that end servers, and of who is held back."""

import random

from hypothesis import given
from hypothesis import strategies as st

from fireflyhitch_model.identity import identify_content, identify_process
from fireflyhitch_model.ids import BackendServerId, ContentId, CustomerId, ProcessId
from fireflyhitch_routing.crashes import (
    ANSWERED_SECONDS,
    MOST_ENDS,
    MOST_SUSPECTS,
    MOST_TOLD,
    CrashTracker,
    ServerCrash,
    count_rounds,
)
from fireflyhitch_routing.quarantine import HOLD_SECONDS, Hold, Quarantine
from fireflyhitch_routing.telling import TELL_SECONDS

CRASHING = ContentId('crashing')
HARMLESS = ContentId('harmless')
SETTLED = 0.2


class Fleet:
    """Daemons that see servers end, and tell each other."""

    def __init__(self, count: int = 1) -> None:
        self.books = [CrashTracker() for _ in range(count)]
        self.quarantines = [Quarantine(book) for book in self.books]
        self.now = 100.0
        self.ended = 0

    def end_server(self, at: int, *contents: ContentId, ran: float = 0.1) -> None:
        """Have a server end under requests of one daemon, and time go on."""
        self.ended += 1
        process = ProcessId(self.ended)
        for content in contents:
            end = ServerCrash(self.now, self.now - ran)
            self.books[at].record_crash(content, process, end, self.now)
        self.now += 1
        self.tell()

    def tell(self) -> None:
        """Have each tell all others, and judge when all has settled."""
        for teller in self.books:
            told = teller.tell(self.now, heard=False)
            for book in self.books:
                if book is not teller:
                    book.take(told, self.now)
        for quarantine in self.quarantines:
            quarantine.review(self.now, 0)

    def count_holding(self, content: ContentId) -> int:
        """Return how many daemons hold a request back."""
        waits = (
            found.find_remaining_hold(content, self.now) for found in self.quarantines
        )
        return sum(wait is not None for wait in waits)


class TestContent:
    def test_tries_of_one_request_are_one_content(self) -> None:
        baker, miller = CustomerId('baker'), CustomerId('miller')
        asked = identify_content(baker, 'POST', '/a/?x=1', b'body')
        assert asked == identify_content(baker, 'POST', '/a/?x=1', b'body')
        others = {
            identify_content(miller, 'POST', '/a/?x=1', b'body'),
            identify_content(None, 'POST', '/a/?x=1', b'body'),
            identify_content(baker, 'PUT', '/a/?x=1', b'body'),
            identify_content(baker, 'POST', '/a/?x=2', b'body'),
            identify_content(baker, 'POST', '/a/?x=1', b'other'),
            identify_content(baker, 'POST', '/a/?x=1b', b'ody'),
        }
        assert len(others) == 6
        assert asked not in others


class TestHolding:
    def test_ends_that_different_daemons_saw_count_together(self) -> None:
        fleet = Fleet(3)
        fleet.end_server(0, CRASHING)
        fleet.end_server(1, CRASHING)
        assert not fleet.count_holding(CRASHING)
        fleet.end_server(2, CRASHING)
        assert fleet.count_holding(CRASHING) == 3

    def test_a_victim_beside_it_is_not_held(self) -> None:
        # A caller's next tries meet servers that the other request ends as well.
        fleet = Fleet(2)
        fleet.end_server(0, CRASHING)
        fleet.end_server(1, CRASHING, HARMLESS)
        fleet.end_server(0, CRASHING, HARMLESS)
        fleet.end_server(1, HARMLESS)
        assert fleet.count_holding(CRASHING) == 2
        assert not fleet.count_holding(HARMLESS)

    def test_of_two_that_are_always_together_the_one_that_goes_on_is_held(
        self,
    ) -> None:
        fleet = Fleet()
        for _ in range(3):
            fleet.end_server(0, CRASHING, HARMLESS)
        assert not fleet.count_holding(CRASHING)
        fleet.end_server(0, CRASHING)
        assert fleet.count_holding(CRASHING)
        assert not fleet.count_holding(HARMLESS)

    def test_a_popular_request_is_not_held_for_the_ends_of_others(self) -> None:
        # It is at each server that another request ends, and is answered elsewhere.
        fleet = Fleet(5)
        for turn in range(40):
            fleet.books[turn % 5].record_response(HARMLESS, fleet.now)
            fleet.end_server((turn + 1) % 5, HARMLESS, ContentId(f'other-{turn}'))
            assert not fleet.count_holding(HARMLESS)

    def test_an_answer_before_the_first_end_speaks_for_it(self) -> None:
        fleet = Fleet(2)
        fleet.books[1].record_response(HARMLESS, fleet.now)
        for _ in range(4):
            fleet.end_server(0, HARMLESS)
        assert not fleet.count_holding(HARMLESS)

    def test_ends_of_long_ago_leave_room_for_those_of_now(self) -> None:
        fleet = Fleet()
        for _ in range(2 * MOST_ENDS):
            fleet.end_server(0, CRASHING)
        fleet.books[0].record_response(CRASHING, fleet.now)
        fleet.now += 2 * HOLD_SECONDS
        fleet.tell()
        assert not fleet.count_holding(CRASHING)
        for _ in range(3):
            fleet.end_server(0, CRASHING)
        assert fleet.count_holding(CRASHING)

    def test_what_was_answered_long_ago_may_end_servers_now(self) -> None:
        fleet = Fleet()
        fleet.books[0].record_response(CRASHING, fleet.now)
        fleet.now += ANSWERED_SECONDS + 1
        for _ in range(3):
            fleet.end_server(0, CRASHING)
        assert fleet.count_holding(CRASHING)

    def test_servers_that_end_in_one_moment_do_not_count_as_many(self) -> None:
        # A failure domain loses power while a request is at five of its servers.
        fleet = Fleet()
        for number in range(5):
            end = ServerCrash(fleet.now, fleet.now - 0.3)
            fleet.books[0].record_crash(HARMLESS, ProcessId(number), end, fleet.now)
        fleet.tell()
        assert not fleet.count_holding(HARMLESS)

    def test_it_waits_for_those_who_may_have_answered_it(self) -> None:
        fleet = Fleet()
        for _ in range(2):
            fleet.end_server(0, CRASHING)
        end = ServerCrash(fleet.now, fleet.now - 0.1)
        fleet.books[0].record_crash(CRASHING, ProcessId(9), end, fleet.now)
        quarantine = fleet.quarantines[0]
        quarantine.review(fleet.now, SETTLED)
        assert quarantine.find_remaining_hold(CRASHING, fleet.now) is None
        quarantine.review(fleet.now + SETTLED, SETTLED)
        assert quarantine.find_remaining_hold(CRASHING, fleet.now) is not None

    def test_an_answer_that_was_under_way_releases_it(self) -> None:
        fleet = Fleet(2)
        for _ in range(3):
            fleet.end_server(0, HARMLESS)
        assert fleet.count_holding(HARMLESS) == 2
        fleet.books[1].record_response(HARMLESS, fleet.now)
        fleet.tell()
        assert not fleet.count_holding(HARMLESS)

    def test_a_hold_ends_by_itself(self) -> None:
        fleet = Fleet()
        for _ in range(3):
            fleet.end_server(0, CRASHING)
        fleet.now += HOLD_SECONDS
        fleet.tell()
        assert not fleet.count_holding(CRASHING)
        assert not fleet.quarantines[0].held()

    def test_a_hold_that_the_store_tells_counts_at_once(self) -> None:
        fleet = Fleet()
        hold = Hold(fleet.now + 10, frozenset((ProcessId(1),)))
        fleet.quarantines[0].add_hold(CRASHING, hold)
        assert fleet.quarantines[0].find_remaining_hold(CRASHING, fleet.now) == 10


class TestTelling:
    def test_a_daemon_that_started_anew_learns_what_others_know_with_the_next_end(
        self,
    ) -> None:
        fleet = Fleet(2)
        fleet.end_server(0, CRASHING)
        fleet.end_server(0, CRASHING)
        fleet.now += 10 * TELL_SECONDS
        fleet.books[1] = CrashTracker()
        fleet.quarantines[1] = Quarantine(fleet.books[1])
        fleet.end_server(1, CRASHING)
        fleet.tell()
        assert fleet.count_holding(CRASHING) == 2

    @given(st.randoms(use_true_random=False), st.integers(2, 6))
    def test_order_and_repeats_of_what_is_told_do_not_matter(
        self, draw: random.Random, count: int
    ) -> None:
        tellers = [CrashTracker() for _ in range(3)]
        for number in range(count):
            end = ServerCrash(number / 10, number / 10 - 0.05)
            draw.choice(tellers).record_crash(CRASHING, ProcessId(number), end, end.at)
        told = [teller.tell(1, heard=False) for teller in (*tellers, *tellers)]
        draw.shuffle(told)
        book = CrashTracker()
        for notes in told:
            book.take(notes, 1)
        suspect = book.find(CRASHING)
        assert suspect is not None
        assert suspect.crashes.keys() == set(range(count))

    def test_an_end_that_was_found_late_is_told_all_the_same(self) -> None:
        # A server whose whole instance is gone is silent until it is listed no more.
        teller, other = CrashTracker(), CrashTracker()
        end = ServerCrash(10, 9.9)
        teller.record_crash(CRASHING, ProcessId(1), end, 10 + 3 * TELL_SECONDS)
        other.take(teller.tell(10 + 3 * TELL_SECONDS, heard=False), 20)
        assert other.find(CRASHING) is not None

    def test_what_is_told_falls_silent(self) -> None:
        fleet = Fleet(8)
        fleet.end_server(0, CRASHING)
        fleet.end_server(1, CRASHING)
        for _ in range(10):
            fleet.now += TELL_SECONDS
            fleet.tell()
        assert not any(book.tell(fleet.now, heard=True) for book in fleet.books)

    def test_messages_and_memory_stay_bounded_when_thousands_of_servers_end(
        self,
    ) -> None:
        fleet = Fleet()
        for number in range(2 * MOST_SUSPECTS):
            end = ServerCrash(fleet.now, fleet.now - 1)
            content = ContentId(f'r{number}')
            fleet.books[0].record_crash(content, ProcessId(number), end, fleet.now)
        assert len(fleet.books[0].all()) == MOST_SUSPECTS
        assert len(fleet.books[0].tell(fleet.now, heard=True)) == MOST_TOLD


class TestRounds:
    def test_a_run_that_began_before_the_last_end_is_of_the_same_round(self) -> None:
        crashes = [ServerCrash(1, 0), ServerCrash(1.2, 0.9), ServerCrash(3, 2)]
        assert count_rounds(crashes) == 2

    def test_two_starts_of_one_server_are_two_processes(self) -> None:
        server = BackendServerId('i-1')
        assert identify_process(server, 1) != identify_process(server, 2)
