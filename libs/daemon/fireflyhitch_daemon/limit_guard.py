"""Enforces rate limits that servers announce in answers, across all daemons."""

from collections.abc import Callable, Iterable
from threading import Lock
from typing import ClassVar

from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.identity import identify_process
from fireflyhitch_model.ids import BackendServerId, DaemonId, ProcessId
from fireflyhitch_model.peers import PeerMessage, PeerMessenger, Scope
from fireflyhitch_routing.announcements import parse_number
from fireflyhitch_routing.server_limits import LimitReport, ServerLimits

LIMIT_HEADER = 'server-limit'


class LimitUpdate(PeerMessage):
    """New limits announced by servers, broadcast to all daemons."""

    kind: ClassVar[str] = 'limit-news'

    notes: dict[ProcessId, LimitReport]


class LimitGuard:
    """Tracks announced limits and this daemon's share of them; thread-safe.

    :param list_servers: returns the servers that may receive calls.
    """

    def __init__(
        self,
        daemon_id: DaemonId,
        clock: Clock,
        messenger: PeerMessenger,
        list_servers: Callable[[], Iterable[BackendServer]],
    ) -> None:
        self._daemon_id = daemon_id
        self._clock = clock
        self._messenger = messenger
        self._list_servers = list_servers
        self._lock = Lock()
        self._limits = ServerLimits(
            daemon_id, self._list_daemons, lambda: clock.now().timestamp()
        )
        messenger.handle(LimitUpdate, self._apply_update)

    def record_response(
        self, server: BackendServer, announced: str | None, sent: float
    ) -> None:
        """Record the limit announced in a server's answer.

        :param announced: the value of the limit header; ``None`` without one.
        :param sent: monotonic time in seconds at which the call was sent.
        """
        process = _identify(server)
        now = self._clock.monotonic()
        with self._lock:
            self._limits.record_response(
                process, server.server_id, parse_number(announced), sent, now
            )

    def record_sent(self, server: BackendServer) -> None:
        """Count a call that was sent to a server."""
        with self._lock:
            self._limits.record_sent(_identify(server))

    def find_throttled(self) -> frozenset[BackendServerId]:
        """Return the servers that this daemon may send nothing to now."""
        with self._lock:
            if not self._limits.has_limits:
                return frozenset()
            return frozenset(
                server.server_id
                for server in self._list_servers()
                if not self._limits.may_send(_identify(server))
            )

    def step(self) -> None:
        """Broadcast new limits to the other daemons."""
        with self._lock:
            notes = self._limits.build_reports(
                self._clock.monotonic(), include_received=False
            )
        if notes:
            self._messenger.broadcast(LimitUpdate(notes=notes), Scope.EVERYWHERE)

    def _apply_update(self, sender: DaemonId, update: LimitUpdate) -> None:
        with self._lock:
            self._limits.apply_reports(update.notes, self._clock.monotonic())

    def _list_daemons(self) -> list[str]:
        live = {daemon.daemon_id for daemon in self._messenger.live()}
        return list(live | {self._daemon_id})


def _identify(server: BackendServer) -> ProcessId:
    return identify_process(server.server_id, server.incarnation)
