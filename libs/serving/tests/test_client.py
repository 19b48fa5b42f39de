"""Calls to the platform over a link that holds bytes back."""

import asyncio
import socket
from typing import Any

import pytest

from fireflyhitch_model.clock import SystemClock
from fireflyhitch_serving.client import HttpClient
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.errors import ServerError

GIVEN_UP_SECONDS = 0.1
HEALED_SECONDS = 0.2
ARRIVAL_SECONDS = 0.3


class CutLink(asyncio.Protocol):
    """One end of a link that is cut: what was sent arrives once the link has healed.

    Bytes of a sender that reset its connection are lost, as they are in a kernel's
    send buffer; those of a sender that closed it are not.
    """

    def __init__(self) -> None:
        """Make a link that carries nothing yet."""
        self.arrived = b''
        self._held = b''
        self._healed = False

    def data_received(self, data: bytes) -> None:
        """Hold bytes until the link has healed."""
        self._held += data
        self._pass_on()

    def connection_lost(self, exc: Exception | None) -> None:
        """Lose what a sender had not got through when it reset the connection."""
        if exc is not None:
            self._held = b''

    def heal(self) -> None:
        """Let what is held arrive, and all that comes later."""
        self._healed = True
        self._pass_on()

    def _pass_on(self) -> None:
        if self._healed:
            self.arrived += self._held
            self._held = b''


async def give_up_a_call(link: CutLink, *, healed_after: float) -> None:
    """Make a call over a cut link, and give it up before the link has healed."""
    server = await asyncio.get_running_loop().create_server(
        lambda: link, '127.0.0.1', 0
    )
    address: tuple[str, int] = server.sockets[0].getsockname()
    client = HttpClient(Address(*address), SystemClock())
    with pytest.raises(ServerError):
        await client.call(b'POST', b'/orders', timeout=GIVEN_UP_SECONDS)
    await asyncio.sleep(healed_after)
    link.heal()
    await asyncio.sleep(ARRIVAL_SECONDS)
    server.close()


class TestGivenUpCalls:
    """Callers see nothing of it; the platform sees an order of a former leader.

    A leader is cut off as it orders servers, gives the call up in time, and loses its
    lease. A successor orders. The cut heals, and the kernel, which had kept the former
    leader's bytes, delivers them: the platform hears two leaders by turns.
    """

    @staticmethod
    def test_a_call_that_was_given_up_never_arrives() -> None:
        """Its connection is reset, so that the kernel drops what it holds."""
        link = CutLink()
        asyncio.run(give_up_a_call(link, healed_after=HEALED_SECONDS))
        assert not link.arrived

    @staticmethod
    def test_a_killed_process_leaves_no_call_behind(
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """The kernel resets the connections of a process that ends without closing."""
        lingering: list[tuple[int, int, Any]] = []
        original = socket.socket.setsockopt

        def note(sock: socket.socket, level: int, option: int, setting: Any) -> None:
            lingering.append((level, option, setting))
            original(sock, level, option, setting)

        monkeypatch.setattr(socket.socket, 'setsockopt', note)
        asyncio.run(give_up_a_call(CutLink(), healed_after=0))
        assert any(
            option == socket.SO_LINGER and setting == b'\x01\0\0\0\0\0\0\0'
            for _, option, setting in lingering
        )

    @staticmethod
    def test_opening_a_connection_counts_into_a_call_s_time() -> None:
        """Else a leader's call could go out when its lease has little left."""
        asyncio.run(_call_unreached())


async def _call_unreached() -> None:
    """Make a call to an address that accepts nothing."""
    with socket.socket() as silent:
        silent.bind(('127.0.0.1', 0))
        silent.listen(0)
        # Connections that nobody accepts fill the queue; the next ones hang.
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(silent.getsockname())
        client = HttpClient(Address(*silent.getsockname()), SystemClock())
        with pytest.raises(ServerError, match=r'no answer in 0\.1 s'):
            await client.call(b'POST', b'/orders', timeout=GIVEN_UP_SECONDS)
        for filler in fillers:
            filler.close()
