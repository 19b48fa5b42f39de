"""Where a request is being answered, so that any daemon can find it."""

from collections.abc import Iterable
from threading import Lock

from cachetools import TTLCache

from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import PeerError
from fireflyhitch_model.hashing import rank_by_hash
from fireflyhitch_model.ids import DaemonId, RequestId
from fireflyhitch_model.peers import PeerMessenger
from fireflyhitch_recovery.answers import LogState
from fireflyhitch_recovery.inflight import InFlight, make_daemon_tag
from fireflyhitch_recovery.messages import Locate, Located, LocateReply, Location
from fireflyhitch_recovery.settings import HandOverSettings


class Locations:
    """Finds the daemon that answers a request.

    A request that never moved is with the daemon that its id names. One that
    moved is known to a few daemons chosen by hash of its id, so that neither
    its acceptance nor its move has to be told to everybody.
    """

    def __init__(
        self,
        daemon_id: DaemonId,
        messenger: PeerMessenger,
        clock: Clock,
        in_flight: InFlight,
        settings: HandOverSettings,
    ) -> None:
        self._daemon_id = daemon_id
        self._messenger = messenger
        self._in_flight = in_flight
        self._settings = settings
        self._lock = Lock()
        self._known: TTLCache[RequestId, Location] = TTLCache(
            settings.max_locations,
            settings.location_time.total_seconds(),
            clock.monotonic,
        )
        messenger.handle(Located, self._take_located)
        messenger.handle(Locate, self._take_locate)

    def find(self, request_id: RequestId) -> Location | None:
        """Return who answers a request, asking peers if need be.

        :returns: ``None`` if nobody in reach knows: it was never accepted, is
            long over, or was lost with its daemon.
        """
        here = self.find_here(request_id)
        if here is not None and here.daemon_id == self._daemon_id:
            return here
        return next(iter(self.find_all((request_id,))), None)

    def find_all(self, request_ids: Iterable[RequestId]) -> tuple[Location, ...]:
        """Return who answers some requests, asking each peer once at most."""
        wanted = tuple(request_ids)
        asked: dict[DaemonId, list[RequestId]] = {}
        for request_id in wanted:
            for keeper in self._choose_keepers(request_id):
                asked.setdefault(keeper, []).append(request_id)
        found = [self.find_here(one) for one in wanted]
        for keeper, kept in asked.items():
            found.extend(self.ask(keeper, kept))
        newest: dict[RequestId, Location] = {}
        for location in sorted(filter(None, found), key=_read_generation):
            newest[location.request_id] = location
        return tuple(newest.values())

    def find_here(self, request_id: RequestId) -> Location | None:
        """Return who answers a request, as far as this daemon knows."""
        tracked = self._in_flight.find(request_id)
        if tracked is not None and tracked.log.state is not LogState.MOVED:
            return Location(
                request_id=request_id,
                daemon_id=self._daemon_id,
                generation=tracked.generation,
            )
        with self._lock:
            return self._known.get(request_id)

    def publish(self, locations: Iterable[Location]) -> None:
        """Tell the daemons that keep these requests' locations."""
        told: dict[DaemonId, list[Location]] = {}
        for location in locations:
            self._note(location)
            for keeper in self._choose_keepers(location.request_id):
                told.setdefault(keeper, []).append(location)
        for keeper, noted in told.items():
            self._messenger.tell(keeper, Located(locations=tuple(noted)))

    def ask(
        self, peer: DaemonId, request_ids: Iterable[RequestId]
    ) -> tuple[Location, ...]:
        """Ask one peer; what it does not know is left out, all if it is gone."""
        message = Locate(requests=tuple(request_ids))
        try:
            reply = self._messenger.ask(peer, message, self._settings.ask_patience)
        except PeerError:
            return ()
        return reply.locations if isinstance(reply, LocateReply) else ()

    def _choose_keepers(self, request_id: RequestId) -> list[DaemonId]:
        members = [daemon.daemon_id for daemon in self._messenger.live()]
        keepers = rank_by_hash(request_id, members)[: self._settings.directory]
        tag = request_id.partition('-')[0]
        acceptors = [member for member in members if make_daemon_tag(member) == tag]
        chosen = dict.fromkeys([*acceptors, *keepers])
        return [keeper for keeper in chosen if keeper != self._daemon_id]

    def _take_located(self, sender: DaemonId, message: Located) -> None:
        for location in message.locations:
            self._note(location)

    def _take_locate(self, sender: DaemonId, message: Locate) -> LocateReply:
        found = [self.find_here(request_id) for request_id in message.requests]
        return LocateReply(locations=tuple(filter(None, found)))

    def _note(self, location: Location) -> None:
        with self._lock:
            known = self._known.get(location.request_id)
            if known is None or known.generation <= location.generation:
                self._known[location.request_id] = location
        self._drop_older(location)

    def _drop_older(self, location: Location) -> None:
        # Another daemon went on with a request of ours while we were thought
        # dead. Two answers to one request would mix for a caller that moves.
        tracked = self._in_flight.find(location.request_id)
        elsewhere = location.daemon_id != self._daemon_id
        if tracked and elsewhere and tracked.generation < location.generation:
            self._in_flight.leave(tracked)


def _read_generation(location: Location) -> int:
    return location.generation
