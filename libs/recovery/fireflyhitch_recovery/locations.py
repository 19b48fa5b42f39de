"""Lookup of the daemon that answers a request."""

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


class RequestLocator:
    """Finds the daemon that answers a request.

    A request that never moved is at the daemon named in its id. The location of
    a moved request is stored by a few directory daemons chosen by a hash of its
    id, so that neither its acceptance nor its move needs a broadcast.
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
        """Return the location of a request; query peers if necessary.

        :returns: ``None`` if no reachable daemon has the location: the request
            was never accepted, ended long ago, or was lost with its daemon.
        """
        here = self.find_local(request_id)
        if here is not None and here.daemon_id == self._daemon_id:
            return here
        return next(iter(self.find_all((request_id,))), None)

    def find_all(self, request_ids: Iterable[RequestId]) -> tuple[Location, ...]:
        """Return the locations of requests; query each peer at most once."""
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
        """Return the location of a request from local state only."""
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
        """Send locations to the directory daemons of their requests."""
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
        """Query one peer for locations.

        :returns: the locations that it has on record; none if it does not reply.
        """
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
        # Another daemon continued a local request while it considered this daemon
        # crashed. A caller that reconnects would get a mix of the two answers.
        tracked = self._in_flight.find(location.request_id)
        elsewhere = location.daemon_id != self._daemon_id
        if tracked and elsewhere and tracked.generation < location.generation:
            self._in_flight.leave(tracked)


def _read_generation(location: Location) -> int:
    return location.generation
