"""Socket options that detect vanished peers and drop undelivered data."""

import asyncio
import socket
import struct

# ``struct linger``: enabled, with a timeout of 0 s.
_LINGER_ZERO = struct.pack('ii', 1, 0)


def find_socket(transport: asyncio.Transport) -> socket.socket | None:
    """Return a transport's socket; the transports of tests have none."""
    found: socket.socket | None = transport.get_extra_info('socket')
    return found


def set_send_options(transport: asyncio.Transport, ack_timeout_ms: int) -> None:
    """Disable Nagle's algorithm and limit the time until data is acknowledged.

    :param ack_timeout_ms: milliseconds until a connection with unacknowledged data is
        closed; by default that takes many minutes.
    """
    sock = find_socket(transport)
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ack_timeout_ms)


def enable_keepalive(transport: asyncio.Transport, seconds: int, probes: int) -> None:
    """Enable TCP keep-alive.

    :param seconds: time without data before the first probe, and between probes.
    :param probes: number of unacknowledged probes until the connection is closed.
    """
    sock = find_socket(transport)
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, seconds)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, seconds)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)


def reset_on_close(transport: asyncio.Transport) -> None:
    """Reset the connection when it is closed or the process exits.

    Otherwise the kernel continues to send data that was written. A request that was
    given up during a network partition would then run when the partition heals, seconds
    after another process took over. A reset drops unacknowledged data.
    """
    sock = find_socket(transport)
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
