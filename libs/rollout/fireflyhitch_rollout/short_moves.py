"""Judges moves that last seconds to minutes, by a few dozen requests.

The sequential test of ``judge`` wants thousands of requests for its error rates; an
operator who gives a move twelve seconds has some dozens. So the test here is the plain
binomial one, on what all daemons together have seen, looked at a few times a second.
"""

from collections.abc import Mapping
from enum import Enum
from math import comb

from fireflyhitch_model.records import immutable

# A good version is taken back by chance about this often at one look; with some 40
# looks that are not independent, in about one move in a hundred.
CHANCE = 0.0005
# Fewer bad answers than this may be a server that began or a broken connection.
LEAST_BAD = 3
# Nothing is so good that a hundred answers show fewer failures; it keeps one bad answer
# in a quiet period from counting as proof.
LEAST_RATE = 0.03
# Until this many answers the untried version gets more than its lasting share: the
# platform allows 50 requests on top of its part, and evidence comes sooner.
FIRST_CALLS = 30
FIRST_SHARE = 0.2
# The part of the allowed exposure that the lasting share uses.
SHARE_PART = 0.7
# A move is done at this part of its time at the soonest: some faults come late, and the
# old servers are gone at once when it is done.
DONE_PART = 0.75
# It is ended this long before its date, for the write and for daemons to follow.
END_SECONDS = 2.0
LEAST_CALLS = 8


class MoveEnd(Enum):
    """How a move ends."""

    COMPLETED = 'completed'
    ROLLED_BACK = 'taken-back'


@immutable
class RouteResults:
    """Answers of one version on one route.

    :param failed: of them, failures and broken answers.
    :param slow: of them, several times as late as the old version's usual one.
    """

    calls: int = 0
    failed: int = 0
    slow: int = 0

    def add(self, other: 'RouteResults') -> 'RouteResults':
        """Return both together."""
        return RouteResults(
            self.calls + other.calls,
            self.failed + other.failed,
            self.slow + other.slow,
        )


@immutable
class MoveEvidence:
    """What is known of a move; by route.

    :param old: the old version's answers since the move began.
    :param new: the new version's.
    """

    old: Mapping[str, RouteResults]
    new: Mapping[str, RouteResults]

    @property
    def new_calls(self) -> int:
        """Return how many answers the new version gave."""
        return sum(answers.calls for answers in self.new.values())


def find_fault(evidence: MoveEvidence) -> str | None:
    """Return what shows that the new version is worse, if something does."""
    total_old = _sum(evidence.old)
    total_new = _sum(evidence.new)
    if _is_worse(total_new, total_old):
        return f'all routes: {total_new} against {total_old}'
    for route, answers in evidence.new.items():
        old = evidence.old.get(route, RouteResults())
        if _is_worse(answers, old):
            return f'{route}: {answers} against {old}'
    return None


def find_share(evidence: MoveEvidence, exposure_fraction: float) -> float:
    """Return the part of the requests that an untried version is to get.

    :param exposure_fraction: what the platform allows over the whole move.
    """
    if evidence.new_calls < FIRST_CALLS:
        return FIRST_SHARE
    return exposure_fraction * SHARE_PART


def find_end(evidence: MoveEvidence, seconds: float, duration: float) -> MoveEnd | None:
    """Return how a move ends now, if it does.

    :param seconds: since it began.
    :param duration: seconds that the operator gave it.
    """
    if find_fault(evidence) is not None:
        return MoveEnd.ROLLED_BACK
    enough = evidence.new_calls >= LEAST_CALLS
    if enough and seconds >= min(duration * DONE_PART, duration - END_SECONDS):
        return MoveEnd.COMPLETED
    if seconds >= duration - END_SECONDS:
        # Too little was seen to trust it with everything.
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
    if bad < LEAST_BAD:
        return False
    # One more bad answer than seen, so that a short past is not taken for a clean one.
    rate = max((old_bad + 1) / (old_calls + 2), LEAST_RATE)
    return _tail(bad, calls, min(rate, 1.0)) < CHANCE


def _tail(bad: int, calls: int, rate: float) -> float:
    """Return the chance of at least so many bad answers at a rate."""
    below = sum(
        comb(calls, number) * rate**number * (1 - rate) ** (calls - number)
        for number in range(bad)
    )
    return max(0.0, 1 - below)
