"""Receiver for requests that peers hand over to this daemon."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from threading import Lock

from loguru import logger

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import DaemonId, RequestId
from fireflyhitch_model.peers import PeerMessenger
from fireflyhitch_model.states import Step
from fireflyhitch_recovery.inflight import InFlight
from fireflyhitch_recovery.locations import RequestLocator
from fireflyhitch_recovery.messages import (
    CapacityQuery,
    CapacityReply,
    Confirm,
    ConfirmReply,
    Location,
    Transfer,
    TransferReply,
    WireRequest,
    Withdraw,
)
from fireflyhitch_recovery.requests import TrackedRequest
from fireflyhitch_recovery.settings import HandOverSettings

TakeOver = Callable[[TrackedRequest], None]


@dataclass(slots=True)
class _UnconfirmedRequest:
    request: WireRequest
    sender: DaemonId
    check_at: float


class Reception:
    """Stores transferred requests and continues them once they are confirmed.

    It also continues them if their sender is gone. Stored and taken-over
    requests count against the same limits; a peer that is refused tries the
    next daemon.

    :param take_over: continues a request on this daemon; must not block.
    :param read_capacity: returns how many more streams the daemon can serve.
    """

    def __init__(
        self,
        daemon_id: DaemonId,
        messenger: PeerMessenger,
        clock: Clock,
        in_flight: InFlight,
        locations: RequestLocator,
        take_over: TakeOver,
        read_capacity: Callable[[], int],
        settings: HandOverSettings,
    ) -> None:
        self._daemon_id = daemon_id
        self._clock = clock
        self._in_flight = in_flight
        self._locations = locations
        self._take_over = take_over
        self._read_capacity = read_capacity
        self._settings = settings
        self._lock = Lock()
        self._unconfirmed: dict[RequestId, _UnconfirmedRequest] = {}
        self._taken_over: dict[RequestId, int] = {}
        in_flight.observe(self._release)
        messenger.handle(CapacityQuery, self._handle_capacity_query)
        messenger.handle(Transfer, self._handle_transfer)
        messenger.handle(Confirm, self._handle_confirm)
        messenger.handle(Withdraw, self._handle_withdraw)

    def check_senders(self) -> None:
        """Continue unconfirmed requests that their sender no longer answers.

        Call it once a second. Requests of a sender that crashed after its
        transfer are then continued within seconds, before their callers get an
        error.
        """
        now = self._clock.monotonic()
        overdue = self._list_overdue(now)
        for sender in {unconfirmed.sender for unconfirmed in overdue}:
            from_sender = [
                unconfirmed for unconfirmed in overdue if unconfirmed.sender == sender
            ]
            self._check_sender(sender, from_sender)

    def list_unconfirmed(self) -> tuple[RequestId, ...]:
        """Return the ids of the requests that wait for confirmation."""
        with self._lock:
            return tuple(self._unconfirmed)

    def count_unconfirmed(self) -> int:
        """Return the number of requests that wait for confirmation."""
        with self._lock:
            return len(self._unconfirmed)

    def count_bytes(self) -> int:
        """Return the total size in bytes of stored and taken-over requests.

        Sizes are those at their transfer.
        """
        with self._lock:
            return self._count_bytes()

    def _check_sender(
        self, sender: DaemonId, overdue: list[_UnconfirmedRequest]
    ) -> None:
        request_ids = [unconfirmed.request.request_id for unconfirmed in overdue]
        answered = self._locations.ask(sender, request_ids)
        still_at_sender = {
            location.request_id for location in answered if location.daemon_id == sender
        }
        elsewhere = self._find_elsewhere(sender, request_ids)
        for unconfirmed in overdue:
            request_id = unconfirmed.request.request_id
            if request_id in still_at_sender:
                self._postpone(unconfirmed)
            elif request_id in elsewhere:
                self._discard((request_id,))
            else:
                logger.bind(step=Step.HAND_OVER.value, peer=sender).warning(
                    'request continued without confirmation'
                )
                self._start((request_id,))

    def _find_elsewhere(
        self, sender: DaemonId, request_ids: list[RequestId]
    ) -> set[RequestId]:
        excluded = (sender, self._daemon_id)
        return {
            location.request_id
            for location in self._locations.find_all(request_ids)
            if location.daemon_id not in excluded
        }

    def _postpone(self, unconfirmed: _UnconfirmedRequest) -> None:
        delay = self._settings.confirm_timeout.total_seconds()
        unconfirmed.check_at = self._clock.monotonic() + delay

    def _handle_capacity_query(
        self, sender: DaemonId, message: CapacityQuery
    ) -> CapacityReply:
        with self._lock:
            return CapacityReply(
                requests=self._count_free_requests(), size=self._count_free_bytes()
            )

    def _handle_transfer(self, sender: DaemonId, message: Transfer) -> TransferReply:
        now = self._clock.monotonic()
        check_at = now + self._settings.confirm_timeout.total_seconds()
        with self._lock:
            accepted = tuple(
                request.request_id
                for request in message.requests
                if self._store(_UnconfirmedRequest(request, sender, check_at))
            )
        return TransferReply(accepted=accepted)

    def _store(self, unconfirmed: _UnconfirmedRequest) -> bool:
        request = unconfirmed.request
        if request.request_id in self._unconfirmed:
            # A newer copy. It is refused if this daemon is leaving, so that the
            # sender transfers it to another peer.
            fits = self._read_capacity() > 0
        else:
            fits = (
                self._count_free_requests() > 0
                and self._count_free_bytes() >= request.size
            )
        if fits:
            self._unconfirmed[request.request_id] = unconfirmed
        else:
            self._unconfirmed.pop(request.request_id, None)
        return fits

    def _handle_confirm(self, sender: DaemonId, message: Confirm) -> ConfirmReply:
        self._start(message.requests)
        answered = tuple(
            request_id
            for request_id in message.requests
            if self._in_flight.find(request_id) is not None
        )
        return ConfirmReply(requests=answered)

    def _handle_withdraw(self, sender: DaemonId, message: Withdraw) -> None:
        self._discard(message.requests)

    def _start(self, request_ids: Iterable[RequestId]) -> None:
        started = []
        for request_id in request_ids:
            tracked = self._activate(request_id)
            if tracked is not None:
                started.append(tracked)
        self._locations.publish(self._describe(tracked) for tracked in started)
        for tracked in started:
            self._take_over(tracked)

    def _activate(self, request_id: RequestId) -> TrackedRequest | None:
        with self._lock:
            unconfirmed = self._unconfirmed.pop(request_id, None)
            if unconfirmed is None:
                return None
            request = unconfirmed.request
            held = self._in_flight.find(request_id)
            if held is not None and held.generation >= request.generation:
                return None
            self._taken_over[request_id] = request.size
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

    def _discard(self, request_ids: Iterable[RequestId]) -> None:
        with self._lock:
            for request_id in request_ids:
                self._unconfirmed.pop(request_id, None)

    def _release(self, request_id: RequestId) -> None:
        with self._lock:
            self._taken_over.pop(request_id, None)

    def _list_overdue(self, now: float) -> tuple[_UnconfirmedRequest, ...]:
        with self._lock:
            return tuple(
                unconfirmed
                for unconfirmed in self._unconfirmed.values()
                if unconfirmed.check_at <= now
            )

    def _count_free_requests(self) -> int:
        # ``_read_capacity`` already counts the streams of taken-over requests.
        allowed = self._settings.max_requests - len(self._taken_over)
        return max(0, min(allowed, self._read_capacity()) - len(self._unconfirmed))

    def _count_free_bytes(self) -> int:
        return max(0, self._settings.max_total_bytes - self._count_bytes())

    def _count_bytes(self) -> int:
        unconfirmed_bytes = sum(
            unconfirmed.request.size for unconfirmed in self._unconfirmed.values()
        )
        return unconfirmed_bytes + sum(self._taken_over.values())
