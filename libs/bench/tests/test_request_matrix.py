"""The fault matrix of requests, cell by cell, and short soak runs."""

from pathlib import Path

import pytest

from fireflyhitch_bench.request_matrix import (
    list_booking_cells,
    list_stream_cells,
    render_page,
    run_booking,
    run_stream,
)
from fireflyhitch_bench.soak import find_broken, run_round
from fireflyhitch_model.invariants import count_violations

PAGE = Path(__file__).parents[3] / 'docs' / 'fault-matrix-requests.md'


class TestBookingCells:
    """Calls that may not be repeated, under each fault at each step."""

    @pytest.mark.parametrize(('fault', 'stage'), list_booking_cells())
    def test_runs_at_most_once_and_is_told_the_truth(self, fault, stage):
        violations = count_violations()
        cell = run_booking(fault, stage)
        assert cell.holds, cell
        assert count_violations() == violations


class TestStreamCells:
    """Model answers, under each fault at each step."""

    @pytest.mark.parametrize(('fault', 'stage'), list_stream_cells())
    def test_answer_is_whole_and_its_own(self, fault, stage):
        violations = count_violations()
        cell = run_stream(fault, stage)
        assert cell.holds, cell
        assert count_violations() == violations


class TestPage:
    """The page with all cells."""

    def test_page_says_what_the_cells_give(self):
        assert PAGE.read_text() == render_page()


class TestSoak:
    """A few rounds of the soak, the same ones each time."""

    # 317: a copy became the own of a daemon that was leaving already, which then
    # died before its time; its caller found nobody who had the answer.
    @pytest.mark.parametrize('seed', [1, 2, 317])
    def test_round_breaks_no_promise(self, seed):
        totals = run_round(seed)
        assert not find_broken(totals), totals
