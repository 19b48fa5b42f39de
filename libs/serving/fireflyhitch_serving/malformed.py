"""Errors of messages and stored values that are malformed."""

import zlib

import cbor2

from fireflyhitch_model.external_values import PARSE_ERRORS

# What decoding a malformed message raises.
DECODE_ERRORS = (*PARSE_ERRORS, cbor2.CBORDecodeError, zlib.error)
