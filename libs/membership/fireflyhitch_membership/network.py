"""Thread-safe facade over peer links and membership."""

import asyncio
import threading
from collections.abc import Callable, Coroutine
from contextlib import suppress
from datetime import timedelta
from functools import partial
from typing import Any, TypeVar

import cbor2

from fireflyhitch_membership.broadcasting import Broadcaster
from fireflyhitch_membership.exchange import Exchange
from fireflyhitch_membership.links import LinkCounts, LinkHooks, LinkOptions, Links
from fireflyhitch_membership.marks import MarkTable
from fireflyhitch_membership.members import MemberTable
from fireflyhitch_membership.messages import (
    Mark,
    MarkKind,
    MemberRecord,
    StateUpdate,
)
from fireflyhitch_membership.probing import Prober
from fireflyhitch_membership.snapshots import Section
from fireflyhitch_membership.wire import encode_body
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import PeerError
from fireflyhitch_model.ids import (
    DaemonId,
    DeploymentId,
    FailureDomainId,
    Incarnation,
    InstanceId,
    VersionId,
)
from fireflyhitch_model.instances import InstanceListing
from fireflyhitch_model.peers import Daemon, Handler, PeerMessage, Scope, SomeMessage
from fireflyhitch_model.states import InstanceRole, InstanceState, Step

START_SECONDS = 5
STOP_SECONDS = 10
JOIN_SECONDS = 1.5
# Lets the loop's own timeout expire first.
ASK_GRACE_SECONDS = 1
# The low bits of a message number count the messages of one process; the high bits
# hold its start time.
EPOCH_BITS = 32
# The mark number of withdrawn versions, which have no incarnations.
WITHDRAWN = 1

Result = TypeVar('Result')


class PeerNetwork:
    """Implements ``PeerMessenger`` on one thread that runs an event loop.

    :param daemon: the local daemon; its ``peer_address`` is replaced by the
        listener's actual address.
    """

    def __init__(self, daemon: Daemon, options: LinkOptions, clock: Clock) -> None:
        self._options = options
        self._members = MemberTable(daemon, clock)
        self._marks = MarkTable()
        self._exchange = Exchange()
        epoch = int(clock.now().timestamp())
        self._broadcaster = Broadcaster(
            self._exchange, self._members, epoch << EPOCH_BITS
        )
        self._prober = Prober(
            self._exchange,
            self._members,
            self._marks,
            self._broadcaster.broadcast,
            clock,
        )
        self._prober.on_members_changed = self._notify_members
        self._prober.on_new_marks = self._notify_marks
        self._prober.addresses = frozenset(options.seeds)
        hooks = LinkHooks(
            lambda: self._members.own,
            self._members.get,
            self._prober.add_peer,
            self._exchange.receive,
        )
        self._links = Links(options, hooks)
        self._exchange.attach(self._links)
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, name='peers', daemon=True)
        self._member_callbacks: list[Callable[[], None]] = []
        self._mark_callbacks: list[Callable[[tuple[Mark, ...]], None]] = []

    @property
    def address(self) -> str:
        """Return ``host:port`` of the listener; valid after ``start``."""
        return self._members.own.peer

    @property
    def daemon(self) -> Daemon:
        """Return this daemon as seen by peers."""
        return self._members.own.as_daemon()

    @property
    def counts(self) -> LinkCounts:
        """Return the links' traffic since the start."""
        return self._links.counts

    def start(self) -> None:
        """Start the thread and the listener; return once peers can connect.

        A peer that is reachable immediately is in the member table by then.
        """
        self._thread.start()
        port = self._call(self._links.listen(), START_SECONDS)
        self._members.set_address(f'{self._options.host}:{port}')
        self._call(self._join(), START_SECONDS)
        self._loop.call_soon_threadsafe(self._prober.start, self._links)

    def stop(self) -> None:
        """Close all links and stop the thread, if it was started."""
        if not self._thread.is_alive():
            return
        try:
            self._call(self._close(), STOP_SECONDS)
        finally:
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join(STOP_SECONDS)

    def live(self) -> tuple[Daemon, ...]:
        """Return the daemons considered alive and not leaving, including this one."""
        return self._members.live()

    def tell(self, peer: DaemonId, message: PeerMessage) -> None:
        """Send a message without answer; it is dropped if the peer's queue is full."""
        self._loop.call_soon_threadsafe(self._exchange.tell, peer, message)

    def broadcast(self, message: PeerMessage, scope: Scope) -> None:
        """Send a message to all other daemons of the scope, without answers."""
        self._loop.call_soon_threadsafe(self._broadcaster.broadcast, message, scope)

    def ask(
        self, peer: DaemonId, message: PeerMessage, timeout: timedelta
    ) -> PeerMessage:
        """Send a message and wait for the answer; must not be called on the loop.

        :raises PeerError: if the peer is unreachable or does not answer in time.
        """
        seconds = timeout.total_seconds() + ASK_GRACE_SECONDS
        return self._call(self._exchange.ask(peer, message, timeout), seconds)

    def handle(self, kind: type[SomeMessage], handler: Handler[SomeMessage]) -> None:
        """Register a handler for a kind of message, to be called in a pool thread.

        The handler returns the answer. Handlers may ask other peers, but occupy one of
        few threads while they wait.
        """
        self._exchange.handle(kind.kind, handler)

    def announce_leaving(self) -> None:
        """Broadcast that this daemon is leaving; this cannot be reverted."""
        record = self._members.leave()
        update = StateUpdate(members=(record,))
        self._loop.call_soon_threadsafe(
            self._broadcaster.broadcast, update, Scope.EVERYWHERE
        )

    def mark_leaving(self, instance: InstanceId, incarnation: Incarnation) -> None:
        """Mark an instance as leaving up to an incarnation, and broadcast the mark."""
        mark = Mark(kind=MarkKind.LEAVING, key=instance, number=incarnation)
        self._add_marks((mark,))

    def is_leaving(self, instance: InstanceId, incarnation: Incarnation) -> bool:
        """Return whether an instance is marked as leaving; a dictionary lookup."""
        return incarnation <= self._marks.number_of(MarkKind.LEAVING, instance)

    def leaving(self) -> dict[InstanceId, Incarnation]:
        """Return the leaving instances with their highest marked incarnations."""
        marks = self._marks.all_of(MarkKind.LEAVING)
        return {InstanceId(key): Incarnation(number) for key, number in marks.items()}

    def mark_withdrawn(self, deployment: DeploymentId, version: VersionId) -> None:
        """Mark a version as withdrawn for good, and broadcast the mark."""
        key = f'{deployment}/{version}'
        self._add_marks((Mark(kind=MarkKind.WITHDRAWN, key=key, number=WITHDRAWN),))

    def is_withdrawn(self, deployment: DeploymentId, version: VersionId) -> bool:
        """Return whether a version is withdrawn; a dictionary lookup."""
        key = f'{deployment}/{version}'
        return self._marks.number_of(MarkKind.WITHDRAWN, key) > 0

    def withdrawn(self) -> frozenset[tuple[DeploymentId, VersionId]]:
        """Return the withdrawn versions."""
        pairs = (key.split('/', 1) for key in self._marks.all_of(MarkKind.WITHDRAWN))
        return frozenset((DeploymentId(one), VersionId(other)) for one, other in pairs)

    def update_instance_list(self, listing: InstanceListing) -> None:
        """Apply the instance list: contact entry instances, mark leaving ones.

        An instance listed as live stays marked: the list lags, and only a higher
        incarnation of the instance is free of the mark.
        """
        entries = {
            one.address
            for one in listing.instances
            if one.role is InstanceRole.ENTRY and one.state is InstanceState.LIVE
        }
        self._prober.addresses = frozenset(entries.union(self._options.seeds))
        marks = [
            Mark(kind=MarkKind.LEAVING, key=one.instance_id, number=one.incarnation)
            for one in listing.instances
            if one.state is InstanceState.LEAVING
        ]
        self._add_marks(marks)

    def on_members(self, callback: Callable[[], None]) -> None:
        """Register a callback to be called in a pool thread when ``live()`` changes."""
        self._member_callbacks.append(callback)

    def on_marks(self, callback: Callable[[tuple[Mark, ...]], None]) -> None:
        """Register a callback to be called in a pool thread with new marks."""
        self._mark_callbacks.append(callback)

    def unreachable_domains(self) -> frozenset[FailureDomainId]:
        """Return the failure domains of which no daemon is considered alive."""
        alive = {daemon.failure_domain for daemon in self._members.live()}
        return frozenset(self._members.domains() - alive)

    def snapshot_section(self) -> Section:
        """Return the snapshot section for members and marks."""
        return Section('members', self._produce_snapshot, self._merge_snapshot)

    def _produce_snapshot(self) -> bytes:
        records = tuple(self._members.serving())
        return encode_body(StateUpdate(members=records, marks=self._marks.all()))

    def _merge_snapshot(self, content: bytes) -> None:
        update = StateUpdate.model_validate(cbor2.loads(content))
        changed = self._members.merge(update.members)
        marks = self._marks.merge(update.marks)
        self._loop.call_soon_threadsafe(self._notify_members, changed)
        self._loop.call_soon_threadsafe(self._notify_marks, marks)

    def _add_marks(self, marks: list[Mark] | tuple[Mark, ...]) -> None:
        new_marks = self._marks.merge(marks)
        if new_marks:
            self._loop.call_soon_threadsafe(self._prober.publish_marks, new_marks)

    def _notify_members(self, _changed: tuple[MemberRecord, ...]) -> None:
        for callback in tuple(self._member_callbacks):
            self._exchange.run(callback)

    def _notify_marks(self, marks: tuple[Mark, ...]) -> None:
        for callback in tuple(self._mark_callbacks):
            self._exchange.run(partial(callback, marks))

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()
        self._loop.run_until_complete(self._loop.shutdown_asyncgens())
        self._loop.close()

    async def _join(self) -> None:
        # Without a reachable peer the daemon starts anyway and keeps searching.
        with suppress(TimeoutError):
            async with asyncio.timeout(JOIN_SECONDS):
                await self._prober.join(self._links)

    async def _close(self) -> None:
        self._prober.stop()
        await self._links.close()
        self._exchange.close()

    def _call(self, work: Coroutine[Any, Any, Result], seconds: float) -> Result:
        if threading.current_thread() is self._thread or not self._thread.is_alive():
            work.close()
            raise PeerError('no waiting on this thread', step=Step.PEER)
        waiting = asyncio.run_coroutine_threadsafe(work, self._loop)
        try:
            return waiting.result(seconds)
        except TimeoutError as error:
            waiting.cancel()
            raise PeerError('peer links are stuck', step=Step.PEER) from error
