"""Composition root: builds a daemon's components from its settings."""

import ssl
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from functools import partial

from fireflyhitch_daemon.admin import AdminApi, AdminDependencies
from fireflyhitch_daemon.call_recorder import CallRecorder
from fireflyhitch_daemon.caller_api import CallerApi, CallerApiDependencies
from fireflyhitch_daemon.calls import CallDependencies, ModelCalls
from fireflyhitch_daemon.capacity import (
    CapacityDependencies,
    CapacityDuty,
    DrainingCloud,
)
from fireflyhitch_daemon.crash_guard import CrashGuard
from fireflyhitch_daemon.directory import Directory
from fireflyhitch_daemon.engine_reports import EngineReports
from fireflyhitch_daemon.forwarding import Forwarder
from fireflyhitch_daemon.health import Health
from fireflyhitch_daemon.http_server import (
    CallerRequest,
    DaemonHttpServer,
    Detached,
    Response,
    build_server,
)
from fireflyhitch_daemon.limit_guard import LimitGuard
from fireflyhitch_daemon.reclaim_handler import ReclaimDependencies, ReclaimHandler
from fireflyhitch_daemon.request_lookup import RequestLookup
from fireflyhitch_daemon.selection import Selection
from fireflyhitch_daemon.services import ServiceCalls, ServiceDependencies
from fireflyhitch_fleet.capacity import CapacityManager
from fireflyhitch_fleet.duties import DutyManager
from fireflyhitch_fleet.orders import EngineReconciler
from fireflyhitch_ledger.ledger import Ledger
from fireflyhitch_membership.configuration import ConfigurationManager
from fireflyhitch_membership.links import LinkOptions
from fireflyhitch_membership.network import PeerNetwork
from fireflyhitch_membership.snapshots import SnapshotExchange
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.ids import Incarnation
from fireflyhitch_model.peers import Daemon
from fireflyhitch_platform.cloud import HttpCloud
from fireflyhitch_platform.engines import HttpEngines
from fireflyhitch_platform.etcd import EtcdKeyValueStore
from fireflyhitch_platform.instance_list import HttpInstanceList
from fireflyhitch_platform.rates import CallBudget
from fireflyhitch_platform.weights import HttpWeightStore
from fireflyhitch_recovery.drain import Drain
from fireflyhitch_recovery.handover import HandOver
from fireflyhitch_recovery.inflight import InFlight, make_request_id
from fireflyhitch_rollout.evidence import EvidenceCollector
from fireflyhitch_rollout.moves import MoveManager
from fireflyhitch_rollout.shares import VersionPicker
from fireflyhitch_routing.admission import Admission
from fireflyhitch_routing.retries import RetryBudget
from fireflyhitch_routing.router import Router
from fireflyhitch_settings.bootstrap import DaemonSettings
from fireflyhitch_settings.schema import Configuration
from fireflyhitch_settings.tls import TlsContexts
from fireflyhitch_telemetry.burn import BurnRecorder
from fireflyhitch_telemetry.metrics import Metrics

MILLISECONDS = 1000
# An instance that is stopped has this long to complete its answers.
MAX_ANSWER_DURATION = timedelta(minutes=2)

Handler = Callable[[CallerRequest], Response | Detached]


class Listeners:
    """The two HTTP listeners, bound before their handlers exist.

    The kernel may choose the port for callers, and a daemon sends it to its
    peers; so the listeners are bound first and get their handlers later.
    """

    def __init__(
        self, settings: DaemonSettings, tls: ssl.SSLContext | None = None
    ) -> None:
        self._handle_caller: Handler | None = None
        self._handle_admin: Handler | None = None
        limits = settings.limits
        make_id = partial(make_request_id, settings.daemon_id)
        self.callers = build_server(
            settings.callers, limits, self._serve_caller, make_id, tls
        )
        self.admin = build_server(
            settings.admin, limits, self._serve_admin, make_id, tls
        )

    def set_handlers(self, callers: CallerApi, admin: AdminApi) -> None:
        """Set the APIs that answer requests."""
        self._handle_caller = callers.handle
        self._handle_admin = admin.handle

    def _serve_caller(self, request: CallerRequest) -> Response | Detached:
        assert self._handle_caller is not None
        return self._handle_caller(request)

    def _serve_admin(self, request: CallerRequest) -> Response | Detached:
        assert self._handle_admin is not None
        return self._handle_admin(request)


class Platform:
    """The clients of the platform's services."""

    def __init__(self, settings: DaemonSettings, clock: Clock) -> None:
        addresses = settings.platform
        self.budget = CallBudget(clock)
        self.store = EtcdKeyValueStore(addresses.key_value, clock, self.budget)
        self.instance_list = HttpInstanceList(addresses.instance_list)
        self.cloud = HttpCloud(addresses.cloud)
        self.weights = HttpWeightStore(addresses.weight_store or addresses.cloud)


class Control:
    """Components shared with peers: membership, configuration, version moves."""

    def __init__(
        self,
        settings: DaemonSettings,
        clock: Clock,
        platform: Platform,
        entry_address: str,
        tls: TlsContexts | None,
    ) -> None:
        # Restarts within a millisecond do not occur. If the clock was set back
        # between restarts, peers consider the daemon dead, and it then raises its
        # incarnation itself.
        incarnation = Incarnation(int(clock.now().timestamp() * MILLISECONDS))
        local_daemon = Daemon(
            settings.daemon_id,
            settings.failure_domain,
            f'{settings.peers.host}:{settings.peers.port}',
            entry_address,
            incarnation,
        )
        options = LinkOptions(
            seeds=settings.seeds,
            peer_key=settings.peer_key,
            host=settings.peers.host,
            port=settings.peers.port,
            server_tls=tls.peers_server if tls else None,
            client_tls=tls.peers_client if tls else None,
        )
        self.network = PeerNetwork(local_daemon, options, clock)
        self.config_manager = ConfigurationManager(
            platform.store, self.network, local_daemon, clock
        )
        self.snapshots = SnapshotExchange(self.network, local_daemon)
        self.snapshots.add(self.config_manager.snapshot_section())
        self.snapshots.add(self.network.snapshot_section())
        self.duties = DutyManager(
            platform.store, clock, settings.daemon_id, self.network.live
        )
        self.evidence = EvidenceCollector(local_daemon, self.network, clock)
        self.picker = VersionPicker()
        self.moves = MoveManager(
            local_daemon,
            platform.store,
            self.network,
            self.duties,
            self.evidence,
            self.picker,
            clock,
        )

    def read_configuration(self) -> Configuration | None:
        """Return the configuration in force at this daemon."""
        in_force = self.config_manager.in_force()
        return in_force.configuration if in_force else None


class Serving:
    """Components that answer callers."""

    def __init__(
        self,
        settings: DaemonSettings,
        clock: Clock,
        platform: Platform,
        control: Control,
    ) -> None:
        daemon_id = settings.daemon_id
        network = control.network
        self.metrics = Metrics()
        self.burn = BurnRecorder(clock, settings.failure_domain)
        self.router = Router(clock, daemon_id)
        self.admission = Admission(clock, daemon_id, network)
        self.ledger = Ledger(daemon_id, platform.store, network, clock)
        self.directory = Directory(daemon_id, self.router, network)
        self.drain = Drain(clock)
        self.in_flight = InFlight(daemon_id, clock)
        self.forwarder = Forwarder()
        self.limits = LimitGuard(daemon_id, clock, network, self.directory.list_servers)
        self.crashes = CrashGuard(
            clock, network, self.directory.is_listed, self.directory.find_address
        )
        self.engines = HttpEngines(self.directory.find_address, clock=clock)
        self.reports = EngineReports(
            self.engines,
            self.router,
            lambda: self.directory.list_engines(control.read_configuration()),
        )
        recorder = CallRecorder(self.metrics, self.burn, control.evidence)
        selection = Selection(
            self.router,
            control.picker,
            self.directory.read_subset,
            self.limits.find_throttled,
        )
        retries = RetryBudget(clock)
        self.calls = ModelCalls(
            CallDependencies(
                clock,
                selection,
                self.admission,
                retries,
                self.in_flight,
                recorder,
                self.engines,
                self.crashes,
                self.limits,
            ),
            settings.limits.max_streams,
        )
        self.services = ServiceCalls(
            ServiceDependencies(
                clock,
                selection,
                self.admission,
                retries,
                self.ledger,
                recorder,
                self.crashes,
                self.limits,
            )
        )
        self.hand_over = HandOver(
            network.daemon,
            network,
            clock,
            self.in_flight,
            self.calls.take_over,
            self.calls.count_free_streams,
        )
        self.health = Health(
            self.drain,
            lambda: control.config_manager.in_force() is not None,
            self.calls.count_open,
            settings.limits.max_streams,
        )

    def count_in_progress(self) -> int:
        """Return the number of model and service calls in progress."""
        return self.calls.count_open() + self.services.count_running()


@dataclass(frozen=True, slots=True)
class Components:
    """All components of a daemon."""

    settings: DaemonSettings
    clock: Clock
    tls: TlsContexts | None
    listeners: Listeners
    platform: Platform
    control: Control
    serving: Serving
    reclaim_handler: ReclaimHandler
    capacity: CapacityDuty
    capacity_manager: CapacityManager


def compose(
    settings: DaemonSettings, clock: Clock, request_stop: Callable[[], None]
) -> Components:
    """Build all components of a daemon without starting them.

    :param request_stop: makes the process stop gracefully.
    :raises SettingsErrors: if the TLS files cannot be used.
    :raises OSError: if a listener cannot be bound.
    """
    tls = TlsContexts(settings.tls) if settings.tls else None
    listeners = Listeners(settings, tls.callers if tls else None)
    platform = Platform(settings, clock)
    entry_address = find_address(listeners.callers)
    control = Control(settings, clock, platform, entry_address, tls)
    serving = Serving(settings, clock, platform, control)
    reclaim_handler = _make_reclaim_handler(settings, clock, platform, control, serving)
    capacity_manager = _make_capacity_manager(clock, platform, control, serving)
    reconciler = EngineReconciler(serving.engines, control.duties, clock)
    capacity = CapacityDuty(
        CapacityDependencies(
            capacity_manager,
            reconciler,
            control.moves,
            serving.directory,
            serving.reports,
        )
    )
    listeners.set_handlers(
        CallerApi(_make_caller_dependencies(settings, clock, control, serving)),
        AdminApi(
            AdminDependencies(
                settings.admin_token_sha256,
                clock,
                control.network,
                control.config_manager,
                control.moves,
                serving.burn,
                serving.calls,
                serving.directory,
                serving.health,
                platform.budget,
                request_stop,
            )
        ),
    )
    return Components(
        settings,
        clock,
        tls,
        listeners,
        platform,
        control,
        serving,
        reclaim_handler,
        capacity,
        capacity_manager,
    )


def find_address(server: DaemonHttpServer) -> str:
    """Return the ``host:port`` that a server is bound to."""
    host, port = server.bind_addr[:2]
    return f'{host}:{port}'


def _make_reclaim_handler(
    settings: DaemonSettings,
    clock: Clock,
    platform: Platform,
    control: Control,
    serving: Serving,
) -> ReclaimHandler:
    deps = ReclaimDependencies(
        clock,
        serving.drain,
        control.network,
        serving.hand_over,
        serving.calls,
        serving.directory,
        platform.cloud,
        control.evidence,
    )
    return ReclaimHandler(settings.instance_id, deps)


def _make_capacity_manager(
    clock: Clock, platform: Platform, control: Control, serving: Serving
) -> CapacityManager:
    cloud = DrainingCloud(
        platform.cloud, control.network, serving.directory, clock, MAX_ANSWER_DURATION
    )
    return CapacityManager(
        control.duties, cloud, platform.instance_list, platform.weights, clock
    )


def _make_caller_dependencies(
    settings: DaemonSettings, clock: Clock, control: Control, serving: Serving
) -> CallerApiDependencies:
    requests = RequestLookup(
        settings.daemon_id,
        serving.calls,
        serving.in_flight,
        serving.hand_over.locations,
        control.network,
        serving.forwarder,
    )
    return CallerApiDependencies(
        settings.daemon_id,
        clock,
        serving.calls,
        serving.services,
        requests,
        serving.health,
        serving.metrics,
        control.read_configuration,
    )
