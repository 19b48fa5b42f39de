"""Moves of a service's traffic to another version, as daemons follow and lead them.

An order and the record of its begin lie in the store; answers of both versions are
told between daemons. Each daemon judges by itself and stops giving an untried version
requests at once when the evidence is against it; only the leader ends a move.
"""

import asyncio
import json
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from itertools import chain

from loguru import logger

from fireflyhitch_model.errors import PlatformError
from fireflyhitch_model.ids import ABSENT, DeploymentId, Revision
from fireflyhitch_model.records import immutable
from fireflyhitch_platform.keyvalue import Written
from fireflyhitch_rollout.short_moves import (
    MoveEnd,
    MoveEvidence,
    RouteResults,
    find_end,
    find_fault,
    find_share,
)
from fireflyhitch_serving.leases import FIREFLYHITCH_PREFIX, LeaderLease
from fireflyhitch_serving.store import AsyncStore, Put
from fireflyhitch_serving.versions import VersionShare, VersionShares

MOVES_PREFIX = f'{FIREFLYHITCH_PREFIX}moves/'
# A verdict is in force everywhere within a second or two: evidence is told ten times a
# second, and looked at this often.
LOOK_SECONDS = 0.25
# An answer this many times as late as the old version's usual one is slow; batches and
# queues make good ones up to twice as late.
SLOW_FACTOR = 3.0
USUAL_WEIGHT = 0.1

# calls, failed, slow
Counts = list[int]


@immutable
class MoveOrder:
    """An operator's order.

    :param revision: of the order in the store; a later order has a higher one.
    :param seconds: by which the move is done or taken back.
    """

    service: DeploymentId
    target: str
    seconds: float
    revision: Revision


@immutable
class StatusFormat:
    """How the platform wants a move's state to be written.

    :param key: of a service's state.
    :param render: a state's value; ``None`` while the move runs.
    """

    key: Callable[[DeploymentId], str]
    render: Callable[[MoveOrder, MoveEnd | None], bytes]


@dataclass(slots=True)
class _Record:
    """A move's begin and end, as the store has them.

    :param began: seconds since 1970.
    """

    order: Revision = ABSENT
    began: float = 0
    end: MoveEnd | None = None
    revision: Revision = ABSENT


@dataclass(slots=True)
class _Move:
    order: MoveOrder | None = None
    record: _Record = field(default_factory=_Record)
    withdrawn: Revision = ABSENT

    @property
    def has_ended(self) -> bool:
        """Tell whether the newest order has its end."""
        order = self.order
        ended = self.record.end is not None
        return ended and order is not None and self.record.order == order.revision


class MoveTracker:
    """All moves, the answers of their versions, and the shares that follow."""

    def __init__(self, shares: VersionShares, exposure_fraction: float) -> None:
        """Make a book without moves.

        :param exposure_fraction: of the requests, that an untried version may get.
        """
        self._shares = shares
        self._exposure_part = exposure_fraction
        self._moves: dict[DeploymentId, _Move] = {}
        self._told: dict[str, Mapping[str, Counts]] = {}
        self._counts: dict[str, Counts] = {}
        self._usual: dict[tuple[DeploymentId, str], float] = {}

    def services(self) -> Iterable[DeploymentId]:
        """Return the services that a move was ordered for."""
        return tuple(self._moves)

    def find(self, service: DeploymentId) -> _Move:
        """Return a service's move."""
        return self._moves.setdefault(service, _Move())

    def apply_order(self, order: MoveOrder) -> None:
        """Take in an order."""
        move = self.find(order.service)
        if move.order is None or order.revision > move.order.revision:
            move.order = order
            self._drop_counts(order.service)
            logger.bind(service=order.service, target=order.target).info('move ordered')
        self.apply(order.service)

    def apply_record(
        self, service: DeploymentId, value: bytes | None, revision: Revision
    ) -> None:
        """Take in a move's begin or end from the store."""
        move = self.find(service)
        if value is None:
            move.record = _Record()
            return
        fields = json.loads(value)
        end = MoveEnd(fields['end']) if fields['end'] else None
        move.record = _Record(fields['order'], fields['began'], end, revision)
        if move.has_ended:
            self._drop_counts(service)
        self.apply(service)

    def count(
        self,
        service: DeploymentId,
        version: str,
        route: str,
        *,
        failed: bool,
        seconds: float,
    ) -> None:
        """Count an answer; of services under a move only."""
        move = self._moves.get(service)
        untried = move is not None and move.order and move.order.target == version
        slow = self._is_slow(service, route, seconds, learn=not (untried or failed))
        if move is None or move.order is None or move.has_ended:
            return
        key = _name(service, move.order, version, route)
        counts = self._counts.setdefault(key, [0, 0, 0])
        counts[0] += 1
        counts[1] += failed
        counts[2] += slow
        if untried:
            # Judged with each of its answers: by the next look a busy daemon would
            # have given a bad version dozens more.
            self.apply(service)

    def evidence(self) -> dict[str, Counts]:
        """Return this daemon's counts, for its peers."""
        return self._counts

    def update_peer_evidence(self, process: str, counts: Mapping[str, Counts]) -> None:
        """Take in a peer's counts; none are kept of a process that has none."""
        if counts:
            self._told[process] = counts
        else:
            self._told.pop(process, None)

    def count_reporters(self) -> int:
        """Return how many peers' counts are kept."""
        return len(self._told)

    def sum_evidence(self, order: MoveOrder) -> MoveEvidence:
        """Return what all daemons saw of a move."""
        old: dict[str, RouteResults] = {}
        new: dict[str, RouteResults] = {}
        prefix = f'{order.service}|{order.revision}|'
        told = [self._counts, *self._told.values()]
        for key, numbers in chain.from_iterable(counts.items() for counts in told):
            if not key.startswith(prefix):
                continue
            _, _, version, route = key.split('|', 3)
            side = new if version == order.target else old
            side[route] = side.get(route, RouteResults()).add(RouteResults(*numbers))
        return MoveEvidence(old, new)

    def apply(self, service: DeploymentId) -> None:
        """Set the shares that a move's state and evidence stand for."""
        move = self.find(service)
        order = move.order
        if order is None:
            return
        self._shares.put(service, VersionShare(order.target, self._find_part(move)))

    def _drop_counts(self, service: DeploymentId) -> None:
        """Forget this daemon's evidence on a service, which each message carries."""
        prefix = f'{service}|'
        self._counts = {
            key: counts
            for key, counts in self._counts.items()
            if not key.startswith(prefix)
        }

    def _find_part(self, move: _Move) -> float:
        order = move.order
        assert order is not None
        record = move.record
        if record.order != order.revision or move.withdrawn == order.revision:
            return 0
        if record.end is not None:
            return float(record.end is MoveEnd.COMPLETED)
        evidence = self.sum_evidence(order)
        fault = find_fault(evidence)
        if fault is not None:
            move.withdrawn = order.revision
            logger.bind(
                service=order.service, target=order.target, evidence=fault
            ).warning('version withdrawn here')
            return 0
        return find_share(evidence, self._exposure_part)

    def _is_slow(
        self, service: DeploymentId, route: str, seconds: float, *, learn: bool
    ) -> bool:
        key = (service, route)
        usual = self._usual.get(key)
        if usual is None:
            if learn:
                self._usual[key] = seconds
            return False
        if learn:
            self._usual[key] = usual + (seconds - usual) * USUAL_WEIGHT
        return seconds > usual * SLOW_FACTOR


class MoveCoordinator:
    """Begins and ends moves while this daemon leads."""

    def __init__(
        self,
        book: MoveTracker,
        lease: LeaderLease,
        store: AsyncStore,
        form: StatusFormat,
        wall: Callable[[], float],
    ) -> None:
        """Make a leader that has done nothing."""
        self._book = book
        self._lease = lease
        self._store = store
        self._form = form
        self._wall = wall

    async def run(self) -> None:
        """Follow all moves until cancelled."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            for service in self._book.services():
                self._book.apply(service)
                if self._lease.current_leadership() is None:
                    continue
                try:
                    await self._lead(service)
                except PlatformError as error:
                    logger.bind(service=service, error=str(error)).warning(
                        'move not recorded'
                    )

    async def _lead(self, service: DeploymentId) -> None:
        move = self._book.find(service)
        order = move.order
        if order is None:
            return
        record = move.record
        if record.order != order.revision:
            await self._write(move, order, self._wall(), None)
            return
        if record.end is not None:
            return
        evidence = self._book.sum_evidence(order)
        end = find_end(evidence, self._wall() - record.began, order.seconds)
        if move.withdrawn == order.revision:
            end = MoveEnd.ROLLED_BACK
        if end is not None:
            await self._write(move, order, record.began, end)

    async def _write(
        self, move: _Move, order: MoveOrder, began: float, end: MoveEnd | None
    ) -> None:
        """Write record and state together, on the revisions that are known.

        Another leader's write in between makes this one fail, and what it wrote is
        learned from the store; so a move has one end.
        """
        status_key = self._form.key(order.service)
        listing = await self._store.list(status_key)
        known = {item.key: item.revision for item in listing.items}
        record = {
            'order': order.revision,
            'began': began,
            'end': end.value if end else None,
        }
        result = await self._store.put(
            [
                Put(
                    f'{MOVES_PREFIX}{order.service}',
                    json.dumps(record).encode(),
                    move.record.revision,
                ),
                Put(
                    status_key,
                    self._form.render(order, end),
                    known.get(status_key, ABSENT),
                ),
            ]
        )
        logger.bind(
            service=order.service,
            target=order.target,
            end=end.value if end else 'running',
            written=isinstance(result, Written),
        ).info('move recorded')
        if isinstance(result, Written):
            move.record = _Record(order.revision, began, end, result.revision)
            self._book.apply(order.service)


def _name(service: DeploymentId, order: MoveOrder, version: str, route: str) -> str:
    return f'{service}|{order.revision}|{version}|{route}'
