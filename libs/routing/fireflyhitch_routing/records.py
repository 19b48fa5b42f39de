"""State of one backend server: learned latency, load and health."""

import random
from datetime import timedelta

from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.states import MachineClass
from fireflyhitch_routing.choices import CallResult, ResultStatus, Ticket
from fireflyhitch_routing.curves import Curve
from fireflyhitch_routing.health import ServerHealth
from fireflyhitch_routing.load import ServerLoad
from fireflyhitch_routing.policy import Candidate

# Assumed for an unknown model engine or service until it is measured: the order of
# magnitude of an 8-billion-parameter model on a 24 GB accelerator.
FIRST_PRIOR = (0.05, 0.0004, 0.005)
FIRST_PRIOR_DEVIATIONS = (0.1, 0.0004, 0.01)
FIRST_NOISE = 0.1
GAP_PRIOR = (0.03, 0.002)
GAP_PRIOR_DEVIATIONS = (0.02, 0.002)
GAP_NOISE = 0.008
RESIDENCE_PRIOR = 5.0
AVERAGE_WEIGHT = 0.05
# Reclaimable instances are reclaimed about once in this time if no others in their
# failure domain were reclaimed recently.
BASE_LIFETIME_SECONDS = timedelta(days=0.5).total_seconds()


class LatencyCurves:
    """Latency curves of a server, or of all servers of a version.

    :ivar first: time to the first token, or to the response of a plain service.
    :ivar gap: time between tokens.
    :ivar residence: mean seconds that a call stays at the server.
    """

    __slots__ = ('first', 'gap', 'residence')

    def __init__(self, now: float) -> None:
        self.first = Curve(FIRST_PRIOR, FIRST_PRIOR_DEVIATIONS, FIRST_NOISE, now)
        self.gap = Curve(GAP_PRIOR, GAP_PRIOR_DEVIATIONS, GAP_NOISE, now)
        self.residence = RESIDENCE_PRIOR

    def use_prior(self, version_curves: 'LatencyCurves', now: float) -> None:
        """Use the curves of a version as the prior to which the estimates decay."""
        self.first.prior = version_curves.first.coefficients
        self.gap.prior = version_curves.gap.coefficients
        self.first.decay(now)
        self.gap.decay(now)

    def learn_residence(self, seconds: float) -> None:
        """Update the mean time that a call stays at the server."""
        self.residence += AVERAGE_WEIGHT * (seconds - self.residence)


class ServerRecord:
    """State of one server; guarded by the router's lock."""

    __slots__ = (
        'base_hazard',
        'cache_accuracy',
        'curves',
        'health',
        'leaving',
        'load',
        'server',
        'version_curves',
    )

    def __init__(
        self, server: BackendServer, version_curves: LatencyCurves, now: float
    ) -> None:
        self.server = server
        self.version_curves = version_curves
        self.curves = LatencyCurves(now)
        if version_curves.first.samples:
            self.curves.first.coefficients = version_curves.first.coefficients
        if version_curves.gap.samples:
            self.curves.gap.coefficients = version_curves.gap.coefficients
        self.curves.residence = version_curves.residence
        self.load = ServerLoad()
        reclaimable = server.machine_class is MachineClass.RECLAIMABLE
        self.base_hazard = 1 / BASE_LIFETIME_SECONDS if reclaimable else 0
        self.health = ServerHealth(now)
        self.leaving = False
        # Fraction of the expected cached tokens that its responses actually report.
        self.cache_accuracy = 1.0

    def make_candidate(
        self, now: float, other_daemons: float, cached_tokens: int, hazard: float
    ) -> Candidate:
        """Return an immutable snapshot for one routing decision."""
        curves = self.curves
        first = curves.first
        gap = curves.gap
        server = self.server
        return Candidate(
            server,
            self.load.total(now, other_daemons),
            self.load.prompt_work,
            int(cached_tokens * self.cache_accuracy),
            first.coefficients,
            first.deviation,
            gap.coefficients,
            gap.deviation,
            curves.residence,
            self.base_hazard + hazard if self.base_hazard else 0,
            self.health.max_in_flight(server.capacity, now),
        )

    def learn_first(self, ticket: Ticket, now: float) -> None:
        """Learn from the time to the first token.

        A call that had to queue measures the queue more than the server, so it is
        ignored.
        """
        if ticket.in_flight + 1 > self.server.capacity:
            return
        features = (1.0, ticket.prompt_work, ticket.in_flight)
        seconds = now - ticket.started
        self.curves.use_prior(self.version_curves, now)
        self.curves.first.learn(features, seconds, now)
        self.version_curves.first.learn(features, seconds, now)

    def learn_end(self, ticket: Ticket, outcome: CallResult, now: float) -> None:
        """Learn from a complete response."""
        self.curves.learn_residence(now - ticket.started)
        self.version_curves.learn_residence(now - ticket.started)
        self._learn_cache_accuracy(ticket, outcome)
        if ticket.first_token_at is None or outcome.generated_tokens < 2:
            return
        features = (1.0, (ticket.in_flight + self.load.total(now, 0)) / 2)
        seconds = (now - ticket.first_token_at) / (outcome.generated_tokens - 1)
        self.curves.use_prior(self.version_curves, now)
        self.curves.gap.learn(features, seconds, now)
        self.version_curves.gap.learn(features, seconds, now)

    def record_result(
        self, status: ResultStatus, now: float, rng: random.Random
    ) -> None:
        """Record the result of an attempt in the server's health."""
        self.health.record(status, now, rng)

    def _learn_cache_accuracy(self, ticket: Ticket, outcome: CallResult) -> None:
        expected = ticket.choice.cached_tokens
        if outcome.cached_tokens is None or not expected:
            return
        accuracy = min(1.0, outcome.cached_tokens * self.cache_accuracy / expected)
        self.cache_accuracy += AVERAGE_WEIGHT * (accuracy - self.cache_accuracy)
