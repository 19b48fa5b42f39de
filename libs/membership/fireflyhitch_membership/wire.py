"""Frames between daemons: versioned CBOR arrays of limited size."""

from dataclasses import dataclass
from enum import Enum
from typing import Any

import cbor2
from pydantic import ValidationError

from fireflyhitch_model.errors import PeerError
from fireflyhitch_model.peers import PeerMessage
from fireflyhitch_model.states import Step

# Increased only if the previous release can no longer decode a frame.
WIRE_VERSION = 1
# The largest value of the store, plus room for an envelope.
MAX_FRAME_BYTES = 1310720
# Version, kind, request number, number of the answered request, body. Additional
# elements of a later release are ignored.
FRAME_ELEMENTS = 5


@dataclass(frozen=True, slots=True)
class Frame:
    """A message with the numbers that match an answer to its request.

    :param ask: the sender's request number, if it expects an answer.
    :param answers: the receiver's number of the request that this answers.
    """

    kind: str
    body: dict[str, Any]
    ask: int | None = None
    answers: int | None = None


class UnknownKindError(PeerError):
    """A peer sent a kind of message that this release does not have."""


def encode(
    message: PeerMessage, ask: int | None = None, answers: int | None = None
) -> bytes:
    """Encode a message as a frame.

    :raises PeerError: if it exceeds the size limit of a frame.
    """
    body = message.model_dump(mode='python')
    frame = cbor2.dumps(
        [WIRE_VERSION, message.kind, ask, answers, body], default=_encode_enum
    )
    if len(frame) > MAX_FRAME_BYTES:
        raise PeerError(f'{message.kind} of {len(frame)} bytes', step=Step.PEER)
    return frame


def encode_body(message: PeerMessage) -> bytes:
    """Encode a message's fields alone, to be enclosed in another message."""
    return cbor2.dumps(message.model_dump(mode='python'), default=_encode_enum)


def decode(frame: bytes, peer: str) -> Frame:
    """Decode a frame.

    :raises PeerError: if it is malformed or of another version.
    """
    try:
        elements = cbor2.loads(frame)
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        raise PeerError('unreadable frame', step=Step.PEER, peer=peer) from error
    if not isinstance(elements, list) or len(elements) < FRAME_ELEMENTS:
        raise PeerError('unreadable frame', step=Step.PEER, peer=peer)
    version, kind, *numbers = elements[: FRAME_ELEMENTS - 1]
    body = elements[FRAME_ELEMENTS - 1]
    if version != WIRE_VERSION:
        raise PeerError(f'wire version {version}', step=Step.PEER, peer=peer)
    if not isinstance(kind, str) or not isinstance(body, dict):
        raise PeerError('unreadable frame', step=Step.PEER, peer=peer)
    return Frame(kind, body, *numbers)


def read_message(kind: str, body: dict[str, Any] | bytes, peer: str) -> PeerMessage:
    """Decode a typed message from its kind and fields.

    :raises UnknownKindError: if this release does not have the kind.
    :raises PeerError: if the fields are invalid for the kind.
    """
    message_class = find_kind(kind)
    if message_class is None:
        raise UnknownKindError(f'unknown kind {kind}', step=Step.PEER, peer=peer)
    try:
        fields = cbor2.loads(body) if isinstance(body, bytes) else body
        return message_class.model_validate(fields)
    except (ValidationError, cbor2.CBORDecodeError, ValueError) as error:
        raise PeerError(f'unreadable {kind}', step=Step.PEER, peer=peer) from error


def find_kind(kind: str) -> type[PeerMessage] | None:
    """Return the message class of a kind, or ``None`` if there is none."""
    if kind not in _kinds:
        # Other libraries define their messages after this module is loaded.
        _kinds.update((one.kind, one) for one in _collect_kinds())
    return _kinds.get(kind)


_kinds: dict[str, type[PeerMessage]] = {}


def _collect_kinds() -> list[type[PeerMessage]]:
    found: list[type[PeerMessage]] = []
    pending = list(PeerMessage.__subclasses__())
    while pending:
        one = pending.pop()
        pending.extend(one.__subclasses__())
        if hasattr(one, 'kind'):
            found.append(one)
    return found


def _encode_enum(encoder: cbor2.CBOREncoder, value: object) -> None:
    if not isinstance(value, Enum):
        raise cbor2.CBOREncodeTypeError(f'cannot encode {type(value).__name__}')
    encoder.encode(value.value)
