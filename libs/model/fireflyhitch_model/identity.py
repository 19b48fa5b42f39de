"""What is the same behind several ids, and what differs behind one."""

import xxhash

from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.ids import BackendServerId, ContentId, CustomerId, ProcessId


def identify_content(
    customer: CustomerId | None, method: str, target: str, body: bytes
) -> ContentId:
    """Return what a caller's request has in common with its repeats.

    :param customer: ``None`` where the caller needs no key; all such callers are one.
    :param target: path and query.
    """
    digest = xxhash.xxh3_64()
    for part in (customer or '', method, target):
        digest.update(part.encode())
        digest.update(b'\x00')
    digest.update(body)
    return ContentId(digest.hexdigest())


def identify_process(server: BackendServerId, start_time: int) -> ProcessId:
    """Return the id of a backend server's process.

    :param start_time: tells two starts of one server apart.
    """
    return ProcessId(hash_text(f'{server}/{start_time}'))
