"""The router: chooses a backend server for each attempt and learns from it."""

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
from fireflyhitch_routing.policy import Candidate, Estimate, Question, decide, estimate
from fireflyhitch_routing.prefix import PrefixIndex
from fireflyhitch_routing.records import Curves, ServerRecord
from fireflyhitch_settings.schema import Configuration

NO_SERVER_RETRY_SECONDS = 5.0
LEAST_RETRY_SECONDS = 1.0
NONE_EXCLUDED: frozenset[BackendServerId] = frozenset()
# Below this share of the target nothing is refused for overload, however strict.
CALM_MARGIN = 0.7
# At least this share of the servers stays in use, ejected or not.
LEAST_IN_USE = 0.5
# Servers remembered after the list has dropped them, some days' worth.
MOST_ABSENT = 10000


class Router:
    """Chooses backend servers; safe to call from any thread.

    One lock guards the state; it is held to copy what a decision needs and to
    count, not while deciding.

    :param daemon: this daemon; orders servers of equal worth differently in each.
    :param draw: randomness for jitter, seeded in tests.
    """

    def __init__(
        self, clock: Clock, daemon: DaemonId, draw: random.Random | None = None
    ) -> None:
        self._clock = clock
        self._daemon = daemon
        self._draw = draw or random.Random()  # noqa: S311
        self._lock = threading.Lock()
        self._deployments: dict[DeploymentId, DeploymentRecord] = {}
        self._records: dict[BackendServerId, ServerRecord] = {}
        self._absent: LRUCache[BackendServerId, ServerRecord] = LRUCache(MOST_ABSENT)
        self._pools: dict[tuple[DeploymentId, VersionId], Curves] = {}
        self._domains = FailureDomains()
        self._prefixes = PrefixIndex()
        self._likeness = 0.0

    def configure(self, configuration: Configuration) -> None:
        """Take the targets from the configuration in force."""
        with self._lock:
            for deployment in configuration.deployments:
                known = self._deployments.setdefault(
                    deployment.name, DeploymentRecord()
                )
                known.target = Target.of_deployment(deployment)

    def set_daemon_count(self, daemons: int) -> None:
        """Tell how many daemons, this one included, use the same servers.

        The others are taken to act as this one on the same late reports.
        """
        with self._lock:
            self._likeness = max(0.0, daemons - 1.0)

    def update_servers(self, servers: Iterable[BackendServer]) -> None:
        """Take the whole set of servers; what was learned of known ones stays.

        A server with a new incarnation starts afresh; a leaving mark holds for
        its incarnation whatever the list says.
        """
        now = self._clock.monotonic()
        with self._lock:
            current = {server.server_id: server for server in servers}
            for gone in self._records.keys() - current.keys():
                self._put_away(gone)
            for server in current.values():
                self._take_server(server, now)
            self._order_records()

    def record_load(self, report: LoadReport) -> None:
        """Take in a load report; late and repeated ones do no harm."""
        with self._lock:
            record = self._records.get(report.server_id)
            if record is not None:
                record.load.take_report(report)

    def record_cache_event(self, event: CacheEvent) -> None:
        """Take in a cache event; late, lost and repeated ones do no harm."""
        with self._lock:
            if event.server_id in self._records:
                self._prefixes.take_event(event)

    def mark_leaving(self, server_id: BackendServerId) -> None:
        """Give a server no new work from now on; its incarnation never returns."""
        now = self._clock.monotonic()
        with self._lock:
            record = self._records.get(server_id)
            if record is None or record.leaving:
                return
            record.leaving = True
            self._domains.note_leaving(record.server.failure_domain, now)

    def mark_failure_domain(self, domain: FailureDomainId, state: DomainState) -> None:
        """Leave a failure domain, or return to it with a slow start."""
        now = self._clock.monotonic()
        with self._lock:
            if not self._domains.mark(domain, state):
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
        :raises RequestError: with outcome ``not-run`` of this attempt and a time
            to come back, if no server can serve it in time.
        """
        now = self._clock.monotonic()
        with self._lock:
            deployment = self._find_deployment(call)
            question = deployment.ask(call, now)
            records = [
                record
                for record in deployment.records
                if not record.leaving
                and record.server.server_id not in excluded
                and (versions is None or record.server.version in versions)
                and (servers is None or record.server.server_id in servers)
            ]
            near, far = self._see_by_health(records, call.prefix_blocks, now)
        if not near and not far:
            raise _refuse(
                'no backend server is available',
                'no_backend_server',
                NO_SERVER_RETRY_SECONDS * (1 + self._draw.random()),
            )
        chosen, reason = decide(question, near or far)
        if chosen.margin > 1 and near and far:
            chosen, reason = decide(question, near + far)
        self._check_pressure(call, deployment, question, chosen, now)
        candidate = chosen.candidate
        return Choice(candidate.server, reason, chosen.first, candidate.cached_tokens)

    def start(self, choice: Choice, call: Call) -> Ticket:
        """Count a call as sent; each ticket ends with one ``finish``."""
        now = self._clock.monotonic()
        own_work = max(call.prompt_tokens - choice.cached_tokens, 1)
        ticket = Ticket(call, choice, now, 0, own_work, own_work)
        with self._lock:
            record = self._find_record(choice)
            ticket.record = record
            if record is not None:
                load = record.load
                ticket.in_flight = load.total(now, self._likeness)
                ticket.prompt_work = load.prompt_work + own_work
                load.start(now, own_work)
                self._prefixes.add(choice.server.server_id, call.prefix_blocks)
            deployment = self._deployments.get(call.deployment)
            if deployment is not None:
                work = call.prompt_tokens + deployment.expected_tokens(call)
                deployment.pressure.use(call.customer, work, now)
        return ticket

    def first_token(self, ticket: Ticket) -> None:
        """Note the first token of a model's answer; call it once."""
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
        """Note an attempt's end, whatever it was; call it exactly once."""
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
            record.health.record(outcome.status, now, self._draw)
            if outcome.status in {ResultStatus.REFUSED, ResultStatus.FAILED}:
                self._suspect_domain(record.server.failure_domain, now)

    def _find_deployment(self, call: Call) -> DeploymentRecord:
        deployment = self._deployments.get(call.deployment)
        if deployment is None:
            raise _refuse('no such deployment', 'model_not_found', None)
        return deployment

    def _find_record(self, choice: Choice) -> ServerRecord | None:
        record = self._records.get(choice.server.server_id)
        if record is None or record.server.incarnation != choice.server.incarnation:
            return None
        return record

    def _put_away(self, server_id: BackendServerId) -> None:
        """Take a server out of use, but remember what the list may have missed.

        The list lags and can drop a server that is still there. When it comes
        back, calls of before are still in flight, and a leaving mark still holds.
        """
        self._prefixes.forget(server_id)
        record = self._records.pop(server_id)
        if record.load.own or record.leaving:
            self._absent[server_id] = record

    def _take_server(self, server: BackendServer, now: float) -> None:
        known = self._records.get(server.server_id)
        if known is None:
            known = self._absent.pop(server.server_id, None)
            if known is not None:
                self._records[server.server_id] = known
        if known is not None and known.server.incarnation == server.incarnation:
            known.server = server
            return
        if known is not None:
            if known.server.incarnation > server.incarnation:
                return
            self._prefixes.forget(server.server_id)
        key = (server.deployment, server.version)
        pool = self._pools.setdefault(key, Curves(now))
        self._records[server.server_id] = ServerRecord(server, pool, now)

    def _order_records(self) -> None:
        for known in self._deployments.values():
            known.records = []
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

    def _see_by_health(
        self, records: list[ServerRecord], blocks: tuple[int, ...], now: float
    ) -> tuple[list[Candidate], list[Candidate]]:
        """Return the healthy candidates, and those to use if need be.

        The second list keeps at least half of all servers in use: ejection is a
        guess, and when it is wrong about most of them (a caller's bad requests, a
        short break) the few left would break under all the work.
        """
        cached = self._prefixes.find(blocks)
        near: list[Candidate] = []
        shunned: list[tuple[float, Candidate]] = []
        for record in records:
            server = record.server
            candidate = record.see(
                now,
                self._likeness,
                cached.get(server.server_id, 0) * TOKENS_PER_BLOCK,
                self._domains.hazard(server.failure_domain, now),
            )
            until = self._shunned_until(record, now)
            if until <= now:
                near.append(candidate)
            else:
                shunned.append((until, candidate))
        if not shunned:
            return near, []
        floor = max(math.ceil(len(records) * LEAST_IN_USE) - len(near), 0)
        shunned.sort(key=itemgetter(0))
        return near, [candidate for _, candidate in shunned[:floor]]

    def _shunned_until(self, record: ServerRecord, now: float) -> float:
        if self._domains.is_cut_off(record.server.failure_domain):
            return math.inf
        return record.health.ejected_until

    def _check_pressure(
        self,
        call: Call,
        deployment: DeploymentRecord,
        question: Question,
        chosen: Estimate,
        now: float,
    ) -> None:
        idle = chosen
        if chosen.margin > CALM_MARGIN:
            unloaded = chosen.candidate._replace(in_flight=0, prompt_work=0)
            idle = estimate(question, unloaded)
        with self._lock:
            deployment.pressure.note(chosen, idle, now)
            refused = chosen.margin > CALM_MARGIN and deployment.pressure.refuses(
                call, chosen, idle, now
            )
        if now + chosen.first > call.deadline:
            raise _refuse(
                'no backend server can answer by the deadline',
                'deadline_too_short',
                self._time_to_come_back(chosen, question),
            )
        if refused:
            raise _refuse(
                'all backend servers are overloaded',
                'overloaded',
                self._time_to_come_back(chosen, question),
            )

    def _time_to_come_back(self, chosen: Estimate, question: Question) -> float:
        excess = (chosen.margin - 1) * question.first_target
        return max(LEAST_RETRY_SECONDS, excess) * (1 + self._draw.random())

    def _learn(
        self, record: ServerRecord, ticket: Ticket, outcome: CallResult, now: float
    ) -> None:
        if outcome.status is not ResultStatus.SUCCEEDED:
            return
        deployment = self._deployments[ticket.call.deployment]
        if deployment.target.gap is None:
            record.learn_first(ticket, now)
        elif outcome.generated_tokens:
            deployment.learn_tokens(ticket.call, outcome.generated_tokens)
        record.learn_end(ticket, outcome, now)

    def _suspect_domain(self, domain: FailureDomainId, now: float) -> None:
        records = self._records_in(domain)
        if not is_failing(records, now):
            return
        for record in records:
            if not record.health.is_ejected(now):
                record.health.eject(now, self._draw)


def _refuse(message: str, code: str, retry_seconds: float | None) -> RequestError:
    retry_after = None if retry_seconds is None else timedelta(seconds=retry_seconds)
    status = (
        HTTPStatus.NOT_FOUND
        if retry_seconds is None
        else HTTPStatus.SERVICE_UNAVAILABLE
    )
    return RequestError(
        message, step=Step.ROUTE, status=status, code=code, retry_after=retry_after
    )
