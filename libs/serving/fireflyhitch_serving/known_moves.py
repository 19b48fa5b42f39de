"""What peers know of moves: a leader reads it before it begins or ends any.

The store may have come back from an older copy, which lacks that a move has begun or
ended. Daemons that ran before still know; a process that starts then does not.
"""

import json
from collections.abc import Awaitable, Callable

from loguru import logger

from fireflyhitch_model.eras import make_revision
from fireflyhitch_model.external_values import (
    PARSE_ERRORS,
    check_text,
    parse_integer,
    parse_number,
)
from fireflyhitch_model.hashing import rank_by_hash
from fireflyhitch_model.ids import DeploymentId
from fireflyhitch_model.records import immutable
from fireflyhitch_platform.keyvalue import KeyValue, Listing
from fireflyhitch_serving.move_orders import MoveOrder, MoveRecord, decode_record
from fireflyhitch_serving.moves import MoveTracker
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.store_eras import EraTracker

# Of no key in the store: only peers are asked for it.
KNOWN_MOVES_PREFIX = 'fireflyhitch-known-moves/'
# Peers that a leader asks. With few daemons these are all of them; any one that ran
# before suffices.
MAX_ASKED = 20

ReadPeers = Callable[[str, list[str]], Awaitable[list[Listing]]]


@immutable
class KnownMove:
    """An order, and what is known of its move."""

    order: MoveOrder
    record: MoveRecord


class KnownMoves:
    """Tells peers of the moves that are known here, and learns of theirs."""

    def __init__(
        self,
        tracker: MoveTracker,
        eras: EraTracker,
        peers: PeerRegistry,
        read: ReadPeers,
    ) -> None:
        """Create an exchange that reads from peers with ``read``."""
        self._tracker = tracker
        self._eras = eras
        self._peers = peers
        self._read = read

    def make_listing(self) -> Listing:
        """Return what is known here, as a peer reads it."""
        revision = self._eras.floor
        items = (
            KeyValue(
                f'{KNOWN_MOVES_PREFIX}{order.service}',
                _encode(order, record),
                revision,
                revision,
            )
            for order, record in self._tracker.list_known()
        )
        return Listing(revision, tuple(items))

    async def ask_peers(self) -> None:
        """Learn what peers know; those that do not respond are left out."""
        names = self._peers.listed().keys() - {self._peers.own}
        asked = rank_by_hash(KNOWN_MOVES_PREFIX, names)[:MAX_ASKED]
        for listing in await self._read(KNOWN_MOVES_PREFIX, asked):
            for item in listing.items:
                self._learn(item)

    def _learn(self, item: KeyValue) -> None:
        known = self._decode(item)
        if known is not None:
            self._tracker.learn(
                known.order, known.record, is_rewritten=self._eras.is_recent()
            )

    def _decode(self, item: KeyValue) -> KnownMove | None:
        try:
            fields = json.loads(item.value)
            record = decode_record(item.value)
            order = MoveOrder(
                DeploymentId(item.key.removeprefix(KNOWN_MOVES_PREFIX)),
                check_text(fields['target']),
                parse_number(fields['seconds']),
                make_revision(self._eras.current, parse_integer(fields['order'])),
            )
        except PARSE_ERRORS as error:
            logger.bind(key=item.key, error=repr(error)).error('malformed known move')
            return None
        return KnownMove(order, record)


def _encode(order: MoveOrder, record: MoveRecord) -> bytes:
    """Return a move as peers read it: its record, and what was ordered."""
    fields = {
        'order': order.number,
        'began': record.began,
        'end': record.end.value if record.end else None,
        'target': order.target,
        'seconds': order.seconds,
    }
    return json.dumps(fields).encode()
