"""Forwards answers of other daemons to callers as unparsed bytes."""

import selectors
import socket
import threading
from collections import deque
from dataclasses import dataclass

from loguru import logger

from fireflyhitch_daemon.dispatch import CONNECT_SECONDS
from fireflyhitch_daemon.http_server import CallerRequest
from fireflyhitch_model.states import Step

# Prevents a loop between two daemons that each locate a request at the other.
FORWARDED_HEADER = 'fireflyhitch-forwarded'
FORWARDED_REQUEST_HEADERS = ('authorization', 'last-event-id', 'accept')
BLOCK = 65536
WAKE_SECONDS = 0.2


@dataclass(slots=True, eq=False)
class _ForwardedResponse:
    source: socket.socket
    target: socket.socket


class Forwarder:
    """Forwards answers from other daemons, all on one thread.

    The other daemon sends a complete HTTP response, so its bytes are copied to
    the caller unchanged.
    """

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._pending: deque[_ForwardedResponse] = deque()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name='forward', daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; answers still being forwarded are cut off."""
        self._stopping.set()
        self._thread.join()

    def forward(self, request: CallerRequest, address: str) -> None:
        """Forward a request to another daemon and its answer to the caller.

        :param address: ``host:port`` of the other daemon's caller listener.
        :raises OSError: if it cannot be reached; nothing was sent to the caller.
        """
        host, _, port = address.rpartition(':')
        source = socket.create_connection((host, int(port)), CONNECT_SECONDS)
        source.sendall(_render_request(request, address))
        source.setblocking(False)
        self._pending.append(_ForwardedResponse(source, request.detach()))

    def _run(self) -> None:
        while not self._stopping.is_set():
            while self._pending:
                forwarded = self._pending.popleft()
                self._selector.register(
                    forwarded.source, selectors.EVENT_READ, forwarded
                )
            for key, _ in self._selector.select(WAKE_SECONDS):
                self._copy_block(key.data)

    def _copy_block(self, forwarded: _ForwardedResponse) -> None:
        try:
            block = forwarded.source.recv(BLOCK)
            if block:
                forwarded.target.settimeout(CONNECT_SECONDS)
                forwarded.target.sendall(block)
                return
        except BlockingIOError:
            return
        except OSError as error:
            logger.bind(step=Step.ANSWER.value, error=repr(error)).info(
                'forwarding ended'
            )
        self._selector.unregister(forwarded.source)
        forwarded.source.close()
        forwarded.target.close()


def _render_request(request: CallerRequest, address: str) -> bytes:
    lines = [
        f'GET {request.path} HTTP/1.1',
        f'Host: {address}',
        'Connection: close',
        f'{FORWARDED_HEADER}: 1',
    ]
    lines.extend(
        f'{name}: {request.headers[name]}'
        for name in FORWARDED_REQUEST_HEADERS
        if name in request.headers
    )
    head = '\r\n'.join(lines)
    return b'%b\r\n\r\n' % head.encode()
