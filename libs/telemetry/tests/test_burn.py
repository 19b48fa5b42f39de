"""Tests of error budget burn."""

import json
from datetime import timedelta

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fireflyhitch_model.clock import ManualClock
from fireflyhitch_telemetry.burn import (
    BurnRecorder,
    BurnSnapshot,
    BurnTarget,
    merge_snapshots,
)
from fireflyhitch_telemetry.burn_report import render_html, render_json, render_text
from fireflyhitch_telemetry.burn_windows import Window

TARGET = BurnTarget(first_token_seconds=0.92, between_tokens_seconds=0.068, share=0.9)


def make_recorder(clock, domain='gent'):
    recorder = BurnRecorder(clock, domain)
    recorder.set_targets({'answers': TARGET})
    return recorder


def record(recorder, ok=True, first=0.5, between=0.03, customer='bakery'):
    recorder.record(
        customer,
        'answers',
        'chat',
        'v1',
        ok=ok,
        first_token=first,
        between_tokens=between,
    )


@pytest.fixture
def clock():
    return ManualClock()


class TestRecorder:
    """Counts of one daemon."""

    def test_slow_and_failed_requests_are_bad(self, clock):
        recorder = make_recorder(clock)
        record(recorder)
        record(recorder, ok=False, first=None)
        record(recorder, first=1.5)
        record(recorder, between=0.1)
        row = recorder.snapshot().rows[0]
        counts = row.windows[Window.MINUTES_5]
        assert (counts.good, counts.bad) == (1, 3)
        assert counts.burn_rate(0.9) == pytest.approx(7.5)

    def test_old_requests_drop_out_of_the_windows(self, clock):
        recorder = make_recorder(clock)
        record(recorder, ok=False)
        seen = []
        for hours in (0.2, 2, 10, 80):
            clock.advance(timedelta(hours=hours))
            row = recorder.snapshot().rows[0]
            seen.append([row.windows[window].bad for window in Window])
        assert seen == [[0, 1, 1, 1], [0, 0, 1, 1], [0, 0, 0, 1], [0, 0, 0, 0]]

    def test_rows_are_bounded_and_every_request_is_counted(self, clock, monkeypatch):
        monkeypatch.setattr('fireflyhitch_telemetry.burn.MAX_ROWS', 3)
        recorder = make_recorder(clock)
        for number in range(10):
            record(recorder, customer=f'customer-{number}')
        rows = recorder.snapshot().rows
        assert len(rows) == 4
        assert sum(row.windows[Window.DAYS_3].good for row in rows) == 10

    def test_no_request_is_lost_when_the_clock_jumps_back(self, clock):
        recorder = make_recorder(clock)
        record(recorder)
        clock.jump_wall_clock(timedelta(minutes=-20))
        record(recorder)
        row = recorder.snapshot().rows[0]
        assert row.windows[Window.DAYS_3].good == 2


class TestMerge:
    """Merging snapshots of several daemons."""

    @settings(max_examples=30, derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 2), st.floats(0.01, 5)), min_size=1))
    def test_merged_counts_equal_those_of_a_single_recorder(self, requests):
        clock = ManualClock()
        parts = [make_recorder(clock) for _ in range(3)]
        whole = make_recorder(clock)
        for number, first in requests:
            record(parts[number], first=first)
            record(whole, first=first)
        merged = merge_snapshots(part.snapshot() for part in parts)
        assert merged.rows == whole.snapshot().rows
        assert merged.daemons == 3

    def test_snapshot_survives_cbor_and_json(self, clock):
        recorder = make_recorder(clock)
        record(recorder)
        snapshot = recorder.snapshot()
        packed = cbor2.dumps(snapshot.model_dump(mode='json'))
        assert BurnSnapshot.model_validate(cbor2.loads(packed)) == snapshot
        text = snapshot.model_dump_json()
        assert BurnSnapshot.model_validate_json(text) == snapshot

    def test_unreached_failure_domains_are_listed_in_every_format(self, clock):
        """A failure domain is unreachable while the report is made.

        Its requests are missing from the counts; each format of the report must say
        so, instead of presenting incomplete counts as complete.
        """
        recorder = make_recorder(clock)
        record(recorder)
        merged = merge_snapshots([recorder.snapshot()], unreached=['brugge'])
        assert 'could be asked in: brugge' in render_text(merged)
        assert 'could be asked in: brugge' in render_html(merged)
        assert json.loads(render_json(merged))['unreached'] == ['brugge']


class TestReport:
    """The rendered report."""

    def test_quantiles_are_within_the_sketch_accuracy(self, clock):
        recorder = make_recorder(clock)
        for number in range(1, 1001):
            record(recorder, first=number / 1000)
        report = json.loads(render_json(recorder.snapshot()))
        row = report['rows'][0]
        assert row['first_token_seconds']['p95'] == pytest.approx(0.95, rel=0.03)

    def test_page_is_self_contained_and_escapes_names(self, clock):
        recorder = make_recorder(clock)
        record(recorder, customer='<script>bakery')
        page = render_html(recorder.snapshot())
        assert '<script>bakery' not in page
        assert page.count('<svg') == 5
        assert '<script' not in page
