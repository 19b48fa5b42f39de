"""Moves a service's traffic to another version.

Orders and the records of begun moves are in the store; daemons exchange the results of
both versions. Each daemon evaluates them on its own and stops sending requests to an
untried version at once when the results show a fault; only the leader ends a move.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping
from itertools import chain

from loguru import logger

from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import ABSENT, DeploymentId, FencingNumber, Revision
from fireflyhitch_model.records import immutable
from fireflyhitch_platform.keyvalue import KeyValue, Written
from fireflyhitch_rollout.short_moves import (
    MoveEnd,
    MoveEvidence,
    RouteResults,
    find_end,
    find_fault,
    find_share,
)
from fireflyhitch_serving.leases import FIREFLYHITCH_PREFIX, LeaderLease
from fireflyhitch_serving.move_orders import (
    Move,
    MoveOrder,
    MoveRecord,
    decode_record,
    encode_record,
)
from fireflyhitch_serving.store import AsyncStore, Put
from fireflyhitch_serving.versions import VersionShare, VersionShares

MOVES_PREFIX = f'{FIREFLYHITCH_PREFIX}moves/'
# A withdrawal takes effect everywhere within a second or two: results are sent ten
# times a second, and evaluated this often.
CHECK_INTERVAL_SECONDS = 0.25
# An answer is slow if it takes this many times the old version's baseline; batches and
# queues delay good answers up to a factor of two.
SLOW_FACTOR = 3.0
BASELINE_WEIGHT = 0.1

# Numbers of calls, failed calls and slow calls, in this order.
Counts = list[int]


@immutable
class StatusFormat:
    """The platform's format of a move's state in the store.

    :param key: returns the key of a service's state.
    :param render: returns a state's value; the end is ``None`` while the move runs.
    """

    key: Callable[[DeploymentId], str]
    render: Callable[[MoveOrder, MoveEnd | None], bytes]


class MoveTracker:
    """All moves, the results of their versions, and the resulting traffic shares."""

    def __init__(self, shares: VersionShares, exposure_fraction: float) -> None:
        """Create a tracker without moves.

        :param exposure_fraction: fraction of the requests that an untried version may
            get.
        """
        self._shares = shares
        self._exposure_fraction = exposure_fraction
        self._moves: dict[DeploymentId, Move] = {}
        self._peer_counts: dict[str, Mapping[str, Counts]] = {}
        self._counts: dict[str, Counts] = {}
        self._baselines: dict[tuple[DeploymentId, str], float] = {}

    def services(self) -> Iterable[DeploymentId]:
        """Return the services for which a move was ordered."""
        return tuple(self._moves)

    def find(self, service: DeploymentId) -> Move:
        """Return a service's move."""
        return self._moves.setdefault(service, Move())

    def apply_order(self, order: MoveOrder, *, is_rewritten: bool = False) -> None:
        """Apply an order.

        :param is_rewritten: whether operators write what a restore has lost.
        """
        move = self.find(order.service)
        if move.apply_order(order, is_rewritten=is_rewritten):
            self._drop_counts(order.service)
            logger.bind(service=order.service, target=order.target).info('move ordered')
        self.apply(order.service)

    def apply_record(
        self, service: DeploymentId, value: bytes | None, revision: Revision
    ) -> None:
        """Apply a move's start or end from the store."""
        move = self.find(service)
        move.apply_record(None if value is None else decode_record(value), revision)
        if move.has_ended:
            self._drop_counts(service)
        self.apply(service)

    def list_known(self) -> Iterable[tuple[MoveOrder, MoveRecord]]:
        """Return the newest orders whose moves have begun, with their records."""
        for move in self._moves.values():
            if move.order is not None and move.has_begun:
                yield move.order, move.record

    def learn(
        self, order: MoveOrder, record: MoveRecord, *, is_rewritten: bool
    ) -> None:
        """Apply what a peer knows of a move.

        :param is_rewritten: whether operators write what a restore has lost.
        """
        move = self.find(order.service)
        if not move.learn(order, record, is_rewritten=is_rewritten):
            return
        logger.bind(
            service=order.service,
            target=order.target,
            end=record.end.value if record.end else None,
        ).info('move known to a peer')
        if move.has_ended:
            self._drop_counts(order.service)
        self.apply(order.service)

    def count(
        self,
        service: DeploymentId,
        version: str,
        route: str,
        *,
        failed: bool,
        seconds: float,
    ) -> None:
        """Count an answer; only for services with a move in progress."""
        move = self._moves.get(service)
        untried = move is not None and move.order and move.order.target == version
        slow = self._is_slow(
            service, route, seconds, update_baseline=not (untried or failed)
        )
        if move is None or move.order is None or move.has_ended:
            return
        key = _make_key(service, move.order, version, route)
        counts = self._counts.setdefault(key, [0, 0, 0])
        counts[0] += 1
        counts[1] += failed
        counts[2] += slow
        if untried:
            # An untried version is evaluated after each of its answers: until the next
            # check, a busy daemon would send dozens more requests to a bad one.
            self.apply(service)

    def evidence(self) -> dict[str, Counts]:
        """Return this daemon's counts, for its peers."""
        return self._counts

    def update_peer_evidence(self, process: str, counts: Mapping[str, Counts]) -> None:
        """Replace a peer process's counts; a process without any is removed."""
        if counts:
            self._peer_counts[process] = counts
        else:
            self._peer_counts.pop(process, None)

    def count_reporters(self) -> int:
        """Return the number of peer processes with counts."""
        return len(self._peer_counts)

    def sum_evidence(self, order: MoveOrder) -> MoveEvidence:
        """Return the results of all daemons for a move."""
        old: dict[str, RouteResults] = {}
        new: dict[str, RouteResults] = {}
        prefix = f'{order.service}|{order.number}|'
        all_counts = [self._counts, *self._peer_counts.values()]
        for key, numbers in chain.from_iterable(
            counts.items() for counts in all_counts
        ):
            if not key.startswith(prefix):
                continue
            _, _, version, route = key.split('|', 3)
            results = new if version == order.target else old
            results[route] = results.get(route, RouteResults()).add(
                RouteResults(*numbers)
            )
        return MoveEvidence(old, new)

    def apply(self, service: DeploymentId) -> None:
        """Set the traffic share that follows from a move's state and results."""
        move = self.find(service)
        order = move.order
        if order is None:
            return
        self._shares.put(service, VersionShare(order.target, self._find_share(move)))

    def _drop_counts(self, service: DeploymentId) -> None:
        """Remove this daemon's counts of a service, which each message carries."""
        prefix = f'{service}|'
        self._counts = {
            key: counts
            for key, counts in self._counts.items()
            if not key.startswith(prefix)
        }

    def _find_share(self, move: Move) -> float:
        order = move.order
        assert order is not None
        if not move.has_begun or move.is_withdrawn:
            return 0
        if move.record.end is not None:
            return float(move.record.end is MoveEnd.COMPLETED)
        evidence = self.sum_evidence(order)
        fault = find_fault(evidence)
        if fault is not None:
            move.withdrawn = order.number
            logger.bind(
                service=order.service, target=order.target, evidence=fault
            ).warning('version withdrawn here')
            return 0
        return find_share(evidence, self._exposure_fraction)

    def _is_slow(
        self,
        service: DeploymentId,
        route: str,
        seconds: float,
        *,
        update_baseline: bool,
    ) -> bool:
        key = (service, route)
        baseline = self._baselines.get(key)
        if baseline is None:
            if update_baseline:
                self._baselines[key] = seconds
            return False
        if update_baseline:
            self._baselines[key] = baseline + (seconds - baseline) * BASELINE_WEIGHT
        return seconds > baseline * SLOW_FACTOR


class MoveCoordinator:
    """Begins and ends moves while this daemon leads."""

    def __init__(
        self,
        tracker: MoveTracker,
        lease: LeaderLease,
        store: AsyncStore,
        status_format: StatusFormat,
        wall_clock: Callable[[], float],
        ask_peers: Callable[[], Awaitable[None]],
    ) -> None:
        """Create an idle coordinator.

        :param ask_peers: has the tracker learn what peers know of moves.
        """
        self._tracker = tracker
        self._lease = lease
        self._store = store
        self._status_format = status_format
        self._wall_clock = wall_clock
        self._ask_peers = ask_peers
        # The orders of which peers were asked, and the term in which they were.
        self._asked: dict[MoveOrder, FencingNumber] = {}

    async def run(self) -> None:
        """Apply and advance all moves until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            for service in self._tracker.services():
                self._tracker.apply(service)
                if self._lease.current_leadership() is None:
                    continue
                try:
                    await self._advance(service)
                except PlatformError as error:
                    logger.bind(service=service, error=str(error)).warning(
                        'move not recorded'
                    )

    async def _advance(self, service: DeploymentId) -> None:
        move = self._tracker.find(service)
        order = move.order
        if order is None:
            return
        await self._ask_once(order)
        if move.order != order or self._lease.current_leadership() is None:
            return
        record = move.record
        if not move.has_begun:
            record = MoveRecord(order.number, self._wall_clock())
            await self._write(move, order, record)
            return
        if not move.is_stored:
            await self._write(move, order, record)
            return
        if record.end is not None:
            return
        evidence = self._tracker.sum_evidence(order)
        end = find_end(evidence, self._wall_clock() - record.began, order.seconds)
        if move.is_withdrawn:
            end = MoveEnd.ROLLED_BACK
        if end is not None:
            await self._write(move, order, MoveRecord(order.number, record.began, end))

    async def _ask_once(self, order: MoveOrder) -> None:
        """Learn what peers know, once in a term for each order.

        A store that came back from an older copy may lack that a move has begun or ended,
        and a process that has just started knows only what the store holds.
        """
        leadership = self._lease.current_leadership()
        if leadership is None or self._asked.get(order) == leadership.term:
            return
        moves = [self._tracker.find(service) for service in self._tracker.services()]
        orders = [move.order for move in moves if move.order is not None]
        await self._ask_peers()
        self._asked = dict.fromkeys(orders, leadership.term)

    async def _write(self, move: Move, order: MoveOrder, record: MoveRecord) -> None:
        """Write record and state together, conditional on what the store holds.

        If another leader wrote in between, nothing is written, and the watch delivers
        what that leader wrote. So a move ends only once.
        """
        record_key = f'{MOVES_PREFIX}{order.service}'
        status_key = self._status_format.key(order.service)
        stored_record = await self._read(record_key)
        stored_status = await self._read(status_key)
        if move.is_stored and not _is_record(stored_record, move.record):
            return
        result = await self._store.put(
            [
                Put(record_key, encode_record(record), _find_revision(stored_record)),
                Put(
                    status_key,
                    self._status_format.render(order, record.end),
                    _find_revision(stored_status),
                ),
            ]
        )
        logger.bind(
            service=order.service,
            target=order.target,
            end=record.end.value if record.end else 'running',
            written=isinstance(result, Written),
        ).info('move recorded')
        if isinstance(result, Written):
            move.apply_record(record, result.revision)
            self._tracker.apply(order.service)

    async def _read(self, key: str) -> KeyValue | None:
        listing = await self._store.list(key)
        return next((item for item in listing.items if item.key == key), None)


def _is_record(stored: KeyValue | None, record: MoveRecord) -> bool:
    """Return whether the store holds a record; none stands for no move."""
    held = MoveRecord() if stored is None else decode_record(stored.value)
    return held == record


def _find_revision(stored: KeyValue | None) -> Revision:
    return ABSENT if stored is None else stored.revision


def _make_key(service: DeploymentId, order: MoveOrder, version: str, route: str) -> str:
    return f'{service}|{order.number}|{version}|{route}'
