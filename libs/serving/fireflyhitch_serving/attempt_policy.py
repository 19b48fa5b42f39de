"""Which server an attempt goes to, and whether there may be another attempt."""

from collections.abc import Iterable

from fireflyhitch_model.ids import BackendServerId
from fireflyhitch_model.states import Outcome
from fireflyhitch_serving.dependencies import RequestDependencies
from fireflyhitch_serving.exchanges import AttemptFailure, Exchange
from fireflyhitch_serving.health import Ending
from fireflyhitch_serving.placement import (
    Locality,
    Placement,
    PromptRequest,
    place_plain,
    place_prompt,
)
from fireflyhitch_serving.servers import ServerRecord

# A silent server is given this many times its expected time and some on top, before a
# repeatable request goes elsewhere. Mute servers say nothing at all, and one in some
# hundred that are well is this late.
PATIENCE_FACTOR = 2.0
PATIENCE_SECONDS = 0.2
LEAST_PATIENCE_SECONDS = 0.4
# But at least this part of the latency target: there is time for another server then,
# and a busy one that answers meanwhile has done its work for somebody.
TARGET_PART = 0.5
# Sends beyond a route's attempts that were told "not run"; each costs a round trip.
EXTRA_SENDS = 2


class Choices:
    """Decides on attempts by what is known of servers, versions and budgets."""

    def __init__(self, parts: RequestDependencies) -> None:
        """Make choices on the parts' state."""
        self._parts = parts
        self._clock = parts.clock

    def find_candidates(self, exchange: Exchange) -> list[ServerRecord]:
        """Return the servers that an attempt may go to."""
        now = self._clock.monotonic()
        servers = self._parts.servers
        servers.evaluate(exchange.service, now)
        listed = [
            record
            for record in servers.find_by_service(exchange.service)
            if record.server.ready
        ]
        versions = frozenset(record.server.version for record in listed)
        allowed = self._parts.versions.pick(exchange.service, versions, self._parts.rng)
        ready = [record for record in listed if record.server.version in allowed]
        fresh = [
            record for record in ready if record.server.server_id not in exchange.tried
        ]
        healthy = [
            record
            for record in fresh
            if not (record.failing or record.health.is_ejected(now))
        ]
        # Both are guesses: with nobody else left, those that they may be wrong
        # about are better than a refusal.
        return healthy or fresh

    def find_able(self, candidates: list[ServerRecord]) -> list[ServerRecord]:
        """Return the candidates that their limits, if they name any, let have work now."""
        limits = self._parts.limits
        if not limits.has_limits:
            return candidates
        return [record for record in candidates if limits.may_send(record.process)]

    def find_local_rate(self, candidates: Iterable[ServerRecord]) -> float:
        """Return the requests a second that this daemon may send to servers."""
        limits = self._parts.limits
        return sum(limits.find_local_rate(record.process) for record in candidates)

    def choose(
        self, exchange: Exchange, candidates: list[ServerRecord]
    ) -> Placement | None:
        """Choose one of them; nothing if the request has to wait for a place."""
        now = self._clock.monotonic()
        facts = exchange.facts
        place = Locality(self._parts.own_domain, self._parts.unreachable_domains())
        if facts.prompt_tokens is None:
            return place_plain(candidates, place, now)
        need = PromptRequest(
            facts.prompt_tokens,
            facts.parts,
            exchange.route.target,
            self._parts.workloads.prefill_model(exchange.service).seconds_per_token,
        )
        return place_prompt(
            need, candidates, place, now, self._find_agreed(exchange, candidates)
        )

    def _find_agreed(
        self, exchange: Exchange, candidates: list[ServerRecord]
    ) -> list[BackendServerId]:
        """Return the servers that the last part which prompts share belongs to."""
        parts = exchange.facts.parts
        if len(parts) < 2:
            return []
        among = {record.server.server_id for record in candidates}
        return self._parts.servers.find_affinity_servers(
            exchange.service, parts[-2].part_id, among
        )

    def find_patience(self, exchange: Exchange, placement: Placement) -> float | None:
        """Return how long a silent server is waited for before another is asked."""
        route = exchange.route
        if not route.repeatable or exchange.runs + 1 >= route.attempts:
            return None
        if exchange.facts.prompt_tokens is None:
            return max(route.target, LEAST_PATIENCE_SECONDS)
        pace = self._parts.workloads.prefill_model(exchange.service)
        expected = pace.predict(placement.queued_tokens + placement.fresh_tokens)
        return max(
            expected * PATIENCE_FACTOR + PATIENCE_SECONDS,
            route.target * TARGET_PART,
            LEAST_PATIENCE_SECONDS,
        )

    def may_leave(self, exchange: Exchange) -> bool:
        """Take a repeat for a request whose server is silent, if it may have one."""
        if not self.find_able(self.find_candidates(exchange)):
            return False
        return self._parts.budget.take(exchange.service, self._clock.monotonic())

    def may_go_on(self, exchange: Exchange, failure: AttemptFailure) -> bool:
        """Tell whether there is another attempt, and take what it costs."""
        if failure.paid:
            return True
        route = exchange.route
        now = self._clock.monotonic()
        if exchange.sends > route.attempts + EXTRA_SENDS:
            return False
        if self._parts.crashes.quarantine.find_remaining_hold(exchange.content, now):
            return False
        if failure.outcome is not Outcome.NOT_RUN:
            if not route.repeatable or exchange.runs >= route.attempts:
                return False
        if not self.find_candidates(exchange):
            return False
        if failure.ending is Ending.UNREACHED:
            return True
        return self._parts.budget.take(exchange.service, now)
