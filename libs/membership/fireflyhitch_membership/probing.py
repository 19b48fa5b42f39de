"""Failure detection by heartbeats, and repair of state after lost messages.

Each second a daemon probes one member of its own failure domain, in an order that
covers all members in turn. Gateways also probe one daemon of another domain. Thus a
daemon sends and answers about two probes a second regardless of the fleet's size.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterable
from datetime import timedelta

from loguru import logger

from fireflyhitch_membership.exchange import Exchange
from fireflyhitch_membership.links import Links
from fireflyhitch_membership.marks import MarkTable
from fireflyhitch_membership.members import MemberTable
from fireflyhitch_membership.messages import (
    IndirectAnswer,
    IndirectProbe,
    Mark,
    MemberRecord,
    MemberStatus,
    Probe,
    ProbeAnswer,
    StateUpdate,
    SyncRequest,
)
from fireflyhitch_membership.scope import choose_gateways
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import PeerError
from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.ids import DaemonId, FailureDomainId, Incarnation
from fireflyhitch_model.peers import Daemon, PeerMessage, Scope
from fireflyhitch_model.states import Step

PERIOD_SECONDS = 1.0
# Keeps daemons that started together from probing in lockstep.
JITTER = (0.8, 1.2)
PROBE_TIMEOUT = timedelta(seconds=0.5)
INDIRECT_TIMEOUT = timedelta(seconds=1)
# One lost frame is not evidence: if one probe in ten were lost, there would be a
# suspicion every second, at a higher cost than all heartbeats.
DIRECT_PROBES = 2
SYNC_TIMEOUT = timedelta(seconds=1)
INDIRECT_HELPERS = 2
JOIN_ATTEMPTS = 3
# A longer round cannot be due to peers' timeouts: this process was paused.
PAUSE_SECONDS = 3.0
# Rounds between attempts to find lost or unknown peers while others are live.
DISCOVERY_ROUNDS = 4

Seen = tuple[Incarnation, MemberStatus]
Broadcast = Callable[[PeerMessage, Scope], None]


class Prober:
    """Runs the heartbeats of one daemon on its event loop.

    :ivar addresses: addresses (``host:port``) where daemons may be found.
    :ivar on_members_changed: called with member records that changed at this daemon.
    :ivar on_new_marks: called with marks that are new at this daemon.
    """

    def __init__(
        self,
        exchange: Exchange,
        members: MemberTable,
        marks: MarkTable,
        broadcast: Broadcast,
        clock: Clock,
    ) -> None:
        self.addresses: frozenset[str] = frozenset()
        self.on_members_changed: Callable[[tuple[MemberRecord, ...]], None] = _ignore
        self.on_new_marks: Callable[[tuple[Mark, ...]], None] = _ignore
        self._exchange = exchange
        self._members = members
        self._marks = marks
        self._broadcast = broadcast
        self._clock = clock
        self._local_turns: list[DaemonId] = []
        self._remote_turns: list[DaemonId] = []
        self._syncing: set[DaemonId] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        exchange.handle_inline(Probe.kind, self._answer_probe)
        exchange.handle_inline(StateUpdate.kind, self._apply_update)
        exchange.handle_inline(SyncRequest.kind, self._answer_sync)
        exchange.handle_async(IndirectProbe.kind, self._start_indirect)

    async def join(self, links: Links) -> None:
        """Contact a first peer, so that its soft state can be requested at once."""
        addresses = sorted(self.addresses)
        for address in random.sample(addresses, min(JOIN_ATTEMPTS, len(addresses))):
            try:
                found = await links.open_link(address)
            except PeerError:
                continue
            await self._probe(found.daemon_id)
            return

    def start(self, links: Links) -> None:
        """Start probing."""
        self._start(self._run(links))

    def publish_members(self, changed: tuple[MemberRecord, ...]) -> None:
        """Broadcast member records that changed at this daemon."""
        if not changed:
            return
        self._broadcast(StateUpdate(members=changed), Scope.FAILURE_DOMAIN)
        self.on_members_changed(changed)

    def publish_marks(self, marks: tuple[Mark, ...]) -> None:
        """Broadcast marks that were made at this daemon."""
        if not marks:
            return
        self._broadcast(StateUpdate(marks=marks), Scope.EVERYWHERE)
        self.on_new_marks(marks)

    def add_peer(self, peer: MemberRecord) -> None:
        """Add a daemon that proved the shared key on a new link."""
        self.publish_members(self._members.merge((peer,)))

    def stop(self) -> None:
        """Cancel all running tasks."""
        for task in tuple(self._tasks):
            task.cancel()

    async def _run(self, links: Links) -> None:
        rounds = 0
        while True:
            began = self._clock.monotonic()
            self._start(self._probe_local(links))
            for suspect in self._members.suspects():
                # The probe includes the suspicion, so that the daemon refutes it
                # even if the broadcast was lost.
                self._start(self._probe_suspect(suspect))
            self._start(self._probe_remote(links))
            if rounds % DISCOVERY_ROUNDS == 0 or len(self._members.live()) < 2:
                self._start(self._discover(links))
            rounds += 1
            await asyncio.sleep(PERIOD_SECONDS * random.uniform(*JITTER))
            if self._clock.monotonic() - began > PAUSE_SECONDS:
                logger.bind(step=Step.PEER.value).warning('process was paused')
                self._members.restart_suspicions()
            self.publish_members(self._members.expire())

    async def _probe_local(self, links: Links) -> None:
        own = self._members.own
        local = [
            daemon
            for daemon in self._members.live()
            if daemon.failure_domain == own.domain
        ]
        target = _next_turn(self._local_turns, local, own.daemon_id)
        if target is not None:
            await self._probe_or_suspect(target, links)

    async def _probe_remote(self, links: Links) -> None:
        own = self._members.own
        live = self._members.live()
        if own.daemon_id not in choose_gateways(own.domain, live):
            return
        remote = [daemon for daemon in live if daemon.failure_domain != own.domain]
        target = _next_turn(self._remote_turns, remote, own.daemon_id)
        if target is not None:
            await self._probe_or_suspect(target, links)

    async def _probe_or_suspect(self, target: DaemonId, links: Links) -> None:
        began = self._clock.monotonic()
        for _ in range(DIRECT_PROBES):
            if await self._probe(target):
                return
        await links.drop_if_unresponsive(target)
        if await self._probe_indirectly(target):
            return
        if self._clock.monotonic() - began > PAUSE_SECONDS:
            # This process was paused, so late answers are not evidence.
            return
        self.publish_members(self._members.suspect(target))

    async def _probe_suspect(self, target: DaemonId) -> None:
        await self._probe(target)

    async def _probe(self, target: DaemonId) -> bool:
        known = self._members.get(target)
        if known is None:
            return True
        own = self._members.own
        probe = Probe(
            me=own,
            members=self._digest_for(known),
            marks=self._marks.digest(),
            seen=(known.incarnation, known.status),
        )
        try:
            answer = await self._exchange.ask(target, probe, PROBE_TIMEOUT)
        except PeerError:
            return False
        if isinstance(answer, ProbeAnswer):
            self.publish_members(self._members.merge((answer.me,)))
            self._refute(answer.seen)
            self._compare(answer.me, answer.members, answer.marks)
        return True

    async def _probe_indirectly(self, target: DaemonId) -> bool:
        known = self._members.get(target)
        if known is None:
            return True
        helpers = [
            daemon.daemon_id
            for daemon in self._members.live()
            if daemon.daemon_id not in {target, self._members.own.daemon_id}
        ]
        chosen = random.sample(helpers, min(INDIRECT_HELPERS, len(helpers)))
        answers = await asyncio.gather(
            *(
                self._exchange.ask(one, IndirectProbe(target=known), INDIRECT_TIMEOUT)
                for one in chosen
            ),
            return_exceptions=True,
        )
        return any(isinstance(one, IndirectAnswer) and one.reached for one in answers)

    async def _start_indirect(
        self, _sender: DaemonId, request: IndirectProbe
    ) -> IndirectAnswer:
        self.publish_members(self._members.merge((request.target,)))
        reached = await self._probe(request.target.daemon_id)
        return IndirectAnswer(reached=reached)

    def _answer_probe(self, sender: DaemonId, probe: Probe) -> ProbeAnswer:
        self.publish_members(self._members.merge((probe.me,)))
        self._refute(probe.seen)
        self._compare(probe.me, probe.members, probe.marks)
        known = self._members.get(sender)
        return ProbeAnswer(
            me=self._members.own,
            members=self._digest_for(probe.me),
            marks=self._marks.digest(),
            seen=(known.incarnation, known.status) if known else None,
        )

    def _refute(self, seen: Seen | None) -> None:
        if seen is None:
            return
        incarnation, status = seen
        claim = {'incarnation': incarnation, 'status': status}
        self.publish_members(
            self._members.merge((self._members.own.model_copy(update=claim),))
        )

    def _compare(self, peer: MemberRecord, members: int, marks: int) -> None:
        same_members = members == self._digest_for(peer)
        same_marks = marks == self._marks.digest()
        if same_members and same_marks or peer.daemon_id in self._syncing:
            return
        self._syncing.add(peer.daemon_id)
        self._start(self._sync(peer, same_marks=same_marks))

    async def _sync(self, peer: MemberRecord, *, same_marks: bool) -> None:
        request = SyncRequest(
            domain=self._members.own.domain,
            members=self._members.digests(peer.domain),
            marks=() if same_marks else self._marks.bucket_digests(),
        )
        try:
            answer = await self._exchange.ask(peer.daemon_id, request, SYNC_TIMEOUT)
        except PeerError:
            return
        finally:
            self._syncing.discard(peer.daemon_id)
        if isinstance(answer, StateUpdate):
            self._apply(peer.domain, answer, rebroadcast=peer.domain != request.domain)

    def _answer_sync(self, _sender: DaemonId, request: SyncRequest) -> StateUpdate:
        return StateUpdate(
            members=self._members.differing(request.domain, request.members),
            marks=self._marks.differing(request.marks),
        )

    def _apply_update(self, sender: DaemonId, update: StateUpdate) -> None:
        known = self._members.get(sender)
        own = self._members.own
        self._apply(known.domain if known else own.domain, update, rebroadcast=False)

    def _apply(
        self, domain: FailureDomainId, update: StateUpdate, *, rebroadcast: bool
    ) -> None:
        own = self._members.own
        records = update.members
        if domain != own.domain:
            records = tuple(_downgrade_death(record, own.domain) for record in records)
        changed = self._members.merge(records)
        marks = self._marks.merge(update.marks)
        if rebroadcast and (changed or marks):
            merged = StateUpdate(members=changed, marks=marks)
            self._broadcast(merged, Scope.FAILURE_DOMAIN)
        elif own != self._members.own:
            self._broadcast(
                StateUpdate(members=(self._members.own,)), Scope.FAILURE_DOMAIN
            )
        if changed:
            self.on_members_changed(changed)
        if marks:
            self.on_new_marks(marks)

    async def _discover(self, links: Links) -> None:
        """Contact one address at which there may be a lost or unknown daemon."""
        known = {daemon.peer_address for daemon in self._members.live()}
        known.add(self._members.own.peer)
        candidates = (self.addresses | self._members.dead_addresses()) - known
        if not candidates:
            return
        try:
            found = await links.open_link(random.choice(sorted(candidates)))
        except PeerError:
            return
        await self._probe(found.daemon_id)

    def _digest_for(self, peer: MemberRecord) -> int:
        digests = self._members.digests(peer.domain)
        return hash_text(repr(sorted(digests.items())))

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _next_turn(
    turns: list[DaemonId], members: Iterable[Daemon], own_id: DaemonId
) -> DaemonId | None:
    """Return the next member in a random order that is reshuffled when exhausted."""
    ids = {daemon.daemon_id for daemon in members} - {own_id}
    while turns:
        turn = turns.pop()
        if turn in ids:
            return turn
    turns.extend(ids)
    random.shuffle(turns)
    return turns.pop() if turns else None


def _downgrade_death(record: MemberRecord, domain: FailureDomainId) -> MemberRecord:
    """Downgrade another domain's report that a local member is dead to a suspicion.

    After a partition each side has declared the other's daemons dead. Merged as is, such
    a report would briefly empty the other side's own table; a suspicion keeps its
    daemons in the table and lets them refute it.
    """
    if record.domain != domain or record.status is not MemberStatus.DEAD:
        return record
    return record.model_copy(update={'status': MemberStatus.SUSPECT})


def _ignore(_change: object) -> None:
    """Ignore a change; the default callback."""
