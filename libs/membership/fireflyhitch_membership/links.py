"""Links to peers, each with a bounded queue and a writer, on one event loop."""

import asyncio
import logging
import random
import ssl
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from loguru import logger
from websockets.asyncio.client import connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import WebSocketException

from fireflyhitch_membership.handshake import accept_handshake, open_handshake
from fireflyhitch_membership.messages import MemberRecord
from fireflyhitch_membership.wire import MAX_FRAME_BYTES, Frame, decode
from fireflyhitch_model.errors import PeerError
from fireflyhitch_model.ids import DaemonId
from fireflyhitch_model.states import Step

# Long enough for a busy daemon: an aborted handshake wastes work, and retrying it
# adds load.
OPEN_SECONDS = 4.0
# Limits concurrent handshakes when many peers are discovered at once.
MAX_CONCURRENT_OPENS = 4
# Longer than the interval between heartbeats on a link in use.
UNRESPONSIVE_SECONDS = 3.0
SEND_SECONDS = 2.0
# For the closing handshake of a link, which a crashed peer does not answer.
CLOSE_SECONDS = 1.0
# For all links together at shutdown.
STOP_SECONDS = 3.0
IDLE_SECONDS = 120.0
BACKOFF_SECONDS = 0.3
# At 12 KB/s a longer queue would take minutes to drain.
MAX_QUEUED_FRAMES = 256
BACKOFF_JITTER = (0.5, 1.5)
# WebSocket header with mask (8), TCP header with timestamps (32), IP header (20).
FRAME_OVERHEAD_BYTES = 60

# Returns whether to send a frame of a kind to a peer; tests use it to drop messages.
LinkFilter = Callable[[DaemonId, str], bool]
# The library's own logger would write lines to standard error that are not JSON.
_null_logger = logging.Logger('peer-links', logging.CRITICAL + 1)
LINK_ERRORS = (OSError, EOFError, KeyError, WebSocketException, PeerError)


@dataclass(frozen=True, slots=True)
class LinkOptions:
    """Options of a daemon's links.

    :param seeds: addresses (``host:port``) to contact first.
    :param peer_key: the key shared by all daemons, which both sides of a link prove.
    :param server_tls: if set, links are only accepted over TLS.
    :param client_tls: if set, links are opened over TLS.
    :param link_filter: for tests; ``None`` passes all frames.
    """

    seeds: tuple[str, ...]
    peer_key: str = field(repr=False)
    host: str = '127.0.0.1'
    port: int = 0
    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None
    link_filter: LinkFilter | None = field(default=None, compare=False)


@dataclass(slots=True)
class LinkCounts:
    """Traffic since the start; bytes include estimated header sizes."""

    bytes_out: int = 0
    bytes_in: int = 0
    frames_out: int = 0
    frames_in: int = 0
    dropped: int = 0


@dataclass(frozen=True, slots=True)
class LinkHooks:
    """Callbacks from the links to their owner.

    :param own: returns the local daemon's record.
    :param find: returns a peer's record, or ``None``.
    :param on_authenticated: called with each peer that proved the key.
    :param on_frame: called with each received frame; must not block.
    """

    own: Callable[[], MemberRecord]
    find: Callable[[DaemonId], MemberRecord | None]
    on_authenticated: Callable[[MemberRecord], None]
    on_frame: Callable[[DaemonId, Frame], None]


class Links:
    """All links of one daemon; every method must run on its event loop."""

    def __init__(self, options: LinkOptions, hooks: LinkHooks) -> None:
        self.counts = LinkCounts()
        self._options = options
        self._hooks = hooks
        self._server: Server | None = None
        self._sockets: dict[DaemonId, Any] = {}
        self._queues: dict[DaemonId, asyncio.Queue[bytes]] = {}
        self._last_received: dict[DaemonId, float] = {}
        self._opening = asyncio.Semaphore(MAX_CONCURRENT_OPENS)
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> int:
        """Start accepting links.

        :returns: the TCP port.
        """
        self._server = await serve(
            self._accept,
            self._options.host,
            self._options.port,
            ssl=self._options.server_tls,
            compression=None,
            ping_interval=None,
            max_size=MAX_FRAME_BYTES,
            close_timeout=CLOSE_SECONDS,
            logger=_null_logger,
        )
        port: int = next(iter(self._server.sockets)).getsockname()[1]
        return port

    async def close(self) -> None:
        """Close all links."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        # Handlers of accepted links are tasks of the server. If left pending they
        # would be destroyed with the loop during a closing handshake.
        pending = asyncio.all_tasks() - {asyncio.current_task()}
        if pending:
            _done, pending = await asyncio.wait(pending, timeout=STOP_SECONDS)
        for task in pending:
            task.cancel()
        if pending:
            await asyncio.wait(pending, timeout=CLOSE_SECONDS)

    def send(self, peer: DaemonId, kind: str, frame: bytes) -> bool:
        """Queue a frame.

        :returns: whether the queue had room for it.
        """
        passes = self._options.link_filter
        if passes is not None and not passes(peer, kind):
            return True
        queue = self._queues.get(peer)
        if queue is None:
            queue = asyncio.Queue(MAX_QUEUED_FRAMES)
            self._queues[peer] = queue
            self._start(self._write(peer, queue))
        if queue.full():
            # Drops frames to an unresponsive peer; waiting for room would delay
            # messages to all other peers.
            self.counts.dropped += 1
            return False
        queue.put_nowait(frame)
        return True

    async def open_link(self, address: str) -> MemberRecord:
        """Open a link to an address whose daemon is unknown.

        :raises PeerError: if no peer proves the key there in time.
        """
        try:
            async with self._opening, asyncio.timeout(OPEN_SECONDS):
                return await self._open(address)
        except LINK_ERRORS as error:
            raise PeerError(
                'link could not be opened', step=Step.CONNECT, peer=address
            ) from error

    async def drop(self, peer: DaemonId) -> None:
        """Close the link to a peer; the next frame opens a new one.

        After a partition TCP waits up to two minutes before it retransmits on an
        existing connection, so a peer would remain unresponsive long after the
        network has recovered. A new connection works at once.
        """
        socket = self._sockets.pop(peer, None)
        self._last_received.pop(peer, None)
        if socket is not None:
            self._start(socket.close())

    async def drop_if_unresponsive(self, peer: DaemonId) -> None:
        """Close the link to a peer if nothing was received from it recently."""
        now = asyncio.get_running_loop().time()
        if now - self._last_received.get(peer, now) > UNRESPONSIVE_SECONDS:
            await self.drop(peer)

    async def _write(self, peer: DaemonId, queue: 'asyncio.Queue[bytes]') -> None:
        try:
            while True:
                # Not wait_for: in Python 3.11 it may swallow a cancellation that
                # coincides with a frame, and the thread would not stop.
                async with asyncio.timeout(IDLE_SECONDS):
                    frame = await queue.get()
                await self._write_one(peer, queue, frame)
        except TimeoutError:
            await self.drop(peer)
        finally:
            self._queues.pop(peer, None)

    async def _write_one(
        self, peer: DaemonId, queue: 'asyncio.Queue[bytes]', frame: bytes
    ) -> None:
        try:
            if peer not in self._sockets:
                await self._open_known(peer)
            async with asyncio.timeout(SEND_SECONDS):
                await self._sockets[peer].send(frame)
        except LINK_ERRORS:
            # Drops the whole queue: by the time the peer is reachable again the
            # senders have timed out, and stale frames would delay new heartbeats.
            self.counts.dropped += 1 + queue.qsize()
            while not queue.empty():
                queue.get_nowait()
            await self.drop(peer)
            await asyncio.sleep(BACKOFF_SECONDS * random.uniform(*BACKOFF_JITTER))
            return
        self.counts.frames_out += 1
        self.counts.bytes_out += len(frame) + FRAME_OVERHEAD_BYTES

    async def _open_known(self, peer: DaemonId) -> None:
        record = self._hooks.find(peer)
        if record is None:
            raise PeerError('unknown peer', step=Step.CONNECT, peer=peer)
        async with self._opening:
            if peer in self._sockets:
                return
            async with asyncio.timeout(OPEN_SECONDS):
                found = await self._open(record.peer)
        if found.daemon_id != peer:
            raise PeerError(
                'another daemon answers at this address', step=Step.CONNECT, peer=peer
            )

    async def _open(self, address: str) -> MemberRecord:
        tls = self._options.client_tls
        socket = await connect(
            f'{"wss" if tls else "ws"}://{address}/',
            ssl=tls,
            proxy=None,
            compression=None,
            ping_interval=None,
            max_size=MAX_FRAME_BYTES,
            open_timeout=OPEN_SECONDS,
            close_timeout=CLOSE_SECONDS,
            logger=_null_logger,
        )
        try:
            peer = await open_handshake(
                socket, self._options.peer_key, self._hooks.own(), address
            )
            self._reject_self(peer, address)
        except BaseException:
            await socket.close()
            raise
        self._start(self._read(peer.daemon_id, socket))
        self._adopt(peer, socket)
        return peer

    def _reject_self(self, peer: MemberRecord, address: str) -> None:
        if peer.daemon_id == self._hooks.own().daemon_id:
            raise PeerError('address is our own', step=Step.CONNECT, peer=address)

    async def _accept(self, socket: ServerConnection) -> None:
        address = str(socket.remote_address)
        try:
            async with asyncio.timeout(OPEN_SECONDS):
                peer = await accept_handshake(
                    socket, self._options.peer_key, self._hooks.own(), address
                )
        except LINK_ERRORS as error:
            logger.bind(step=Step.AUTHENTICATE.value, peer=address).warning(
                'link refused', error=repr(error)
            )
            return
        self._adopt(peer, socket)
        await self._read(peer.daemon_id, socket)

    def _adopt(self, peer: MemberRecord, socket: Any) -> None:
        self._sockets[peer.daemon_id] = socket
        self._last_received[peer.daemon_id] = asyncio.get_running_loop().time()
        self._hooks.on_authenticated(peer)

    async def _read(self, peer: DaemonId, socket: Any) -> None:
        try:
            async for content in socket:
                self._last_received[peer] = asyncio.get_running_loop().time()
                self.counts.frames_in += 1
                self.counts.bytes_in += len(content) + FRAME_OVERHEAD_BYTES
                self._hooks.on_frame(peer, decode(content, peer))
        except LINK_ERRORS as error:
            logger.bind(step=Step.PEER.value, peer=peer).info(
                'link lost', error=repr(error)
            )
        except Exception as error:
            # An error in a handler closes this link, and a new one is opened. It is
            # logged here, since the library's own logger is disabled.
            logger.bind(step=Step.PEER.value, peer=peer).error(
                'link failed', error=repr(error)
            )
        finally:
            if self._sockets.get(peer) is socket:
                self._sockets.pop(peer)
            await socket.close()

    def _start(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
