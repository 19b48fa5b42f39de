"""Rejects calls that crash servers, by crash records shared among all daemons."""

import socket
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus
from threading import Lock
from typing import ClassVar

from loguru import logger

from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.identity import identify_process
from fireflyhitch_model.ids import BackendServerId, ContentId, DaemonId
from fireflyhitch_model.peers import PeerMessage, PeerMessenger, Scope
from fireflyhitch_model.states import Step
from fireflyhitch_routing.crashes import CrashReport, CrashTracker, ServerCrash
from fireflyhitch_routing.quarantine import Quarantine

# Short, since a call's next attempt waits for the probe; a closed port refuses a
# connection at once.
PROBE_TIMEOUT_SECONDS = 0.1
# An exiting process closes its sockets one after the other, within this time.
EXIT_SECONDS = 0.1
# A server unresponsive for longer is no longer listed or is partitioned.
MAX_RECHECK_SECONDS = 6.0
# Within this time daemons have reported whether they got a response to a call.
REPORT_DELAY_SECONDS = 1.0


class CrashUpdate(PeerMessage):
    """New crash records, broadcast to all daemons."""

    kind: ClassVar[str] = 'crash-news'

    notes: dict[ContentId, CrashReport]


@dataclass(frozen=True, slots=True)
class _BrokenResponse:
    server: BackendServer
    content: ContentId
    began: float
    at: float


class CrashGuard:
    """Tracks crash records and rejects calls that are held; thread-safe.

    :param is_listed: returns whether a server is listed and not leaving.
    :param find_address: returns a server's address, also while it is leaving.
    """

    def __init__(
        self,
        clock: Clock,
        messenger: PeerMessenger,
        is_listed: Callable[[BackendServerId], bool],
        find_address: Callable[[BackendServerId], str | None],
    ) -> None:
        self._clock = clock
        self._messenger = messenger
        self._is_listed = is_listed
        self._find_address = find_address
        self._lock = Lock()
        self._tracker = CrashTracker()
        self._quarantine = Quarantine(self._tracker)
        self._unresolved: list[_BrokenResponse] = []
        messenger.handle(CrashUpdate, self._apply_update)

    def check(self, content: ContentId) -> None:
        """Reject a call that is likely to crash the server it is sent to.

        :raises RequestError: if the call is held; it was not run.
        """
        wait = self.find_remaining_hold(content)
        if wait is None:
            return
        raise RequestError(
            'servers have ended under this call; it is held back',
            step=Step.ADMIT,
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            code='held',
            retry_after=timedelta(seconds=wait),
        )

    def find_remaining_hold(self, content: ContentId) -> float | None:
        """Return the seconds for which a call is still held; ``None`` if it is not."""
        with self._lock:
            return self._quarantine.find_remaining_hold(
                content, self._clock.monotonic()
            )

    def record_response(self, content: ContentId) -> None:
        """Record that a call was answered completely."""
        with self._lock:
            self._tracker.record_response(content, self._clock.monotonic())

    def record_broken_response(
        self, server: BackendServer, content: ContentId, began: float
    ) -> None:
        """Record that a server broke off the answer to a call.

        :param began: monotonic time in seconds at which the call was sent.
        """
        if not self._is_listed(server.server_id):
            # A leaving server exits on request; that is not a crash.
            return
        broken = _BrokenResponse(server, content, began, self._clock.monotonic())
        # Probe at once: a new process may listen at the address within a second.
        if self._needs_recheck(broken):
            with self._lock:
                self._unresolved.append(broken)

    def step(self) -> None:
        """Probe servers that broke off answers, broadcast records, update holds."""
        with self._lock:
            pending = self._unresolved
            self._unresolved = []
        unresolved = [broken for broken in pending if self._needs_recheck(broken)]
        now = self._clock.monotonic()
        with self._lock:
            self._unresolved.extend(unresolved)
            notes = self._tracker.build_reports(now, include_received=False)
            self._quarantine.review(now, REPORT_DELAY_SECONDS)
        if notes:
            self._messenger.broadcast(CrashUpdate(notes=notes), Scope.EVERYWHERE)

    def _needs_recheck(self, broken: _BrokenResponse) -> bool:
        """Probe a server once; return whether it is still unclear if it crashed."""
        server_id = broken.server.server_id
        address = self._find_address(server_id)
        if address is None:
            self._record_crash(broken)
            return False
        if not self._is_listed(server_id):
            return False
        try:
            _probe(address)
        except ConnectionRefusedError:
            self._record_crash(broken)
            return False
        except OSError:
            return self._clock.monotonic() - broken.at < MAX_RECHECK_SECONDS
        return self._clock.monotonic() - broken.at < EXIT_SECONDS

    def _record_crash(self, broken: _BrokenResponse) -> None:
        process = identify_process(broken.server.server_id, broken.server.incarnation)
        crash = ServerCrash(broken.at, broken.began)
        with self._lock:
            self._tracker.record_crash(
                broken.content, process, crash, self._clock.monotonic()
            )
        logger.bind(
            step=Step.RELAY.value, peer=broken.server.server_id, content=broken.content
        ).warning('server crashed during a call')

    def _apply_update(self, sender: DaemonId, update: CrashUpdate) -> None:
        with self._lock:
            self._tracker.apply_reports(update.notes, self._clock.monotonic())


def _probe(address: str) -> None:
    """Open a connection to a server and close it.

    :raises OSError: if the connection is refused or times out.
    """
    host, _, port = address.rpartition(':')
    socket.create_connection((host, int(port)), PROBE_TIMEOUT_SECONDS).close()
