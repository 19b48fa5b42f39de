"""Handing requests in progress over to peers before this daemon goes."""

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
from fireflyhitch_recovery.batches import (
    HandOverReport,
    MovedRequest,
    is_done,
    is_open,
    read_id,
    take_batch,
)
from fireflyhitch_recovery.inflight import InFlight, measure_request
from fireflyhitch_recovery.locations import Locations
from fireflyhitch_recovery.messages import (
    Confirm,
    ConfirmReply,
    Located,
    Location,
    Offer,
    OfferReply,
    Transfer,
    TransferReply,
    WireRequest,
    Withdraw,
)
from fireflyhitch_recovery.reception import Reception, TakeOver
from fireflyhitch_recovery.requests import TrackedRequest
from fireflyhitch_recovery.settings import DEFAULT_SETTINGS, HandOverSettings

CONFIRM_TRIES = 2


class HandOver:
    """Moves requests to peers in other failure domains, and takes theirs.

    A request is held while it is transferred, so that its caller cannot have
    read more than the peer was given; it is let go only once the peer says
    that it answers it.

    :param take_over: has the daemon go on with a request; must not block.
    :param read_room: how many more streams the daemon can carry.
    """

    def __init__(
        self,
        daemon: Daemon,
        messenger: PeerMessenger,
        clock: Clock,
        in_flight: InFlight,
        take_over: TakeOver,
        read_room: Callable[[], int],
        settings: HandOverSettings = DEFAULT_SETTINGS,
    ) -> None:
        self._daemon = daemon
        self._messenger = messenger
        self._clock = clock
        self._in_flight = in_flight
        self._settings = settings
        self._take_over = take_over
        self.locations = Locations(
            daemon.daemon_id, messenger, clock, in_flight, settings
        )
        self.reception = Reception(
            daemon.daemon_id,
            messenger,
            clock,
            in_flight,
            self.locations,
            take_over,
            read_room,
            settings,
        )
        self._lock = Lock()
        self._moved: dict[RequestId, MovedRequest] = {}
        self._protected: dict[RequestId, DaemonId] = {}
        self._failed: set[DaemonId] = set()
        self._leaving = False
        self._seen_to: set[RequestId] = set()
        in_flight.observe(self._withdraw_copy)

    def hand_over(
        self, request_ids: Iterable[RequestId], time_left: timedelta
    ) -> HandOverReport:
        """Move requests to peers, in the order given; blocks until done.

        Call it on a thread of its own. The engine connections of moved requests
        must stay open until the process ends, as engines cancel what is closed.

        :param time_left: after which it is given up.
        """
        ends = self._clock.monotonic() + time_left.total_seconds()
        wanted = tuple(request_ids)
        self._seen_to.update(wanted)
        self.announce()
        waiting = deque(self._find_all(wanted))
        moved: list[RequestId] = []
        while waiting and self._clock.monotonic() < ends:
            peer = self._choose_peer(waiting)
            if peer is None:
                self._failed.clear()
                self._clock.wait(Event(), self._settings.pause)
                continue
            batch = take_batch(waiting, self._settings)
            done = self._move_batch(peer, batch.requests)
            moved.extend(read_id(tracked) for tracked in done)
            rest = [tracked for tracked in batch.requests if tracked not in done]
            waiting.extendleft(reversed(list(filter(is_open, rest))))
            self._wait_for_pace(batch.size)
        left = tuple(one for one in wanted if one not in moved and self._has(one))
        if left:
            logger.bind(step=Step.HAND_OVER.value).warning(
                '{} requests moved, {} left here', len(moved), len(left)
            )
        return HandOverReport(tuple(moved), left)

    def protect(self, request_ids: Iterable[RequestId]) -> tuple[RequestId, ...]:
        """Leave copies of requests with a peer while they finish here.

        Should this daemon die before its time, the peer goes on with them. The
        copies are withdrawn as the requests end.

        :returns: the requests that a peer keeps copies of.
        """
        self.announce()
        waiting = deque(self._find_all(request_ids))
        protected: list[RequestId] = []
        while waiting:
            peer = self._choose_peer(waiting)
            if peer is None:
                break
            batch = take_batch(waiting, self._settings).requests
            copies = [(tracked, tracked.log.copy()) for tracked in batch]
            kept = self._transfer(peer, copies)
            self._note_protected(peer, kept)
            protected.extend(kept)
            if len(kept) < len(batch):
                self._failed.add(peer)
        self._failed.clear()
        self._seen_to.update(protected)
        return tuple(protected)

    def announce(self) -> None:
        """Tell where this daemon's requests are, once it is leaving.

        The others do not count a leaving daemon among the live ones, by which
        they find it from a request's id. Callers who come back through them
        would be told that their request is lost.
        """
        self._leaving = True
        self.locations.publish(map(self._describe, self._in_flight.list()))

    def check_peers(self) -> HandOverReport:
        """Mend what became of copies and moved requests, once a second.

        What went to a peer that has died since is handed over once more, and
        the copies of what is finished here are brought up to date.
        """
        self._protect_latecomers()
        self._refresh_copies()
        live = {daemon.daemon_id for daemon in self._messenger.live()}
        with self._lock:
            suspects = [
                request_id
                for request_id, move in self._moved.items()
                if move.peer not in live and self._in_flight.find(request_id) is None
            ]
        answered = {found.request_id for found in self._find_answered(suspects)}
        lost = [one for one in suspects if one not in answered]
        if not lost:
            return HandOverReport((), ())
        for request_id in lost:
            self._take_back(request_id)
        report = self.hand_over(lost, self._settings.confirm_patience)
        for left in map(self._in_flight.find, report.left):
            if left is not None:
                self._take_over(left)
        return report

    def _protect_latecomers(self) -> None:
        """Protect what became this daemon's own after it began to leave.

        A copy that it kept for a peer is its own once that peer has died. It was
        not among what was handed over or protected at the notice, and callers
        would lose it with this daemon. One that no peer took is tried again.
        """
        if not self._leaving:
            return
        active = map(read_id, self._in_flight.list())
        late = [request_id for request_id in active if request_id not in self._seen_to]
        if late:
            self.protect(late)

    def _find_all(self, request_ids: Iterable[RequestId]) -> list[TrackedRequest]:
        found = map(self._in_flight.find, request_ids)
        return [tracked for tracked in found if tracked and self._is_movable(tracked)]

    def _has(self, request_id: RequestId) -> bool:
        tracked = self._in_flight.find(request_id)
        return tracked is not None and is_open(tracked)

    def _is_movable(self, tracked: TrackedRequest) -> bool:
        # A message that is too large for a peer link would break the link.
        fits = measure_request(tracked) <= self._settings.max_request_bytes
        return fits and tracked.finished is None

    def _choose_peer(self, waiting: Iterable[TrackedRequest]) -> DaemonId | None:
        """Return the peer with the most room, in another failure domain if any."""
        peers = [
            daemon
            for daemon in self._messenger.live()
            if daemon.daemon_id not in self._failed
            and daemon.daemon_id != self._daemon.daemon_id
        ]
        ours = self._daemon.failure_domain
        far = [peer.daemon_id for peer in peers if peer.failure_domain != ours]
        near = [peer.daemon_id for peer in peers if peer.failure_domain == ours]
        return self._compare_room(far, waiting) or self._compare_room(near, waiting)

    def _compare_room(
        self, candidates: list[DaemonId], waiting: Iterable[TrackedRequest]
    ) -> DaemonId | None:
        """Ask peers for their room, until a few have some.

        Each daemon starts at another place of the list. With a failure domain
        leaving at once, all would else fill the same peer first.
        """
        sizes = [len(tracked.accepted.body) for tracked in waiting]
        offer = Offer(requests=len(sizes), size=sum(sizes))
        best: DaemonId | None = None
        most = 0
        asked = 0
        for candidate in rank_by_hash(self._daemon.daemon_id, candidates):
            room = self._ask_room(candidate, offer)
            if room > most:
                best, most = candidate, room
            asked += room > 0
            if asked >= self._settings.offers:
                break
        return best

    def _ask_room(self, peer: DaemonId, offer: Offer) -> int:
        reply = self._ask(peer, offer)
        if not isinstance(reply, OfferReply) or not reply.size:
            return 0
        return reply.requests

    def _move_batch(
        self, peer: DaemonId, batch: list[TrackedRequest]
    ) -> list[TrackedRequest]:
        copies = [(tracked, tracked.log.hold()) for tracked in batch]
        kept = self._transfer(peer, copies)
        taken = self._confirm(peer, kept) if kept else ()
        done = [tracked for tracked in batch if is_done(tracked, taken)]
        for moved in done:
            self._let_go(moved, peer)
        rest = [tracked for tracked in batch if tracked not in done]
        if rest:
            self._failed.add(peer)
            self._keep_here(rest, peer)
        return done

    def _keep_here(self, rest: Iterable[TrackedRequest], peer: DaemonId) -> None:
        """Go on with requests that a peer did not say it took.

        It may have taken them, with its answer lost. The generation goes above
        the one it was given, so that it lets go once it hears of it.
        """
        for tracked in rest:
            tracked.generation += 2
            tracked.log.lift()
        request_ids = tuple(map(read_id, rest))
        self._messenger.tell(peer, Withdraw(requests=request_ids))
        locations = tuple(map(self._describe, rest))
        self._messenger.tell(peer, Located(locations=locations))

    def _describe(self, tracked: TrackedRequest) -> Location:
        return Location(
            request_id=read_id(tracked),
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
        for _ in range(CONFIRM_TRIES):
            reply = self._ask(peer, Confirm(requests=request_ids))
            if isinstance(reply, ConfirmReply):
                return reply.requests
        return ()

    def _let_go(self, tracked: TrackedRequest, peer: DaemonId) -> None:
        request_id = read_id(tracked)
        with self._lock:
            self._moved[request_id] = MovedRequest(tracked, peer)
            self._protected.pop(request_id, None)
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

    def _refresh_copies(self) -> None:
        # A copy that names an engine's stream which was lost meanwhile would
        # have the peer go on from further back than the caller has read.
        with self._lock:
            protected = tuple(self._protected.items())
        for peer in sorted({holder for _, holder in protected}):
            held = [request_id for request_id, holder in protected if holder == peer]
            copies = [
                (tracked, tracked.log.copy())
                for tracked in self._find_all(held)
                if tracked.log.state is LogState.OPEN
            ]
            for start in range(0, len(copies), self._settings.batch_requests):
                batch = copies[start : start + self._settings.batch_requests]
                self._protect_elsewhere(batch, self._transfer(peer, batch))

    def _protect_elsewhere(
        self,
        copies: list[tuple[TrackedRequest, AnswerCopy]],
        kept: tuple[RequestId, ...],
    ) -> None:
        refused = [one for one, _ in copies if read_id(one) not in kept]
        for tracked in refused:
            # Above the copy that may be left at a peer out of reach.
            tracked.generation += 1
        if refused:
            self.protect(map(read_id, refused))

    def _find_answered(self, request_ids: list[RequestId]) -> list[Location]:
        """Return where requests are, by the word of who answers them."""
        holders: dict[DaemonId, list[RequestId]] = {}
        for location in self.locations.find_all(request_ids):
            if location.daemon_id == self._daemon.daemon_id:
                continue
            holders.setdefault(location.daemon_id, []).append(location.request_id)
        answered: list[Location] = []
        for holder, held in holders.items():
            said = self.locations.ask(holder, held)
            answered.extend(one for one in said if one.daemon_id == holder)
        return answered

    def _take_back(self, request_id: RequestId) -> None:
        with self._lock:
            move = self._moved.pop(request_id)
        held = move.tracked
        known = self.locations.find_here(request_id)
        newest = max(known.generation if known else 0, held.generation + 1)
        # Above what the lost peer had, so that its copy loses if it comes back.
        tracked = self._in_flight.register(held.accepted, held.log.hold(), newest + 1)
        tracked.placement = held.placement

    def _note_protected(self, peer: DaemonId, kept: Iterable[RequestId]) -> None:
        with self._lock:
            self._protected.update((request_id, peer) for request_id in kept)

    def _withdraw_copy(self, request_id: RequestId) -> None:
        with self._lock:
            peer = self._protected.pop(request_id, None)
        if peer is not None:
            self._messenger.tell(peer, Withdraw(requests=(request_id,)))

    def _wait_for_pace(self, size: int) -> None:
        seconds = size / self._settings.bytes_per_second
        self._clock.wait(Event(), timedelta(seconds=seconds))

    def _ask(self, peer: DaemonId, message: PeerMessage) -> PeerMessage | None:
        try:
            return self._messenger.ask(peer, message, self._settings.ask_patience)
        except PeerError as error:
            logger.bind(step=Step.HAND_OVER.value, peer=error.peer).debug(
                'no answer to {}', message.kind
            )
            self._failed.add(peer)
            return None
