"""Socket options for peers that went away without a word, and for what they get late."""

import asyncio
import socket
import struct

# On, and zero seconds to wait.
_RESET_AT_ONCE = struct.pack('ii', 1, 0)


def find_socket(transport: asyncio.Transport) -> socket.socket | None:
    """Return a transport's socket; tests' transports have none."""
    found: socket.socket | None = transport.get_extra_info('socket')
    return found


def send_at_once(transport: asyncio.Transport, silent_ms: int) -> None:
    """Have bytes go out as they are written, and the peer acknowledge them in time.

    :param silent_ms: after which a peer that acknowledges nothing is taken for cut off;
        by default that takes many minutes.
    """
    sock = find_socket(transport)
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silent_ms)


def probe_peer(transport: asyncio.Transport, seconds: int, probes: int) -> None:
    """Have the kernel ask a silent peer whether it is there.

    :param seconds: of silence before the first probe, and between two.
    """
    sock = find_socket(transport)
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, seconds)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, seconds)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)


def reset_on_close(transport: asyncio.Transport) -> None:
    """Have the connection reset when it is closed, also by the end of the process.

    Otherwise the kernel goes on sending what was written, and a request that was given
    up in a cut runs once the cut has healed, seconds after another process took over.
    A reset drops what the peer has not acknowledged.
    """
    sock = find_socket(transport)
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_ONCE)
