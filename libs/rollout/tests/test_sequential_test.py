"""Tests of the sequential test of two versions."""

from random import Random

import pytest

from fireflyhitch_rollout.call_counts import (
    CallCounts,
    CellKey,
    LoadBand,
    Signal,
    find_bucket,
)
from fireflyhitch_rollout.sequential_test import SequentialTest

DOMAINS = ('gent', 'brugge')


def draw(random, calls, failing, factor=1.0, sigma=0.4):
    counts = CallCounts()
    for _ in range(calls):
        counts.calls += 1
        if random.random() < failing:
            counts.failures += 1
            continue
        bucket = find_bucket(0.3 * factor * random.lognormvariate(0, sigma))
        counts.first_token[bucket] = counts.first_token.get(bucket, 0) + 1
    return counts


def make_key(version, route='chat', domain='gent', band=LoadBand.USUAL):
    return CellKey('answers', version, route, band, domain)


def run(seed, batches, new, old=None, warm=20):
    """Weigh batches until a verdict; return it and the batch's number."""
    random = Random(seed)
    judge = SequentialTest('v1', 'v2')
    old = old or (lambda number: (0.002, 1.0))
    for number in range(batches):
        cells = {}
        for domain in DOMAINS:
            failing, factor = old(number)
            cells[make_key('v1', domain=domain)] = draw(random, 8, failing, factor)
        if number >= warm:
            cells[make_key('v2')] = draw(random, 2, *new(number))
        verdict = judge.add_batch(cells)
        if verdict is not None:
            return verdict, number
    return None, batches


class TestJudge:
    """Verdicts and how soon they come."""

    @pytest.mark.parametrize('seed', range(6))
    def test_good_version_is_not_taken_back(self, seed):
        verdict, _ = run(seed, 600, lambda number: (0.004, 1.1))
        assert verdict is None

    def test_version_that_fails_all_is_found_within_five_calls(self):
        verdict, number = run(1, 100, lambda number: (1.0, 1.0))
        assert verdict.signal is Signal.FAILURE
        assert number <= 20 + 2

    def test_late_fault_is_found_as_soon_as_an_early_one(self):
        """The version is good for 400 batches and then fails a third.

        A test that sums up all evidence would first have to outweigh the good
        past; this one needs no more calls than for a fault at once.
        """
        _, early = run(1, 600, lambda number: (0.3, 1.0))
        _, late = run(1, 600, lambda number: (0.3 if number >= 420 else 0.002, 1.0))
        assert late - 420 <= (early - 20) + 10

    @pytest.mark.parametrize('seed', range(4))
    def test_shock_to_both_versions_takes_nothing_back(self, seed):
        """A reclaim wave makes a third of all calls fail for 20 batches.

        Both versions are hit; the old one's rate of the same time is what the
        new one is measured by.
        """

        def strike(number):
            return (0.3, 2.0) if 100 <= number < 120 else (0.002, 1.0)

        verdict, _ = run(seed, 200, strike, old=strike)
        assert verdict is None

    def test_slow_version_is_found(self):
        verdict, number = run(3, 600, lambda number: (0.002, 2.0))
        assert verdict.signal is Signal.FIRST_TOKEN
        assert number < 200

    def test_fault_on_one_route_or_under_load_is_named(self):
        """Only bookings at high load fail; all other calls are good."""
        random = Random(1)
        judge = SequentialTest('v1', 'v2')
        verdict = None
        for _ in range(200):
            cells = {}
            for route in ('chat', 'booking'):
                for band in (LoadBand.LOW, LoadBand.HIGH):
                    bad = route == 'booking' and band is LoadBand.HIGH
                    old = make_key('v1', route, band=band)
                    cells[old] = draw(random, 8, 0.002)
                    new = make_key('v2', route, band=band)
                    cells[new] = draw(random, 2, 0.3 if bad else 0.002)
            verdict = verdict or judge.add_batch(cells)
        assert verdict.route == 'booking'

    def test_false_verdicts_are_no_more_than_stated(self, monkeypatch):
        """At most ``updates / THRESHOLD`` of good versions are taken back.

        With a low threshold the bound is a tenth; 200 moves of good versions
        are run and counted.
        """
        monkeypatch.setattr('fireflyhitch_rollout.sequential_test.THRESHOLD', 3600)
        false = 0
        for seed in range(200):
            random = Random(seed)
            judge = SequentialTest('v1', 'v2')
            for _ in range(60):
                cells = {make_key('v1'): draw(random, 10, 0.002)}
                cells[make_key('v2')] = draw(random, 2, 0.002)
                judge.add_batch(cells)
            assert judge.updates <= 360
            false += judge.add_batch({}) is not None
        assert false <= 20
