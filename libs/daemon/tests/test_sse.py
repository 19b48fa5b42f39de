"""Tests of cutting and rendering server-sent events."""

import pytest

from fireflyhitch_daemon.sse import Ending, pop_ending, render_events, split_events


class TestSplitEvents:
    """Whole events are taken, whatever the pieces in which they arrive."""

    @pytest.mark.parametrize('size', [1, 2, 7, 100])
    def test_pieces_of_any_size_give_the_same_events(self, size):
        text = b': hello\n\ndata: {"a":1}\n\ndata: {"b":2}\n\ndata: [DONE]\n\n'
        rest = b''
        found = []
        for start in range(0, len(text), size):
            events, rest = split_events(rest + text[start : start + size])
            found.extend(events)
        assert found == [b'{"a":1}', b'{"b":2}', b'[DONE]']
        assert not rest


class TestTakeEnding:
    """The events that end a stream are not the answer's."""

    @pytest.mark.parametrize(
        ('events', 'ending', 'left'),
        [
            ([b'{"a":1}'], Ending.NONE, [b'{"a":1}']),
            ([b'{"a":1}', b'[DONE]'], Ending.DONE, [b'{"a":1}']),
            ([b'{"a":1}', b'{"error": {}}'], Ending.ERROR, [b'{"a":1}']),
            ([b'{"error": {}}', b'[DONE]'], Ending.ERROR, []),
        ],
    )
    def test_ending(self, events, ending, left):
        assert pop_ending(events) is ending
        assert events == left


class TestRenderEvents:
    """Ids count up, with the attempt's tag."""

    def test_ids(self):
        rendered = render_events([b'a', b'b'], 4, b'.2-x')
        assert rendered == b'id: 4.2-x\ndata: a\n\nid: 5.2-x\ndata: b\n\n'
