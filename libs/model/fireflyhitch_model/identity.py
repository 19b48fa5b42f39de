"""Ids of request contents and of server processes."""

from collections.abc import Iterable

import xxhash

from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.ids import (
    BackendServerId,
    ContentId,
    CustomerId,
    DeploymentId,
    ProcessId,
)

PART_PREFIX = 'part-'


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


def identify_parts(
    service: DeploymentId, part_ids: Iterable[str]
) -> tuple[ContentId, ...]:
    """Return ids of the parts of a prompt, in order."""
    return tuple(
        ContentId(f'{PART_PREFIX}{position}-{hash_text(f"{service}/{part_id}"):016x}')
        for position, part_id in enumerate(part_ids)
    )


def find_part_position(content: ContentId) -> int | None:
    """Return a part's position in prompts; ``None`` for the id of a whole request."""
    if not content.startswith(PART_PREFIX):
        return None
    return int(content.removeprefix(PART_PREFIX).partition('-')[0])


def identify_process(server: BackendServerId, start_time: int) -> ProcessId:
    """Return the id of a backend server's process.

    :param start_time: distinguishes processes of the same server.
    """
    return ProcessId(hash_text(f'{server}/{start_time}'))
