"""Hand-over of in-flight requests to peers before this daemon stops."""

from collections import deque
from collections.abc import Callable, Iterable
from datetime import timedelta
from threading import Event, Lock

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import PeerError
from fireflyhitch_model.hashing import rank_by_hash
from fireflyhitch_model.ids import DaemonId, RequestId
from fireflyhitch_model.peers import Daemon, PeerMessage, PeerMessenger
from fireflyhitch_model.states import Step
from fireflyhitch_recovery.answers import AnswerCopy, LogState
from fireflyhitch_recovery.handover_receiver import Reception, TakeOver
from fireflyhitch_recovery.inflight import InFlight, measure_request
from fireflyhitch_recovery.locations import RequestLocator
from fireflyhitch_recovery.messages import (
    CapacityQuery,
    CapacityReply,
    Confirm,
    ConfirmReply,
    Location,
    LocationUpdate,
    Transfer,
    TransferReply,
    WireRequest,
    Withdraw,
)
from fireflyhitch_recovery.requests import TrackedRequest
from fireflyhitch_recovery.settings import DEFAULT_SETTINGS, HandOverSettings
from fireflyhitch_recovery.transfer_batches import (
    HandOverReport,
    MovedRequest,
    get_request_id,
    is_active,
    is_taken_over,
    pop_batch,
)

MAX_CONFIRM_ATTEMPTS = 2


class HandOver:
    """Moves requests to peers in other failure domains, and receives theirs.

    A request is held during its transfer, so that its caller cannot have read
    more than the peer received. It is released only once the peer confirms that
    it answers the request.

    :param take_over: continues a request on this daemon; must not block.
    :param read_capacity: returns how many more streams the daemon can serve.
    """

    def __init__(
        self,
        daemon: Daemon,
        messenger: PeerMessenger,
        clock: Clock,
        in_flight: InFlight,
        take_over: TakeOver,
        read_capacity: Callable[[], int],
        settings: HandOverSettings = DEFAULT_SETTINGS,
    ) -> None:
        self._daemon = daemon
        self._messenger = messenger
        self._clock = clock
        self._in_flight = in_flight
        self._settings = settings
        self._take_over = take_over
        self.locations = RequestLocator(
            daemon.daemon_id, messenger, clock, in_flight, settings
        )
        self.handover_receiver = Reception(
            daemon.daemon_id,
            messenger,
            clock,
            in_flight,
            self.locations,
            take_over,
            read_capacity,
            settings,
        )
        self._lock = Lock()
        self._moved: dict[RequestId, MovedRequest] = {}
        self._replicas: dict[RequestId, DaemonId] = {}
        self._failed_peers: set[DaemonId] = set()
        self._leaving = False
        self._handled: set[RequestId] = set()
        in_flight.observe(self._withdraw_replica)

    def hand_over(
        self, request_ids: Iterable[RequestId], time_left: timedelta
    ) -> HandOverReport:
        """Move requests to peers in the given order; block until done.

        Call it on a dedicated thread. The engine connections of moved requests
        must stay open until the process exits, because engines cancel a stream
        whose connection closes.

        :param time_left: time limit; the rest stays here.
        """
        deadline = self._clock.monotonic() + time_left.total_seconds()
        wanted = tuple(request_ids)
        self._handled.update(wanted)
        self.announce()
        pending = deque(self._find_movable(wanted))
        moved: list[RequestId] = []
        while pending and self._clock.monotonic() < deadline:
            peer = self._choose_peer(pending)
            if peer is None:
                self._failed_peers.clear()
                self._clock.wait(Event(), self._settings.retry_interval)
                continue
            batch = pop_batch(pending, self._settings)
            done = self._move_batch(peer, batch.requests)
            moved.extend(get_request_id(tracked) for tracked in done)
            rest = [tracked for tracked in batch.requests if tracked not in done]
            pending.extendleft(reversed(list(filter(is_active, rest))))
            self._limit_send_rate(batch.size)
        left = tuple(one for one in wanted if one not in moved and self._is_active(one))
        if left:
            logger.bind(step=Step.HAND_OVER.value).warning(
                '{} requests moved, {} left on this daemon', len(moved), len(left)
            )
        return HandOverReport(tuple(moved), left)

    def replicate(self, request_ids: Iterable[RequestId]) -> tuple[RequestId, ...]:
        """Replicate requests to a peer while they finish here.

        If this daemon crashes first, the peer continues them. A replica is
        withdrawn when its request ends.

        :returns: the requests that a peer has replicas of.
        """
        self.announce()
        pending = deque(self._find_movable(request_ids))
        replicas: list[RequestId] = []
        while pending:
            peer = self._choose_peer(pending)
            if peer is None:
                break
            batch = pop_batch(pending, self._settings).requests
            copies = [(tracked, tracked.log.copy()) for tracked in batch]
            kept = self._transfer(peer, copies)
            self._record_replicas(peer, kept)
            replicas.extend(kept)
            if len(kept) < len(batch):
                self._failed_peers.add(peer)
        self._failed_peers.clear()
        self._handled.update(replicas)
        return tuple(replicas)

    def announce(self) -> None:
        """Publish the locations of this daemon's requests when it starts to leave.

        Peers no longer count a leaving daemon as live and cannot find it from
        a request's id. Without this, callers that reconnect through a peer
        would get an error that their request is lost.
        """
        self._leaving = True
        self.locations.publish(map(self._describe, self._in_flight.list()))

    def check_peers(self) -> HandOverReport:
        """Recover requests lost with a peer and refresh replicas; call it every second.

        Requests that were moved to a peer that has crashed since are handed over
        again. Replicas of requests that finish here are brought up to date.
        """
        self._replicate_new()
        self._refresh_replicas()
        live = {daemon.daemon_id for daemon in self._messenger.live()}
        with self._lock:
            suspects = [
                request_id
                for request_id, move in self._moved.items()
                if move.peer not in live and self._in_flight.find(request_id) is None
            ]
        answered = {found.request_id for found in self._find_active_elsewhere(suspects)}
        lost = [one for one in suspects if one not in answered]
        if not lost:
            return HandOverReport((), ())
        for request_id in lost:
            self._restore_moved(request_id)
        report = self.hand_over(lost, self._settings.confirm_timeout)
        for left in map(self._in_flight.find, report.left):
            if left is not None:
                self._take_over(left)
        return report

    def _replicate_new(self) -> None:
        """Replicate requests that this daemon got after it started to leave.

        A replica held for a peer becomes this daemon's request when that peer
        crashes. It was not handed over or replicated at the notice, so it would
        be lost with this daemon. A request that no peer accepted is retried.
        """
        if not self._leaving:
            return
        active = map(get_request_id, self._in_flight.list())
        late = [request_id for request_id in active if request_id not in self._handled]
        if late:
            self.replicate(late)

    def _find_movable(self, request_ids: Iterable[RequestId]) -> list[TrackedRequest]:
        found = map(self._in_flight.find, request_ids)
        return [tracked for tracked in found if tracked and self._is_movable(tracked)]

    def _is_active(self, request_id: RequestId) -> bool:
        tracked = self._in_flight.find(request_id)
        return tracked is not None and is_active(tracked)

    def _is_movable(self, tracked: TrackedRequest) -> bool:
        # A message above the size limit of a peer link breaks the link.
        fits = measure_request(tracked) <= self._settings.max_request_bytes
        return fits and tracked.finished is None

    def _choose_peer(self, pending: Iterable[TrackedRequest]) -> DaemonId | None:
        """Return the peer with the most capacity, preferably in another domain."""
        peers = [
            daemon
            for daemon in self._messenger.live()
            if daemon.daemon_id not in self._failed_peers
            and daemon.daemon_id != self._daemon.daemon_id
        ]
        own_domain = self._daemon.failure_domain
        other_domain = [
            peer.daemon_id for peer in peers if peer.failure_domain != own_domain
        ]
        same_domain = [
            peer.daemon_id for peer in peers if peer.failure_domain == own_domain
        ]
        return self._choose_by_capacity(
            other_domain, pending
        ) or self._choose_by_capacity(same_domain, pending)

    def _choose_by_capacity(
        self, candidates: list[DaemonId], pending: Iterable[TrackedRequest]
    ) -> DaemonId | None:
        """Return the peer with the most capacity, or ``None`` if all are full.

        Peers are queried until ``max_compared_peers`` of them have capacity. Each
        daemon queries in another order. Otherwise all daemons of a failure domain
        that leave together would fill the same peer first.
        """
        sizes = [len(tracked.accepted.body) for tracked in pending]
        query = CapacityQuery(requests=len(sizes), size=sum(sizes))
        best: DaemonId | None = None
        max_capacity = 0
        num_with_capacity = 0
        for candidate in rank_by_hash(self._daemon.daemon_id, candidates):
            capacity = self._request_capacity(candidate, query)
            if capacity > max_capacity:
                best, max_capacity = candidate, capacity
            num_with_capacity += capacity > 0
            if num_with_capacity >= self._settings.max_compared_peers:
                break
        return best

    def _request_capacity(self, peer: DaemonId, query: CapacityQuery) -> int:
        reply = self._ask(peer, query)
        if not isinstance(reply, CapacityReply) or not reply.size:
            return 0
        return reply.requests

    def _move_batch(
        self, peer: DaemonId, batch: list[TrackedRequest]
    ) -> list[TrackedRequest]:
        copies = [(tracked, tracked.log.hold()) for tracked in batch]
        kept = self._transfer(peer, copies)
        confirmed = self._confirm(peer, kept) if kept else ()
        done = [tracked for tracked in batch if is_taken_over(tracked, confirmed)]
        for moved in done:
            self._release(moved, peer)
        rest = [tracked for tracked in batch if tracked not in done]
        if rest:
            self._failed_peers.add(peer)
            self._keep_local(rest, peer)
        return done

    def _keep_local(self, rest: Iterable[TrackedRequest], peer: DaemonId) -> None:
        """Continue requests here that a peer did not confirm.

        The peer may have taken them over and its reply been lost. The generation
        is raised above the one it received, so that it releases them when it
        receives the new location.
        """
        for tracked in rest:
            tracked.generation += 2
            tracked.log.release_hold()
        request_ids = tuple(map(get_request_id, rest))
        self._messenger.tell(peer, Withdraw(requests=request_ids))
        locations = tuple(map(self._describe, rest))
        self._messenger.tell(peer, LocationUpdate(locations=locations))

    def _describe(self, tracked: TrackedRequest) -> Location:
        return Location(
            request_id=get_request_id(tracked),
            daemon_id=self._daemon.daemon_id,
            generation=tracked.generation,
        )

    def _transfer(
        self, peer: DaemonId, copies: list[tuple[TrackedRequest, AnswerCopy]]
    ) -> tuple[RequestId, ...]:
        now = self._clock.monotonic()
        requests = tuple(
            WireRequest.pack(tracked, copy, tracked.generation + 1, now)
            for tracked, copy in copies
        )
        reply = self._ask(peer, Transfer(requests=requests))
        return reply.accepted if isinstance(reply, TransferReply) else ()

    def _confirm(
        self, peer: DaemonId, request_ids: tuple[RequestId, ...]
    ) -> tuple[RequestId, ...]:
        for _ in range(MAX_CONFIRM_ATTEMPTS):
            reply = self._ask(peer, Confirm(requests=request_ids))
            if isinstance(reply, ConfirmReply):
                return reply.requests
        return ()

    def _release(self, tracked: TrackedRequest, peer: DaemonId) -> None:
        request_id = get_request_id(tracked)
        with self._lock:
            self._moved[request_id] = MovedRequest(tracked, peer)
            self._replicas.pop(request_id, None)
        self._in_flight.leave(tracked)
        self.locations.publish(
            (
                Location(
                    request_id=request_id,
                    daemon_id=peer,
                    generation=tracked.generation + 1,
                ),
            )
        )

    def _refresh_replicas(self) -> None:
        # With a replica whose engine stream was lost since, the peer would
        # continue from a point before what the caller has already read.
        with self._lock:
            replicas = tuple(self._replicas.items())
        for peer in sorted({holder for _, holder in replicas}):
            held = [request_id for request_id, holder in replicas if holder == peer]
            copies = [
                (tracked, tracked.log.copy())
                for tracked in self._find_movable(held)
                if tracked.log.state is LogState.OPEN
            ]
            for start in range(0, len(copies), self._settings.batch_requests):
                batch = copies[start : start + self._settings.batch_requests]
                self._replicate_rejected(batch, self._transfer(peer, batch))

    def _replicate_rejected(
        self,
        copies: list[tuple[TrackedRequest, AnswerCopy]],
        kept: tuple[RequestId, ...],
    ) -> None:
        refused = [one for one, _ in copies if get_request_id(one) not in kept]
        for tracked in refused:
            # Supersedes a replica that may remain at an unreachable peer.
            tracked.generation += 1
        if refused:
            self.replicate(map(get_request_id, refused))

    def _find_active_elsewhere(self, request_ids: list[RequestId]) -> list[Location]:
        """Return the locations that are confirmed by the daemons they name."""
        holders: dict[DaemonId, list[RequestId]] = {}
        for location in self.locations.find_all(request_ids):
            if location.daemon_id == self._daemon.daemon_id:
                continue
            holders.setdefault(location.daemon_id, []).append(location.request_id)
        answered: list[Location] = []
        for holder, held in holders.items():
            reported = self.locations.ask(holder, held)
            answered.extend(one for one in reported if one.daemon_id == holder)
        return answered

    def _restore_moved(self, request_id: RequestId) -> None:
        with self._lock:
            move = self._moved.pop(request_id)
        held = move.tracked
        recorded = self.locations.find_local(request_id)
        newest = max(recorded.generation if recorded else 0, held.generation + 1)
        # Supersedes the lost peer's copy in case that peer comes back.
        tracked = self._in_flight.register(held.accepted, held.log.hold(), newest + 1)
        tracked.placement = held.placement

    def _record_replicas(self, peer: DaemonId, kept: Iterable[RequestId]) -> None:
        with self._lock:
            self._replicas.update((request_id, peer) for request_id in kept)

    def _withdraw_replica(self, request_id: RequestId) -> None:
        with self._lock:
            peer = self._replicas.pop(request_id, None)
        if peer is not None:
            self._messenger.tell(peer, Withdraw(requests=(request_id,)))

    def _limit_send_rate(self, size: int) -> None:
        seconds = size / self._settings.bytes_per_second
        self._clock.wait(Event(), timedelta(seconds=seconds))

    def _ask(self, peer: DaemonId, message: PeerMessage) -> PeerMessage | None:
        try:
            return self._messenger.ask(peer, message, self._settings.ask_timeout)
        except PeerError as error:
            logger.bind(step=Step.HAND_OVER.value, peer=error.peer).debug(
                'no answer to {}', message.kind
            )
            self._failed_peers.add(peer)
            return None
