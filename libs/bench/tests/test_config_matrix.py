"""Tests of the configuration's fault matrix: each cell, and the page."""

from pathlib import Path

import pytest

from fireflyhitch_bench.config_matrix import (
    FAULTS,
    HEALING_ROUNDS,
    PAGE,
    MatrixStep,
    run_cell,
    write_page,
)
from fireflyhitch_model.invariants import count_violations

ROOT = Path(__file__).parents[3]


class TestMatrix:
    """Every fault at every step of a change."""

    @pytest.mark.parametrize('step', MatrixStep)
    @pytest.mark.parametrize('fault', FAULTS, ids=lambda fault: fault.name)
    def test_change_ends_honestly_and_everywhere(self, fault, step):
        """The operator is told the truth and all daemons agree after the fault.

        A change is proposed; the fault begins at the step, lasts five rounds
        and ends. No daemon goes back meanwhile, since only a higher revision
        is put in force. What the operator was told must fit what came into
        force, and the fleet must take the next change.
        """
        violations = count_violations()
        cell = run_cell(fault, step)
        assert cell.reverted == 0
        assert cell.agreed
        assert cell.after_fault < HEALING_ROUNDS
        assert cell.later_accepted
        if cell.told() != 'unknown':
            assert cell.in_force == (cell.told() == 'accepted')
        shown = cell.confirmed.values()
        assert len({(one.revision, one.lowest) for one in shown}) == 1
        assert count_violations() == violations

    def test_page_shows_what_the_cells_give(self):
        assert (ROOT / PAGE).read_text() == write_page()
