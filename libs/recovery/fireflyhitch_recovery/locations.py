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
from fireflyhitch_recovery.messages import (
    Location,
    LocationQuery,
    LocationReply,
    LocationUpdate,
)
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
        self._stored: TTLCache[RequestId, Location] = TTLCache(
            settings.max_locations,
            settings.location_ttl.total_seconds(),
            clock.monotonic,
        )
        messenger.handle(LocationUpdate, self._handle_location_update)
        messenger.handle(LocationQuery, self._handle_location_query)

    def find(self, request_id: RequestId) -> Location | None:
        """Return who answers a request, asking peers if need be.

        :returns: ``None`` if nobody in reach knows: it was never accepted, is
            long over, or was lost with its daemon.
        """
        here = self.find_local(request_id)
        if here is not None and here.daemon_id == self._daemon_id:
            return here
        return next(iter(self.find_all((request_id,))), None)

    def find_all(self, request_ids: Iterable[RequestId]) -> tuple[Location, ...]:
        """Return who answers some requests, asking each peer once at most."""
        wanted = tuple(request_ids)
        queries: dict[DaemonId, list[RequestId]] = {}
        for request_id in wanted:
            for directory_daemon in self._choose_directory_daemons(request_id):
                queries.setdefault(directory_daemon, []).append(request_id)
        found = [self.find_local(one) for one in wanted]
        for directory_daemon, batch in queries.items():
            found.extend(self.ask(directory_daemon, batch))
        newest: dict[RequestId, Location] = {}
        for location in sorted(filter(None, found), key=_read_generation):
            newest[location.request_id] = location
        return tuple(newest.values())

    def find_local(self, request_id: RequestId) -> Location | None:
        """Return who answers a request, as far as this daemon knows."""
        tracked = self._in_flight.find(request_id)
        if tracked is not None and tracked.log.state is not LogState.MOVED:
            return Location(
                request_id=request_id,
                daemon_id=self._daemon_id,
                generation=tracked.generation,
            )
        with self._lock:
            return self._stored.get(request_id)

    def publish(self, locations: Iterable[Location]) -> None:
        """Tell the daemons that keep these requests' locations."""
        updates: dict[DaemonId, list[Location]] = {}
        for location in locations:
            self._store(location)
            for directory_daemon in self._choose_directory_daemons(location.request_id):
                updates.setdefault(directory_daemon, []).append(location)
        for directory_daemon, batch in updates.items():
            self._messenger.tell(
                directory_daemon, LocationUpdate(locations=tuple(batch))
            )

    def ask(
        self, peer: DaemonId, request_ids: Iterable[RequestId]
    ) -> tuple[Location, ...]:
        """Ask one peer; what it does not know is left out, all if it is gone."""
        message = LocationQuery(requests=tuple(request_ids))
        try:
            reply = self._messenger.ask(peer, message, self._settings.ask_timeout)
        except PeerError:
            return ()
        return reply.locations if isinstance(reply, LocationReply) else ()

    def _choose_directory_daemons(self, request_id: RequestId) -> list[DaemonId]:
        members = [daemon.daemon_id for daemon in self._messenger.live()]
        directory_daemons = rank_by_hash(request_id, members)[
            : self._settings.directory_size
        ]
        tag = request_id.partition('-')[0]
        acceptors = [member for member in members if make_daemon_tag(member) == tag]
        chosen = dict.fromkeys([*acceptors, *directory_daemons])
        return [
            directory_daemon
            for directory_daemon in chosen
            if directory_daemon != self._daemon_id
        ]

    def _handle_location_update(
        self, sender: DaemonId, message: LocationUpdate
    ) -> None:
        for location in message.locations:
            self._store(location)

    def _handle_location_query(
        self, sender: DaemonId, message: LocationQuery
    ) -> LocationReply:
        found = [self.find_local(request_id) for request_id in message.requests]
        return LocationReply(locations=tuple(filter(None, found)))

    def _store(self, location: Location) -> None:
        with self._lock:
            stored = self._stored.get(location.request_id)
            if stored is None or stored.generation <= location.generation:
                self._stored[location.request_id] = location
        self._release_superseded(location)

    def _release_superseded(self, location: Location) -> None:
        # Another daemon went on with a request of ours while we were thought
        # dead. Two answers to one request would mix for a caller that moves.
        tracked = self._in_flight.find(location.request_id)
        elsewhere = location.daemon_id != self._daemon_id
        if tracked and elsewhere and tracked.generation < location.generation:
            self._in_flight.leave(tracked)


def _read_generation(location: Location) -> int:
    return location.generation
