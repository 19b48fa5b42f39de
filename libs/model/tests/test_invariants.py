"""Tests of invariants."""

import pytest

from fireflyhitch_model.errors import InvariantError
from fireflyhitch_model.invariants import (
    Invariant,
    count_violations,
    invariant,
    observe_violations,
)


class TestInvariant:
    """Invariants count, tell and stop the one request."""

    def test_violation_is_counted_told_and_raised(self):
        told = []
        before = count_violations()
        observe_violations(lambda name, detail: told.append(detail))
        with pytest.raises(InvariantError, match='two sends'):
            invariant(holds=False, kind=Invariant.SENT_ONCE, detail='two sends')
        assert told == ['two sends']
        assert count_violations() == before + 1

    def test_nothing_happens_while_it_holds(self):
        before = count_violations()
        invariant(holds=True, kind=Invariant.SENT_ONCE)
        assert count_violations() == before
