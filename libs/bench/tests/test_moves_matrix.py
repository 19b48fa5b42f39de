"""Tests of cells of the fault matrix of version moves."""

import pytest

from fireflyhitch_bench.moves_matrix import FAULTS, STEPS, run_cell

# One step for each fault, and each step once, so that CI stays short; the
# benchmark runs them all.
CELLS = [
    (fault, STEPS[(3 * number + 1) % len(STEPS)]) for number, fault in enumerate(FAULTS)
]


class TestMatrix:
    """A fault at a step of a whole move."""

    @pytest.mark.parametrize(
        ('fault', 'step'), CELLS, ids=[f'{fault.name}-{step}' for fault, step in CELLS]
    )
    def test_promises_hold(self, fault, step):
        """The fault begins when the step is first reached, and ends later.

        All daemons agree on the move's end by its date, a bad version is
        undone, nothing is given to it after its withdrawal, and no engine takes
        an older holder's order after a newer one's.
        """
        cell = run_cell(fault, step)
        assert cell.reached
        assert not cell.wrong
