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
REACH_SECONDS = 0.1
# In which a process that ends has closed all its sockets, one after the other.
END_SECONDS = 0.1
# A server that is silent for longer is listed no more, or is cut off.
LOOK_SECONDS = 6.0
# In which daemons that have had an answer to a call have said so.
SETTLED_SECONDS = 1.0


class CrashNews(PeerMessage):
    """What is new of calls under which servers ended."""

    kind: ClassVar[str] = 'crash-news'

    notes: dict[ContentId, CrashReport]


@dataclass(frozen=True, slots=True)
class _BrokenRun:
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
        self._book = CrashTracker()
        self._quarantine = Quarantine(self._book)
        self._broken: list[_BrokenRun] = []
        messenger.handle(CrashNews, self._take_news)

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
            self._book.record_response(content, self._clock.monotonic())

    def record_broken_response(
        self, server: BackendServer, content: ContentId, began: float
    ) -> None:
        """Take in that a server broke off the answer to a call.

        :param began: monotonic seconds at which the call was sent.
        """
        if not self._is_listed(server.server_id):
            # It was leaving, and ends by order.
            return
        run = _BrokenRun(server, content, began, self._clock.monotonic())
        # At once: a process may start again at its address within a second.
        if self._keeps_looking(run):
            with self._lock:
                self._broken.append(run)

    def step(self) -> None:
        """Look after servers that broke off answers, tell peers, and judge."""
        with self._lock:
            looked = self._broken
            self._broken = []
        kept = [run for run in looked if self._keeps_looking(run)]
        now = self._clock.monotonic()
        with self._lock:
            self._broken.extend(kept)
            notes = self._book.tell(now, heard=False)
            self._quarantine.review(now, SETTLED_SECONDS)
        if notes:
            self._messenger.spread(CrashNews(notes=notes), Scope.EVERYWHERE)

    def _keeps_looking(self, run: _BrokenRun) -> bool:
        """Look after a server once; tell whether it is still open what became of it."""
        server_id = run.server.server_id
        address = self._find_address(server_id)
        if address is None:
            self._note_end(run)
            return False
        if not self._is_listed(server_id):
            return False
        try:
            _reach(address)
        except ConnectionRefusedError:
            self._note_end(run)
            return False
        except OSError:
            return self._clock.monotonic() - run.at < LOOK_SECONDS
        return self._clock.monotonic() - run.at < END_SECONDS

    def _note_end(self, run: _BrokenRun) -> None:
        process = identify_process(run.server.server_id, run.server.incarnation)
        end = ServerCrash(run.at, run.began)
        with self._lock:
            self._book.record_crash(run.content, process, end, self._clock.monotonic())
        logger.bind(
            step=Step.RELAY.value, peer=run.server.server_id, content=run.content
        ).warning('server ended under a call')

    def _take_news(self, sender: DaemonId, news: CrashNews) -> None:
        with self._lock:
            self._book.take(news.notes, self._clock.monotonic())


def _reach(address: str) -> None:
    """Open a connection to a server and close it.

    :raises OSError: if nobody listens there, or it does not answer in time.
    """
    host, _, port = address.rpartition(':')
    socket.create_connection((host, int(port)), REACH_SECONDS).close()
