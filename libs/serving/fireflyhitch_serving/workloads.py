"""How much work a service's engines have with what customers ask, learned from answers.

Engines differ in how fast they read prompts, and services in how much of their prompts
the engines have cached already. Both decide how many servers carry a load; a fixed
number of tokens a server orders twice too many of fast engines, and too few of slow.
"""

from collections import defaultdict
from dataclasses import dataclass

from fireflyhitch_model.ids import DeploymentId

# Assumed until answers tell, and with the weight of two answers beside them: engines
# that read 50,000 tokens a second and begin to answer 50 ms after that.
ASSUMED_TOKENS_PER_SECOND = 50_000.0
ASSUMED_FIRST_SECONDS = 0.05
ASSUMED_TOKENS = 20_000
# Answers that count, about; some tens of seconds of a daemon's load.
REMEMBERED_ANSWERS = 300
# An answer that is later than this many times what was expected was held up by a
# fault, and counts as no later: one that hangs for seconds would count for hundreds.
LATEST_FACTOR = 4.0
# Assumed part of customers' units that engines read, with the weight of so many units.
ASSUMED_READ_PART = 0.7
ASSUMED_UNITS = 100_000.0

_KEPT = 1 - 1 / REMEMBERED_ANSWERS


@dataclass(slots=True)
class PrefillModel:
    """First events' times as a line over the tokens read before them.

    The sums are those of a least squares fit in which older answers fade.
    """

    answers: float = 0
    tokens: float = 0
    seconds: float = 0
    squares: float = 0
    products: float = 0

    def add_sample(self, tokens: int, seconds: float) -> None:
        """Take in an answer.

        :param tokens: that its server had yet to read when it was sent, its own
            prompt included.
        :param seconds: from then to its first event.
        """
        latest = LATEST_FACTOR * self.predict(tokens)
        taken = min(seconds, latest)
        self.answers = self.answers * _KEPT + 1
        self.tokens = self.tokens * _KEPT + tokens
        self.seconds = self.seconds * _KEPT + taken
        self.squares = self.squares * _KEPT + tokens * tokens
        self.products = self.products * _KEPT + tokens * taken

    def predict(self, tokens: int) -> float:
        """Return the seconds to a first event behind so many tokens."""
        slope, first = self._fit()
        return max(first, 0) + slope * tokens

    @property
    def seconds_per_token(self) -> float:
        """Return for how long an engine is busy with a prompt token."""
        return self._fit()[0]

    def _fit(self) -> tuple[float, float]:
        # Two assumed answers keep the line in place while all prompts are alike.
        full = ASSUMED_FIRST_SECONDS + ASSUMED_TOKENS / ASSUMED_TOKENS_PER_SECOND
        answers = self.answers + 2
        tokens = self.tokens + ASSUMED_TOKENS
        seconds = self.seconds + ASSUMED_FIRST_SECONDS + full
        squares = self.squares + ASSUMED_TOKENS**2
        products = self.products + ASSUMED_TOKENS * full
        spread = squares - tokens * tokens / answers
        slope = max((products - tokens * seconds / answers) / spread, 0)
        return slope, (seconds - slope * tokens) / answers


class Workloads:
    """What this daemon has seen of the work that customers' units make.

    It sees a fair sample of all requests, so a leader can tell from its own what the
    units of all daemons need.
    """

    def __init__(self) -> None:
        """Make workloads of which nothing is known."""
        self._paces: defaultdict[DeploymentId, PrefillModel] = defaultdict(PrefillModel)
        self._read: defaultdict[DeploymentId, float] = defaultdict(float)
        self._units = 0.0

    def record_units(self, units: float) -> None:
        """Take in units of a request that was admitted, of any service."""
        self._units = self._units * _KEPT + units
        for service in self._read:
            self._read[service] *= _KEPT

    def record_prompt_tokens(self, service: DeploymentId, tokens: int) -> None:
        """Take in prompt tokens that an engine of a service has to read."""
        self._read[service] += tokens

    def prefill_model(self, service: DeploymentId) -> PrefillModel:
        """Return how fast a service's engines read."""
        return self._paces[service]

    def find_busy_seconds(self, service: DeploymentId, units: float) -> float:
        """Return for how long customers' units keep a service's engines busy."""
        assumed = ASSUMED_UNITS * ASSUMED_READ_PART
        read_part = (self._read[service] + assumed) / (self._units + ASSUMED_UNITS)
        return units * read_part * self._paces[service].seconds_per_token
