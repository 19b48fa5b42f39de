"""Tests of the sequential test that compares two versions."""

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


def draw(rng, calls, failing, factor=1.0, sigma=0.4):
    counts = CallCounts()
    for _ in range(calls):
        counts.calls += 1
        if rng.random() < failing:
            counts.failures += 1
            continue
        bucket = find_bucket(0.3 * factor * rng.lognormvariate(0, sigma))
        counts.first_token[bucket] = counts.first_token.get(bucket, 0) + 1
    return counts


def make_key(version, route='chat', domain='gent', band=LoadBand.USUAL):
    return CellKey('answers', version, route, band, domain)


def run(seed, batches, new, old=None, warm=20):
    """Add batches until a verdict; return it and the number of the batch."""
    rng = Random(seed)
    test = SequentialTest('v1', 'v2')
    old = old or (lambda number: (0.002, 1.0))
    for number in range(batches):
        cells = {}
        for domain in DOMAINS:
            failing, factor = old(number)
            cells[make_key('v1', domain=domain)] = draw(rng, 8, failing, factor)
        if number >= warm:
            cells[make_key('v2')] = draw(rng, 2, *new(number))
        verdict = test.add_batch(cells)
        if verdict is not None:
            return verdict, number
    return None, batches


class TestVerdicts:
    """Verdicts and the number of batches until they are reached."""

    @pytest.mark.parametrize('seed', range(6))
    def test_good_version_is_not_rolled_back(self, seed):
        verdict, _ = run(seed, 600, lambda number: (0.004, 1.1))
        assert verdict is None

    def test_version_that_always_fails_is_found_within_five_calls(self):
        verdict, number = run(1, 100, lambda number: (1.0, 1.0))
        assert verdict.signal is Signal.FAILURE
        assert number <= 20 + 2

    def test_late_fault_is_found_as_soon_as_an_early_one(self):
        """The version is good for 400 batches, then a third of its calls fail.

        A test that accumulates all evidence would have to outweigh the good past
        first; this one needs no more calls than for an immediate fault.
        """
        _, early = run(1, 600, lambda number: (0.3, 1.0))
        _, late = run(1, 600, lambda number: (0.3 if number >= 420 else 0.002, 1.0))
        assert late - 420 <= (early - 20) + 10

    @pytest.mark.parametrize('seed', range(4))
    def test_disturbance_of_both_versions_is_no_fault(self, seed):
        """A reclaim wave makes a third of all calls fail for 20 batches.

        Both versions are affected, and the new one is compared with the old one's
        rate in the same period.
        """

        def disturb(number):
            return (0.3, 2.0) if 100 <= number < 120 else (0.002, 1.0)

        verdict, _ = run(seed, 200, disturb, old=disturb)
        assert verdict is None

    def test_slow_version_is_found(self):
        verdict, number = run(3, 600, lambda number: (0.002, 2.0))
        assert verdict.signal is Signal.FIRST_TOKEN
        assert number < 200

    def test_fault_on_one_route_under_load_is_located(self):
        """Only calls of one route at high load fail."""
        rng = Random(1)
        test = SequentialTest('v1', 'v2')
        verdict = None
        for _ in range(200):
            cells = {}
            for route in ('chat', 'booking'):
                for band in (LoadBand.LOW, LoadBand.HIGH):
                    bad = route == 'booking' and band is LoadBand.HIGH
                    old = make_key('v1', route, band=band)
                    cells[old] = draw(rng, 8, 0.002)
                    new = make_key('v2', route, band=band)
                    cells[new] = draw(rng, 2, 0.3 if bad else 0.002)
            verdict = verdict or test.add_batch(cells)
        assert verdict.route == 'booking'

    def test_false_verdicts_stay_within_the_bound(self, monkeypatch):
        """At most ``updates / THRESHOLD`` of good versions are rolled back.

        With a lowered threshold the bound is a tenth, which 200 simulated moves of
        good versions must meet.
        """
        monkeypatch.setattr('fireflyhitch_rollout.sequential_test.THRESHOLD', 3600)
        false = 0
        for seed in range(200):
            rng = Random(seed)
            test = SequentialTest('v1', 'v2')
            for _ in range(60):
                cells = {make_key('v1'): draw(rng, 10, 0.002)}
                cells[make_key('v2')] = draw(rng, 2, 0.002)
                test.add_batch(cells)
            assert test.updates <= 360
            false += test.add_batch({}) is not None
        assert false <= 20
