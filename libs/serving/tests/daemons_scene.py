"""Daemons that follow the server list together, in virtual time.

Their views, relays, peers and leases are the product's; the store and the links
between them are played.
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
from fireflyhitch_routing.crashes import ServerCrash
from fireflyhitch_routing.server_limits import ServerLimits
from fireflyhitch_serving.changes import decode_changes
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.dependencies import RecentPromptParts, make_crash_tracking
from fireflyhitch_serving.duty_ranking import LeadershipOrder
from fireflyhitch_serving.holds import HOLDS_PREFIX, HoldManager
from fireflyhitch_serving.hubs import HubTracker
from fireflyhitch_serving.leases import FIREFLYHITCH_PREFIX, LEADER_KEY, LeaderLease
from fireflyhitch_serving.moves import MoveTracker
from fireflyhitch_serving.peer_channel import PeerChannel, PeerHandlers
from fireflyhitch_serving.peer_state import PeerState
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.progress import ViewProgress
from fireflyhitch_serving.quotas import Quotas, QuotaSlack
from fireflyhitch_serving.registrations import (
    DAEMONS_PREFIX,
    Registration,
    RegistrationManager,
    RegistrationSweeper,
)
from fireflyhitch_serving.relays import ChangeRelay
from fireflyhitch_serving.retry_budget import RetryBounds, RetryBudget
from fireflyhitch_serving.servers import ServerEntry, ServerRegistry
from fireflyhitch_serving.shared_state import SharedComponents, SharedState
from fireflyhitch_serving.stalls import StallDetector
from fireflyhitch_serving.store_health import StoreHealth
from fireflyhitch_serving.store_probe import StoreProbe
from fireflyhitch_serving.store_view import PeerReports, StoreView, ViewCallbacks
from fireflyhitch_serving.summaries import SummaryTable
from fireflyhitch_serving.summary_relay import RelayedTrackers, SummaryRelay
from fireflyhitch_serving.traffic import ControlTraffic
from fireflyhitch_serving.usage import UsageTracker
from fireflyhitch_serving.versions import VersionShares

SERVERS = 'servers/'
READY = b'ready'
LEAVING = b'draining'
LINK_SECONDS = 0.001
USAGE_WINDOW_SECONDS = 5


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
        self.should_drop: Callable[[str, str, bytes], bool] = lambda sender, to, data: (
            False
        )
        self.names: dict[Address, str] = {}

    def carry(self, sender: Address, to: Address, data: bytes) -> None:
        """Deliver a datagram unless it is lost."""
        if self.should_drop(self.names[sender], self.names.get(to, ''), data):
            return
        asyncio.get_running_loop().call_later(
            LINK_SECONDS, self._deliver, sender, to, data
        )

    def _deliver(self, sender: Address, to: Address, data: bytes) -> None:
        channel = self.channels.get(to)
        if channel is not None:
            channel.datagram_received(data, (sender.host, sender.port))


def make_servers() -> ServerRegistry:
    """Return a book of one server that has a request of its own daemon's in flight."""
    book = ServerRegistry()
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
    """One daemon's parts that follow the servers, and what it believes of these."""

    def __init__(
        self,
        name: str,
        address: Address,
        net: Net,
        store: VirtualStore,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.address = address
        self.believes: dict[str, bytes | None] = {}
        self._rng = rng
        self._clock = LoopClock()
        self._process = f'{name}/{address.port}'
        self._domain = FailureDomainId(name.partition('-')[0])
        self._store = StoreClient(store, name)
        self._health = StoreHealth(self._clock)
        self._peers = PeerRegistry(
            name, self._domain, self._clock, self._clock.monotonic
        )
        self.hubs = HubTracker(self._peers, self._clock)
        self._servers = make_servers()
        self.limits = ServerLimits(name, self._peers.list_all, self._peers.wall)
        self.crashes = make_crash_tracking(self._clock, self._servers)
        self._summaries = SummaryTable(self._clock, lambda source: None)
        self._shared = SharedState(name, self._process, self._make_parts())
        self._channel = self._make_channel()
        self._channel.connection_made(_Transport(net, address))  # type: ignore[arg-type]
        net.names[address] = name
        net.channels[address] = self._channel
        registration = Registration(address, self._domain, 10)
        self._registrations = RegistrationManager(
            self._store, self._peers, name, registration, self._health, self._clock
        )
        self._lease = LeaderLease(
            self._store,
            self._clock.monotonic,
            self._process,
            rng,
            self._health,
            LeadershipOrder(
                self._peers, self._summaries, self._registrations.has_discovered_peers
            ).find,
        )
        self._holds = HoldManager(
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
            self._registrations.has_discovered_peers,
        )
        self.view = self._make_view(
            SERVERS, ViewCallbacks(self._take_change, lambda: None)
        )
        self._own_view = self._make_view(
            FIREFLYHITCH_PREFIX,
            ViewCallbacks(
                self._take_own,
                self._note_listed,
                lambda: not self._registrations.is_listed,
            ),
        )
        self._views = (self.view, self._own_view)
        self._tasks = self._start()

    def count_work(self) -> int:
        """Return how many requests it knows of at the one server that has some."""
        now = self._clock.monotonic()
        records = self._servers.all().values()
        return sum(record.total(now).requests for record in records)

    def holds(self, content: ContentId) -> bool:
        """Tell whether it holds a request back."""
        now = self._clock.monotonic()
        return self.crashes.quarantine.find_remaining_hold(content, now) is not None

    def record_crash(self, content: ContentId, process: int) -> None:
        """Have a server end now under a request that it was sent just before."""
        now = self._clock.monotonic()
        end = ServerCrash(now, now - 0.05)
        self.crashes.book.record_crash(content, ProcessId(process), end, now)

    def kill(self) -> None:
        """End without a word."""
        for task in self._tasks:
            task.cancel()

    def _make_parts(self) -> SharedComponents:
        return SharedComponents(
            clock=self._clock,
            peers=self._peers,
            hubs=self.hubs,
            summaries=self._summaries,
            servers=self._servers,
            quotas=Quotas(QuotaSlack()),
            usage=UsageTracker(self._process, USAGE_WINDOW_SECONDS),
            budget=RetryBudget(RetryBounds()),
            moves=MoveTracker(VersionShares(), 0.1),
            crashes=self.crashes.book,
            limits=self.limits,
            fresh_parts=RecentPromptParts(),
            health=self._health,
            stopping=bool,
            newest=lambda: {view.prefix: view.newest for view in self._views},
        )

    def _make_channel(self) -> PeerChannel:
        return PeerChannel(
            self._peers,
            self.hubs,
            PeerHandlers(
                self._shared.build_peer_state,
                self._take_news,
                self._take_other,
                lambda: self._lease.find_leader(),
            ),
            StallDetector(self._clock.monotonic, lambda: None),
            self._rng,
            ControlTraffic(),
        )

    def _make_view(self, prefix: str, events: ViewCallbacks) -> StoreView:
        return StoreView(
            self._store,
            self._health,
            prefix,
            events,
            self._rng,
            ViewProgress(self._clock),
            PeerReports(
                self._shared.find_newest, self._shared.is_store_settled_elsewhere
            ),
            self.relay,
        )

    def _start(self) -> list[asyncio.Task[None]]:
        summary_relay = SummaryRelay(
            self._peers,
            self.hubs,
            self._summaries,
            RelayedTrackers(Quotas(QuotaSlack()), self.crashes.book, self.limits),
            self._clock.monotonic,
            self._channel.send_to,
            self._rng,
        )
        probe = StoreProbe(self._views, self._health, self.relay.watches, self._rng)
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
        self._lease.mark_keys_listed()

    def _take_own(self, key: str, value: bytes | None, revision: Revision) -> None:
        if key.startswith(DAEMONS_PREFIX):
            name = key.removeprefix(DAEMONS_PREFIX)
            self._registrations.take(name, value, revision)
        elif key.startswith(HOLDS_PREFIX):
            self._holds.take(key.removeprefix(HOLDS_PREFIX), value)
        elif key == LEADER_KEY:
            self._lease.apply_leader(value, revision)

    def _take_news(self, news: PeerState) -> None:
        self._shared.apply_peer_state(news)
        self.relay.update_group()

    def _take_other(self, data: bytes) -> bool:
        message = decode_changes(data)
        if message is None:
            taken = self._shared.apply_summaries(data)
            if taken:
                self.relay.update_group()
                self.relay.assist_domains(self._shared.find_relays_without_store())
            return taken
        self.relay.forward(message)
        for view in self._views:
            view.apply_span(message.span, f'peer {message.sender}')
        return True

    def _take_change(self, key: str, value: bytes | None, revision: Revision) -> None:
        self.believes[key] = value


class Daemons:
    """Daemons of some failure domains, on links that a test may break.

    :param counts: of daemons, by failure domain; they are named ``gent-1`` and so on.
    """

    def __init__(self, seed: int, **counts: int) -> None:
        self.store = VirtualStore()
        self.net = Net()
        self.daemons: dict[str, Daemon] = {}
        self.rng = random.Random(seed)  # noqa: S311
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

    def start(self, name: str) -> None:
        """Start a daemon."""
        self._starts += 1
        address = Address('127.0.0.1', self._starts)
        self.daemons[name] = Daemon(name, address, self.net, self.store, self.rng)

    def kill(self, name: str) -> None:
        """End a daemon without a word."""
        daemon = self.daemons.pop(name)
        del self.net.channels[daemon.address]
        daemon.kill()

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

    def find_hubs(self, domain: str) -> list[str]:
        """Return who takes itself for a failure domain's hub."""
        return [
            name for name in self.find_daemons(domain) if self.daemons[name].hubs.acts()
        ]

    def count_work(self) -> list[int]:
        """Return how many requests each daemon knows of; each has one in flight."""
        return [daemon.count_work() for daemon in self.daemons.values()]

    def find_listed(self) -> set[str]:
        """Return the daemons that are registered in the store."""
        now = asyncio.get_running_loop().time()
        listed = self.store.read(DAEMONS_PREFIX, now).items
        return {item.key.removeprefix(DAEMONS_PREFIX) for item in listed}

    def leave(self, server: str) -> None:
        """Have a server begin to leave."""
        self.store.put(f'{SERVERS}{server}', LEAVING)

    def find_outdated(self, server: str) -> list[str]:
        """Return the daemons that would still send to a leaving server."""
        return [
            name
            for name, daemon in self.daemons.items()
            if daemon.believes.get(f'{SERVERS}{server}') != LEAVING
        ]


def is_change(data: bytes) -> bool:
    """Tell whether a datagram carries changes."""
    return decode_changes(data) is not None
