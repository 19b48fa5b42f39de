"""State of a deployment: latency target, overload and servers."""

from dataclasses import dataclass, field
from statistics import NormalDist

from fireflyhitch_model.calls import Call
from fireflyhitch_routing.overload import OverloadControl
from fireflyhitch_routing.policy import PlacementRequest
from fireflyhitch_routing.records import AVERAGE_WEIGHT, ServerRecord
from fireflyhitch_settings.schema import (
    LatencyTarget,
    ModelDeployment,
    ServiceDeployment,
)

ANSWER_TOKENS_PRIOR = 150.0
# Minimum remaining target for a call that has already used up its target.
MIN_TARGET_SECONDS = 0.05
MAX_SHARE = 0.999


@dataclass(frozen=True, slots=True)
class Target:
    """Latency target in seconds.

    :param first: to the first token, or to the response of a plain service.
    :param gap: between tokens; ``None`` for a plain service.
    :param confidence: standard deviations added to an expected latency, so that the
        target's share of calls stays below the sum.
    """

    first: float
    gap: float | None
    confidence: float

    @classmethod
    def from_latency(cls, latency: LatencyTarget) -> 'Target':
        """Return the target of a model."""
        return cls(
            latency.first_token_seconds,
            latency.between_tokens_seconds,
            _standard_deviations(latency.share),
        )

    @classmethod
    def from_deployment(
        cls, deployment: ModelDeployment | ServiceDeployment
    ) -> 'Target':
        """Return the target of a configured deployment."""
        if isinstance(deployment, ModelDeployment):
            return cls.from_latency(deployment.latency)
        return cls(
            deployment.response_seconds,
            None,
            _standard_deviations(LatencyTarget().share),
        )


@dataclass(slots=True)
class DeploymentRecord:
    """State of one deployment; guarded by the router's lock.

    :param answer_tokens: mean answer length by route.
    """

    target: Target = field(default_factory=lambda: Target.from_latency(LatencyTarget()))
    overload: OverloadControl = field(default_factory=OverloadControl)
    records: list[ServerRecord] = field(default_factory=list)
    answer_tokens: dict[str, float] = field(default_factory=dict)

    def make_request(self, call: Call, now: float) -> PlacementRequest:
        """Return the placement request for a call."""
        remaining = self.target.first - max(0.0, now - call.arrived)
        return PlacementRequest(
            call.prompt_tokens,
            self.expected_tokens(call),
            max(remaining, MIN_TARGET_SECONDS),
            self.target.gap,
            self.target.confidence,
        )

    def expected_tokens(self, call: Call) -> float:
        """Return the expected answer length."""
        if self.target.gap is None:
            return 1
        mean = self.answer_tokens.get(call.route, ANSWER_TOKENS_PRIOR)
        return min(mean, call.max_tokens)

    def learn_answer_tokens(self, call: Call, generated: int) -> None:
        """Update the mean answer length."""
        mean = self.answer_tokens.get(call.route, ANSWER_TOKENS_PRIOR)
        mean += AVERAGE_WEIGHT * (generated - mean)
        self.answer_tokens[call.route] = mean


def _standard_deviations(share: float) -> float:
    return max(0.0, NormalDist().inv_cdf(min(max(share, 0.5), MAX_SHARE)))
