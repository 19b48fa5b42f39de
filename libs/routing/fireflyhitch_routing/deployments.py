"""What the router keeps of each deployment: targets, pressure and servers."""

from dataclasses import dataclass, field
from statistics import NormalDist

from fireflyhitch_model.calls import Call
from fireflyhitch_routing.overload import Pressure
from fireflyhitch_routing.policy import Question
from fireflyhitch_routing.records import AVERAGE_WEIGHT, ServerRecord
from fireflyhitch_settings.schema import (
    LatencyTarget,
    ModelDeployment,
    ServiceDeployment,
)

ANSWER_TOKENS_PRIOR = 150.0
# A call that has used up its target is placed as if this much were left.
LEAST_TARGET_SECONDS = 0.05
HIGHEST_SHARE = 0.999


@dataclass(frozen=True, slots=True)
class Target:
    """What counts as in time; seconds.

    :param gap: between tokens; ``None`` for a plain service.
    :param confidence: standard deviations added to an expectation, so that it
        holds for the target's share of calls.
    """

    first: float
    gap: float | None
    confidence: float

    @classmethod
    def of_latency(cls, latency: LatencyTarget) -> 'Target':
        """Return a model's target."""
        return cls(
            latency.first_token_seconds,
            latency.between_tokens_seconds,
            _deviations(latency.share),
        )

    @classmethod
    def of_deployment(cls, deployment: ModelDeployment | ServiceDeployment) -> 'Target':
        """Return a configured deployment's target."""
        if isinstance(deployment, ModelDeployment):
            return cls.of_latency(deployment.latency)
        return cls(
            deployment.response_seconds, None, _deviations(LatencyTarget().share)
        )


@dataclass(slots=True)
class DeploymentRecord:
    """State of one deployment; the router's lock guards it.

    :param answer_tokens: mean answer of each route.
    """

    target: Target = field(default_factory=lambda: Target.of_latency(LatencyTarget()))
    pressure: Pressure = field(default_factory=Pressure)
    records: list[ServerRecord] = field(default_factory=list)
    answer_tokens: dict[str, float] = field(default_factory=dict)

    def ask(self, call: Call, now: float) -> Question:
        """Return what a decision has to answer for a call."""
        left = self.target.first - max(0.0, now - call.arrived)
        return Question(
            call.prompt_tokens,
            self.expected_tokens(call),
            max(left, LEAST_TARGET_SECONDS),
            self.target.gap,
            self.target.confidence,
        )

    def expected_tokens(self, call: Call) -> float:
        """Return how long an answer is expected to be."""
        if self.target.gap is None:
            return 1
        usual = self.answer_tokens.get(call.route, ANSWER_TOKENS_PRIOR)
        return min(usual, call.max_tokens)

    def learn_tokens(self, call: Call, generated: int) -> None:
        """Take in an answer's length."""
        usual = self.answer_tokens.get(call.route, ANSWER_TOKENS_PRIOR)
        usual += AVERAGE_WEIGHT * (generated - usual)
        self.answer_tokens[call.route] = usual


def _deviations(share: float) -> float:
    return max(0.0, NormalDist().inv_cdf(min(max(share, 0.5), HIGHEST_SHARE)))
