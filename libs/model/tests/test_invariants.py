"""Tests of runtime invariants."""

import pytest

from fireflyhitch_model.errors import InvariantError
from fireflyhitch_model.invariants import (
    Invariant,
    count_violations,
    invariant,
    observe_violations,
)


class TestInvariant:
    """A violation is counted, reported to observers and raised."""

    def test_violation_is_counted_reported_and_raised(self):
        reported = []
        before = count_violations()
        observe_violations(lambda name, detail: reported.append(detail))
        with pytest.raises(InvariantError, match='two sends'):
            invariant(holds=False, kind=Invariant.SENT_ONCE, detail='two sends')
        assert reported == ['two sends']
        assert count_violations() == before + 1

    def test_nothing_happens_while_it_holds(self):
        before = count_violations()
        invariant(holds=True, kind=Invariant.SENT_ONCE)
        assert count_violations() == before
