"""Policies that the router is measured against; none of them is used in service.

``wardrop`` is the migration towards an epsilon-Wardrop equilibrium of "Wardrop
equilibrium load balancing" (T-NOVA's SDN control plane): each round, traffic moves
from server p to q with rate ``min((l_p - l_q) / l_max, 1)`` where their latencies
differ by more than epsilon.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from fireflyhitch_model.backends import BackendServer, CacheEvent, LoadReport
from fireflyhitch_model.calls import Call
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.ids import BackendServerId, DeploymentId
from fireflyhitch_model.states import Step
from fireflyhitch_routing.choices import (
    CallResult,
    Choice,
    Reason,
    ResultStatus,
    Ticket,
)

# The paper averages with 0.95.
LATENCY_WEIGHT = 0.05
FAILURES_TO_EJECT = 3
EJECTION_SECONDS = 10.0
# The paper's figures, a tolerance of 0.3 ms at a highest latency of 10 ms, scaled
# to a highest latency of 2 s; a server keeps a little traffic, to be measured.
WARDROP_HIGHEST = 2.0
WARDROP_TOLERANCE = 0.03 * WARDROP_HIGHEST
LEAST_SHARE = 0.01
NONE_EXCLUDED: frozenset[BackendServerId] = frozenset()


class Policy(Protocol):
    """What the benchmark asks of a policy; the router offers it as it is."""

    def update_servers(self, servers: Iterable[BackendServer]) -> None:
        """Take the whole set of servers."""

    def mark_leaving(self, server_id: BackendServerId) -> None:
        """Give a server no new work."""

    def record_load(self, report: LoadReport) -> None:
        """Take in a load report."""

    def record_cache_event(self, event: CacheEvent) -> None:
        """Take in a cache event."""

    def choose(
        self,
        call: Call,
        *,
        servers: frozenset[BackendServerId] | None = None,
        excluded: frozenset[BackendServerId] = NONE_EXCLUDED,
    ) -> Choice:
        """Choose a server."""

    def start(self, choice: Choice, call: Call) -> Ticket:
        """Count a call as sent."""

    def first_token(self, ticket: Ticket) -> None:
        """Note the first token."""

    def finish(self, ticket: Ticket, outcome: CallResult) -> None:
        """Note the end."""


@dataclass(slots=True)
class Backend:
    """What a simple policy knows of a server."""

    server: BackendServer
    in_flight: int = 0
    latency: float = 0.1
    failures: int = 0
    ejected_until: float = -1
    leaving: bool = False
    share: float = 1


Select = Callable[[list[Backend]], Backend]
Tick = Callable[[list[Backend], float], None]


class SimplePolicy:
    """A policy that picks by one rule among servers that are not ejected."""

    def __init__(self, clock: Clock, select: Select, tick: Tick | None = None) -> None:
        self._clock = clock
        self._select = select
        self._tick = tick
        self._backends: dict[BackendServerId, Backend] = {}

    def update_servers(self, servers: Iterable[BackendServer]) -> None:
        """Take the whole set of servers."""
        known = self._backends
        self._backends = {}
        for server in servers:
            backend = known.get(server.server_id)
            if backend is None or backend.server.incarnation != server.incarnation:
                backend = Backend(server)
            self._backends[server.server_id] = backend

    def mark_leaving(self, server_id: BackendServerId) -> None:
        """Give a server no new work."""
        self._backends[server_id].leaving = True

    def record_load(self, report: LoadReport) -> None:
        """Pass over the report: these policies use what they see themselves."""

    def record_cache_event(self, event: CacheEvent) -> None:
        """Pass over the event."""

    def choose(
        self,
        call: Call,
        *,
        servers: frozenset[BackendServerId] | None = None,
        excluded: frozenset[BackendServerId] = NONE_EXCLUDED,
    ) -> Choice:
        """Choose a server by the rule."""
        now = self._clock.monotonic()
        usable = [
            backend
            for backend in self._usable(call.deployment, excluded)
            if servers is None or backend.server.server_id in servers
        ]
        healthy = [one for one in usable if one.ejected_until <= now]
        if not usable:
            raise RequestError('no server', step=Step.ROUTE, status=503, code='none')
        if self._tick is not None:
            self._tick(healthy or usable, now)
        chosen = self._select(healthy or usable)
        return Choice(chosen.server, Reason.FASTEST, chosen.latency, 0)

    def start(self, choice: Choice, call: Call) -> Ticket:
        """Count a call as sent."""
        backend = self._backends[choice.server.server_id]
        backend.in_flight += 1
        return Ticket(call, choice, self._clock.monotonic(), backend.in_flight, 0, 0)

    def first_token(self, ticket: Ticket) -> None:
        """Average the time to the first token."""
        backend = self._backends.get(ticket.choice.server.server_id)
        if backend is not None:
            seconds = self._clock.monotonic() - ticket.started
            backend.latency += LATENCY_WEIGHT * (seconds - backend.latency)

    def finish(self, ticket: Ticket, outcome: CallResult) -> None:
        """Count a call as ended and eject a server that fails."""
        backend = self._backends.get(ticket.choice.server.server_id)
        if backend is None:
            return
        backend.in_flight = max(0, backend.in_flight - 1)
        if outcome.status is ResultStatus.SUCCEEDED:
            backend.failures = 0
        elif outcome.status is not ResultStatus.CANCELLED:
            backend.failures += 1
        if backend.failures >= FAILURES_TO_EJECT:
            backend.failures = 0
            backend.ejected_until = self._clock.monotonic() + EJECTION_SECONDS

    def _usable(
        self, deployment: DeploymentId, excluded: frozenset[BackendServerId]
    ) -> list[Backend]:
        return [
            backend
            for backend in self._backends.values()
            if backend.server.deployment == deployment
            and not backend.leaving
            and backend.server.server_id not in excluded
        ]


def make_round_robin(clock: Clock, draw: random.Random) -> SimplePolicy:
    """Return a policy that takes the servers in turn."""
    turns: dict[DeploymentId, int] = {}

    def select(backends: list[Backend]) -> Backend:
        deployment = backends[0].server.deployment
        turn = turns.get(deployment, draw.randrange(len(backends)))
        turns[deployment] = turn + 1
        return backends[turn % len(backends)]

    return SimplePolicy(clock, select)


def make_least_latency(clock: Clock, draw: random.Random) -> SimplePolicy:
    """Return a policy that takes the server of the least average latency."""

    def select(backends: list[Backend]) -> Backend:
        return min(backends, key=lambda one: (one.latency, draw.random()))

    return SimplePolicy(clock, select)


def make_least_in_flight(clock: Clock, draw: random.Random) -> SimplePolicy:
    """Return a policy that takes the server with the fewest own calls."""

    def select(backends: list[Backend]) -> Backend:
        return min(backends, key=lambda one: (one.in_flight, draw.random()))

    return SimplePolicy(clock, select)


def make_power_of_two(clock: Clock, draw: random.Random) -> SimplePolicy:
    """Return a policy that takes the emptier of two random servers."""

    def select(backends: list[Backend]) -> Backend:
        pair = draw.sample(backends, min(2, len(backends)))
        return min(pair, key=lambda one: one.in_flight)

    return SimplePolicy(clock, select)


def make_wardrop(clock: Clock, draw: random.Random) -> SimplePolicy:
    """Return the epsilon-Wardrop migration with rounds of a second."""
    rounds: dict[DeploymentId, float] = {}

    def tick(backends: list[Backend], now: float) -> None:
        deployment = backends[0].server.deployment
        if now - rounds.get(deployment, -1) < 1:
            return
        rounds[deployment] = now
        _migrate(backends)

    def select(backends: list[Backend]) -> Backend:
        return draw.choices(backends, [one.share for one in backends])[0]

    return SimplePolicy(clock, select, tick)


def _migrate(backends: list[Backend]) -> None:
    moved = [0.0 for _ in backends]
    for here, slow in enumerate(backends):
        for there, fast in enumerate(backends):
            excess = slow.latency - fast.latency
            if excess <= WARDROP_TOLERANCE:
                continue
            part = slow.share * min(excess / WARDROP_HIGHEST, 1) / len(backends)
            moved[here] -= part
            moved[there] += part
    for backend, change in zip(backends, moved, strict=True):
        backend.share = max(backend.share + change, LEAST_SHARE)
