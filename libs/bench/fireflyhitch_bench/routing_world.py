"""One run of the routing benchmark: daemons, engines and calls in passed time."""

import heapq
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import count

from fireflyhitch_bench.routing_load import Arrival
from fireflyhitch_bench.routing_policies import Policy
from fireflyhitch_bench.routing_shapes import MODEL_PROFILE, SERVICE_PROFILE, Shape
from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.ids import AttemptId, BackendServerId, FailureDomainId
from fireflyhitch_model.states import Outcome
from fireflyhitch_routing.choices import CallResult, ResultStatus, Ticket
from fireflyhitch_routing.retries import RetryBudget
from fireflyhitch_standins.engine import Engine, EngineRefusal
from fireflyhitch_standins.engine_messages import (
    EndEvent,
    EngineCall,
    EngineEvent,
    StreamStatus,
)

POLL_SECONDS = 1.0
# A connection to a server that is gone fails after this time.
CONNECT_SECONDS = 0.25
# Leaving marks reach a daemon within this time of the notice.
NOTICE_SPREAD_SECONDS = 1.5


class PassedClock(ManualClock):
    """A clock set to the time of each event."""

    seconds = 0.0

    def monotonic(self) -> float:
        """Return the time of the event at hand."""
        return self.seconds


@dataclass(slots=True)
class Flight:
    """A call on its way, over all its attempts.

    :param computed: prompt tokens computed, over all attempts.
    :param fresh: tokens of the prompt that nobody had computed before.
    """

    arrival: Arrival
    attempts: int = 0
    generated: int = 0
    computed: int = 0
    fresh: int = 0
    first_token_at: float | None = None
    ended_at: float | None = None
    refused: bool = False
    tried: frozenset[BackendServerId] = frozenset()
    ticket: Ticket | None = None
    slot_cost: float = 0


@dataclass(slots=True)
class _Site:
    server: BackendServer
    engine: Engine
    gone: bool = False
    seen_event: int = 0
    scheduled: float | None = None


@dataclass(slots=True)
class World:
    """Runs the events of one run in order of time.

    :param busy_before: price times busy seconds up to the end of the warm-up.
    :param decision_seconds: processor time of each decision.
    """

    shape: Shape
    policies: list[Policy]
    clock: PassedClock
    lag: float = 1
    admit: Callable[[int, Arrival], bool] | None = None
    tick: Callable[[], None] | None = None
    busy_before: float = 0
    subsets: list[frozenset[BackendServerId]] | None = None
    flights: list[Flight] = field(default_factory=list)
    decision_seconds: list[float] = field(default_factory=list)
    sites: dict[BackendServerId, _Site] = field(default_factory=dict)
    budgets: list[RetryBudget] = field(init=False)
    _queue: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _numbers: 'count[int]' = field(default_factory=count)
    _open: dict[AttemptId, Flight] = field(default_factory=dict)
    _known_blocks: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Start the servers and tell the daemons of them."""
        self.budgets = [RetryBudget(self.clock) for _ in self.policies]
        for server in self.shape.servers():
            self._open_site(server)
        for policy in self.policies:
            policy.update_servers(self.shape.servers())

    def at(self, seconds: float, action: Callable[[], None]) -> None:
        """Have something done at a time."""
        heapq.heappush(self._queue, (seconds, next(self._numbers), action))

    def run(self, arrivals: list[Arrival], until: float) -> None:
        """Run until a time, with all calls that arrive before."""
        for arrival in arrivals:
            self.at(arrival.call.arrived, self._arrive_later(arrival))
        self.at(0, self._poll)
        while self._queue and self._queue[0][0] <= until:
            at, _, action = heapq.heappop(self._queue)
            self.clock.seconds = at
            action()

    def end_warm_up(self) -> None:
        """Leave the work up to now out of the cost."""
        self.busy_before = sum(
            site.engine.busy_seconds * site.server.price for site in self.sites.values()
        )

    def notify_leaving(self, domain: FailureDomainId) -> None:
        """Give notice for all servers of a failure domain."""
        for number, policy in enumerate(self.policies):
            delay = NOTICE_SPREAD_SECONDS * (number + 1) / len(self.policies)
            for server_id, site in self.sites.items():
                if site.server.failure_domain == domain:
                    self._mark_later(policy, server_id, delay)

    def take_away(self, domain: FailureDomainId) -> None:
        """Take all servers of a failure domain away with what they run."""
        for site in self.sites.values():
            if site.server.failure_domain != domain or site.gone:
                continue
            self._advance(site)
            site.gone = True
            for attempt in site.engine.restart(self.clock.seconds):
                self._lose(attempt, site)

    def give_back(self, domain: FailureDomainId) -> None:
        """Start the failure domain's servers anew."""
        for site in tuple(self.sites.values()):
            if site.server.failure_domain == domain and site.gone:
                incarnation = type(site.server.incarnation)(site.server.incarnation + 1)
                self._open_site(replace(site.server, incarnation=incarnation))
        for policy in self.policies:
            policy.update_servers([one.server for one in self.sites.values()])

    def _open_site(self, server: BackendServer) -> None:
        is_model = server.deployment == self.shape.model
        profile = MODEL_PROFILE if is_model else SERVICE_PROFILE
        profile = replace(profile, report_lag=self.lag)
        engine = Engine(server.server_id, profile, every_token=False)
        engine.advance(self.clock.seconds)
        before = self.sites.get(server.server_id)
        site = _Site(server, engine)
        if before is not None:
            engine.busy_seconds = before.engine.busy_seconds
        self.sites[server.server_id] = site

    def _mark_later(
        self, policy: Policy, server_id: BackendServerId, delay: float
    ) -> None:
        def mark() -> None:
            policy.mark_leaving(server_id)

        self.at(self.clock.seconds + delay, mark)

    def _arrive_later(self, arrival: Arrival) -> Callable[[], None]:
        def arrive() -> None:
            flight = Flight(arrival)
            self.flights.append(flight)
            if self.admit is not None and not self.admit(arrival.daemon, arrival):
                flight.refused = True
                return
            self.budgets[arrival.daemon].record_call(arrival.call.customer)
            self._dispatch(flight)

        return arrive

    def _dispatch(self, flight: Flight) -> None:
        daemon = flight.arrival.daemon
        policy = self.policies[daemon]
        servers = self.subsets[daemon] if self.subsets else None
        call = flight.arrival.call
        if flight.generated:
            call = replace(call, prompt_tokens=call.prompt_tokens + flight.generated)
        began = time.perf_counter()
        try:
            choice = policy.choose(call, servers=servers, excluded=flight.tried)
        except RequestError:
            flight.refused = True
            return
        finally:
            self.decision_seconds.append(time.perf_counter() - began)
        flight.attempts += 1
        flight.ticket = policy.start(choice, call)
        server_id = choice.server.server_id
        flight.tried |= {server_id}
        site = self.sites[server_id]
        if site.gone or site.server.incarnation != choice.server.incarnation:
            self.at(self.clock.seconds + CONNECT_SECONDS, self._refuse_later(flight))
            return
        attempt = AttemptId(f'{call.request_id}.{flight.attempts}')
        left = flight.arrival.answer - flight.generated
        work = EngineCall(
            attempt,
            call.prompt_tokens,
            left,
            call.prefix_blocks,
            call.priority,
            call.route,
        )
        self._open[attempt] = flight
        try:
            site.engine.submit(work, self.clock.seconds)
        except EngineRefusal:
            self._open.pop(attempt)
            self._refuse_later(flight)()
        self._advance(site)

    def _refuse_later(self, flight: Flight) -> Callable[[], None]:
        def refuse() -> None:
            self._end_attempt(flight, CallResult(ResultStatus.REFUSED))
            self._retry(flight, Outcome.NOT_RUN)

        return refuse

    def _retry(self, flight: Flight, outcome: Outcome) -> None:
        budget = self.budgets[flight.arrival.daemon]
        if budget.take(flight.arrival.call, outcome):
            self._dispatch(flight)
        else:
            flight.refused = True

    def _lose(self, attempt: AttemptId, site: _Site) -> None:
        """End an attempt whose server is gone; its call goes on elsewhere."""
        flight = self._open.pop(attempt, None)
        if flight is None:
            return
        self._end_attempt(flight, CallResult(ResultStatus.FAILED))
        flight.computed += flight.arrival.call.prompt_tokens
        self._dispatch(flight)

    def _advance(self, site: _Site) -> None:
        for event in site.engine.advance(self.clock.seconds):
            self._take_event(site, event)
        following = site.engine.next_event()
        if following is None or following == site.scheduled:
            return
        site.scheduled = following
        self.at(following, self._advance_later(site))

    def _advance_later(self, site: _Site) -> Callable[[], None]:
        def advance() -> None:
            if not site.gone:
                self._advance(site)

        return advance

    def _take_event(self, site: _Site, event: EngineEvent) -> None:
        flight = self._open.get(event.attempt)
        if flight is None or flight.ticket is None:
            return
        if isinstance(event, EndEvent):
            self._open.pop(event.attempt)
            self._take_end(site, flight, event)
            return
        if flight.first_token_at is None:
            flight.first_token_at = event.at
        self.policies[flight.arrival.daemon].first_token(flight.ticket)

    def _take_end(self, site: _Site, flight: Flight, event: EndEvent) -> None:
        flight.computed += event.computed_tokens
        self._count_fresh(flight)
        flight.generated += event.generated
        ticket = flight.ticket
        started = ticket.started if ticket else event.at
        finished = event.status is StreamStatus.FINISHED
        status = ResultStatus.SUCCEEDED if finished else ResultStatus.FAILED
        seconds = event.at - started
        self._end_attempt(
            flight,
            CallResult(status, event.generated, event.cached_tokens, seconds),
        )
        flight.slot_cost += seconds * site.server.price / site.server.capacity
        if finished:
            flight.ended_at = event.at
        else:
            self._retry(flight, Outcome.RAN)

    def _end_attempt(self, flight: Flight, outcome: CallResult) -> None:
        if flight.ticket is not None:
            self.policies[flight.arrival.daemon].finish(flight.ticket, outcome)
            flight.ticket = None

    def _count_fresh(self, flight: Flight) -> None:
        blocks = flight.arrival.call.prefix_blocks
        known = self._known_blocks
        new = sum(1 for block in blocks if block not in known)
        known.update(blocks)
        block_tokens = MODEL_PROFILE.block_tokens
        rest = flight.arrival.call.prompt_tokens - len(blocks) * block_tokens
        flight.fresh += new * block_tokens + rest

    def _poll(self) -> None:
        now = self.clock.seconds
        for site in self.sites.values():
            if not site.gone:
                self._advance(site)
                self._poll_site(site, now)
        if self.tick is not None:
            self.tick()
        self.at(now + POLL_SECONDS, self._poll)

    def _poll_site(self, site: _Site, now: float) -> None:
        report = site.engine.load_report(now)
        events = site.engine.cache_events(site.seen_event, now)
        for policy in self.policies:
            if report is not None:
                policy.record_load(report)
            for event in events:
                policy.record_cache_event(event)
        if events:
            site.seen_event = events[-1].sequence
