"""Idempotency keys of calls: scope, digest and shard."""

import hashlib
import uuid
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import NewType

from fireflyhitch_model.ids import CustomerId, DeploymentId, IdempotencyKey

KeyDigest = NewType('KeyDigest', bytes)
BodyDigest = NewType('BodyDigest', bytes)
Shard = NewType('Shard', int)

DIGEST_BYTES = 16
MAX_KEY_CHARACTERS = 255
UUID_V7 = 7
UUID_V7_TIME_SHIFT = 80
MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class CallKey:
    """An idempotency key within its scope.

    Two customers, or two services, may use the same key for different calls.
    """

    customer: CustomerId
    service: DeploymentId
    key: IdempotencyKey


def digest_key(key: CallKey) -> KeyDigest:
    """Return the digest that identifies a call in the ledger.

    The hash is cryptographic, since the caller chooses the key and a collision
    would answer one call with another's result.
    """
    parts = (key.customer, key.service, key.key)
    text = '\x00'.join(f'{len(part)}:{part}' for part in parts)
    return KeyDigest(_hash(text.encode()))


def digest_body(method: str, path: str, body: bytes) -> BodyDigest:
    """Return the digest that detects a key reused for another call."""
    return BodyDigest(_hash(method.encode(), path.encode(), body))


def choose_shard(digest: KeyDigest, shards: int) -> Shard:
    """Return the shard that stores a key."""
    return Shard(int.from_bytes(digest[:4]) % shards)


def read_key_time(key: IdempotencyKey) -> datetime | None:
    """Return the creation time of a version 7 UUID.

    :returns: ``None`` for a key that contains no time.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID_V7:
        return None
    seconds = (parsed.int >> UUID_V7_TIME_SHIFT) / MILLISECONDS
    try:
        return datetime.fromtimestamp(seconds, UTC)
    except (OverflowError, ValueError, OSError):
        return None


def _hash(*parts: bytes) -> bytes:
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        hasher.update(len(part).to_bytes(8))
        hasher.update(part)
    return hasher.digest()
