"""Tests of what is learned: curves, load and prefix caches."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fireflyhitch_model.backends import CacheEvent, LoadReport
from fireflyhitch_model.prompts import hash_prefix_blocks
from fireflyhitch_routing.curves import FORGET_SECONDS, Curve
from fireflyhitch_routing.load import REPORT_LIFE, ServerLoad
from fireflyhitch_routing.prefix import PrefixIndex

PRIOR = (0.05, 0.005)


class TestCurves:
    """Straight lines learned from noisy samples."""

    def test_learns_slope_and_deviation(self):
        curve = Curve(PRIOR, (0.1, 0.01), 0.1, 0)
        draw = random.Random(1)
        for number in range(400):
            load = draw.randrange(10)
            curve.learn((1, load), 0.1 + 0.02 * load + draw.gauss(0, 0.01), number / 9)
        assert curve.coefficients == pytest.approx((0.1, 0.02), rel=0.2)
        assert curve.deviation == pytest.approx(0.01, rel=0.5)

    def test_goes_back_to_its_prior_without_news(self):
        curve = Curve(PRIOR, (0.1, 0.01), 0.1, 0)
        for number in range(50):
            curve.learn((1, 2), 3, number / 10)
        assert curve.coefficients[0] > 0.5
        curve.forget(5 + 8 * FORGET_SECONDS)
        assert curve.coefficients == pytest.approx(PRIOR, rel=0.1)

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 50), st.floats(0, 100)), max_size=40))
    def test_never_expects_less_latency_with_more_load(self, samples):
        """A few noisy samples seen at a low load only.

        The fit gives a negative slope, so a fuller server looked cheaper than
        free; the least cost became negative, no server was near it, and the
        choice failed. So coefficients stay at or above zero.
        """
        curve = Curve(PRIOR, (0.1, 0.01), 0.1, 0)
        for number, (load, measured) in enumerate(samples):
            curve.learn((1, load), measured, number)
        assert min(curve.coefficients) >= 0
        assert curve.deviation > 0


class TestStaleLoad:
    """Late reports, corrected by what the daemon knows itself."""

    def test_own_calls_since_the_report_are_added(self):
        load = ServerLoad()
        load.start(1, 10)
        load.take_report(LoadReport('s', 3, 0, 0, measured=2))
        load.start(5, 10)
        load.start(6, 10)
        # Two calls of others and three own ones.
        assert load.total(6, likeness=0) == 5

    def test_daemons_with_one_late_report_do_not_all_send_there(self):
        """Eight daemons see the same report of an idle server, five seconds old.

        Each sends its calls there, for the report shows none of the others'; the
        server is flooded until the next report. So each call that a daemon has
        sent since the report counts for the others too.
        """
        load = ServerLoad()
        load.take_report(LoadReport('s', 0, 0, 0, measured=1))
        load.start(5, 10)
        assert load.total(6, likeness=7) == 8
        load.finish(7)
        assert load.total(7, likeness=7) == 0

    def test_old_report_changes_nothing_and_a_lost_one_ages_out(self):
        load = ServerLoad()
        load.take_report(LoadReport('s', 5, 0, 0, measured=10))
        load.take_report(LoadReport('s', 0, 0, 0, measured=9))
        assert load.total(11, 0) == 5
        assert load.total(11 + REPORT_LIFE, 0) == 0


class TestPrefixIndex:
    """Blocks that servers are thought to hold."""

    def test_depth_of_the_common_beginning(self):
        index = PrefixIndex()
        index.add('a', (1, 2, 3))
        index.add('b', (1,))
        assert index.find((1, 2, 9, 3)) == {'a': 2, 'b': 1}
        assert not index.find((9, 1))
        assert not index.find(())

    def test_equal_texts_share_first_hashes_only(self):
        one = hash_prefix_blocks('a' * 128 + 'b' * 128)
        other = hash_prefix_blocks('a' * 128 + 'c' * 128)
        assert one[:2] == other[:2]
        assert not set(one[2:]) & set(other[2:])

    def test_memory_is_bounded_and_old_blocks_go_first(self):
        index = PrefixIndex(max_blocks=100)
        for number in range(50):
            index.add('a', range(number * 10, number * 10 + 10))
        assert len(index) == 100
        assert not index.find((0,))
        assert index.find((499,)) == {'a': 1}

    def test_lost_events_leave_a_wrong_entry_until_it_is_corrected(self):
        """The event that a block was dropped is lost.

        The index goes on to expect the block there, which costs time only. A
        repeated or late event must not undo a newer one, and the event that the
        cache was cleared, after a restart, empties the server's entries.
        """
        index = PrefixIndex()
        index.take_event(CacheEvent('a', 1, stored=(1, 2)))
        index.take_event(CacheEvent('a', 4, removed=(2,)))
        assert index.lost_events == 2
        assert index.find((1, 2)) == {'a': 1}
        index.take_event(CacheEvent('a', 3, stored=(2,)))
        assert index.find((1, 2)) == {'a': 1}
        index.take_event(CacheEvent('a', 9, cleared=True))
        assert not index.find((1,))
