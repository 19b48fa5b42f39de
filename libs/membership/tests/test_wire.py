"""Tests of frames: what is decoded, ignored and rejected."""

import cbor2
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from fireflyhitch_membership.messages import (
    Mark,
    MarkKind,
    SnapshotRequest,
    StateUpdate,
)
from fireflyhitch_membership.wire import (
    WIRE_VERSION,
    UnknownKindError,
    decode,
    encode,
    read_message,
)
from fireflyhitch_model.errors import PeerError


class TestFrames:
    """Frames of other releases and malformed frames."""

    def test_round_trip_keeps_message_and_request_number(self):
        mark = Mark(kind=MarkKind.LEAVING, key='i', number=1)
        frame = decode(encode(StateUpdate(marks=(mark,)), ask=7), 'peer')
        assert frame.ask == 7
        assert read_message(frame.kind, frame.body, 'p') == StateUpdate(marks=(mark,))

    def test_fields_and_elements_of_a_later_release_are_ignored(self):
        body = {'sections': ['a'], 'of_a_later_release': {'x': 1}}
        sent = cbor2.dumps([WIRE_VERSION, 'snapshot-request', 1, None, body, 'more'])
        frame = decode(sent, 'peer')
        message = read_message(frame.kind, frame.body, 'peer')
        assert message == SnapshotRequest(sections=('a',))

    def test_kind_of_a_later_release_is_unknown(self):
        with pytest.raises(UnknownKindError):
            read_message('of-a-later-release', {}, 'peer')

    @pytest.mark.parametrize(
        'sent', [[WIRE_VERSION + 1, 'probe', 1, None, {}], [1], {}, 'x']
    )
    def test_malformed_frames_are_rejected(self, sent):
        with pytest.raises(PeerError):
            decode(cbor2.dumps(sent), 'peer')

    @settings(
        derandomize=True,
        max_examples=200,
        deadline=None,
        suppress_health_check=(HealthCheck.too_slow,),
    )
    @given(sent=st.binary(max_size=40))
    def test_arbitrary_bytes_are_decoded_or_rejected(self, sent):
        try:
            decode(sent, 'peer')
        except PeerError as error:
            assert error.peer == 'peer'

    def test_oversized_message_is_rejected(self):
        with pytest.raises(PeerError):
            encode(SnapshotRequest(sections=('x' * 2_000_000,)))
