"""What a daemon knows and learns of one backend server."""

import random
from datetime import timedelta

from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.states import MachineClass
from fireflyhitch_routing.choices import CallResult, ResultStatus, Ticket
from fireflyhitch_routing.curves import Curve
from fireflyhitch_routing.health import ServerHealth
from fireflyhitch_routing.load import ServerLoad
from fireflyhitch_routing.policy import Candidate

# What is assumed of an unknown model engine or service until it is measured: of
# the order of an 8-billion-parameter model on a 24 GB accelerator.
FIRST_PRIOR = (0.05, 0.0004, 0.005)
FIRST_SPREAD = (0.1, 0.0004, 0.01)
FIRST_NOISE = 0.1
GAP_PRIOR = (0.03, 0.002)
GAP_SPREAD = (0.02, 0.002)
GAP_NOISE = 0.008
HOLD_PRIOR = 5.0
AVERAGE_WEIGHT = 0.05
# Reclaimable instances are taken back about once in this time when nothing
# points to a wave.
CALM_LIFE_SECONDS = timedelta(days=0.5).total_seconds()


class Curves:
    """The latency curves of a server, or of all servers of a version."""

    __slots__ = ('first', 'gap', 'hold')

    def __init__(self, now: float) -> None:
        self.first = Curve(FIRST_PRIOR, FIRST_SPREAD, FIRST_NOISE, now)
        self.gap = Curve(GAP_PRIOR, GAP_SPREAD, GAP_NOISE, now)
        self.hold = HOLD_PRIOR

    def rest_on(self, pool: 'Curves', now: float) -> None:
        """Take a pool's curves as the prior that old knowledge goes back to."""
        self.first.prior = pool.first.coefficients
        self.gap.prior = pool.gap.coefficients
        self.first.forget(now)
        self.gap.forget(now)

    def learn_hold(self, seconds: float) -> None:
        """Take in how long a call stayed."""
        self.hold += AVERAGE_WEIGHT * (seconds - self.hold)


class ServerRecord:
    """All state of one server; the router's lock guards it."""

    __slots__ = (
        'calm_hazard',
        'curves',
        'health',
        'leaving',
        'load',
        'pool',
        'server',
        'trust',
    )

    def __init__(self, server: BackendServer, pool: Curves, now: float) -> None:
        self.server = server
        self.pool = pool
        self.curves = Curves(now)
        if pool.first.samples:
            self.curves.first.coefficients = pool.first.coefficients
        if pool.gap.samples:
            self.curves.gap.coefficients = pool.gap.coefficients
        self.curves.hold = pool.hold
        self.load = ServerLoad()
        reclaimable = server.machine_class is MachineClass.RECLAIMABLE
        self.calm_hazard = 1 / CALM_LIFE_SECONDS if reclaimable else 0
        self.health = ServerHealth(now)
        self.leaving = False
        # Share of the expected cached tokens that its answers really report.
        self.trust = 1.0

    def see(
        self, now: float, likeness: float, cached_tokens: int, hazard: float
    ) -> Candidate:
        """Return the immutable view that a decision is made on."""
        curves = self.curves
        first = curves.first
        gap = curves.gap
        server = self.server
        return Candidate(
            server,
            self.load.total(now, likeness),
            self.load.prompt_work,
            int(cached_tokens * self.trust),
            first.coefficients,
            first.deviation,
            gap.coefficients,
            gap.deviation,
            curves.hold,
            self.calm_hazard + hazard if self.calm_hazard else 0,
            self.health.allowed(server.capacity, now),
        )

    def learn_first(self, ticket: Ticket, now: float) -> None:
        """Learn from the time to a first token.

        A call that had to queue says more of the queue than of the server, so it
        is passed over.
        """
        if ticket.in_flight + 1 > self.server.capacity:
            return
        features = (1.0, ticket.prompt_work, ticket.in_flight)
        seconds = now - ticket.started
        self.curves.rest_on(self.pool, now)
        self.curves.first.learn(features, seconds, now)
        self.pool.first.learn(features, seconds, now)

    def learn_end(self, ticket: Ticket, outcome: CallResult, now: float) -> None:
        """Learn from a whole answer."""
        self.curves.learn_hold(now - ticket.started)
        self.pool.learn_hold(now - ticket.started)
        self._learn_trust(ticket, outcome)
        if ticket.first_token_at is None or outcome.generated_tokens < 2:
            return
        features = (1.0, (ticket.in_flight + self.load.total(now, 0)) / 2)
        seconds = (now - ticket.first_token_at) / (outcome.generated_tokens - 1)
        self.curves.rest_on(self.pool, now)
        self.curves.gap.learn(features, seconds, now)
        self.pool.gap.learn(features, seconds, now)

    def judge(self, status: ResultStatus, now: float, draw: random.Random) -> None:
        """Take an attempt's end as evidence of its health."""
        self.health.record(status, now, draw)

    def _learn_trust(self, ticket: Ticket, outcome: CallResult) -> None:
        expected = ticket.choice.cached_tokens
        if outcome.cached_tokens is None or not expected:
            return
        found = min(1.0, outcome.cached_tokens * self.trust / expected)
        self.trust += AVERAGE_WEIGHT * (found - self.trust)
