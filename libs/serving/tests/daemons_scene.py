"""Daemons that follow the server list together, in virtual time.

Their views, relays, peers and leases are the product's; the store and the links between
the daemons are simulated.
"""

import asyncio
import random
from collections.abc import Callable

from virtual_store import StoreClient, VirtualStore
from virtual_time import LoopClock

from fireflyhitch_model.ids import (
    BackendServerId,
    ContentId,
    DeploymentId,
    FailureDomainId,
    ProcessId,
    Revision,
)
from fireflyhitch_routing.crashes import ServerEnd
from fireflyhitch_routing.server_limits import ServerLimits
from fireflyhitch_serving.beliefs import BeliefEvents, PeerWord, StoreView
from fireflyhitch_serving.budgets import RepeatBounds, RepeatBudget
from fireflyhitch_serving.candidates import LeadTurns
from fireflyhitch_serving.changes import read_changes
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.holds import HOLDS_PREFIX, HoldKeeper
from fireflyhitch_serving.hubs import Hubs
from fireflyhitch_serving.leases import LEADER_KEY, OWN_PREFIX, LeaderLease
from fireflyhitch_serving.moves import MoveBook
from fireflyhitch_serving.parts import FreshParts, make_crash_parts
from fireflyhitch_serving.peer_channel import NewsHandlers, PeerChannel
from fireflyhitch_serving.peer_news import PeerNews
from fireflyhitch_serving.peers import PeerBook
from fireflyhitch_serving.progress import ViewProgress
from fireflyhitch_serving.quotas import Quotas, QuotaSlack
from fireflyhitch_serving.registrations import (
    DAEMONS_PREFIX,
    Registration,
    RegistrationKeeper,
    RegistrationSweeper,
)
from fireflyhitch_serving.relays import ChangeRelay
from fireflyhitch_serving.servers import ServerBook, ServerEntry
from fireflyhitch_serving.shared_state import SharedParts, SharedState
from fireflyhitch_serving.stalls import StallWatch
from fireflyhitch_serving.store_health import StoreHealth
from fireflyhitch_serving.store_probe import StoreProbe
from fireflyhitch_serving.summaries import SummaryBook
from fireflyhitch_serving.summary_relay import RelayedBooks, SummaryRelay
from fireflyhitch_serving.traffic import ControlTraffic
from fireflyhitch_serving.usage import UsageBook
from fireflyhitch_serving.versions import VersionShares

SERVERS = 'servers/'
READY = b'ready'
LEAVING = b'draining'
LINK_DELAY_SECONDS = 0.001
USAGE_WINDOW_SECONDS = 5


class _Transport:
    def __init__(self, net: 'Net', own: Address) -> None:
        self._net = net
        self._own = own

    def sendto(self, data: bytes, to: tuple[str, int]) -> None:
        """Send a datagram over the links."""
        self._net.transmit(self._own, Address(*to), data)


class Net:
    """Links that drop the datagrams that a test selects."""

    def __init__(self) -> None:
        self.channels: dict[Address, PeerChannel] = {}
        self.loses: Callable[[str, str, bytes], bool] = lambda sender, to, data: False
        self.names: dict[Address, str] = {}

    def transmit(self, sender: Address, to: Address, data: bytes) -> None:
        """Deliver a datagram unless it is dropped."""
        if self.loses(self.names[sender], self.names.get(to, ''), data):
            return
        asyncio.get_running_loop().call_later(
            LINK_DELAY_SECONDS, self._deliver, sender, to, data
        )

    def _deliver(self, sender: Address, to: Address, data: bytes) -> None:
        channel = self.channels.get(to)
        if channel is not None:
            channel.datagram_received(data, (sender.host, sender.port))


def make_servers() -> ServerBook:
    """Return a registry of one server with one of this daemon's requests in flight."""
    book = ServerBook()
    book.put(
        ServerEntry(
            BackendServerId('busy'),
            DeploymentId('bookings'),
            Address('127.0.0.1', 1),
            FailureDomainId('gent'),
            'v1',
            slots=12,
            ready=True,
        )
    )
    for record in book.all().values():
        record.requests = 1
    return book


class Daemon:
    """One daemon's components that follow the server list, and its view of the servers."""

    def __init__(
        self,
        name: str,
        address: Address,
        net: Net,
        store: VirtualStore,
        draw: random.Random,
    ) -> None:
        self.name = name
        self.address = address
        self.entries: dict[str, bytes | None] = {}
        self._draw = draw
        self._clock = LoopClock()
        self._process = f'{name}/{address.port}'
        self._domain = FailureDomainId(name.partition('-')[0])
        self._store = StoreClient(store, name)
        self._health = StoreHealth(self._clock)
        self._peers = PeerBook(name, self._domain, self._clock, self._clock.monotonic)
        self.hubs = Hubs(self._peers, self._clock)
        self._servers = make_servers()
        self.limits = ServerLimits(name, self._peers.list_all, self._peers.wall)
        self.crashes = make_crash_parts(self._clock, self._servers)
        self._summaries = SummaryBook(self._clock, lambda source: None)
        self._shared = SharedState(name, self._process, self._make_parts())
        self._channel = self._make_channel()
        self._channel.connection_made(_Transport(net, address))  # type: ignore[arg-type]
        net.names[address] = name
        net.channels[address] = self._channel
        registration = Registration(address, self._domain, 10)
        self._registrations = RegistrationKeeper(
            self._store, self._peers, name, registration, self._health, self._clock
        )
        self._lease = LeaderLease(
            self._store,
            self._clock.monotonic,
            self._process,
            draw,
            self._health,
            LeadTurns(
                self._peers, self._summaries, self._registrations.knows_peers
            ).find,
        )
        self._holds = HoldKeeper(
            self.crashes.quarantine,
            self._store,
            self._lease,
            self._health,
            self._clock,
            self._peers,
        )
        self.relay = ChangeRelay(
            self._peers,
            name,
            self._process,
            self._clock,
            self._channel.send_to,
            self._registrations.knows_peers,
        )
        self.view = self._make_view(
            SERVERS, BeliefEvents(self._apply_change, lambda: None)
        )
        self._own_view = self._make_view(
            OWN_PREFIX,
            BeliefEvents(
                self._apply_own,
                self._note_listed,
                lambda: not self._registrations.is_listed,
            ),
        )
        self._views = (self.view, self._own_view)
        self._tasks = self._start()

    def count_work(self) -> int:
        """Return how many requests it counts at the one server that has some."""
        now = self._clock.monotonic()
        records = self._servers.all().values()
        return sum(record.total(now).requests for record in records)

    def holds(self, content: ContentId) -> bool:
        """Return whether it holds a request back."""
        now = self._clock.monotonic()
        return self.crashes.quarantine.find_wait(content, now) is not None

    def note_end(self, content: ContentId, process: int) -> None:
        """Record that a server crashed now, just after a request was sent to it."""
        now = self._clock.monotonic()
        end = ServerEnd(now, now - 0.05)
        self.crashes.book.note_end(content, ProcessId(process), end, now)

    def kill(self) -> None:
        """Stop without notice."""
        for task in self._tasks:
            task.cancel()

    def _make_parts(self) -> SharedParts:
        return SharedParts(
            clock=self._clock,
            peers=self._peers,
            hubs=self.hubs,
            summaries=self._summaries,
            servers=self._servers,
            quotas=Quotas(QuotaSlack()),
            usage=UsageBook(self._process, USAGE_WINDOW_SECONDS),
            budget=RepeatBudget(RepeatBounds()),
            moves=MoveBook(VersionShares(), 0.1),
            crashes=self.crashes.book,
            limits=self.limits,
            fresh_parts=FreshParts(),
            health=self._health,
            stopping=bool,
            newest=lambda: {view.prefix: view.newest for view in self._views},
        )

    def _make_channel(self) -> PeerChannel:
        return PeerChannel(
            self._peers,
            self.hubs,
            NewsHandlers(
                self._shared.make_news,
                self._receive_state,
                self._receive_other,
                lambda: self._lease.find_leader(),
            ),
            StallWatch(self._clock.monotonic, lambda: None),
            self._draw,
            ControlTraffic(),
        )

    def _make_view(self, prefix: str, events: BeliefEvents) -> StoreView:
        return StoreView(
            self._store,
            self._health,
            prefix,
            events,
            self._draw,
            ViewProgress(self._clock),
            PeerWord(self._shared.find_newest, self._shared.is_store_settled_elsewhere),
            self.relay,
        )

    def _start(self) -> list[asyncio.Task[None]]:
        summary_relay = SummaryRelay(
            self._peers,
            self.hubs,
            self._summaries,
            RelayedBooks(Quotas(QuotaSlack()), self.crashes.book, self.limits),
            self._clock.monotonic,
            self._channel.send_to,
            self._draw,
        )
        probe = StoreProbe(self._views, self._health, self.relay.watches, self._draw)
        sweeper = RegistrationSweeper(
            self._store, self._peers, self._lease, self._health, self._clock
        )
        loop = asyncio.get_running_loop()
        parts = (
            *self._views,
            self._lease,
            self._registrations,
            sweeper,
            self._holds,
            probe,
            self._channel,
            summary_relay,
        )
        return [loop.create_task(part.run()) for part in parts]

    def _note_listed(self) -> None:
        self._registrations.note_listed()
        self._lease.take_listed()

    def _apply_own(self, key: str, value: bytes | None, revision: Revision) -> None:
        if key.startswith(DAEMONS_PREFIX):
            name = key.removeprefix(DAEMONS_PREFIX)
            self._registrations.take(name, value, revision)
        elif key.startswith(HOLDS_PREFIX):
            self._holds.take(key.removeprefix(HOLDS_PREFIX), value)
        elif key == LEADER_KEY:
            self._lease.take_leader(value, revision)

    def _receive_state(self, state: PeerNews) -> None:
        self._shared.take_news(state)
        self.relay.note_group()

    def _receive_other(self, data: bytes) -> bool:
        message = read_changes(data)
        if message is None:
            taken = self._shared.take_summaries(data)
            if taken:
                self.relay.note_group()
                self.relay.help(self._shared.find_relays_without_store())
            return taken
        self.relay.forward(message)
        for view in self._views:
            view.take_span(message.span, f'peer {message.sender}')
        return True

    def _apply_change(self, key: str, value: bytes | None, revision: Revision) -> None:
        self.entries[key] = value


class Daemons:
    """Daemons of several failure domains, on links that a test may break.

    :param counts: number of daemons by failure domain; they are named ``gent-1`` and so
        on.
    """

    def __init__(self, seed: int, **counts: int) -> None:
        self.store = VirtualStore()
        self.net = Net()
        self.daemons: dict[str, Daemon] = {}
        self.draw = random.Random(seed)  # noqa: S311
        self._starts = 0
        self._counts = counts

    async def start_all(self) -> None:
        """Start the daemons with one server listed, and wait until all have settled."""
        self.store.put(f'{SERVERS}i-1', READY)
        for domain, count in self._counts.items():
            for number in range(count):
                self.start(f'{domain}-{number + 1}')
        await asyncio.sleep(5)
        # Daemons act alone until they have discovered each other; this is over now.
        self.store.put(f'{SERVERS}i-2', READY)
        await asyncio.sleep(3)

    def start(self, name: str) -> None:
        """Start a daemon."""
        self._starts += 1
        address = Address('127.0.0.1', self._starts)
        self.daemons[name] = Daemon(name, address, self.net, self.store, self.draw)

    def kill(self, name: str) -> None:
        """Stop a daemon without notice."""
        daemon = self.daemons.pop(name)
        del self.net.channels[daemon.address]
        daemon.kill()

    def find_watchers(self, domain: str) -> list[str]:
        """Return a failure domain's watchers, as the daemons see it."""
        return [
            name
            for name in self.find_daemons(domain)
            if self.daemons[name].relay.watches()
        ]

    def find_daemons(self, domain: str) -> list[str]:
        """Return a failure domain's daemons."""
        return [name for name in self.daemons if name.startswith(domain)]

    def find_hubs(self, domain: str) -> list[str]:
        """Return the daemons that act as a failure domain's hub."""
        return [
            name
            for name in self.find_daemons(domain)
            if self.daemons[name].hubs.is_hub()
        ]

    def count_work(self) -> list[int]:
        """Return how many requests each daemon counts; each has one in flight."""
        return [daemon.count_work() for daemon in self.daemons.values()]

    def find_listed(self) -> set[str]:
        """Return the daemons that are registered in the store."""
        now = asyncio.get_running_loop().time()
        listed = self.store.read(DAEMONS_PREFIX, now).items
        return {item.key.removeprefix(DAEMONS_PREFIX) for item in listed}

    def leave(self, server: str) -> None:
        """Start draining a server."""
        self.store.put(f'{SERVERS}{server}', LEAVING)

    def find_unaware(self, server: str) -> list[str]:
        """Return the daemons that would still send to a draining server."""
        return [
            name
            for name, daemon in self.daemons.items()
            if daemon.entries.get(f'{SERVERS}{server}') != LEAVING
        ]


def is_change(data: bytes) -> bool:
    """Return whether a datagram carries changes."""
    return read_changes(data) is not None
