"""The head that is watched: small, with the difference from the one before.

The whole configuration lies beside it, under a key of its own that is written
first. A watcher of every change then receives a kilobyte each, and reads the
whole only when it has missed one.
"""

import base64
import json
from dataclasses import dataclass

from fireflyhitch_membership.records import (
    DECODE_ERRORS,
    ConfigurationRecord,
    apply_difference,
    pack_difference,
    write_canonical,
)
from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.ids import ChangeId, Revision
from fireflyhitch_model.states import Step

HEAD_FORMAT = 1
BODY_PREFIX = 'fireflyhitch/configuration.bodies/'
# A daemon that read a head just before it was replaced still finds its body.
MAX_BODIES = 3


@dataclass(frozen=True, slots=True)
class Body:
    """Where a whole configuration lies.

    :param stored: the store's revision at which it was written.
    """

    key: str
    stored: Revision


@dataclass(frozen=True, slots=True)
class Head:
    """What is in the watched key.

    :param content: a hash over the configuration's text.
    :param base: the revision that the difference starts from.
    :param bodies: the last bodies, oldest first; the last one is this head's.
    """

    revision: Revision
    change_id: ChangeId
    content: int
    base: Revision
    base_content: int
    difference: bytes
    bodies: tuple[Body, ...]

    def apply_to(self, base: ConfigurationRecord) -> ConfigurationRecord | None:
        """Return the record if the difference leads there from a base."""
        if (base.revision, base.content) != (self.base, self.base_content):
            return None
        record = apply_difference(base, self.difference, self.revision, self.change_id)
        return record if record and record.content == self.content else None


def name_body(content: bytes, revision: Revision) -> str:
    """Return a key that is the same only for the same content."""
    return f'{BODY_PREFIX}{revision}-{hash_text(base64.b64encode(content).decode()):x}'


def revision_of_body(key: str) -> Revision:
    """Return the revision that a body's key names, or 0 if it names none."""
    number = key.removeprefix(BODY_PREFIX).split('-')[0]
    return Revision(int(number) if number.isdecimal() else 0)


def make_head(
    base: ConfigurationRecord,
    record: ConfigurationRecord,
    earlier: tuple[Body, ...],
    body: Body,
) -> Head:
    """Return the head of a change."""
    return Head(
        record.revision,
        record.change_id,
        record.content,
        base.revision,
        base.content,
        pack_difference(base, record),
        (*earlier, body)[-MAX_BODIES:],
    )


def pack_head(head: Head) -> bytes:
    """Return a head as it is stored."""
    document = {
        'format': HEAD_FORMAT,
        'revision': head.revision,
        'change_id': head.change_id,
        'content': head.content,
        'base': [head.base, head.base_content],
        'difference': base64.b64encode(head.difference).decode(),
        'bodies': [[body.key, body.stored] for body in head.bodies],
    }
    return write_canonical(document).encode()


def unpack_head(content: bytes, peer: str) -> Head:
    """Read a head.

    :raises PlatformError: if it is none.
    """
    try:
        document = json.loads(content)
        return Head(
            Revision(int(document['revision'])),
            ChangeId(str(document['change_id'])),
            int(document['content']),
            Revision(int(document['base'][0])),
            int(document['base'][1]),
            base64.b64decode(document['difference']),
            tuple(Body(str(key), Revision(at)) for key, at in document['bodies']),
        )
    except DECODE_ERRORS as error:
        raise PlatformError(
            'unreadable configuration head', step=Step.CONFIGURE, peer=peer
        ) from error
