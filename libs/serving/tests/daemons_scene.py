"""Daemons that follow the server list together, in virtual time.

Their views, relays, peers and leases are the product's; the store and the links between
the daemons are simulated.
"""

import asyncio
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from virtual_store import StoreClient, VirtualStore
from virtual_time import LoopClock

from fireflyhitch_model.eras import UNKNOWN_ERA
from fireflyhitch_model.ids import (
    BackendServerId,
    ContentId,
    CustomerId,
    DeploymentId,
    FailureDomainId,
    FencingNumber,
    ProcessId,
    Revision,
)
from fireflyhitch_model.states import Outcome, Step
from fireflyhitch_platform.keyvalue import Listing
from fireflyhitch_routing.announcements import AnnouncementKind, AnnouncementTables
from fireflyhitch_routing.crashes import ServerCrash
from fireflyhitch_routing.server_limits import ServerLimits
from fireflyhitch_routing.service_demand import ServiceDemands
from fireflyhitch_serving.changes import decode_changes
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.dependencies import RecentPromptParts, make_crash_tracking
from fireflyhitch_serving.deputies import LeaderDeputy
from fireflyhitch_serving.duty_calls import CallResult
from fireflyhitch_serving.duty_ranking import LeadershipOrder
from fireflyhitch_serving.errors import ServerError
from fireflyhitch_serving.fixed_counts import (
    USAGE_PREFIX,
    FixedCounts,
    KeeperCalls,
)
from fireflyhitch_serving.holds import HOLDS_PREFIX, HoldManager
from fireflyhitch_serving.hubs import HubTracker
from fireflyhitch_serving.leases import (
    FIREFLYHITCH_PREFIX,
    LEADER_ERA_KEY,
    LEADER_KEY,
    LeaderLease,
    Leadership,
)
from fireflyhitch_serving.moves import MoveTracker
from fireflyhitch_serving.peer_channel import PeerChannel, PeerHandlers
from fireflyhitch_serving.peer_listings import PeerListings
from fireflyhitch_serving.peer_state import PeerState
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.progress import ViewProgress
from fireflyhitch_serving.quotas import Quotas, QuotaSlack
from fireflyhitch_serving.reachability import ServerReachability
from fireflyhitch_serving.registrations import (
    DAEMONS_PREFIX,
    Registration,
    RegistrationManager,
    RegistrationSweeper,
)
from fireflyhitch_serving.relays import ChangeRelay
from fireflyhitch_serving.retry_budget import RetryBounds, RetryBudget
from fireflyhitch_serving.saved_counts import SavedCounts
from fireflyhitch_serving.saved_crashes import SavedCrashes
from fireflyhitch_serving.servers import ServerEntry, ServerRegistry
from fireflyhitch_serving.shared_state import SharedComponents, SharedState
from fireflyhitch_serving.stalls import StallDetector
from fireflyhitch_serving.store_eras import EraTracker
from fireflyhitch_serving.store_health import StoreHealth
from fireflyhitch_serving.store_probe import StoreProbe
from fireflyhitch_serving.store_view import PeerReports, StoreView, ViewCallbacks
from fireflyhitch_serving.summaries import SummaryTable
from fireflyhitch_serving.summary_relay import RelayedTrackers, SummaryRelay
from fireflyhitch_serving.traffic import ControlTraffic
from fireflyhitch_serving.usage import UsageTracker
from fireflyhitch_serving.usage_reports import (
    PeerCounts,
    UsageReporter,
    UsageSchedule,
)
from fireflyhitch_serving.versions import VersionShares

SERVERS = 'servers/'
READY = b'ready'
LEAVING = b'draining'
LINK_DELAY_SECONDS = 0.001
USAGE_WINDOW_SECONDS = 5
USAGE_LATE_SECONDS = 10


@dataclass(frozen=True, slots=True)
class UsageReport:
    """A report of one window's requests."""

    daemon: str
    fencing: FencingNumber
    window: int
    counts: Mapping[CustomerId, int]


class Duties:
    """One daemon's calls to the platform, which cannot be reached unless it accepts any.

    :param accepted: the reports that the platform has accepted; ``None`` if it cannot be
        reached.
    """

    def __init__(self, daemon: str, accepted: list[UsageReport] | None) -> None:
        self._daemon = daemon
        self._accepted = accepted

    async def report_usage(
        self, leadership: Leadership, window: int, counts: Mapping[CustomerId, int]
    ) -> CallResult:
        """Report usage."""
        if self._accepted is None:
            return CallResult.FAILED
        await asyncio.sleep(LINK_DELAY_SECONDS)
        self._accepted.append(
            UsageReport(self._daemon, leadership.fencing, window, dict(counts))
        )
        await asyncio.sleep(LINK_DELAY_SECONDS)
        return CallResult.DONE

    async def order_servers(self, *details: object) -> CallResult:
        """Fail."""
        return CallResult.FAILED


class _Transport:
    def __init__(self, net: 'SimulatedNetwork', own: Address) -> None:
        self._net = net
        self._own = own

    def sendto(self, data: bytes, to: tuple[str, int]) -> None:
        """Send a datagram over the links."""
        self._net.transmit(self._own, Address(*to), data)


class SimulatedNetwork:
    """Links that drop the datagrams that a test selects."""

    def __init__(self) -> None:
        self.channels: dict[Address, PeerChannel] = {}
        self.should_drop: Callable[[str, str, bytes], bool] = lambda sender, to, data: (
            False
        )
        self.rewrite: Callable[[str, bytes], bytes] = lambda sender, data: data
        self.names: dict[Address, str] = {}
        self.find_link_mbps: Callable[[str], float] = lambda daemon: 10
        self.daemons: dict[Address, Daemon] = {}
        self.accepted_reports: list[UsageReport] | None = None

    async def read_listing(self, address: Address, prefix: str) -> Listing:
        """Return a daemon's listing over a connection, which loses nothing."""
        await asyncio.sleep(2 * LINK_DELAY_SECONDS)
        daemon = self.daemons.get(address) if address in self.channels else None
        listing = daemon.find_listing(prefix) if daemon else None
        if listing is None:
            raise ServerError(
                'no listing',
                step=Step.STORE_READ,
                peer=str(address),
                outcome=Outcome.RAN,
            )
        return listing

    def transmit(self, sender: Address, to: Address, data: bytes) -> None:
        """Deliver a datagram unless it is dropped."""
        if self.should_drop(self.names[sender], self.names.get(to, ''), data):
            return
        sent = self.rewrite(self.names[sender], data)
        asyncio.get_running_loop().call_later(
            LINK_DELAY_SECONDS, self._deliver, sender, to, sent
        )

    def _deliver(self, sender: Address, to: Address, data: bytes) -> None:
        channel = self.channels.get(to)
        if channel is not None:
            channel.datagram_received(data, (sender.host, sender.port))


def make_servers() -> ServerRegistry:
    """Return a registry of one server with one of this daemon's requests in flight."""
    registry = ServerRegistry()
    registry.put(
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
    for record in registry.all().values():
        record.requests = 1
    return registry


class Daemon:
    """One daemon's components that follow the server list, and its view of the servers."""

    def __init__(
        self,
        name: str,
        address: Address,
        net: SimulatedNetwork,
        store: VirtualStore,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.address = address
        self.entries: dict[str, bytes | None] = {}
        self._rng = rng
        self._clock = LoopClock()
        self.eras = EraTracker(self._clock)
        self._process = f'{name}/{address.port}'
        self._domain = FailureDomainId(name.partition('-')[0])
        self._store = StoreClient(store, name, self.eras)
        self._health = StoreHealth(self._clock)
        self.eras.add_callback(self._health.record_restore)
        self.clock_error = 0.0
        self._peers = PeerRegistry(
            name,
            self._domain,
            self._clock,
            lambda: self._clock.monotonic() + self.clock_error,
        )
        self.hubs = HubTracker(self._peers, self._clock)
        self._servers = make_servers()
        self.stopping = False
        self.usage = UsageTracker(self._process, USAGE_WINDOW_SECONDS)
        self.limits = ServerLimits(name, self._peers.list_all, self._peers.wall)
        self._announcements = AnnouncementTables(
            {AnnouncementKind.LIMIT: self.limits.announcements}
        )
        self.reachability = ServerReachability(self._clock, self._servers, rng)
        self.crashes = make_crash_tracking(
            self._clock, self._servers, self.reachability
        )
        self._summaries = SummaryTable(self._clock, lambda source: None)
        self._shared = SharedState(name, self._process, self._make_components())
        self._channel = self._make_channel()
        self._channel.connection_made(_Transport(net, address))  # type: ignore[arg-type]
        net.names[address] = name
        net.channels[address] = self._channel
        registration = Registration(address, self._domain, net.find_link_mbps(name))
        self._registrations = RegistrationManager(
            self._store,
            self._peers,
            name,
            registration,
            self._health,
            self._clock,
            self.eras,
        )
        leadership_order = LeadershipOrder(
            self._peers, self._summaries, self._registrations.has_discovered_peers
        )
        self._lease = LeaderLease(
            self._store,
            self._clock.monotonic,
            self._process,
            rng,
            self._health,
            leadership_order.find,
            self.eras,
        )
        deputy = LeaderDeputy(
            self._peers,
            self.hubs,
            self._summaries,
            leadership_order,
            self._lease,
            self._health,
        )
        self.fixed_counts = FixedCounts(
            self._store,
            self.eras,
            self._peers,
            KeeperCalls(self._channel.send_to, self._read_all),
        )
        self._reporter = UsageReporter(
            self.usage,
            self._lease,
            SavedCounts(self._store, self.usage, self._domain),
            self.fixed_counts,
            Duties(name, net.accepted_reports),
            self._peers.wall,
            PeerCounts(
                lambda: self._shared.has_heard_from_all(),
                self._peers.propagation_seconds,
                deputy.acts,
            ),
            UsageSchedule(USAGE_WINDOW_SECONDS, USAGE_LATE_SECONDS),
        )
        self._holds = HoldManager(
            self.crashes.quarantine,
            self._store,
            self._lease,
            self._health,
            self._clock,
            self._peers,
            self.eras,
        )
        self._saved_crashes = SavedCrashes(
            self.crashes.tracker,
            self._store,
            self._lease,
            deputy,
            self._health,
            self._clock,
            self._peers,
            self.eras,
        )
        self.relay = ChangeRelay(
            self._peers,
            name,
            self._process,
            self._clock,
            self._channel.send_to,
            self._registrations.has_discovered_peers,
        )
        self._peer_listings = PeerListings(
            self._peers, self.relay.list_watchers, rng, net.read_listing
        )
        net.daemons[address] = self
        self.view = self._make_view(
            SERVERS, ViewCallbacks(self._apply_change, lambda: None)
        )
        self._own_view = self._make_view(
            FIREFLYHITCH_PREFIX,
            ViewCallbacks(
                self._apply_own,
                self._mark_listed,
                lambda: not self._registrations.is_listed,
                self._mark_missing,
            ),
        )
        self._views = (self.view, self._own_view)
        self._tasks = self._start()

    def find_listing(self, prefix: str) -> Listing | None:
        """Return all keys below a prefix as it knows them."""
        if prefix == USAGE_PREFIX:
            return self.fixed_counts.make_listing()
        views = {view.prefix: view for view in self._views}
        return views[prefix].make_listing()

    def count_work(self) -> int:
        """Return how many requests it counts at the one server that has some."""
        now = self._clock.monotonic()
        records = self._servers.all().values()
        return sum(record.total(now).requests for record in records)

    def holds(self, content: ContentId) -> bool:
        """Return whether it holds a request back."""
        now = self._clock.monotonic()
        return self.crashes.quarantine.find_remaining_hold(content, now) is not None

    def record_crash(self, content: ContentId, process: int) -> None:
        """Record that a server crashed now, just after a request was sent to it."""
        now = self._clock.monotonic()
        crash = ServerCrash(now, now - 0.05)
        self.crashes.tracker.record_crash(content, ProcessId(process), crash, now)

    def list_servers(self, servers: Iterable[ServerEntry]) -> None:
        """List servers that the store's simulated keys do not hold."""
        for server in servers:
            self._servers.put(server)

    def list_daemon(self, name: str, domain: str) -> None:
        """List a daemon that the store's simulated keys do not hold."""
        address = Address('127.0.0.1', 1)
        self._peers.register(name, address, FailureDomainId(domain))

    def has_ended_loop(self) -> bool:
        """Return whether one of its loops has ended, as only an error makes them."""
        return any(task.done() for task in self._tasks)

    def leads(self) -> bool:
        """Return whether it is the leader."""
        return self._lease.current_leadership() is not None

    def stop(self) -> None:
        """Begin a graceful stop."""
        self.stopping = True
        self._lease.stopping = True

    def count_request(self, customer: CustomerId) -> None:
        """Count a request that began to run here."""
        self.usage.count(customer, self._peers.wall())

    def count_known(self, customer: CustomerId) -> int:
        """Return how many requests it knows of, by all daemons, in the latest windows."""
        newest = self.usage.find_window(self._peers.wall())
        return sum(
            self.usage.sum_window(window).get(customer, 0)
            for window in range(newest - 4, newest + 1)
        )

    def kill(self) -> None:
        """Stop without notice."""
        for task in self._tasks:
            task.cancel()

    def _make_components(self) -> SharedComponents:
        return SharedComponents(
            clock=self._clock,
            peers=self._peers,
            hubs=self.hubs,
            summaries=self._summaries,
            servers=self._servers,
            quotas=Quotas(QuotaSlack()),
            usage=self.usage,
            budget=RetryBudget(RetryBounds(), started=0),
            moves=MoveTracker(VersionShares(), 0.1),
            crashes=self.crashes.tracker,
            announcements=self._announcements,
            demands=ServiceDemands(),
            fresh_parts=RecentPromptParts(),
            health=self._health,
            stopping=lambda: self.stopping,
            reaches_servers=lambda: not self.reachability.lost,
            newest=lambda: {view.prefix: view.newest for view in self._views},
            eras=self.eras,
        )

    def _make_channel(self) -> PeerChannel:
        return PeerChannel(
            self._peers,
            self.hubs,
            PeerHandlers(
                self._shared.build_peer_state,
                self._receive_state,
                self._receive_other,
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
            ViewProgress(self._clock, self.eras),
            PeerReports(
                self._shared.find_newest_revision,
                self._shared.is_store_settled_for_peers,
                self._peer_listings.fetch,
            ),
            self.relay,
        )

    def _start(self) -> list[asyncio.Task[None]]:
        summary_relay = SummaryRelay(
            self._peers,
            self.hubs,
            self._summaries,
            RelayedTrackers(
                Quotas(QuotaSlack()),
                self.crashes.tracker,
                self._announcements,
                self.eras,
            ),
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
            self._reporter,
            self._registrations,
            sweeper,
            self._holds,
            self._saved_crashes,
            probe,
            self._channel,
            summary_relay,
        )
        return [loop.create_task(part.run()) for part in parts]

    def _mark_listed(self) -> None:
        self._registrations.mark_listed()
        self._lease.mark_keys_listed()

    def _apply_own(self, key: str, value: bytes | None, revision: Revision) -> None:
        if key.startswith(DAEMONS_PREFIX):
            name = key.removeprefix(DAEMONS_PREFIX)
            self._registrations.apply(name, value, revision)
        elif key.startswith(HOLDS_PREFIX):
            self._holds.apply_change(key.removeprefix(HOLDS_PREFIX), value)
        elif key == LEADER_KEY:
            self._lease.apply_leader(value, revision)

    def _mark_missing(self, key: str) -> None:
        self._registrations.mark_missing(key.removeprefix(DAEMONS_PREFIX))

    def _receive_state(self, state: PeerState) -> None:
        self._shared.apply_peer_state(state)
        self.relay.update_group()

    async def _read_all(self, prefix: str, daemons: list[str]) -> list[Listing]:
        return await self._peer_listings.read_all(prefix, daemons)

    def _receive_other(self, data: bytes) -> bool:
        if self.fixed_counts.receive(data):
            return True
        message = decode_changes(data, self.eras.first)
        if message is None:
            is_summary = self._shared.apply_summaries(data)
            if is_summary:
                self.relay.update_group()
                self.relay.assist_domains(self._shared.find_relays_without_store())
            return is_summary
        self.eras.record_revision(message.newest, message.sender)
        self.relay.forward(message)
        for view in self._views:
            view.apply_span(message.span, f'peer {message.sender}')
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
        self.net = SimulatedNetwork()
        self.daemons: dict[str, Daemon] = {}
        self.rng = random.Random(seed)  # noqa: S311
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
        self.daemons[name] = Daemon(name, address, self.net, self.store, self.rng)

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

    def find_stored_leader(self) -> str | None:
        """Return the daemon that the store names as the leader, in its present era."""
        now = asyncio.get_running_loop().time()
        found = (item for item in self.store.read(LEADER_KEY, now).items)
        written = {item.key: item.value.decode() for item in found}
        if written.get(LEADER_ERA_KEY) != str(self.store.era):
            return None
        return written.get(LEADER_KEY, '').partition('/')[0] or None

    def leave(self, server: str) -> None:
        """Start draining a server."""
        self.store.put(f'{SERVERS}{server}', LEAVING)

    def find_outdated(self, server: str) -> list[str]:
        """Return the daemons that would still send to a draining server."""
        return [
            name
            for name, daemon in self.daemons.items()
            if daemon.entries.get(f'{SERVERS}{server}') != LEAVING
        ]


def is_change_message(data: bytes) -> bool:
    """Return whether a datagram carries changes."""
    return decode_changes(data, UNKNOWN_ERA) is not None
