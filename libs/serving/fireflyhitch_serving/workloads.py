"""Estimates the engine time that customers' units need, from observed answers.

Engines differ in prefill speed, and services in how much of their prompts the engines
have cached. Both determine how many servers a load needs; with a fixed number of tokens
per server, twice as many fast engines as needed were ordered, and too few slow ones.
"""

from collections import defaultdict
from dataclasses import dataclass

from fireflyhitch_model.ids import DeploymentId

# Prior with the weight of two answers: engines that prefill 50,000 tokens a second and
# send the first event 50 ms after that.
ASSUMED_TOKENS_PER_SECOND = 50_000.0
ASSUMED_BASE_SECONDS = 0.05
ASSUMED_TOKENS = 20_000
# Approximate number of answers that count; some tens of seconds of a daemon's load.
REMEMBERED_ANSWERS = 300
# An answer later than this many times the predicted time was delayed by a fault and is
# capped; one that hangs for seconds would otherwise count like hundreds.
MAX_DELAY_FACTOR = 4.0
# Prior of the uncached fraction of customers' units, and the number of units that it
# weighs as much as.
ASSUMED_UNCACHED_FRACTION = 0.7
ASSUMED_UNITS = 100_000.0

_DECAY = 1 - 1 / REMEMBERED_ANSWERS


@dataclass(slots=True)
class PrefillModel:
    """Linear model of the time to the first event over the tokens to prefill.

    It is that of a server of the usual speed: the times of others are divided by their
    time factors.
    The sums are those of a least squares fit in which older answers decay.
    """

    answers: float = 0
    tokens: float = 0
    seconds: float = 0
    squares: float = 0
    products: float = 0

    def add_sample(self, tokens: int, seconds: float, time_factor: float = 1) -> None:
        """Add an observed answer.

        :param tokens: tokens that the server still had to prefill when the request was
            sent, its own prompt included.
        :param seconds: from then to its first event.
        :param time_factor: of the server when the request was sent.
        """
        max_seconds = MAX_DELAY_FACTOR * self.predict(tokens)
        capped = min(seconds / time_factor, max_seconds)
        self.answers = self.answers * _DECAY + 1
        self.tokens = self.tokens * _DECAY + tokens
        self.seconds = self.seconds * _DECAY + capped
        self.squares = self.squares * _DECAY + tokens * tokens
        self.products = self.products * _DECAY + tokens * capped

    def predict(self, tokens: int, time_factor: float = 1) -> float:
        """Return the predicted seconds to the first event.

        :param tokens: tokens to prefill before it, its own prompt included.
        :param time_factor: of the server.
        """
        slope, base = self._fit()
        return (max(base, 0) + slope * tokens) * time_factor

    @property
    def seconds_per_token(self) -> float:
        """Return the seconds that an engine of the usual speed needs for a token."""
        return self._fit()[0]

    def _fit(self) -> tuple[float, float]:
        # Two assumed answers keep the fit well-defined while all prompts have the same
        # size.
        assumed_seconds = (
            ASSUMED_BASE_SECONDS + ASSUMED_TOKENS / ASSUMED_TOKENS_PER_SECOND
        )
        answers = self.answers + 2
        tokens = self.tokens + ASSUMED_TOKENS
        seconds = self.seconds + ASSUMED_BASE_SECONDS + assumed_seconds
        squares = self.squares + ASSUMED_TOKENS**2
        products = self.products + ASSUMED_TOKENS * assumed_seconds
        variance = squares - tokens * tokens / answers
        slope = max((products - tokens * seconds / answers) / variance, 0)
        return slope, (seconds - slope * tokens) / answers


class Workloads:
    """Relates customers' units to engine time, by this daemon's own requests.

    These are a fair sample of all requests, so a leader can infer from them what the
    units of all daemons need.
    """

    def __init__(self) -> None:
        """Create an estimate without observations."""
        self._prefill_models: defaultdict[DeploymentId, PrefillModel] = defaultdict(
            PrefillModel
        )
        self._prefill_tokens: defaultdict[DeploymentId, float] = defaultdict(float)
        self._units = 0.0

    def record_units(self, units: float) -> None:
        """Add the units of an admitted request, of any service."""
        self._units = self._units * _DECAY + units
        for service in self._prefill_tokens:
            self._prefill_tokens[service] *= _DECAY

    def record_prompt_tokens(self, service: DeploymentId, tokens: int) -> None:
        """Add the prompt tokens that an engine of a service has to prefill."""
        self._prefill_tokens[service] += tokens

    def prefill_model(self, service: DeploymentId) -> PrefillModel:
        """Return the model of a service's engines."""
        return self._prefill_models[service]

    def find_busy_seconds(self, service: DeploymentId, units: float) -> float:
        """Return the seconds for which units keep a service's engines busy."""
        assumed = ASSUMED_UNITS * ASSUMED_UNCACHED_FRACTION
        uncached_fraction = (self._prefill_tokens[service] + assumed) / (
            self._units + ASSUMED_UNITS
        )
        return (
            units * uncached_fraction * self._prefill_models[service].seconds_per_token
        )
