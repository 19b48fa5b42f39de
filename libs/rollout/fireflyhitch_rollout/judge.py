"""The sequential test of a new version against the old one.

For each group of calls a Shiryaev-Roberts statistic is kept: after each batch
``R = (R + 1) * L``, where ``L`` is the likelihood ratio of "the new version is
worse" against "it is as the old one was in the same period". Its mean after
``N`` updates is at most ``N`` if the version is good, so that a good version
reaches ``THRESHOLD`` within ``N`` updates with a probability of at most
``N / THRESHOLD``, whenever one looks. Unlike a test that adds up all evidence,
it forgets a good past, and so finds a fault that comes late as fast.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from fireflyhitch_model.ids import VersionId
from fireflyhitch_rollout.tallies import CellKey, LoadBand, Tally

# A move makes some 10,000 updates over all groups, by the moves benchmark; so
# at most 1 good version in 1,000 is taken back by chance.
THRESHOLD = 1e7
# Worse means that this part of the calls that would be good turns bad.
ALTERNATIVES = (0.04, 0.12, 0.35, 0.8)
# What the new version may be worse by without being called worse.
FAILURE_TOLERANCE = 0.004
SLOW_TOLERANCE = 0.04
# The least calls of the old version before slowness is judged.
LEAST_COMPARED = 30
SLOW_QUANTILE = 0.9
PRIOR_CALLS = 20.0
# Weight that a batch of the old version keeps from one update to the next.
LONG_MEMORY = 0.98
SHORT_MEMORY = 0.7
ANY_ROUTE = '*'


class Signal(Enum):
    """In what way a version can be worse."""

    FAILURE = 'failing'
    FIRST_TOKEN = 'slow to the first token'
    BETWEEN_TOKENS = 'slow between tokens'


@dataclass(frozen=True, slots=True)
class Verdict:
    """A fault that the evidence shows.

    :param evidence: the statistic that passed the threshold, for people.
    """

    signal: Signal
    route: str
    evidence: str


@dataclass(frozen=True, slots=True)
class _Group:
    signal: Signal
    route: str
    band: LoadBand | None


@dataclass(slots=True)
class _Memory:
    """The old version's calls, fading: long for the rate, short for shocks."""

    calls: float = 0
    failures: float = 0
    recent_calls: float = 0
    recent_failures: float = 0
    slow: dict[Signal, Counter[int]] = field(default_factory=dict)

    def fade(self) -> None:
        self.calls *= LONG_MEMORY
        self.failures *= LONG_MEMORY
        self.recent_calls *= SHORT_MEMORY
        self.recent_failures *= SHORT_MEMORY

    def add(self, tally: Tally) -> None:
        self.calls += tally.calls
        self.failures += tally.failures
        self.recent_calls += tally.calls
        self.recent_failures += tally.failures


class Judge:
    """Weighs the batches of one move."""

    def __init__(self, old: VersionId, new: VersionId) -> None:
        """Make a judge without evidence."""

    def weigh(self, cells: Mapping[CellKey, Tally]) -> Verdict | None:
        """Take in a batch of paired counts.

        :returns: the fault shown, now or earlier.
        """
        raise NotImplementedError

    def count_calls(self, route: str, least_band: LoadBand = LoadBand.LOW) -> int:
        """Return how many calls of a route the new version had at some load."""
        raise NotImplementedError

    def describe(self) -> tuple[str, ...]:
        """Return a line for each route, for people."""
        raise NotImplementedError
