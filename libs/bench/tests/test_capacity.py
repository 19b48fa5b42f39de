"""Tests of the capacity page and of the sweep that it is made from."""

from pathlib import Path

import pytest

from fireflyhitch_bench.capacity import (
    PAGE,
    SWEEP,
    SweepError,
    read_sweep,
    render_page,
)

ROOT = Path(__file__).parents[3]
OUTPUT = """\
day                  own/srv  score  worth served refused failed  weakest part
sweep-10               15/99   0.64  0.637  0.950   0.000  0.018  worst class 0.86
sweep-30              33/297   0.00  0.000  1.000   0.000  0.000  prices  BROKEN: fault

middle / busiest or longest, by own machines
                                        10              30  power  at 791
daemon: processor %            12.3 / 13.2     10.7 / 15.6   0.39  71.4
next ack after a kill, ms      3051 / 3051               -   -0.0  3050
"""


class TestSweep:
    def test_its_days_and_slopes_are_read(self) -> None:
        sweep = read_sweep(OUTPUT)
        assert sweep.sizes == ('10', '30')
        assert sweep.target == '791'
        assert [day.broken for day in sweep.days] == ['', 'BROKEN: fault']
        processor, ack = sweep.slopes
        assert (processor.columns, processor.power, processor.target) == (
            ('12.3 / 13.2', '10.7 / 15.6'),
            0.39,
            71.4,
        )
        assert ack.columns == ('3051 / 3051', '-')

    def test_what_is_none_is_said(self) -> None:
        with pytest.raises(SweepError):
            read_sweep('built in 0.9 s\n')


class TestPage:
    def test_it_says_what_the_kept_sweep_says(self) -> None:
        sweep = read_sweep((ROOT / SWEEP).read_text(encoding='utf-8'))
        assert (ROOT / PAGE).read_text(encoding='utf-8') == render_page(sweep)

    def test_no_cell_is_empty(self) -> None:
        page = (ROOT / PAGE).read_text(encoding='utf-8')
        rows = [line for line in page.splitlines() if line.startswith('| ')]
        assert len(rows) > 8
        for row in rows:
            first, *cells = row.strip('|').split('|')
            assert all(cell.strip() for cell in cells)
