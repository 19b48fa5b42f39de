"""Ports for daemons that listen a moment after their ports were chosen.

Test runs beside each other chose the same port now and then: one daemon could not
listen. So each process takes whole blocks of ports, and holds the first of each.
"""

import random
import socket
from collections import deque

from fireflyhitch_standins.scripted_server import HOST

# Below the ephemeral port range: an outgoing connection whose local port is a daemon's
# port would keep the daemon from listening for as long as the connection lasts.
FIRST_PORT = 10_000
LAST_PORT = 29_999
BLOCK_PORTS = 100


class PortAllocator:
    """Chooses ports that no other allocator chooses while this one exists."""

    def __init__(self) -> None:
        """Create an allocator without ports."""
        self._guards: list[socket.socket] = []
        self._unused: deque[int] = deque()
        self._used: deque[int] = deque()

    def find_free_port(self) -> int:
        """Return a port that nobody listens on and that was not returned before.

        If no such port is left, that returned longest ago is returned again. Daemons
        listen only later, so one that is free may have been returned just now.

        :raises OSError: if there is none left.
        """
        while self._unused or self._take_block():
            port = self._unused.popleft()
            self._used.append(port)
            if _is_free(port):
                return port
        for port in tuple(self._used):
            self._used.rotate(-1)
            if _is_free(port):
                return port
        raise OSError('no free port to listen on')

    def close(self) -> None:
        """Give all blocks back."""
        for guard in self._guards:
            guard.close()

    def _take_block(self) -> bool:
        """Take a block that no other allocator has; return whether there was one."""
        starts = range(FIRST_PORT, LAST_PORT + 1, BLOCK_PORTS)
        for start in random.sample(starts, len(starts)):  # noqa: S311
            guard = socket.socket()
            try:
                guard.bind((HOST, start))
            except OSError:
                guard.close()
                continue
            self._guards.append(guard)
            self._unused.extend(range(start + 1, start + BLOCK_PORTS))
            return True
        return False


def _is_free(port: int) -> bool:
    """Return whether a daemon can listen for connections and for datagrams."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                return False
    return True


_ALLOCATOR = PortAllocator()


def find_free_port() -> int:
    """Return a port for this process's daemons.

    :raises OSError: if there is none left.
    """
    return _ALLOCATOR.find_free_port()
