"""Decides on moves that last seconds to minutes, from a few dozen requests.

The error rates of ``sequential_test`` need thousands of requests; a move of twelve
seconds gets a few dozen. The test here is therefore a plain binomial test on the
results of all daemons, evaluated a few times a second.
"""

from collections.abc import Mapping
from enum import Enum
from math import comb

from fireflyhitch_model.records import immutable

# Probability that one evaluation rolls back a good version by chance. With about 40
# evaluations, which are not independent, that is about one move in a hundred.
MAX_FALSE_ALARM_RATE = 0.0005
# Fewer bad answers may only be due to a starting server or a broken connection.
MIN_BAD_ANSWERS = 3
# A hundred answers cannot establish a lower failure rate than this. The bound keeps a
# single bad answer in a quiet period from counting as proof.
MIN_EXPECTED_RATE = 0.03
# Until it has given this many answers, the new version gets a larger share, so that
# evidence comes sooner: the platform allows 50 requests on top of a fraction of all.
INITIAL_CALLS = 30
INITIAL_SHARE = 0.2
# Fraction of the allowed exposure that the share uses after that.
EXPOSURE_FRACTION = 0.7
# Earliest completion as a fraction of the duration: some faults appear late, and the
# old servers are removed as soon as the move completes.
MIN_COMPLETION_FRACTION = 0.75
# Time reserved before the deadline to write the end and for daemons to apply it.
END_MARGIN_SECONDS = 2.0
MIN_CALLS = 8


class MoveEnd(Enum):
    """How a move ends."""

    COMPLETED = 'completed'
    ROLLED_BACK = 'taken-back'


@immutable
class RouteResults:
    """Counts of the answers of one version on one route.

    :param failed: failed and incomplete answers.
    :param slow: answers several times slower than usual for the old version.
    """

    calls: int = 0
    failed: int = 0
    slow: int = 0

    def add(self, other: 'RouteResults') -> 'RouteResults':
        """Return the sum of both."""
        return RouteResults(
            self.calls + other.calls,
            self.failed + other.failed,
            self.slow + other.slow,
        )


@immutable
class MoveEvidence:
    """Answers since the move began, by route.

    :param old: answers of the old version.
    :param new: answers of the new version.
    """

    old: Mapping[str, RouteResults]
    new: Mapping[str, RouteResults]

    @property
    def new_calls(self) -> int:
        """Return the number of answers of the new version."""
        return sum(answers.calls for answers in self.new.values())


def find_fault(evidence: MoveEvidence) -> str | None:
    """Return a description of the fault if the new version is worse."""
    total_old = _sum(evidence.old)
    total_new = _sum(evidence.new)
    if _is_worse(total_new, total_old):
        return f'all routes: {total_new} against {total_old}'
    for route, answers in evidence.new.items():
        old = evidence.old.get(route, RouteResults())
        if _is_worse(answers, old):
            return f'{route}: {answers} against {old}'
    return None


def find_share(evidence: MoveEvidence, max_exposure: float) -> float:
    """Return the traffic share for the new version during the move.

    :param max_exposure: fraction of the requests that the platform allows over the
        whole move.
    """
    if evidence.new_calls < INITIAL_CALLS:
        return INITIAL_SHARE
    return max_exposure * EXPOSURE_FRACTION


def find_end(evidence: MoveEvidence, seconds: float, duration: float) -> MoveEnd | None:
    """Return how a move ends, or ``None`` if it continues.

    :param seconds: seconds since the move began.
    :param duration: duration set by the operator, in seconds.
    """
    if find_fault(evidence) is not None:
        return MoveEnd.ROLLED_BACK
    enough = evidence.new_calls >= MIN_CALLS
    if enough and seconds >= min(
        duration * MIN_COMPLETION_FRACTION, duration - END_MARGIN_SECONDS
    ):
        return MoveEnd.COMPLETED
    if seconds >= duration - END_MARGIN_SECONDS:
        # Too little evidence to give the new version all traffic.
        return MoveEnd.ROLLED_BACK
    return None


def _sum(routes: Mapping[str, RouteResults]) -> RouteResults:
    total = RouteResults()
    for answers in routes.values():
        total = total.add(answers)
    return total


def _is_worse(new: RouteResults, old: RouteResults) -> bool:
    failing = _exceeds(new.failed, new.calls, old.failed, old.calls)
    return failing or _exceeds(new.slow, new.calls, old.slow, old.calls)


def _exceeds(bad: int, calls: int, old_bad: int, old_calls: int) -> bool:
    if bad < MIN_BAD_ANSWERS:
        return False
    # Adds one bad answer so that a short history does not look clean.
    rate = max((old_bad + 1) / (old_calls + 2), MIN_EXPECTED_RATE)
    return _find_binomial_tail(bad, calls, min(rate, 1.0)) < MAX_FALSE_ALARM_RATE


def _find_binomial_tail(bad: int, calls: int, rate: float) -> float:
    """Return the probability of at least ``bad`` bad answers at a rate."""
    below = sum(
        comb(calls, number) * rate**number * (1 - rate) ** (calls - number)
        for number in range(bad)
    )
    return max(0.0, 1 - below)
