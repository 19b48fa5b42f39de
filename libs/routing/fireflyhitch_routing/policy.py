"""The decision: the cheapest backend server that meets the latency target.

Pure functions over immutable values. For each candidate they estimate the time to
the first token and between tokens with their upper bounds at the target's
confidence, and what the call costs there.
"""

from collections.abc import Sequence
from typing import NamedTuple

from fireflyhitch_model.backends import BackendServer
from fireflyhitch_routing.choices import Reason

SECONDS_AN_HOUR = 3600
# A call whose server goes is computed again from its start: prompt and answer so
# far; half of the answer on average.
LOST_SHARE = 0.5
# Costs this near to the least count as equal, and the faster server is taken.
COST_TOLERANCE = 0.02
# Where no server is within the target, those this near to the fastest count as
# equal, and the cheapest is taken: it has the prompt cached or costs less.
MARGIN_TOLERANCE = 0.15
# A prompt being computed holds up every call of the batch. Without this weight
# long prompts go to the fullest server and short answers there miss their time
# between tokens; see docs/design/routing.md for the figures of other weights.
DELAY_WEIGHT = 8.0
# Tokens that another server has cached cost this many times their time, as
# computing them again is a measure of its own beside the price.
RECOMPUTE_WEIGHT = 10.0


class Candidate(NamedTuple):
    """A backend server as one decision sees it; times in seconds.

    :param in_flight: calls thought to be there now.
    :param prompt_work: prompt tokens of earlier calls still to be computed.
    :param first_curve: coefficients of the time to the first token for 1,
        prompt tokens to be computed and calls in flight.
    :param gap_curve: coefficients of the time between tokens for 1 and calls in
        flight.
    :param hold_seconds: how long a call stays on average.
    :param hazard: chance a second that the server is taken away.
    :param allowed: calls that it may have in flight, for a slow start.
    """

    server: BackendServer
    in_flight: float
    prompt_work: float
    cached_tokens: int
    first_curve: tuple[float, ...]
    first_deviation: float
    gap_curve: tuple[float, ...]
    gap_deviation: float
    hold_seconds: float
    hazard: float
    allowed: float


class Question(NamedTuple):
    """What is to be placed, and what counts as in time.

    :param answer_tokens: expected tokens of the answer.
    :param first_target: seconds to the first token, what has passed since the
        call's arrival taken off.
    :param gap_target: seconds between tokens; ``None`` for a plain service.
    :param confidence: deviations that are added to an expectation.
    :param cached_somewhere: the most prompt tokens that a candidate has cached.
    """

    prompt_tokens: int
    answer_tokens: float
    first_target: float
    gap_target: float | None
    confidence: float
    cached_somewhere: int = 0


class Estimate(NamedTuple):
    """What is expected of one candidate.

    :param expected: the worse of first token and gap, as a share of its target.
    :param margin: the same at the stated confidence; at most 1 meets the target.
    """

    candidate: Candidate
    first: float
    expected: float
    margin: float
    cost: float


def decide(
    question: Question, candidates: Sequence[Candidate]
) -> tuple[Estimate, Reason]:
    """Choose among candidates.

    :param candidates: at least one.
    :returns: the cheapest within the target, or the fastest if none is.
    """
    cached = max(candidate.cached_tokens for candidate in candidates)
    question = question._replace(cached_somewhere=cached)
    estimates = [estimate(question, candidate) for candidate in candidates]
    within = [one for one in estimates if one.margin <= 1]
    if not within:
        least = min(one.margin for one in estimates) * (1 + MARGIN_TOLERANCE)
        near = [one for one in estimates if one.margin <= least]
        return min(near, key=_by_cost), Reason.FASTEST
    least = min(one.cost for one in within) * (1 + COST_TOLERANCE)
    near = [one for one in within if one.cost <= least]
    return min(near, key=_by_margin), Reason.CHEAPEST


def estimate(question: Question, candidate: Candidate) -> Estimate:
    """Estimate latency and cost of a call at one server."""
    work = max(question.prompt_tokens - candidate.cached_tokens, 1)
    first = _expect_first(candidate, work)
    upper = first + question.confidence * candidate.first_deviation
    expected = first / question.first_target
    margin = upper / question.first_target
    if question.gap_target is not None:
        step, step_per_call = candidate.gap_curve
        gap = step + step_per_call * candidate.in_flight
        upper = gap + question.confidence * candidate.gap_deviation
        expected = max(expected, gap / question.gap_target)
        margin = max(margin, upper / question.gap_target)
    if candidate.in_flight >= candidate.allowed:
        margin += 1
    cost = _expect_cost(question, candidate, work)
    return Estimate(candidate, first, expected, margin, cost)


def _expect_first(candidate: Candidate, work: int) -> float:
    base, per_token, per_call = candidate.first_curve
    first = base + per_token * (work + candidate.prompt_work)
    first += per_call * candidate.in_flight
    capacity = candidate.server.capacity
    queued = candidate.in_flight + 1 - capacity
    if queued > 0:
        first += candidate.hold_seconds * queued / capacity
    return first


def _expect_cost(question: Question, candidate: Candidate, work: int) -> float:
    base, per_token, per_call = candidate.first_curve
    step, step_per_call = candidate.gap_curve
    if question.gap_target is None:
        step, step_per_call = base, per_call
    # A batch pays its steps once for all calls in it: a call bears its part.
    shared = step / (candidate.in_flight + 1)
    seconds = per_token * work + question.answer_tokens * (step_per_call + shared)
    again = max(0, question.cached_somewhere - candidate.cached_tokens)
    seconds += RECOMPUTE_WEIGHT * per_token * again
    seconds += DELAY_WEIGHT * candidate.in_flight * per_token * work
    lost = per_token * question.prompt_tokens + LOST_SHARE * seconds
    seconds += candidate.hazard * candidate.hold_seconds * lost
    return seconds * candidate.server.price / SECONDS_AN_HOUR


def _by_margin(one: Estimate) -> float:
    return one.margin


def _by_cost(one: Estimate) -> float:
    return one.cost
