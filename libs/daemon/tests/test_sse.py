"""Tests of splitting and rendering server-sent events."""

import pytest

from fireflyhitch_daemon.sse import Ending, pop_ending, render_events, split_events


class TestSplitEvents:
    """Splitting does not depend on the sizes of the received blocks."""

    @pytest.mark.parametrize('size', [1, 2, 7, 100])
    def test_blocks_of_any_size_give_the_same_events(self, size):
        text = b': hello\n\ndata: {"a":1}\n\ndata: {"b":2}\n\ndata: [DONE]\n\n'
        rest = b''
        found = []
        for start in range(0, len(text), size):
            events, rest = split_events(rest + text[start : start + size])
            found.extend(events)
        assert found == [b'{"a":1}', b'{"b":2}', b'[DONE]']
        assert not rest


class TestPopEnding:
    """Events that end a stream are removed from the answer."""

    @pytest.mark.parametrize(
        ('events', 'ending', 'left'),
        [
            ([b'{"a":1}'], Ending.NONE, [b'{"a":1}']),
            ([b'{"a":1}', b'[DONE]'], Ending.DONE, [b'{"a":1}']),
            ([b'{"a":1}', b'{"error": {}}'], Ending.ERROR, [b'{"a":1}']),
            ([b'{"error": {}}', b'[DONE]'], Ending.ERROR, []),
        ],
    )
    def test_ending_is_returned_and_its_events_are_removed(self, events, ending, left):
        assert pop_ending(events) is ending
        assert events == left


class TestRenderEvents:
    """Ids are consecutive and have the attempt's tag."""

    def test_ids_are_consecutive_with_the_tag(self):
        rendered = render_events([b'a', b'b'], 4, b'.2-x')
        assert rendered == b'id: 4.2-x\ndata: a\n\nid: 5.2-x\ndata: b\n\n'
