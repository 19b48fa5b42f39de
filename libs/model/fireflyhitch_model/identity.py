"""Ids of request contents and of server processes."""

import xxhash

from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.ids import BackendServerId, ContentId, CustomerId, ProcessId


def identify_content(
    customer: CustomerId | None, method: str, target: str, body: bytes
) -> ContentId:
    """Return an id that is the same for all repeats of a caller's request.

    :param customer: ``None`` if no API key is required; all such callers count as one.
    :param target: path and query string.
    """
    digest = xxhash.xxh3_64()
    for part in (customer or '', method, target):
        digest.update(part.encode())
        digest.update(b'\x00')
    digest.update(body)
    return ContentId(digest.hexdigest())


def identify_process(server: BackendServerId, start_time: int) -> ProcessId:
    """Return the id of a backend server's process.

    :param start_time: distinguishes processes of the same server.
    """
    return ProcessId(hash_text(f'{server}/{start_time}'))
