"""Requests that peers hand over to this daemon."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from threading import Lock

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import DaemonId, RequestId
from fireflyhitch_model.peers import PeerMessenger
from fireflyhitch_model.states import Step
from fireflyhitch_recovery.inflight import InFlight
from fireflyhitch_recovery.locations import Locations
from fireflyhitch_recovery.messages import (
    Confirm,
    ConfirmReply,
    Location,
    Offer,
    OfferReply,
    Transfer,
    TransferReply,
    WireRequest,
    Withdraw,
)
from fireflyhitch_recovery.requests import TrackedRequest
from fireflyhitch_recovery.settings import HandOverSettings

TakeOver = Callable[[TrackedRequest], None]


@dataclass(slots=True)
class _Kept:
    request: WireRequest
    sender: DaemonId
    ask_at: float


class Reception:
    """Keeps what peers transfer, and goes on with it when told or alone.

    Bounded: what is kept and what was taken over count against one limit, and
    a peer that gets a refusal turns to the next daemon.

    :param take_over: has the daemon go on with a request; must not block.
    :param read_room: how many more streams the daemon can carry.
    """

    def __init__(
        self,
        daemon_id: DaemonId,
        messenger: PeerMessenger,
        clock: Clock,
        in_flight: InFlight,
        locations: Locations,
        take_over: TakeOver,
        read_room: Callable[[], int],
        settings: HandOverSettings,
    ) -> None:
        self._daemon_id = daemon_id
        self._clock = clock
        self._in_flight = in_flight
        self._locations = locations
        self._take_over = take_over
        self._read_room = read_room
        self._settings = settings
        self._lock = Lock()
        self._kept: dict[RequestId, _Kept] = {}
        self._taken: dict[RequestId, int] = {}
        in_flight.observe(self._release)
        messenger.handle(Offer, self._take_offer)
        messenger.handle(Transfer, self._take_transfer)
        messenger.handle(Confirm, self._take_confirm)
        messenger.handle(Withdraw, self._take_withdraw)

    def check_senders(self) -> None:
        """Go on with what a sender left unconfirmed and is not answering itself.

        Call it once a second. A sender that died after its transfer is thus
        made up for within seconds, and before its callers are told to give up.
        """
        now = self._clock.monotonic()
        overdue = self._list_overdue(now)
        for sender in {kept.sender for kept in overdue}:
            theirs = [kept for kept in overdue if kept.sender == sender]
            self._check_sender(sender, theirs)

    def list_kept(self) -> tuple[RequestId, ...]:
        """Return the requests that wait for confirmation."""
        with self._lock:
            return tuple(self._kept)

    def count_kept(self) -> int:
        """Return how many requests wait for confirmation."""
        with self._lock:
            return len(self._kept)

    def measure(self) -> int:
        """Return how many bytes kept and taken-over requests were in all."""
        with self._lock:
            return self._measure()

    def _check_sender(self, sender: DaemonId, overdue: list[_Kept]) -> None:
        request_ids = [kept.request.request_id for kept in overdue]
        answered = self._locations.ask(sender, request_ids)
        still_there = {
            location.request_id for location in answered if location.daemon_id == sender
        }
        elsewhere = self._find_elsewhere(sender, request_ids)
        for kept in overdue:
            request_id = kept.request.request_id
            if request_id in still_there:
                self._postpone(kept)
            elif request_id in elsewhere:
                self._forget((request_id,))
            else:
                logger.bind(step=Step.HAND_OVER.value, peer=sender).warning(
                    'went on without confirmation'
                )
                self._start((request_id,))

    def _find_elsewhere(
        self, sender: DaemonId, request_ids: list[RequestId]
    ) -> set[RequestId]:
        ours = (sender, self._daemon_id)
        return {
            location.request_id
            for location in self._locations.find_all(request_ids)
            if location.daemon_id not in ours
        }

    def _postpone(self, kept: _Kept) -> None:
        patience = self._settings.confirm_patience.total_seconds()
        kept.ask_at = self._clock.monotonic() + patience

    def _take_offer(self, sender: DaemonId, message: Offer) -> OfferReply:
        with self._lock:
            return OfferReply(requests=self._count_room(), size=self._measure_room())

    def _take_transfer(self, sender: DaemonId, message: Transfer) -> TransferReply:
        now = self._clock.monotonic()
        ask_at = now + self._settings.confirm_patience.total_seconds()
        with self._lock:
            accepted = tuple(
                request.request_id
                for request in message.requests
                if self._keep(_Kept(request, sender, ask_at))
            )
        return TransferReply(accepted=accepted)

    def _keep(self, kept: _Kept) -> bool:
        request = kept.request
        if request.request_id in self._kept:
            # A newer copy. A daemon that leaves meanwhile sends it elsewhere.
            has_room = self._read_room() > 0
        else:
            has_room = self._count_room() > 0 and self._measure_room() >= request.size
        if has_room:
            self._kept[request.request_id] = kept
        else:
            self._kept.pop(request.request_id, None)
        return has_room

    def _take_confirm(self, sender: DaemonId, message: Confirm) -> ConfirmReply:
        self._start(message.requests)
        answered = tuple(
            request_id
            for request_id in message.requests
            if self._in_flight.find(request_id) is not None
        )
        return ConfirmReply(requests=answered)

    def _take_withdraw(self, sender: DaemonId, message: Withdraw) -> None:
        self._forget(message.requests)

    def _start(self, request_ids: Iterable[RequestId]) -> None:
        started = []
        for request_id in request_ids:
            tracked = self._adopt(request_id)
            if tracked is not None:
                started.append(tracked)
        self._locations.publish(self._describe(tracked) for tracked in started)
        for tracked in started:
            self._take_over(tracked)

    def _adopt(self, request_id: RequestId) -> TrackedRequest | None:
        with self._lock:
            kept = self._kept.pop(request_id, None)
            if kept is None:
                return None
            request = kept.request
            held = self._in_flight.find(request_id)
            if held is not None and held.generation >= request.generation:
                return None
            self._taken[request_id] = request.size
        now = self._clock.monotonic()
        tracked = self._in_flight.register(
            request.unpack_accepted(now), request.unpack_copy(), request.generation
        )
        tracked.placement = request.placement
        return tracked

    def _describe(self, tracked: TrackedRequest) -> Location:
        return Location(
            request_id=tracked.accepted.call.request_id,
            daemon_id=self._daemon_id,
            generation=tracked.generation,
        )

    def _forget(self, request_ids: Iterable[RequestId]) -> None:
        with self._lock:
            for request_id in request_ids:
                self._kept.pop(request_id, None)

    def _release(self, request_id: RequestId) -> None:
        with self._lock:
            self._taken.pop(request_id, None)

    def _list_overdue(self, now: float) -> tuple[_Kept, ...]:
        with self._lock:
            return tuple(kept for kept in self._kept.values() if kept.ask_at <= now)

    def _count_room(self) -> int:
        # What was taken over is among the daemon's streams already.
        allowed = self._settings.max_requests - len(self._taken)
        return max(0, min(allowed, self._read_room()) - len(self._kept))

    def _measure_room(self) -> int:
        return max(0, self._settings.max_kept_bytes - self._measure())

    def _measure(self) -> int:
        kept = sum(kept.request.size for kept in self._kept.values())
        return kept + sum(self._taken.values())
