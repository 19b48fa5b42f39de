"""Chooses a backend server for each attempt and learns from the results."""

import math
import random
import threading
from collections.abc import Iterable
from datetime import timedelta
from http import HTTPStatus
from operator import itemgetter

from cachetools import LRUCache

from fireflyhitch_model.backends import BackendServer, CacheEvent, LoadReport
from fireflyhitch_model.calls import Call
from fireflyhitch_model.clock import Clock
from fireflyhitch_model.errors import RequestError
from fireflyhitch_model.hashing import rank_by_hash
from fireflyhitch_model.ids import (
    BackendServerId,
    DaemonId,
    DeploymentId,
    FailureDomainId,
    VersionId,
)
from fireflyhitch_model.invariants import Invariant, invariant
from fireflyhitch_model.prompts import TOKENS_PER_BLOCK
from fireflyhitch_model.states import Step
from fireflyhitch_routing.choices import CallResult, Choice, ResultStatus, Ticket
from fireflyhitch_routing.deployments import DeploymentRecord, Target
from fireflyhitch_routing.domains import DomainState, FailureDomains, is_failing
from fireflyhitch_routing.policy import (
    Candidate,
    Estimate,
    PlacementRequest,
    decide,
    estimate,
)
from fireflyhitch_routing.prefix import PrefixIndex
from fireflyhitch_routing.records import LatencyCurves, ServerRecord
from fireflyhitch_settings.schema import Configuration

NO_SERVER_RETRY_SECONDS = 5.0
MIN_RETRY_SECONDS = 1.0
NONE_EXCLUDED: frozenset[BackendServerId] = frozenset()
# Below this fraction of the target no call is refused for overload, even with the
# strict limits.
LOW_LOAD_MARGIN = 0.7
# At least this fraction of the servers stays in use, even if they are ejected.
MIN_IN_USE = 0.5
# Records kept of servers missing from the instance list; enough for some days.
MAX_UNLISTED = 10000


class Router:
    """Chooses backend servers; thread-safe.

    One lock guards the state. It is held while candidates are copied and calls are
    counted, but not during a decision.

    :param daemon: this daemon; equally good servers are ordered differently in each.
    :param rng: random source of jitter; seeded in tests.
    """

    def __init__(
        self, clock: Clock, daemon: DaemonId, rng: random.Random | None = None
    ) -> None:
        self._clock = clock
        self._daemon = daemon
        self._rng = rng or random.Random()  # noqa: S311
        self._lock = threading.Lock()
        self._deployments: dict[DeploymentId, DeploymentRecord] = {}
        self._records: dict[BackendServerId, ServerRecord] = {}
        self._unlisted: LRUCache[BackendServerId, ServerRecord] = LRUCache(MAX_UNLISTED)
        self._version_curves: dict[tuple[DeploymentId, VersionId], LatencyCurves] = {}
        self._domains = FailureDomains()
        self._prefixes = PrefixIndex()
        self._other_daemons = 0.0

    def configure(self, configuration: Configuration) -> None:
        """Apply the latency targets of the configuration in force."""
        with self._lock:
            for deployment in configuration.deployments:
                record = self._deployments.setdefault(
                    deployment.name, DeploymentRecord()
                )
                record.target = Target.from_deployment(deployment)

    def set_daemon_count(self, daemons: int) -> None:
        """Set how many daemons, this one included, use the same servers.

        The others are assumed to act like this one on the same delayed reports.
        """
        with self._lock:
            self._other_daemons = max(0.0, daemons - 1.0)

    def update_servers(self, servers: Iterable[BackendServer]) -> None:
        """Replace the set of servers; the records of existing ones are kept.

        A server with a new incarnation gets a new record. A leaving mark stays for the
        whole incarnation, whatever the list says.
        """
        now = self._clock.monotonic()
        with self._lock:
            current = {server.server_id: server for server in servers}
            for unlisted in self._records.keys() - current.keys():
                self._retire_server(unlisted)
            for server in current.values():
                self._update_server(server, now)
            self._rebuild_deployments()

    def record_load(self, report: LoadReport) -> None:
        """Apply a load report; delayed and repeated ones are harmless."""
        with self._lock:
            record = self._records.get(report.server_id)
            if record is not None:
                record.load.apply_report(report)

    def record_cache_event(self, event: CacheEvent) -> None:
        """Apply a cache event; delayed, lost and repeated ones are harmless."""
        with self._lock:
            if event.server_id in self._records:
                self._prefixes.apply_event(event)

    def mark_leaving(self, server_id: BackendServerId) -> None:
        """Send a server no new calls; this holds for its whole incarnation."""
        now = self._clock.monotonic()
        with self._lock:
            record = self._records.get(server_id)
            if record is None or record.leaving:
                return
            record.leaving = True
            self._domains.record_departure(record.server.failure_domain, now)

    def mark_failure_domain(self, domain: FailureDomainId, state: DomainState) -> None:
        """Stop or resume using a failure domain; it resumes with a slow start."""
        now = self._clock.monotonic()
        with self._lock:
            if not self._domains.set_state(domain, state):
                return
            for record in self._records_in(domain):
                record.health.started = now

    def choose(
        self,
        call: Call,
        *,
        versions: frozenset[VersionId] | None = None,
        servers: frozenset[BackendServerId] | None = None,
        excluded: frozenset[BackendServerId] = NONE_EXCLUDED,
    ) -> Choice:
        """Choose a backend server for a call's next attempt.

        :param versions: the versions allowed; ``None`` for all.
        :param servers: the servers allowed, such as a subset; ``None`` for all.
        :param excluded: servers not to use, such as those already tried.
        :raises RequestError: if no server can serve the call in time; with outcome
            ``not-run`` for this attempt and the time after which to retry.
        """
        now = self._clock.monotonic()
        with self._lock:
            deployment = self._find_deployment(call)
            request = deployment.make_request(call, now)
            records = [
                record
                for record in deployment.records
                if not record.leaving
                and record.server.server_id not in excluded
                and (versions is None or record.server.version in versions)
                and (servers is None or record.server.server_id in servers)
            ]
            healthy, fallback = self._split_by_health(records, call.prefix_blocks, now)
        if not healthy and not fallback:
            raise _make_error(
                'no backend server is available',
                'no_backend_server',
                NO_SERVER_RETRY_SECONDS * (1 + self._rng.random()),
            )
        chosen, reason = decide(request, healthy or fallback)
        if chosen.margin > 1 and healthy and fallback:
            chosen, reason = decide(request, healthy + fallback)
        self._check_overload(call, deployment, request, chosen, now)
        candidate = chosen.candidate
        return Choice(candidate.server, reason, chosen.first, candidate.cached_tokens)

    def start(self, choice: Choice, call: Call) -> Ticket:
        """Count a call as sent; call ``finish`` exactly once for each ticket."""
        now = self._clock.monotonic()
        own_work = max(call.prompt_tokens - choice.cached_tokens, 1)
        ticket = Ticket(call, choice, now, 0, own_work, own_work)
        with self._lock:
            record = self._find_record(choice)
            ticket.record = record
            if record is not None:
                load = record.load
                ticket.in_flight = load.total(now, self._other_daemons)
                ticket.prompt_work = load.prompt_work + own_work
                load.start(now, own_work)
                self._prefixes.add(choice.server.server_id, call.prefix_blocks)
            deployment = self._deployments.get(call.deployment)
            if deployment is not None:
                work = call.prompt_tokens + deployment.expected_tokens(call)
                deployment.overload.record_usage(call.customer, work, now)
        return ticket

    def first_token(self, ticket: Ticket) -> None:
        """Record the first token of a model's answer; call this once."""
        now = self._clock.monotonic()
        with self._lock:
            if ticket.finished or ticket.first_token_at is not None:
                return
            ticket.first_token_at = now
            record = ticket.record
            if record is not None:
                record.load.finish_prompt(ticket.own_prompt_work)
                record.learn_first(ticket, now)

    def finish(self, ticket: Ticket, outcome: CallResult) -> None:
        """Record the end of an attempt, however it ended; call this exactly once."""
        now = self._clock.monotonic()
        with self._lock:
            invariant(not ticket.finished, Invariant.COUNT_BALANCES, step=Step.ROUTE)
            ticket.finished = True
            record = ticket.record
            if record is None:
                return
            record.load.finish(now)
            if ticket.first_token_at is None:
                record.load.finish_prompt(ticket.own_prompt_work)
            self._learn(record, ticket, outcome, now)
            record.health.record(outcome.status, now, self._rng)
            if outcome.status in {ResultStatus.REFUSED, ResultStatus.FAILED}:
                self._eject_failing_domain(record.server.failure_domain, now)

    def _find_deployment(self, call: Call) -> DeploymentRecord:
        deployment = self._deployments.get(call.deployment)
        if deployment is None:
            raise _make_error('no such deployment', 'model_not_found', None)
        return deployment

    def _find_record(self, choice: Choice) -> ServerRecord | None:
        record = self._records.get(choice.server.server_id)
        if record is None or record.server.incarnation != choice.server.incarnation:
            return None
        return record

    def _retire_server(self, server_id: BackendServerId) -> None:
        """Take an unlisted server out of use, but keep its record if needed.

        The list lags and may omit a server that still runs. When the server is listed
        again, its earlier calls are still in flight, and a leaving mark still holds.
        """
        self._prefixes.clear_server(server_id)
        record = self._records.pop(server_id)
        if record.load.local_calls or record.leaving:
            self._unlisted[server_id] = record

    def _update_server(self, server: BackendServer, now: float) -> None:
        existing = self._records.get(server.server_id)
        if existing is None:
            existing = self._unlisted.pop(server.server_id, None)
            if existing is not None:
                self._records[server.server_id] = existing
        if existing is not None and existing.server.incarnation == server.incarnation:
            existing.server = server
            return
        if existing is not None:
            if existing.server.incarnation > server.incarnation:
                return
            self._prefixes.clear_server(server.server_id)
        key = (server.deployment, server.version)
        version_curves = self._version_curves.setdefault(key, LatencyCurves(now))
        self._records[server.server_id] = ServerRecord(server, version_curves, now)

    def _rebuild_deployments(self) -> None:
        for stale in self._deployments.values():
            stale.records = []
        for server_id in rank_by_hash(self._daemon, self._records):
            record = self._records[server_id]
            deployment = self._deployments.setdefault(
                record.server.deployment, DeploymentRecord()
            )
            deployment.records.append(record)

    def _records_in(self, domain: FailureDomainId) -> list[ServerRecord]:
        return [
            record
            for record in self._records.values()
            if record.server.failure_domain == domain
        ]

    def _split_by_health(
        self, records: list[ServerRecord], blocks: tuple[int, ...], now: float
    ) -> tuple[list[Candidate], list[Candidate]]:
        """Return the healthy candidates, and unavailable ones as a fallback.

        With the second list at least half of all servers stay in use. Ejection is a
        heuristic: if it is wrong for most servers (a caller's bad requests, a short
        outage), the few others would be overloaded by all the traffic.
        """
        cached = self._prefixes.find(blocks)
        healthy: list[Candidate] = []
        unavailable: list[tuple[float, Candidate]] = []
        for record in records:
            server = record.server
            candidate = record.make_candidate(
                now,
                self._other_daemons,
                cached.get(server.server_id, 0) * TOKENS_PER_BLOCK,
                self._domains.hazard(server.failure_domain, now),
            )
            until = self._unavailable_until(record, now)
            if until <= now:
                healthy.append(candidate)
            else:
                unavailable.append((until, candidate))
        if not unavailable:
            return healthy, []
        floor = max(math.ceil(len(records) * MIN_IN_USE) - len(healthy), 0)
        unavailable.sort(key=itemgetter(0))
        return healthy, [candidate for _, candidate in unavailable[:floor]]

    def _unavailable_until(self, record: ServerRecord, now: float) -> float:
        if self._domains.is_cut_off(record.server.failure_domain):
            return math.inf
        return record.health.ejected_until

    def _check_overload(
        self,
        call: Call,
        deployment: DeploymentRecord,
        request: PlacementRequest,
        chosen: Estimate,
        now: float,
    ) -> None:
        idle = chosen
        if chosen.margin > LOW_LOAD_MARGIN:
            unloaded = chosen.candidate._replace(in_flight=0, prompt_work=0)
            idle = estimate(request, unloaded)
        with self._lock:
            deployment.overload.record_estimate(chosen, idle, now)
            refused = chosen.margin > LOW_LOAD_MARGIN and deployment.overload.refuses(
                call, chosen, idle, now
            )
        if now + chosen.first > call.deadline:
            raise _make_error(
                'no backend server can answer by the deadline',
                'deadline_too_short',
                self._retry_seconds(chosen, request),
            )
        if refused:
            raise _make_error(
                'all backend servers are overloaded',
                'overloaded',
                self._retry_seconds(chosen, request),
            )

    def _retry_seconds(self, chosen: Estimate, request: PlacementRequest) -> float:
        excess = (chosen.margin - 1) * request.first_target
        return max(MIN_RETRY_SECONDS, excess) * (1 + self._rng.random())

    def _learn(
        self, record: ServerRecord, ticket: Ticket, outcome: CallResult, now: float
    ) -> None:
        if outcome.status is not ResultStatus.SUCCEEDED:
            return
        deployment = self._deployments[ticket.call.deployment]
        if deployment.target.gap is None:
            record.learn_first(ticket, now)
        elif outcome.generated_tokens:
            deployment.learn_answer_tokens(ticket.call, outcome.generated_tokens)
        record.learn_end(ticket, outcome, now)

    def _eject_failing_domain(self, domain: FailureDomainId, now: float) -> None:
        records = self._records_in(domain)
        if not is_failing(records, now):
            return
        for record in records:
            if not record.health.is_ejected(now):
                record.health.eject(now, self._rng)


def _make_error(message: str, code: str, retry_seconds: float | None) -> RequestError:
    retry_after = None if retry_seconds is None else timedelta(seconds=retry_seconds)
    status = (
        HTTPStatus.NOT_FOUND
        if retry_seconds is None
        else HTTPStatus.SERVICE_UNAVAILABLE
    )
    return RequestError(
        message, step=Step.ROUTE, status=status, code=code, retry_after=retry_after
    )
