"""Answers that another daemon has: found there and passed on byte by byte."""

import selectors
import socket
import threading
from collections import deque
from dataclasses import dataclass

from loguru import logger

from fireflyhitch_daemon.dispatch import CONNECT_SECONDS
from fireflyhitch_daemon.front import CallerRequest
from fireflyhitch_model.states import Step

# Keeps two daemons that each think the other has a request from asking in turn.
FORWARDED_HEADER = 'fireflyhitch-forwarded'
PASSED_HEADERS = ('authorization', 'last-event-id', 'accept')
BLOCK = 65536
WAKE_SECONDS = 0.2


@dataclass(slots=True, eq=False)
class _Pair:
    source: socket.socket
    target: socket.socket


class Forwarder:
    """Passes answers on from other daemons, all on one thread.

    The other daemon's answer is a whole HTTP answer, so its bytes are the
    caller's as they come.
    """

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._new: deque[_Pair] = deque()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name='forward', daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread; what is still passed on is cut off."""
        self._stopping.set()
        self._thread.join()

    def forward(self, request: CallerRequest, address: str) -> None:
        """Ask another daemon in a caller's place and pass its answer on.

        :param address: ``host:port`` of the other daemon's callers' listener.
        :raises OSError: if it was not reached; then nothing was passed on.
        """
        host, _, port = address.rpartition(':')
        source = socket.create_connection((host, int(port)), CONNECT_SECONDS)
        source.sendall(_render_request(request, address))
        source.setblocking(False)
        self._new.append(_Pair(source, request.detach()))

    def _run(self) -> None:
        while not self._stopping.is_set():
            while self._new:
                pair = self._new.popleft()
                self._selector.register(pair.source, selectors.EVENT_READ, pair)
            for key, _ in self._selector.select(WAKE_SECONDS):
                self._pass_on(key.data)

    def _pass_on(self, pair: _Pair) -> None:
        try:
            block = pair.source.recv(BLOCK)
            if block:
                pair.target.settimeout(CONNECT_SECONDS)
                pair.target.sendall(block)
                return
        except BlockingIOError:
            return
        except OSError as error:
            logger.bind(step=Step.ANSWER.value, error=repr(error)).info(
                'forwarding ended'
            )
        self._selector.unregister(pair.source)
        pair.source.close()
        pair.target.close()


def _render_request(request: CallerRequest, address: str) -> bytes:
    lines = [
        f'GET {request.path} HTTP/1.1',
        f'Host: {address}',
        'Connection: close',
        f'{FORWARDED_HEADER}: 1',
    ]
    lines.extend(
        f'{name}: {request.headers[name]}'
        for name in PASSED_HEADERS
        if name in request.headers
    )
    head = '\r\n'.join(lines)
    return b'%b\r\n\r\n' % head.encode()
