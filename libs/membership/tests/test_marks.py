"""Tests of grow-only marks."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fireflyhitch_membership.marks import MAX_LEAVING_MARKS, MarkTable
from fireflyhitch_membership.messages import Mark, MarkKind

TABLES = 3
tables = st.integers(0, TABLES - 1)
marks = st.builds(
    Mark,
    kind=st.sampled_from(MarkKind),
    key=st.sampled_from(('a', 'b', 'c', 'd')),
    number=st.integers(1, 5),
)


class MarkTablesMachine(RuleBasedStateMachine):
    """Three tables that add and merge marks in any order, including stale copies."""

    def __init__(self):
        super().__init__()
        self.tables = [MarkTable() for _ in range(TABLES)]
        self.seen = [{} for _ in range(TABLES)]
        self.old_copies = []

    @rule(table=tables, mark=marks)
    def add_mark(self, table, mark):
        self.tables[table].merge((mark,))

    @rule(table=tables)
    def keep_copy(self, table):
        self.old_copies.append(self.tables[table].all())

    @rule(table=tables, copy=st.integers(0, 100))
    def merge_old_copy(self, table, copy):
        if self.old_copies:
            self.tables[table].merge(self.old_copies[copy % len(self.old_copies)])

    @rule(one=tables, other=tables)
    def synchronize(self, one, other):
        left, right = self.tables[one], self.tables[other]
        right.merge(left.differing(right.bucket_digests()))
        left.merge(right.differing(left.bucket_digests()))
        assert left.digest() == right.digest()
        assert set(left.all()) == set(right.all())

    @invariant()
    def marks_never_decrease(self):
        for table, seen in zip(self.tables, self.seen, strict=True):
            now = {(one.kind, one.key): one.number for one in table.all()}
            assert all(now.get(key, 0) >= number for key, number in seen.items())
            seen.update(now)


MarkTablesMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=25,
    deadline=None,
    suppress_health_check=(HealthCheck.too_slow,),
)
TestMarkTables = MarkTablesMachine.TestCase


class TestBounds:
    """Limits on the size of the table."""

    def test_oldest_leaving_mark_is_evicted_and_withdrawn_ones_stay(self):
        table = MarkTable()
        table.merge([Mark(kind=MarkKind.WITHDRAWN, key='chat/2', number=1)])
        many = range(MAX_LEAVING_MARKS)
        table.merge(Mark(kind=MarkKind.LEAVING, key=str(key), number=1) for key in many)
        assert table.number_of(MarkKind.LEAVING, '0') == 0
        assert table.number_of(MarkKind.LEAVING, '1') == 1
        assert table.number_of(MarkKind.WITHDRAWN, 'chat/2') == 1
