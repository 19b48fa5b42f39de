"""Which requests are the same one, sent again under another id."""

import xxhash

from fireflyhitch_model.ids import ContentId, CustomerId


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
