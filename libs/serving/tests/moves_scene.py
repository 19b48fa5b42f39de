"""Daemons that move a service to another version, in virtual time.

Their views, trackers and coordinators are the product's; the store, the links between
the daemons and who leads are simulated.
"""

import asyncio
import json
import random
from collections.abc import Awaitable, Container

from virtual_store import StoreClient, VirtualStore
from virtual_time import LoopClock

from fireflyhitch_model.ids import (
    DeploymentId,
    FailureDomainId,
    FencingNumber,
    Revision,
)
from fireflyhitch_platform.keyvalue import Listing
from fireflyhitch_rollout.short_moves import MoveEnd
from fireflyhitch_serving.connections import Address
from fireflyhitch_serving.known_moves import KnownMoves
from fireflyhitch_serving.leases import Leadership
from fireflyhitch_serving.move_orders import MoveOrder
from fireflyhitch_serving.moves import (
    MOVES_PREFIX,
    MoveCoordinator,
    MoveTracker,
    StatusFormat,
)
from fireflyhitch_serving.peers import PeerRegistry
from fireflyhitch_serving.progress import ViewProgress
from fireflyhitch_serving.store_eras import EraTracker
from fireflyhitch_serving.store_health import StoreHealth
from fireflyhitch_serving.store_view import PeerReports, StoreView, ViewCallbacks
from fireflyhitch_serving.versions import VersionShares

PLANNING = DeploymentId('planning')
ORDERS = 'op/rollout/'
ORDER_KEY = f'{ORDERS}{PLANNING}'
RECORD_KEY = f'{MOVES_PREFIX}{PLANNING}'
STATUS_KEY = f'status/rollout/{PLANNING}'
RUNNING = 'running'
DURATION_SECONDS = 12.0
OLD = 'v1'
REQUEST_SECONDS = 0.02
EXCHANGE_SECONDS = 0.1
MAX_DAEMONS = 12
# How long a lead lasts that nobody renews.
LEAD_SECONDS = 2.0
# A lease, the wait of the others, and a claim.
CLAIM_SECONDS = 4.5
# Time within which operators have written again what was lost.
REWRITE_SECONDS = 1.0


def _render(order: MoveOrder, end: MoveEnd | None) -> bytes:
    state = end.value if end else RUNNING
    return json.dumps([order.target, state]).encode()


STATUS_FORMAT = StatusFormat(lambda service: f'status/rollout/{service}', _render)


class RecordingStore(VirtualStore):
    """Remembers the states that were ever written, with their targets."""

    def __init__(self) -> None:
        super().__init__()
        self.states: list[tuple[str, str]] = []

    def put(self, key: str, value: bytes | None) -> Revision:
        """Write a key, or delete it."""
        if key == STATUS_KEY and value is not None:
            target, state = json.loads(value)
            self.states.append((target, state))
        return super().put(key, value)


class Lead:
    """A lease that the scene grants."""

    def __init__(self) -> None:
        self.fencing: int | None = None

    def current_leadership(self) -> Leadership | None:
        """Return the right to act, if this daemon has it now."""
        if self.fencing is None:
            return None
        number = FencingNumber(self.fencing)
        return Leadership(number, LEAD_SECONDS, number)


class MoveDaemon:
    """One daemon's components that move services."""

    def __init__(self, name: str, scene: 'Moves') -> None:
        self.name = name
        clock = LoopClock()
        self.eras = EraTracker(clock)
        self._health = StoreHealth(clock)
        self.eras.add_callback(self._health.record_restore)
        self._store = StoreClient(scene.store, name, self.eras)
        self._rng = scene.rng
        self._clock = clock
        self.shares = VersionShares()
        self.tracker = MoveTracker(self.shares, 0.1)
        self.lead = Lead()
        self.known_moves = KnownMoves(
            self.tracker, self.eras, scene.list_peers(name), scene.read_moves
        )
        coordinator = MoveCoordinator(
            self.tracker,
            self.lead,  # type: ignore[arg-type]
            self._store,
            STATUS_FORMAT,
            clock.monotonic,
            self.known_moves.ask_peers,
        )
        parts = (
            self._make_view(ORDERS, self._apply_order),
            self._make_view(MOVES_PREFIX, self._apply_record),
            coordinator,
        )
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(part.run()) for part in parts]

    def find_share(self) -> float:
        """Return the share of requests that the ordered version gets."""
        found = self.shares.find(PLANNING)
        return found.share if found else 0

    def find_target(self) -> str:
        """Return the version that is ordered as far as known."""
        found = self.shares.find(PLANNING)
        return found.target if found else OLD

    def kill(self) -> None:
        """Stop without notice."""
        for task in self._tasks:
            task.cancel()

    def _make_view(self, prefix: str, apply) -> StoreView:  # type: ignore[no-untyped-def]
        return StoreView(
            self._store,
            self._health,
            prefix,
            ViewCallbacks(apply, lambda: None),
            self._rng,
            ViewProgress(self._clock, self.eras),
            PeerReports(lambda prefix: Revision(0)),
        )

    def _apply_order(self, key: str, value: bytes | None, revision: Revision) -> None:
        if value is None:
            return
        order = MoveOrder(PLANNING, value.decode(), DURATION_SECONDS, revision)
        self.tracker.apply_order(order, is_rewritten=self.eras.is_recent())

    def _apply_record(self, key: str, value: bytes | None, revision: Revision) -> None:
        self.tracker.apply_record(PLANNING, value, revision)


class Moves:
    """Daemons, their requests, and who leads them.

    :param faulty: versions whose answers fail.
    """

    def __init__(self, seed: int, faulty: frozenset[str]) -> None:
        self.rng = random.Random(seed)  # noqa: S311
        self.store = RecordingStore()
        self.daemons: dict[str, MoveDaemon] = {}
        self.faulty = faulty
        self.sent: list[tuple[float, str, str]] = []
        self._fencing = 0
        self._starts = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start some daemons, the first of which leads, and the callers."""
        self.store.put('other', b'')
        for _ in range(4):
            self.start_daemon()
        await asyncio.sleep(1)
        for script in (self._send(), self._exchange()):
            self._begin(script)
        self.let_lead(next(iter(self.daemons)))

    def start_daemon(self) -> str:
        """Start a daemon, and return its name."""
        self._starts += 1
        name = f'd{self._starts}'
        self.daemons[name] = MoveDaemon(name, self)
        return name

    def kill(self, name: str) -> None:
        """Stop a daemon without notice."""
        self.daemons.pop(name).kill()

    def find_leader(self) -> str:
        """Return the daemon that leads."""
        return next(
            name
            for name, daemon in self.daemons.items()
            if daemon.lead.fencing is not None
        )

    def let_lead(self, name: str) -> None:
        """Have a daemon lead, and no other one."""
        for daemon in self.daemons.values():
            daemon.lead.fencing = None
        self._fencing += 1
        self.daemons[name].lead.fencing = self._fencing

    def order(self, target: str) -> None:
        """Order a move."""
        self.store.put(ORDER_KEY, target.encode())

    async def wait_for_end(self, target: str) -> str:
        """Wait until a move has ended, and return its end."""
        async with asyncio.timeout(3 * DURATION_SECONDS):
            while not self._list_ends(target):
                await asyncio.sleep(REQUEST_SECONDS)
        return self._list_ends(target)[0]

    def _list_ends(self, target: str) -> list[str]:
        return [
            state
            for name, state in self.store.states
            if (name, state) != (name, RUNNING) and name == target
        ]

    def find_later_states(self, target: str) -> set[str]:
        """Return the states of a move that were written since its first end."""
        states = [state for name, state in self.store.states if name == target]
        ended = next(at for at, state in enumerate(states) if state != RUNNING)
        return set(states[ended:])

    def find_versions(self, daemons: Container[str], *, after: float) -> set[str]:
        """Return the versions that daemons have sent requests to after a time."""
        return {
            version for at, name, version in self.sent if at > after and name in daemons
        }

    async def restore(self, seconds: float) -> None:
        """Bring the store back; operators write again what it has lost."""
        lost = self.store.restore(seconds)
        orders = lost.get(ORDER_KEY)
        if orders is not None:
            self._begin(self._rewrite(orders))

    async def _rewrite(self, order: bytes) -> None:
        await asyncio.sleep(self.rng.uniform(0, REWRITE_SECONDS))
        self.store.put(ORDER_KEY, order)

    async def replace_leader(self) -> None:
        """Kill the leader; a process that starts now leads after its lease."""
        self.kill(self.find_leader())
        name = self.start_daemon()
        await asyncio.sleep(CLAIM_SECONDS)
        self.let_lead(name)

    async def _send(self) -> None:
        while True:
            await asyncio.sleep(REQUEST_SECONDS)
            daemon = self.rng.choice(list(self.daemons.values()))
            is_new = self.rng.random() < daemon.find_share()
            version = daemon.find_target() if is_new else OLD
            now = asyncio.get_running_loop().time()
            self.sent.append((now, daemon.name, version))
            failed = version in self.faulty
            daemon.tracker.count(PLANNING, version, 'r', failed=failed, seconds=0.1)

    async def _exchange(self) -> None:
        while True:
            await asyncio.sleep(EXCHANGE_SECONDS)
            for daemon in self.daemons.values():
                counts = {key: list(c) for key, c in daemon.tracker.evidence().items()}
                for peer in self.daemons.values():
                    if peer is not daemon:
                        peer.tracker.update_peer_evidence(daemon.name, counts)

    def list_peers(self, own: str) -> PeerRegistry:
        """Return all daemons that will ever run, as one of them knows them."""
        domain = FailureDomainId('gent')
        clock = LoopClock()
        peers = PeerRegistry(own, domain, clock, clock.monotonic)
        for number in range(1, MAX_DAEMONS):
            peers.register(f'd{number}', Address('127.0.0.1', number), domain)
        return peers

    async def read_moves(self, prefix: str, names: list[str]) -> list[Listing]:
        """Return what daemons know of moves; those that do not run are left out."""
        await asyncio.sleep(REQUEST_SECONDS)
        return [
            self.daemons[name].known_moves.make_listing()
            for name in names
            if name in self.daemons
        ]

    def _begin(self, script: Awaitable[None]) -> None:
        self._tasks.append(asyncio.ensure_future(script))
