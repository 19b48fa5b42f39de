"""Tests of calls to the platform over a partitioned link."""

import asyncio
import socket
from typing import Any

import pytest

from fireflyhitch_model.clock import SystemClock
from fireflyhitch_serving.client import HttpClient
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.errors import ServerError

TIMEOUT_SECONDS = 0.1
HEAL_DELAY_SECONDS = 0.2
DELIVERY_SECONDS = 0.3


class PartitionedLink(asyncio.Protocol):
    """A receiver behind a partition: sent bytes are delivered once the link heals.

    If the sender resets the connection, undelivered bytes are lost, as in a kernel's
    send buffer; if it closes the connection, they are not.
    """

    def __init__(self) -> None:
        """Create a partitioned link."""
        self.delivered = b''
        self._buffered = b''
        self._healed = False

    def data_received(self, data: bytes) -> None:
        """Buffer bytes until the link has healed."""
        self._buffered += data
        self._deliver()

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop undelivered bytes if the sender reset the connection."""
        if exc is not None:
            self._buffered = b''

    def heal(self) -> None:
        """Deliver buffered and later bytes."""
        self._healed = True
        self._deliver()

    def _deliver(self) -> None:
        if self._healed:
            self.delivered += self._buffered
            self._buffered = b''


async def time_out_call(link: PartitionedLink, *, heal_delay: float) -> None:
    """Make a call that times out before the link heals."""
    server = await asyncio.get_running_loop().create_server(
        lambda: link, '127.0.0.1', 0
    )
    address: tuple[str, int] = server.sockets[0].getsockname()
    client = HttpClient(Address(*address), SystemClock())
    with pytest.raises(ServerError):
        await client.call(b'POST', b'/orders', timeout=TIMEOUT_SECONDS)
    await asyncio.sleep(heal_delay)
    link.heal()
    await asyncio.sleep(DELIVERY_SECONDS)
    server.close()


class TestTimedOutCalls:
    """Guards against orders of a former leader that reach the platform late.

    A partitioned leader orders servers, the call times out, and its lease expires. A
    new leader orders servers. When the partition heals, the kernel would deliver the
    former leader's bytes, so the platform would receive orders of two leaders
    alternately.
    """

    @staticmethod
    def test_timed_out_call_is_never_delivered() -> None:
        """The connection is reset, so that the kernel drops its send buffer."""
        link = PartitionedLink()
        asyncio.run(time_out_call(link, heal_delay=HEAL_DELAY_SECONDS))
        assert not link.delivered

    @staticmethod
    def test_sockets_are_reset_on_process_exit(
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """With ``SO_LINGER``, the kernel resets the connections of a killed process."""
        set_options: list[tuple[int, int, Any]] = []
        original = socket.socket.setsockopt

        def record_option(
            sock: socket.socket, level: int, option: int, setting: Any
        ) -> None:
            set_options.append((level, option, setting))
            original(sock, level, option, setting)

        monkeypatch.setattr(socket.socket, 'setsockopt', record_option)
        asyncio.run(time_out_call(PartitionedLink(), heal_delay=0))
        assert any(
            option == socket.SO_LINGER and setting == b'\x01\0\0\0\0\0\0\0'
            for _, option, setting in set_options
        )

    @staticmethod
    def test_timeout_includes_connecting() -> None:
        """Otherwise a leader's call could be sent just before its lease expires."""
        asyncio.run(_call_unresponsive_address())


async def _call_unresponsive_address() -> None:
    """Make a call to an address that accepts no connections."""
    with socket.socket() as unresponsive:
        unresponsive.bind(('127.0.0.1', 0))
        unresponsive.listen(0)
        # These connections fill the accept queue, so the next ones hang.
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(unresponsive.getsockname())
        client = HttpClient(Address(*unresponsive.getsockname()), SystemClock())
        with pytest.raises(ServerError, match=r'no answer in 0\.1 s'):
            await client.call(b'POST', b'/orders', timeout=TIMEOUT_SECONDS)
        for filler in fillers:
            filler.close()
