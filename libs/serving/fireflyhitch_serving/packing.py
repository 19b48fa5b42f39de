"""Compressed values in messages between daemons."""

import zlib
from typing import Any

import cbor2

from fireflyhitch_serving.malformed import DECODE_ERRORS
from fireflyhitch_serving.peer_state import encode_value

# The fastest level: values repeat few distinct words, and it removes most of the size.
COMPRESSION_LEVEL = 1
# Many times what the largest value takes. A few bytes can unpack to a thousand times as
# many.
MAX_UNPACKED_BYTES = 16_777_216


def pack(value: object) -> bytes:
    """Encode and compress a value."""
    return zlib.compress(cbor2.dumps(value, default=encode_value), COMPRESSION_LEVEL)


def unpack(packed: bytes) -> Any:
    """Return a packed value.

    :raises ValueError: if it is malformed, or too large.
    """
    try:
        return cbor2.loads(_decompress(packed))
    except DECODE_ERRORS as error:
        raise ValueError(f'malformed message: {error!r}') from error


def _decompress(packed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    value = decompressor.decompress(packed, MAX_UNPACKED_BYTES)
    if not decompressor.eof:
        raise ValueError(f'cut off, or larger than {MAX_UNPACKED_BYTES} bytes')
    return value
