"""Tests of the tables that are made from log lines."""

import json

from fireflyhitch_bench.losses import Losses, render


def answer(second: float, first: float, *, sends: int = 1, expected: float = 0) -> str:
    """Return the line of an answer."""
    return json.dumps(
        {
            'time': second,
            'event': 'request answered',
            'route': 'notes',
            'first': first,
            'sends': sends,
            'expected': expected,
        }
    )


def refusal(second: float) -> str:
    """Return the line of a refusal."""
    return json.dumps(
        {'time': second, 'event': 'request refused', 'code': 'over_limit'}
    )


class TestLosses:
    def test_late_answers_are_told_by_cause_and_window(self) -> None:
        lines = [
            answer(100.0, 0.2),
            f'  12.3 front-1 {answer(100.5, 2.0, sends=2)}',
            answer(103.0, 1.5, expected=1.2),
            answer(103.5, 1.5, expected=0.1),
            refusal(103.9),
        ]
        losses = Losses(late=1.0)
        for line in lines:
            losses.take(line)
        table = render(losses)
        first, second = table.splitlines()[1:3]
        assert 'late: another server first 1' in first
        assert 'request refused: over_limit 1' in second
        assert 'late: a wait that was expected 1' in second
        assert 'late: its server, later than expected 1' in second
        assert 'notes        4' in table

    def test_what_is_no_line_is_counted(self) -> None:
        losses = Losses(late=1.0)
        for line in ('', 'Traceback', '{"time": 1, "ev'):
            losses.take(line)
        assert losses.unreadable == 3
        losses.take('{"event": "peer heard", "time": 1}')
        assert not losses.windows
