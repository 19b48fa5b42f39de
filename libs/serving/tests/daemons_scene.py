"""Daemons that follow the server list together, in virtual time.

Their views, relays, peers and leases are the product's; the store and the links
between them are played.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from virtual_store import StoreClient, VirtualStore
from virtual_time import LoopClock

from fireflyhitch_model.ids import ABSENT, FailureDomainId, Revision
from fireflyhitch_serving.beliefs import BeliefEvents, StoreHealth, StoreView
from fireflyhitch_serving.changes import read_changes
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.leases import DaemonLease
from fireflyhitch_serving.peer_news import PeerNews
from fireflyhitch_serving.peer_roll import PeerRoll
from fireflyhitch_serving.peers import PeerBook, PeerChannel
from fireflyhitch_serving.progress import ViewProgress
from fireflyhitch_serving.quotas import Quotas, QuotaSlack
from fireflyhitch_serving.registrations import Registration
from fireflyhitch_serving.relays import ChangeRelay
from fireflyhitch_serving.stalls import StallWatch
from fireflyhitch_serving.summaries import SummaryBook, read_summaries
from fireflyhitch_serving.summary_relay import SummaryRelay

SERVERS = 'servers/'
READY = b'ready'
LEAVING = b'draining'
LINK_SECONDS = 0.001


class _Transport:
    def __init__(self, net: 'Net', own: Address) -> None:
        self._net = net
        self._own = own

    def sendto(self, data: bytes, to: tuple[str, int]) -> None:
        """Have the links carry a datagram."""
        self._net.carry(self._own, Address(*to), data)


class Net:
    """Links that lose what a test says."""

    def __init__(self) -> None:
        self.channels: dict[Address, PeerChannel] = {}
        self.loses: Callable[[str, str, bytes], bool] = lambda sender, to, data: False
        self.names: dict[Address, str] = {}

    def carry(self, sender: Address, to: Address, data: bytes) -> None:
        """Deliver a datagram unless it is lost."""
        if self.loses(self.names[sender], self.names.get(to, ''), data):
            return
        asyncio.get_running_loop().call_later(
            LINK_SECONDS, self._deliver, sender, to, data
        )

    def _deliver(self, sender: Address, to: Address, data: bytes) -> None:
        channel = self.channels.get(to)
        if channel is not None:
            channel.datagram_received(data, (sender.host, sender.port))


@dataclass(slots=True)
class Daemon:
    """One daemon and what it believes of the servers."""

    name: str
    peers: PeerBook
    relay: ChangeRelay
    view: StoreView
    health: StoreHealth
    address: Address
    tasks: list[asyncio.Task[Any]]
    believes: dict[str, bytes | None]


class Daemons:
    """Daemons of some failure domains, on links that a test may break.

    :param counts: of daemons, by failure domain; they are named ``gent-1`` and so on.
    """

    def __init__(self, seed: int, **counts: int) -> None:
        self.store = VirtualStore()
        self.net = Net()
        self.daemons: dict[str, Daemon] = {}
        self._draw = random.Random(seed)  # noqa: S311
        self._starts = 0
        self._counts = counts

    async def start_all(self) -> None:
        """Start them with one server listed, and wait until all is settled."""
        self.store.put(f'{SERVERS}i-1', READY)
        for domain, count in self._counts.items():
            for number in range(count):
                self.start(f'{domain}-{number + 1}')
        await asyncio.sleep(5)
        # What the daemons did while they did not know each other is over.
        self.store.put(f'{SERVERS}i-2', READY)
        await asyncio.sleep(3)

    def start(self, name: str) -> Daemon:
        """Start a daemon."""
        clock = LoopClock()
        domain = FailureDomainId(name.partition('-')[0])
        self._starts += 1
        address = Address('127.0.0.1', self._starts)
        process = f'{name}/{self._starts}'
        peers = PeerBook(name, domain, clock, clock.monotonic)
        health = StoreHealth(clock)
        store = StoreClient(self.store, name)
        lease = DaemonLease(
            store,
            clock.monotonic,
            name,
            process,
            Registration(address, process, domain, 10).render(),
            self._draw,
            health,
        )
        summaries = SummaryBook(clock, lambda source: None)
        relay: ChangeRelay
        sequence = iter(range(1, 10**9))

        def make_news() -> PeerNews:
            return PeerNews(
                daemon=name,
                process=process,
                failure_domain=domain,
                sequence=next(sequence),
                wall=clock.monotonic(),
                work={},
                customers={},
                usage={},
                fresh_parts={},
                evidence={},
                hears_store=health.answers,
                store_settled=health.vouches(),
                newest={SERVERS: view.newest},
            )

        def take_summaries(data: bytes) -> bool:
            read = read_summaries(data)
            for summary in read or ():
                summaries.take(summary)
            return read is not None

        def take_other(data: bytes) -> bool:
            message = read_changes(data)
            if message is None:
                return take_summaries(data)
            view.take_span(message.span, f'peer {message.sender}')
            return True

        channel = PeerChannel(
            peers,
            make_news,
            lambda news: relay.note_news(news),
            take_other,
            lambda: None,
            StallWatch(clock.monotonic, lambda: None),
            self._draw,
        )
        relay = ChangeRelay(peers, name, process, clock, channel.send_to)
        believes: dict[str, bytes | None] = {}

        def take(key: str, value: bytes | None, revision: Revision) -> None:
            believes[key] = value

        events = BeliefEvents(take, lambda: None)

        def find_newest(prefix: str) -> Revision:
            told = [news.newest for news in peers.heard().values()]
            told.extend(summary.newest for summary in summaries.live().values())
            return max((newest[prefix] for newest in told), default=ABSENT)

        view = StoreView(
            store,
            health,
            SERVERS,
            events,
            self._draw,
            ViewProgress(clock),
            find_newest,
            relay,
        )
        summary_relay = SummaryRelay(
            name,
            peers,
            summaries,
            Quotas(QuotaSlack()),
            clock.monotonic,
            channel.send_to,
            self._draw,
        )
        roll = PeerRoll(store, peers, lease, health, self._draw)
        self.net.names[address] = name
        self.net.channels[address] = channel
        channel.connection_made(_Transport(self.net, address))  # type: ignore[arg-type]
        loop = asyncio.get_running_loop()
        tasks = [
            loop.create_task(part.run())
            for part in (view, lease, roll, channel, summary_relay)
        ]
        daemon = Daemon(name, peers, relay, view, health, address, tasks, believes)
        self.daemons[name] = daemon
        return daemon

    def kill(self, name: str) -> None:
        """End a daemon without a word."""
        daemon = self.daemons.pop(name)
        self.net.channels.pop(daemon.address)
        for task in daemon.tasks:
            task.cancel()

    def find_watchers(self, domain: str) -> list[str]:
        """Return who watches for a failure domain, as the daemons see it."""
        return [
            name
            for name in self.find_daemons(domain)
            if self.daemons[name].relay.watches()
        ]

    def find_daemons(self, domain: str) -> list[str]:
        """Return a failure domain's daemons."""
        return [name for name in self.daemons if name.startswith(domain)]

    def leave(self, server: str) -> None:
        """Have a server begin to leave."""
        self.store.put(f'{SERVERS}{server}', LEAVING)

    def find_unaware(self, server: str) -> list[str]:
        """Return the daemons that would still send to a leaving server."""
        return [
            name
            for name, daemon in self.daemons.items()
            if daemon.believes.get(f'{SERVERS}{server}') != LEAVING
        ]


def is_change(data: bytes) -> bool:
    """Tell whether a datagram carries changes."""
    return read_changes(data) is not None
