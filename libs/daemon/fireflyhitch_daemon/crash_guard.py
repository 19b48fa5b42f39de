"""Holds back calls that end the servers they run on, by what all daemons have seen."""

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

# A refusal comes at once; a call that goes on elsewhere waits for it.
PROBE_TIMEOUT_SECONDS = 0.1
# In which a process that ends has closed all its sockets, one after the other.
EXIT_SECONDS = 0.1
# A server that is silent for longer is listed no more, or is cut off.
MAX_RECHECK_SECONDS = 6.0
# In which daemons that have had an answer to a call have said so.
REPORT_DELAY_SECONDS = 1.0


class CrashUpdate(PeerMessage):
    """What is new of calls under which servers ended."""

    kind: ClassVar[str] = 'crash-news'

    notes: dict[ContentId, CrashReport]


@dataclass(frozen=True, slots=True)
class _BrokenResponse:
    server: BackendServer
    content: ContentId
    began: float
    at: float


class CrashGuard:
    """Keeps the evidence, and refuses calls that are held back; thread-safe.

    :param is_listed: tells whether a server is listed and not leaving.
    :param find_address: where a server is, also one that is leaving.
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
        """Refuse a call that would end the server that it is sent to.

        :raises RequestError: if it is held back; it was not run.
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
        """Return the seconds for which a call is held back, if it is."""
        with self._lock:
            return self._quarantine.find_remaining_hold(
                content, self._clock.monotonic()
            )

    def record_response(self, content: ContentId) -> None:
        """Take in that a call was answered whole."""
        with self._lock:
            self._tracker.record_response(content, self._clock.monotonic())

    def record_broken_response(
        self, server: BackendServer, content: ContentId, began: float
    ) -> None:
        """Take in that a server broke off the answer to a call.

        :param began: monotonic seconds at which the call was sent.
        """
        if not self._is_listed(server.server_id):
            # It was leaving, and ends by order.
            return
        broken = _BrokenResponse(server, content, began, self._clock.monotonic())
        # At once: a process may start again at its address within a second.
        if self._needs_recheck(broken):
            with self._lock:
                self._unresolved.append(broken)

    def step(self) -> None:
        """Look after servers that broke off answers, tell peers, and judge."""
        with self._lock:
            pending = self._unresolved
            self._unresolved = []
        unresolved = [broken for broken in pending if self._needs_recheck(broken)]
        now = self._clock.monotonic()
        with self._lock:
            self._unresolved.extend(unresolved)
            notes = self._tracker.tell(now, heard=False)
            self._quarantine.review(now, REPORT_DELAY_SECONDS)
        if notes:
            self._messenger.spread(CrashUpdate(notes=notes), Scope.EVERYWHERE)

    def _needs_recheck(self, broken: _BrokenResponse) -> bool:
        """Look after a server once; tell whether it is still open what became of it."""
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
        ).warning('server ended under a call')

    def _apply_update(self, sender: DaemonId, update: CrashUpdate) -> None:
        with self._lock:
            self._tracker.take(update.notes, self._clock.monotonic())


def _probe(address: str) -> None:
    """Open a connection to a server and close it.

    :raises OSError: if nobody listens there, or it does not answer in time.
    """
    host, _, port = address.rpartition(':')
    socket.create_connection((host, int(port)), PROBE_TIMEOUT_SECONDS).close()
