"""The watched head of the configuration, with the difference from the previous one.

The whole configuration is stored in a body under a separate key, which is written
first. A watcher receives about a kilobyte per change, and reads the whole
configuration only after it missed a change.
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
# Keeps the body of a head that a daemon read just before it was replaced.
MAX_BODIES = 3


@dataclass(frozen=True, slots=True)
class Body:
    """The location of a whole configuration.

    :param stored: the store revision at which it was written.
    """

    key: str
    stored: Revision


@dataclass(frozen=True, slots=True)
class Head:
    """The value of the watched key.

    :param content: a hash of the configuration's text.
    :param base: the revision to which the difference applies.
    :param base_content: a hash of that revision's text.
    :param bodies: the latest bodies, oldest first; the last one is this head's.
    """

    revision: Revision
    change_id: ChangeId
    content: int
    base: Revision
    base_content: int
    difference: bytes
    bodies: tuple[Body, ...]

    def apply_to(self, base: ConfigurationRecord) -> ConfigurationRecord | None:
        """Return the record, or ``None`` if the difference does not apply to a base."""
        if (base.revision, base.content) != (self.base, self.base_content):
            return None
        record = apply_difference(base, self.difference, self.revision, self.change_id)
        return record if record and record.content == self.content else None


def make_body_key(content: bytes, revision: Revision) -> str:
    """Return a key derived from the revision and the content's hash."""
    return f'{BODY_PREFIX}{revision}-{hash_text(base64.b64encode(content).decode()):x}'


def revision_of_body(key: str) -> Revision:
    """Return the revision in a body's key, or 0 if the key contains none."""
    number = key.removeprefix(BODY_PREFIX).split('-')[0]
    return Revision(int(number) if number.isdecimal() else 0)


def make_head(
    base: ConfigurationRecord,
    record: ConfigurationRecord,
    earlier: tuple[Body, ...],
    body: Body,
) -> Head:
    """Return the head for a change from a base to a record."""
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
    """Serialize a head in the stored format."""
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
    """Deserialize a head.

    :raises PlatformError: if the content is not a valid head.
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
