"""Estimates how much memory a request uses while it is served."""

from fireflyhitch_serving.request_heads import RequestHead

# The task, its state and its part of a server's connection.
REQUEST_BYTES = 16_000
# A body is rendered for its server, and stands in that connection's write buffer.
BODY_COPIES = 3
# Headers are kept as read and as parsed.
HEAD_COPIES = 2
# A shorter header has no list of many entries.
MIN_LIST_BYTES = 256
LIST_ENTRY_BYTES = 400


def estimate_request_bytes(head: RequestHead, body_bytes: int) -> int:
    """Return about how many bytes a request uses."""
    lists = (value for _, value in head.headers if len(value) > MIN_LIST_BYTES)
    entries = sum(value.count(b',') for value in lists)
    return (
        REQUEST_BYTES
        + HEAD_COPIES * head.held_bytes
        + LIST_ENTRY_BYTES * entries
        + BODY_COPIES * body_bytes
    )
