"""Tests of learned state: latency curves, load and prefix caches."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fireflyhitch_model.backends import CacheEvent, LoadReport
from fireflyhitch_model.prompts import hash_prefix_blocks
from fireflyhitch_routing.curves import DECAY_SECONDS, Curve
from fireflyhitch_routing.load import REPORT_TTL_SECONDS, ServerLoad
from fireflyhitch_routing.prefix import PrefixIndex

PRIOR = (0.05, 0.005)


class TestCurves:
    """Linear models learned from noisy samples."""

    def test_learns_slope_and_deviation(self):
        curve = Curve(PRIOR, (0.1, 0.01), 0.1, 0)
        rng = random.Random(1)
        for number in range(400):
            load = rng.randrange(10)
            curve.learn((1, load), 0.1 + 0.02 * load + rng.gauss(0, 0.01), number / 9)
        assert curve.coefficients == pytest.approx((0.1, 0.02), rel=0.2)
        assert curve.deviation == pytest.approx(0.01, rel=0.5)

    def test_decays_to_its_prior_without_samples(self):
        curve = Curve(PRIOR, (0.1, 0.01), 0.1, 0)
        for number in range(50):
            curve.learn((1, 2), 3, number / 10)
        assert curve.coefficients[0] > 0.5
        curve.decay(5 + 8 * DECAY_SECONDS)
        assert curve.coefficients == pytest.approx(PRIOR, rel=0.1)

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 50), st.floats(0, 100)), max_size=40))
    def test_never_expects_less_latency_with_more_load(self, samples):
        """A few noisy samples, only at low load, fit a negative slope.

        With it a busy server had a negative cost, no server was within the tolerance of
        this lowest cost, and the choice failed. Coefficients therefore stay at 0 or above.
        """
        curve = Curve(PRIOR, (0.1, 0.01), 0.1, 0)
        for number, (load, measured) in enumerate(samples):
            curve.learn((1, load), measured, number)
        assert min(curve.coefficients) >= 0
        assert curve.deviation > 0


class TestStaleLoad:
    """Delayed reports, corrected by local counts."""

    def test_local_calls_since_the_report_are_added(self):
        load = ServerLoad()
        load.start(1, 10)
        load.apply_report(LoadReport('s', 3, 0, 0, measured=2))
        load.start(5, 10)
        load.start(6, 10)
        # Two calls of other daemons and three local ones.
        assert load.total(6, other_daemons=0) == 5

    def test_daemons_with_the_same_delayed_report_do_not_overload_a_server(self):
        """Eight daemons receive the same report of an idle server, five seconds old.

        The report shows no calls of the others, so each daemon would send its calls
        there and overload the server until the next report. Therefore each call that a
        daemon has sent since the report is assumed to be sent by each other daemon too.
        """
        load = ServerLoad()
        load.apply_report(LoadReport('s', 0, 0, 0, measured=1))
        load.start(5, 10)
        assert load.total(6, other_daemons=7) == 8
        load.finish(7)
        assert load.total(7, other_daemons=7) == 0

    def test_older_reports_are_ignored_and_reports_expire(self):
        load = ServerLoad()
        load.apply_report(LoadReport('s', 5, 0, 0, measured=10))
        load.apply_report(LoadReport('s', 0, 0, 0, measured=9))
        assert load.total(11, 0) == 5
        assert load.total(11 + REPORT_TTL_SECONDS, 0) == 0


class TestPrefixIndex:
    """Blocks that servers probably hold."""

    def test_length_of_the_common_prefix(self):
        index = PrefixIndex()
        index.add('a', (1, 2, 3))
        index.add('b', (1,))
        assert index.find((1, 2, 9, 3)) == {'a': 2, 'b': 1}
        assert not index.find((9, 1))
        assert not index.find(())

    def test_texts_share_the_hashes_of_their_common_prefix_only(self):
        one = hash_prefix_blocks('a' * 128 + 'b' * 128)
        other = hash_prefix_blocks('a' * 128 + 'c' * 128)
        assert one[:2] == other[:2]
        assert not set(one[2:]) & set(other[2:])

    def test_memory_is_bounded_and_old_blocks_are_dropped_first(self):
        index = PrefixIndex(max_blocks=100)
        for number in range(50):
            index.add('a', range(number * 10, number * 10 + 10))
        assert len(index) == 100
        assert not index.find((0,))
        assert index.find((499,)) == {'a': 1}

    def test_wrong_entry_from_lost_events_stays_until_corrected(self):
        """The event for the removal of a block is lost.

        The index still lists the block, which only costs time. A repeated or delayed
        event must not undo a newer one. The event that the cache was cleared, after a
        restart, removes all entries of the server.
        """
        index = PrefixIndex()
        index.apply_event(CacheEvent('a', 1, stored=(1, 2)))
        index.apply_event(CacheEvent('a', 4, removed=(2,)))
        assert index.lost_events == 2
        assert index.find((1, 2)) == {'a': 1}
        index.apply_event(CacheEvent('a', 3, stored=(2,)))
        assert index.find((1, 2)) == {'a': 1}
        index.apply_event(CacheEvent('a', 9, cleared=True))
        assert not index.find((1,))
