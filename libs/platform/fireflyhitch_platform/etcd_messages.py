"""Requests and answers of etcd's JSON gateway: Base64 keys, numbers as text."""

import base64
from typing import Any

from fireflyhitch_model.ids import Revision
from fireflyhitch_platform.keyvalue import KeyValue, WatchEvent

Json = dict[str, Any]
LAST_BYTE = 0xFF


def encode_key(key: str | bytes) -> str:
    """Return a key or value in Base64."""
    content = key.encode() if isinstance(key, str) else key
    return base64.b64encode(content).decode()


def decode_key(text: str) -> bytes:
    """Return a key or value from Base64."""
    return base64.b64decode(text)


def encode_range(prefix: str) -> Json:
    """Return the range of all keys with a prefix."""
    return {'key': encode_key(prefix), 'range_end': encode_key(end_of(prefix))}


def end_of(prefix: str) -> bytes:
    """Return the first key after all those with a prefix."""
    head = prefix.encode().rstrip(bytes([LAST_BYTE]))
    if not head:
        return b'\x00'
    return head[:-1] + bytes([head[-1] + 1])


def read_revision(answer: Json) -> Revision:
    """Return the store's revision of an answer."""
    return Revision(int(answer['header']['revision']))


def read_item(item: Json) -> KeyValue:
    """Return a stored value."""
    return KeyValue(
        decode_key(item['key']).decode(),
        decode_key(item.get('value', '')),
        Revision(int(item['mod_revision'])),
        Revision(int(item['create_revision'])),
    )


def read_event(event: Json) -> WatchEvent:
    """Return a change; the gateway leaves the type out for a write."""
    item = event['kv']
    key = decode_key(item['key']).decode()
    revision = Revision(int(item['mod_revision']))
    if event.get('type') == 'DELETE':
        return WatchEvent(key, None, revision)
    return WatchEvent(key, decode_key(item.get('value', '')), revision)
