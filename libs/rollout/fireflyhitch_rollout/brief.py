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
MAX_FALSE_ALARM_RATE = 0.0005
# Fewer bad answers than this may be a server that began or a broken connection.
MIN_BAD_ANSWERS = 3
# Nothing is so good that a hundred answers show fewer failures; it keeps one bad answer
# in a quiet period from counting as proof.
MIN_EXPECTED_RATE = 0.03
# Until this many answers the untried version gets more than its lasting share: the
# platform allows 50 requests on top of its part, and evidence comes sooner.
INITIAL_CALLS = 30
INITIAL_SHARE = 0.2
# The part of the allowed exposure that the lasting share uses.
EXPOSURE_FRACTION = 0.7
# A move is done at this part of its time at the soonest: some faults come late, and the
# old servers are gone at once when it is done.
MIN_COMPLETION_FRACTION = 0.75
# It is ended this long before its date, for the write and for daemons to follow.
END_MARGIN_SECONDS = 2.0
MIN_CALLS = 8


class MoveEnd(Enum):
    """How a move ends."""

    COMPLETED = 'completed'
    TAKEN_BACK = 'taken-back'


@immutable
class Answers:
    """Answers of one version on one route.

    :param failed: of them, failures and broken answers.
    :param slow: of them, several times as late as the old version's usual one.
    """

    calls: int = 0
    failed: int = 0
    slow: int = 0

    def add(self, other: 'Answers') -> 'Answers':
        """Return both together."""
        return Answers(
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

    old: Mapping[str, Answers]
    new: Mapping[str, Answers]

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
        old = evidence.old.get(route, Answers())
        if _is_worse(answers, old):
            return f'{route}: {answers} against {old}'
    return None


def find_share(evidence: MoveEvidence, max_exposure: float) -> float:
    """Return the part of the requests that an untried version is to get.

    :param max_exposure: what the platform allows over the whole move.
    """
    if evidence.new_calls < INITIAL_CALLS:
        return INITIAL_SHARE
    return max_exposure * EXPOSURE_FRACTION


def find_end(evidence: MoveEvidence, seconds: float, duration: float) -> MoveEnd | None:
    """Return how a move ends now, if it does.

    :param seconds: since it began.
    :param duration: seconds that the operator gave it.
    """
    if find_fault(evidence) is not None:
        return MoveEnd.TAKEN_BACK
    enough = evidence.new_calls >= MIN_CALLS
    if enough and seconds >= min(
        duration * MIN_COMPLETION_FRACTION, duration - END_MARGIN_SECONDS
    ):
        return MoveEnd.COMPLETED
    if seconds >= duration - END_MARGIN_SECONDS:
        # Too little was seen to trust it with everything.
        return MoveEnd.TAKEN_BACK
    return None


def _sum(routes: Mapping[str, Answers]) -> Answers:
    total = Answers()
    for answers in routes.values():
        total = total.add(answers)
    return total


def _is_worse(new: Answers, old: Answers) -> bool:
    failing = _exceeds(new.failed, new.calls, old.failed, old.calls)
    return failing or _exceeds(new.slow, new.calls, old.slow, old.calls)


def _exceeds(bad: int, calls: int, old_bad: int, old_calls: int) -> bool:
    if bad < MIN_BAD_ANSWERS:
        return False
    # One more bad answer than seen, so that a short past is not taken for a clean one.
    rate = max((old_bad + 1) / (old_calls + 2), MIN_EXPECTED_RATE)
    return _find_binomial_tail(bad, calls, min(rate, 1.0)) < MAX_FALSE_ALARM_RATE


def _find_binomial_tail(bad: int, calls: int, rate: float) -> float:
    """Return the chance of at least so many bad answers at a rate."""
    below = sum(
        comb(calls, number) * rate**number * (1 - rate) ** (calls - number)
        for number in range(bad)
    )
    return max(0.0, 1 - below)
