"""Message encoding of etcd's JSON gateway: Base64 keys, numbers as strings."""

import base64
from typing import Any

from fireflyhitch_model.ids import Revision
from fireflyhitch_platform.keyvalue import KeyValue, WatchEvent

Json = dict[str, Any]
LAST_BYTE = 0xFF


def encode_key(key: str | bytes) -> str:
    """Encode a key or value in Base64."""
    content = key.encode() if isinstance(key, str) else key
    return base64.b64encode(content).decode()


def decode_key(text: str) -> bytes:
    """Decode a key or value from Base64."""
    return base64.b64decode(text)


def encode_range(prefix: str) -> Json:
    """Return the request fields for all keys with a prefix."""
    return {'key': encode_key(prefix), 'range_end': encode_key(find_range_end(prefix))}


def find_range_end(prefix: str) -> bytes:
    """Return the first key after all keys with a prefix."""
    head = prefix.encode().rstrip(bytes([LAST_BYTE]))
    if not head:
        return b'\x00'
    return head[:-1] + bytes([head[-1] + 1])


def read_revision(answer: Json) -> Revision:
    """Read the store's revision from a response."""
    return Revision(int(answer['header']['revision']))


def read_item(item: Json) -> KeyValue:
    """Convert a key-value item."""
    return KeyValue(
        decode_key(item['key']).decode(),
        decode_key(item.get('value', '')),
        Revision(int(item['mod_revision'])),
        Revision(int(item['create_revision'])),
    )


def read_event(event: Json) -> WatchEvent:
    """Convert a watch event; the gateway omits the type of a write."""
    item = event['kv']
    key = decode_key(item['key']).decode()
    revision = Revision(int(item['mod_revision']))
    if event.get('type') == 'DELETE':
        return WatchEvent(key, None, revision)
    return WatchEvent(key, decode_key(item.get('value', '')), revision)
