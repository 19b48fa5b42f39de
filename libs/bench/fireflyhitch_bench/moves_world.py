"""One deployment on three daemons, with a cloud and engines, in passed time.

Each fake tells the world of the step it is asked for, so that a fault can be
brought about at exactly that step.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta

from fireflyhitch_bench.moves_backends import DEPLOYMENT, DOMAINS, NEW, OLD, make_call
from fireflyhitch_fleet.capacity import CapacityManager
from fireflyhitch_fleet.capacity import make_duty_id as find_capacity_duty
from fireflyhitch_fleet.duties import DutyManager
from fireflyhitch_fleet.needs import Demand, DeploymentNeed
from fireflyhitch_fleet.orders import DesiredState, EngineReconciler
from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.errors import PeerError
from fireflyhitch_model.ids import (
    BackendServerId,
    DaemonId,
    DeploymentId,
    FencingNumber,
    InstanceId,
    VersionId,
)
from fireflyhitch_model.instances import Instance, InstanceListing, ReclaimNotice
from fireflyhitch_model.peers import Daemon
from fireflyhitch_model.states import InstanceRole, InstanceState, MachineClass, Step
from fireflyhitch_platform.services import (
    EngineAction,
    EngineOrder,
    EngineState,
    InstanceOrder,
    Price,
)
from fireflyhitch_rollout.evidence import EvidenceCollector
from fireflyhitch_rollout.moves import MoveManager
from fireflyhitch_rollout.records import MoveState
from fireflyhitch_rollout.schedule import MovePolicy
from fireflyhitch_rollout.shares import VersionPicker
from fireflyhitch_rollout.supplies import Supply
from fireflyhitch_settings.schema import (
    CapacityPlan,
    Configuration,
    ModelDeployment,
    VersionMove,
)
from fireflyhitch_standins.keyvalue import MemoryKeyValueStore
from fireflyhitch_standins.peers import MemoryPeerNetwork

EMPTY = VersionId('none')
CALLS = 24.0
CALLS_A_STEP = 6
START_TIME = timedelta(seconds=20)
WINDOW = timedelta(minutes=6)
MOVE_POLICY = replace(
    MovePolicy(),
    burst_period=timedelta(seconds=40),
    burst_fraction=0.1,
    base_share=0.05,
    min_calls=8,
    step_calls=3,
)
STATE_STEPS = {MoveState.TRIAL: 'canary', MoveState.SHIFTING: 'raise'}
Tell = Callable[[str], None]


@dataclass(slots=True)
class FakeEngine:
    """An engine that enforces fencing numbers."""

    version: VersionId = EMPTY
    fencing: FencingNumber = FencingNumber(0)
    taken: list[int] = field(default_factory=list)

    def receive(self, order: EngineOrder) -> bool:
        """Take an order, or refuse an old fencing number."""
        if order.fencing < self.fencing:
            return False
        self.fencing = order.fencing
        self.version = VersionId(order.argument)
        self.taken.append(order.fencing)
        return True


class FakeEngines:
    """Implements ``Engines``; orders can be held back."""

    def __init__(self, tell: Tell) -> None:
        """Make it without engines."""
        self.engines: dict[BackendServerId, FakeEngine] = {}
        self.holding = False
        self.held: list[tuple[BackendServerId, EngineOrder]] = []
        self._tell = tell

    def read_state(self, server: BackendServerId) -> EngineState:
        """Return what an engine holds."""
        engine = self.engines[server]
        return EngineState(engine.version, (), 'mixed', engine.fencing, ready=True)

    def send_order(self, server: BackendServerId, order: EngineOrder) -> bool:
        """Give an order, or hold it back as a slow network does."""
        self._tell('load')
        if self.holding:
            self.held.append((server, order))
            raise PeerError('no answer', step=Step.ORDER, peer=server)
        return self.engines[server].receive(order)

    def release(self) -> None:
        """Let the orders that were held back arrive."""
        self.holding = False
        for server, order in self.held:
            engine = self.engines.get(server)
            if engine is not None:
                engine.receive(order)
        self.held.clear()


class FakeCloud:
    """Implements ``Cloud``, ``InstanceList`` and ``WeightStore``."""

    def __init__(self, tell: Tell, engines: FakeEngines) -> None:
        """Make it without instances."""
        self.instances: dict[InstanceId, Instance] = {}
        self.notices: dict[InstanceId, ReclaimNotice] = {}
        self.refusing = False
        self._orders: dict[str, InstanceId] = {}
        self._tell = tell
        self._engines = engines

    def read(self) -> InstanceListing:
        """Return all instances."""
        return InstanceListing(tuple(self.instances.values()))

    def read_notices(self) -> tuple[ReclaimNotice, ...]:
        """Return the notices."""
        return tuple(self.notices.values())

    def read_prices(self) -> tuple[Price, ...]:
        """Return one price for all failure domains."""
        self._tell('plan')
        return tuple(
            Price(domain, machine_class, price)
            for domain in DOMAINS
            for machine_class, price in (
                (MachineClass.RECLAIMABLE, 0.4),
                (MachineClass.ON_DEMAND, 1.0),
            )
        )

    def reserve(self, deployment: DeploymentId, version: VersionId) -> timedelta:
        """Let each load begin at once."""
        return timedelta()

    def start(self, order: InstanceOrder) -> InstanceId | None:
        """Start an instance with an empty engine."""
        self._tell('start')
        if self.refusing:
            return None
        known = self._orders.get(order.order_id)
        if known is not None:
            return known
        instance_id = InstanceId(f'i-{len(self._orders)}')
        self._orders[order.order_id] = instance_id
        server = BackendServer(
            BackendServerId(f's-{instance_id}'),
            instance_id,
            order.deployment,
            order.version,
            order.failure_domain,
            '127.0.0.1:1',
            order.machine_class,
            1,
            8,
        )
        self._engines.engines[server.server_id] = FakeEngine()
        self.instances[instance_id] = Instance(
            instance_id,
            InstanceRole.BACKEND,
            InstanceState.LIVE,
            order.failure_domain,
            '127.0.0.1:1',
            order.machine_class,
            server=server,
        )
        return instance_id

    def stop(self, instance: InstanceId) -> None:
        """Take an instance away."""
        self._tell('retire')
        self.instances.pop(instance, None)


class Node:
    """One daemon's duties, moves and capacity."""

    def __init__(self, number: int, world: 'World') -> None:
        """Join the world's network."""
        here = Daemon(DaemonId(f'daemon-{number}'), DOMAINS[number], '', '')
        self.daemon_id = here.daemon_id
        clock = world.clock
        messenger = world.network.join(here)
        self.store = MemoryKeyValueStore(clock) if world.store is None else world.store
        self.duties = DutyManager(self.store, clock, here.daemon_id, messenger.live)
        self.collector = EvidenceCollector(here, messenger, clock)
        self.picker = VersionPicker()
        self.manager = MoveManager(
            here, self.store, messenger, self.duties, self.collector, self.picker, clock
        )
        self.manager.policy = MOVE_POLICY
        cloud = world.cloud
        self.capacity = CapacityManager(self.duties, cloud, cloud, cloud, clock)
        self.reconciler = EngineReconciler(world.engines, self.duties, clock)


class World:
    """Three daemons and all that they rest on."""

    def __init__(self, tell: Tell, bad: bool) -> None:
        """Begin with the old version serving."""
        self.clock = ManualClock()
        self.store = MemoryKeyValueStore(self.clock)
        self.store.faults.before(self._tell_operation)
        self.network = MemoryPeerNetwork()
        self.engines = FakeEngines(tell)
        self.cloud = FakeCloud(tell, self.engines)
        self.paused: set[int] = set()
        self.bad = bad
        self.calls = 0
        self.revision = 0
        self.running = 0
        self.wrong: list[str] = []
        self._tell = tell
        self._withdrawn: set[int] = set()
        self.deployment = ModelDeployment(
            name=DEPLOYMENT,
            failure_domains=DOMAINS,
            version=OLD,
            capacity=CapacityPlan(survive_domain_loss=0.5),
        )
        self.nodes = [Node(number, self) for number in range(3)]
        self.configure(self.nodes)

    def configure(self, nodes: list[Node], move: VersionMove | None = None) -> None:
        """Let some daemons hear of a new configuration."""
        self.revision += 1
        self.deployment = self.deployment.model_copy(update={'move': move})
        configuration = Configuration(deployments=(self.deployment,), customers=())
        for node in nodes:
            node.manager.configure(configuration, self.revision)

    def name_move(self) -> None:
        """Name the move to the new version."""
        move_by = self.clock.now() + WINDOW
        self.configure(self.nodes, VersionMove(to_version=NEW, move_by=move_by))

    def step(self) -> None:
        """Let two seconds pass at all daemons that are not paused."""
        self.clock.advance(timedelta(seconds=2))
        supply = Supply(self._list_ready(), 5, START_TIME)
        for number, node in enumerate(self.nodes):
            self._serve(number, node)
            self.running = number
            if number not in self.paused:
                self._run(node, supply)
        self._watch()

    def _run(self, node: Node, supply: Supply) -> None:
        node.manager.update_supplies({DEPLOYMENT: supply})
        duties = (*node.manager.list_duties(), find_capacity_duty(DEPLOYMENT))
        node.duties.set_duties(duties)
        node.duties.step()
        node.manager.step()
        versions = node.manager.list_needs(DEPLOYMENT)
        node.capacity.step([DeploymentNeed(self.deployment, versions, Demand(CALLS))])
        for instance in tuple(self.cloud.instances.values()):
            if instance.server is not None:
                desired = DesiredState(
                    EngineAction.LOAD_VERSION, instance.server.version
                )
                duty = find_capacity_duty(DEPLOYMENT)
                node.reconciler.reconcile(duty, instance.server, desired)
        self._tell('report')
        node.manager.moves()

    def _serve(self, number: int, node: Node) -> None:
        for _ in range(CALLS_A_STEP):
            self.calls += 1
            call = make_call(0, self.calls, 'chat', self.clock.monotonic())
            pick = node.picker.pick(call)
            servers = [one for one in self._list_ready() if one.version == pick.version]
            if pick.version == NEW and number in self._withdrawn:
                self.wrong.append('new work after the withdrawal')
            if servers:
                server = servers[self.calls % len(servers)]
                ok = not (self.bad and pick.version == NEW and self.calls % 2)
                node.collector.record(call, server, ok=ok, first_token=0.3, load=0.6)

    def _list_ready(self) -> tuple[BackendServer, ...]:
        return tuple(
            one.server
            for one in self.cloud.instances.values()
            if one.server is not None
            and one.instance_id not in self.cloud.notices
            and self.engines.engines[one.server.server_id].version == one.server.version
        )

    def _watch(self) -> None:
        for number, node in enumerate(self.nodes):
            if node.picker.is_withdrawn(DEPLOYMENT, NEW):
                self._tell('withdraw')
                self._withdrawn.add(number)
            test = node.collector.find_test(DEPLOYMENT)
            if test is not None and test.count_new_calls():
                self._tell('verdict')
            for report in node.manager.moves():
                self._tell(STATE_STEPS.get(report.state, ''))
        for name, engine in self.engines.engines.items():
            if engine.taken != sorted(engine.taken):
                self.wrong.append(f'an older order after a newer one at {name}')

    def _tell_operation(self, operation: str) -> None:
        if operation in {'grant_lease', 'keep_lease'}:
            self._tell('lease')
