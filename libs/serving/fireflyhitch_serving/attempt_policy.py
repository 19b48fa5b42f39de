"""Chooses the server of an attempt and decides whether to make another attempt."""

import math
from collections.abc import Collection

from fireflyhitch_model.ids import BackendServerId, DeploymentId
from fireflyhitch_model.states import Outcome
from fireflyhitch_serving.dependencies import RequestDependencies
from fireflyhitch_serving.exchanges import AttemptFailure, Exchange
from fireflyhitch_serving.placement import (
    Locality,
    Placement,
    PromptRequest,
    has_place,
    place_prompt,
)
from fireflyhitch_serving.plain_placement import place_plain
from fireflyhitch_serving.request_log import log_retry
from fireflyhitch_serving.servers import ServerRecord

# Before a repeatable request is retried elsewhere, a server that sends nothing gets a
# multiple of its expected time plus a margin. Hung servers send nothing at all; about
# one in some hundred healthy responses is as late as this.
SILENCE_TIMEOUT_FACTOR = 2.0
SILENCE_TIMEOUT_MARGIN_SECONDS = 0.2
MIN_SILENCE_TIMEOUT_SECONDS = 0.4
# Minimum wait as a fraction of the latency target: it leaves time for another server,
# and the work of a busy server that responds meanwhile is not wasted.
MIN_TARGET_FRACTION = 0.5
# Additional sends beyond a route's attempts if servers respond "not run"; each costs a
# round trip.
MAX_EXTRA_SENDS = 2
# Part of the latency target for which a request may wait for a brittle server.
MAX_WAIT_TARGET_FRACTION = 0.5
# No server can respond in less than this, so no attempt starts with less time left.
MIN_SEND_SECONDS = 0.03
# Responses after which the time to read a prompt counts as known.
MIN_ANSWERS = 5
# The expected work of a request is at most this part of its time limit and target: the
# mean over a service's requests says little about one that has much less time than most.
MAX_WORK_FRACTION = 0.5


class AttemptPolicy:
    """Decides on attempts from the state of servers, versions and the retry budget."""

    def __init__(self, dependencies: RequestDependencies) -> None:
        """Create a policy that uses the given components."""
        self._deps = dependencies
        self._clock = dependencies.clock

    def find_candidates(self, exchange: Exchange) -> list[ServerRecord]:
        """Return the servers to which an attempt may be sent."""
        now = self._clock.monotonic()
        servers = self._deps.servers
        servers.evaluate(exchange.service, now)
        listed = [
            record
            for record in servers.find_by_service(exchange.service)
            if record.accepts_requests
        ]
        homes = exchange.find_home_regions()
        if homes is not None:
            listed = [
                record
                for record in listed
                if self._deps.find_region(record.server.failure_domain) in homes
            ]
        versions = frozenset(record.server.version for record in listed)
        allowed = self._deps.versions.pick(exchange.service, versions, self._deps.rng)
        ready = [record for record in listed if record.server.version in allowed]
        fresh = [
            record
            for record in ready
            if record.server.server_id not in exchange.tried_servers
        ]
        healthy = [
            record
            for record in fresh
            if not (record.failing or record.health.is_ejected(now))
        ]
        # Failure statistics and ejections may be wrong: without other servers,
        # suspected ones are better than a refusal.
        return healthy or fresh

    def filter_by_rate_limit(
        self, candidates: list[ServerRecord]
    ) -> list[ServerRecord]:
        """Return the candidates that do not rest and whose limits allow a request now.

        Servers announce limits; cold and brittle servers have some, too.
        """
        now = self._clock.monotonic()
        candidates = [record for record in candidates if not record.rests(now)]
        limits = self._deps.limits
        if limits.has_limits:
            candidates = [
                record for record in candidates if limits.may_send(record.process)
            ]
        cold_servers = self._deps.cold_servers
        if cold_servers.has_cold:
            candidates = [
                record for record in candidates if cold_servers.may_send(record)
            ]
        brittle_servers = self._deps.brittle_servers
        if brittle_servers.announcements.has_any:
            candidates = [
                record for record in candidates if brittle_servers.may_send(record)
            ]
        return candidates

    def record_sent(self, record: ServerRecord) -> None:
        """Count a request against a server's rate limits."""
        self._deps.limits.record_sent(record.process)
        self._deps.cold_servers.record_sent(record)
        self._deps.brittle_servers.record_sent(record)

    def find_rate_wait(
        self, candidates: Collection[ServerRecord], waiting: int
    ) -> float:
        """Return the seconds until rate limits allow so many requests.

        :returns: infinity if they allow none.
        """
        now = self._clock.monotonic()
        limits = self._deps.limits
        cold_servers = self._deps.cold_servers
        awake = [record for record in candidates if not record.rests(now)]
        rate = sum(
            min(
                limits.find_local_rate(record.process),
                cold_servers.find_local_rate(record),
                self._deps.brittle_servers.find_local_rate(record),
            )
            for record in awake
        )
        waits = [waiting / rate if rate else math.inf]
        waits.extend(
            cold_servers.find_seconds_until_warm(record)
            for record in awake
            if limits.may_send(record.process)
        )
        waits.extend(
            record.rests_until - now for record in candidates if record.rests(now)
        )
        return min(waits)

    def find_latest_start(
        self, exchange: Exchange, candidates: Collection[ServerRecord]
    ) -> float:
        """Return the monotonic time until which a request may wait to be sent.

        Brittle servers get no more than they run at once, and requests that may wait
        until their deadline would fill the queue up to it: all would be late. So it is
        with requests that wait for the end of a rest; other daemons may need no rest.
        """
        now = self._clock.monotonic()
        brittle_servers = self._deps.brittle_servers
        if not any(
            brittle_servers.is_brittle(record) or record.rests(now)
            for record in candidates
        ):
            return exchange.deadline
        wait = exchange.route.target * MAX_WAIT_TARGET_FRACTION
        return min(exchange.request.arrived + wait, exchange.deadline)

    def find_expected_seconds(
        self, exchange: Exchange, candidates: Collection[ServerRecord]
    ) -> float:
        """Return the seconds that a request needs at the fastest of its servers.

        For a prompt, these are the seconds to its first token.
        """
        now = self._clock.monotonic()
        expected = 0.0
        if exchange.info.prompt_tokens is None:
            if self._deps.work_times.is_known(exchange.service):
                expected = self._deps.work_times.find(exchange.service)
        elif self.is_prefill_known(exchange.service):
            prefill_model = self._deps.workloads.prefill_model(exchange.service)
            expected = prefill_model.predict(exchange.info.prompt_tokens)
        expected *= min(
            (record.time_factor.estimate(now) for record in candidates), default=1
        )
        time_limit = exchange.deadline - exchange.request.arrived
        return max(
            min(expected, time_limit * MAX_WORK_FRACTION),
            MIN_SEND_SECONDS,
        )

    def is_prefill_known(self, service: DeploymentId) -> bool:
        """Return whether enough responses have shown how fast engines read prompts."""
        return self._deps.workloads.prefill_model(service).answers >= MIN_ANSWERS

    def find_next_change(self, service: DeploymentId) -> float:
        """Return the seconds until rate limits or rests may allow another request.

        :returns: infinity if no server has a limit or rests.
        """
        now = self._clock.monotonic()
        records = self._deps.servers.find_by_service(service)
        waits = [
            self._deps.limits.find_seconds_to_next_permits(),
            self._deps.cold_servers.find_seconds_to_next_permits(),
            self._deps.brittle_servers.find_seconds_to_change(records),
        ]
        waits.extend(
            record.rests_until - now for record in records if record.rests(now)
        )
        return min(waits)

    def choose(
        self, exchange: Exchange, candidates: list[ServerRecord]
    ) -> Placement | None:
        """Choose a candidate; ``None`` if the request has to wait for a free slot."""
        now = self._clock.monotonic()
        info = exchange.info
        locality = Locality(self._deps.own_domain, self._deps.unreachable_domains())
        if info.prompt_tokens is None:
            return place_plain(candidates, locality, now, self._deps.rng)
        prompt = PromptRequest(
            info.prompt_tokens,
            info.parts,
            exchange.route.target,
            self._deps.workloads.prefill_model(exchange.service).seconds_per_token,
        )
        preferred = self._find_preferred(exchange, candidates)
        rng = self._deps.rng
        placement = place_prompt(prompt, candidates, locality, now, rng, preferred)
        if placement is not None:
            return placement
        # Only some were compared; others may have a place.
        others = [
            record
            for record in candidates
            if has_place(record, record.total(now).requests)
        ]
        return place_prompt(prompt, others, locality, now, rng, preferred)

    def _find_preferred(
        self, exchange: Exchange, candidates: list[ServerRecord]
    ) -> list[BackendServerId]:
        """Return the servers that the prompt's last shared part hashes to.

        The last part of a prompt is not shared with other prompts.
        """
        parts = exchange.info.parts
        if len(parts) < 2:
            return []
        candidate_ids = {record.server.server_id for record in candidates}
        return self._deps.servers.find_affinity_servers(
            exchange.service, parts[-2].part_id, candidate_ids
        )

    def find_silence_timeout(
        self, exchange: Exchange, placement: Placement
    ) -> float | None:
        """Return the seconds without data after which an attempt may be given up.

        :returns: ``None`` if the request cannot be retried.
        """
        route = exchange.route
        if not route.repeatable or exchange.runs + 1 >= route.attempts:
            return None
        if exchange.info.prompt_tokens is None:
            return max(route.target, MIN_SILENCE_TIMEOUT_SECONDS)
        prefill_model = self._deps.workloads.prefill_model(exchange.service)
        # A server that states to be fast may be wrong.
        expected = prefill_model.predict(
            placement.queued_tokens + placement.fresh_tokens,
            max(placement.time_factor.factor, 1),
        )
        return max(
            expected * SILENCE_TIMEOUT_FACTOR + SILENCE_TIMEOUT_MARGIN_SECONDS,
            route.target * MIN_TARGET_FRACTION,
            MIN_SILENCE_TIMEOUT_SECONDS,
        )

    def reserve_retry(self, exchange: Exchange) -> bool:
        """Take a retry from the budget if another server is available."""
        if self._is_held(exchange):
            return False
        if not self.filter_by_rate_limit(self.find_candidates(exchange)):
            return False
        return self._take_retry(exchange)

    def may_retry(self, exchange: Exchange, failure: AttemptFailure) -> bool:
        """Tell whether to make another attempt, and take it from the retry budget."""
        if failure.retry_reserved:
            return True
        route = exchange.route
        if failure.outcome is not Outcome.NOT_RUN:
            if not route.repeatable or exchange.runs >= route.attempts:
                return False
        return bool(self.find_candidates(exchange)) and self.may_send_again(exchange)

    def may_send_again(self, exchange: Exchange) -> bool:
        """Tell whether a request may be sent again, wherever it goes.

        Take that from the retry budget, unless it has not been sent since the last time.
        """
        if exchange.sends > exchange.route.attempts + MAX_EXTRA_SENDS:
            return False
        if self._is_held(exchange):
            return False
        return not exchange.needs_retry or self._take_retry(exchange)

    def _is_held(self, exchange: Exchange) -> bool:
        quarantine = self._deps.crashes.quarantine
        now = self._clock.monotonic()
        return quarantine.find_longest_hold(exchange.suspects, now) is not None

    def _take_retry(self, exchange: Exchange) -> bool:
        now = self._clock.monotonic()
        budget = self._deps.budget
        use = budget.find_use(exchange.service, now)
        taken = budget.take(exchange.service, now)
        exchange.retries_taken += taken
        log_retry(exchange, use, taken=taken)
        return taken
