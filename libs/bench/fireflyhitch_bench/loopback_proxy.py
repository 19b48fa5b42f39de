"""A proxy on loopback that misbehaves: delays, resets, or stays silent one or both ways."""

import asyncio
from enum import Enum

from fireflyhitch_serving.connections import Address
from fireflyhitch_standins.scripted_server import HOST, find_address

CHUNK_BYTES = 65536
# Longer than a daemon waits for the store's answer, so that both kinds of end are seen.
DELAY_SECONDS = 0.4


class LinkFault(Enum):
    """What a link does to bytes."""

    NONE = 'none'
    DELAY = 'delay'
    RESET = 'reset'
    SILENT = 'silent'
    ONE_WAY = 'one_way'


class LoopbackProxy:
    """Passes connections on to one address."""

    def __init__(self, target: Address) -> None:
        """Make a proxy without faults; ``start`` has it listen."""
        self.fault = LinkFault.NONE
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> Address:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return find_address(self._server)

    def stop(self) -> None:
        """Stop to listen, and reset what is open."""
        if self._server is not None:
            self._server.close()
        self._reset_all()

    def set_fault(self, fault: LinkFault) -> None:
        """Misbehave from now on; open connections are hit too."""
        self.fault = fault
        if fault is LinkFault.RESET:
            self._reset_all()

    def _reset_all(self) -> None:
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault is LinkFault.RESET:
            writer.transport.abort()
            return
        try:
            there_reader, there_writer = await asyncio.open_connection(
                self._target.host, self._target.port
            )
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, there_writer}
        self._writers |= ends
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pass(reader, there_writer, back=False))
                group.create_task(self._pass(there_reader, writer, back=True))
        except* (OSError, asyncio.CancelledError):
            # One end is gone, and the other sees it below; or the run ends.
            pass
        finally:
            self._writers -= ends
            for end in ends:
                end.transport.abort()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, back: bool
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.fault is LinkFault.DELAY:
                await asyncio.sleep(DELAY_SECONDS)
            if self.fault is LinkFault.SILENT or (
                back and self.fault is LinkFault.ONE_WAY
            ):
                continue
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError
