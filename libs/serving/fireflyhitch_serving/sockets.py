"""Socket options that detect vanished peers and drop undelivered data."""

import asyncio
import fcntl
import socket
import struct
import termios
from contextlib import suppress

# ``struct linger``: enabled, with a timeout of 0 s.
_LINGER_ZERO = struct.pack('ii', 1, 0)
_SIZE = struct.Struct('i')

# Bytes that the kernel keeps of a caller that are not read. They count as memory of the
# process, and by default grow to megabytes for each connection.
SMALL_RECEIVE_BUFFER = 8192
# While a large body is awaited.
LARGE_RECEIVE_BUFFER = 32_768
# Of a server, while a caller does not read what it sends.
SERVER_RECEIVE_BUFFER = 65_536


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


def count_unsent(transport: asyncio.Transport) -> int:
    """Return the bytes that the other side has not acknowledged."""
    sock = find_socket(transport)
    if sock is None:
        return 0
    size = bytearray(_SIZE.size)
    try:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, size)
    except (OSError, ValueError):
        return 0
    count: int = _SIZE.unpack(size)[0]
    return count


def limit_receive_buffer(listener: socket.socket) -> None:
    """Give the connections that a socket accepts a small buffer each."""
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)


def set_receive_buffer(transport: asyncio.Transport, size: int) -> None:
    """Change the size of a connection's buffer.

    :param size: bytes.
    """
    sock = find_socket(transport)
    if sock is None:
        return
    # The connection works without it, too.
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        # The window was clamped to the buffer's size when the connection was opened.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, size)


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
