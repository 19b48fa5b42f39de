"""Tests of the capacity page and the lines it rests on."""

import json
from pathlib import Path

import pytest

from fireflyhitch_bench.capacity_fit import Point, fit_line
from fireflyhitch_bench.capacity_page import DATA, PAGE, render_page

ROOT = Path(__file__).parents[3]


class TestPage:
    """docs/CAPACITY.md and the slopes that were measured."""

    def test_page_says_what_the_slopes_say(self):
        figures = json.loads((ROOT / DATA).read_text(encoding='utf-8'))
        assert (ROOT / PAGE).read_text(encoding='utf-8') == render_page(figures)

    def test_table_of_limits_has_no_empty_cell(self):
        page = (ROOT / PAGE).read_text(encoding='utf-8')
        table = page.partition('## Against the limits')[2].partition('\n\nWhat')[0]
        rows = [line for line in table.splitlines() if line.startswith('|')]
        assert len(rows) > 5
        for row in rows:
            assert all(cell.strip() for cell in row.strip('|').split('|'))


class TestFitLine:
    """Least squares."""

    def test_points_on_a_line_give_it_without_error(self):
        line = fit_line([Point(size, 3 + 2 * size) for size in (1, 5, 9)])
        assert (line.slope, line.base, line.error) == pytest.approx((2, 3, 0))

    def test_scatter_shows_in_the_error(self):
        line = fit_line([Point(1, 1), Point(2, 4), Point(3, 3)])
        assert line.error > 0.5
