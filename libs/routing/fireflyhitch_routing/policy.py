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
    cached = max([candidate.cached_tokens for candidate in candidates])
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


def estimate(question: Question, candidate: Candidate) -> Estimate:  # noqa: WPS210
    """Estimate latency and cost of a call at one server.

    One function with many locals, as it runs for every candidate of every call:
    unpacked values and no helper calls save a third of a decision.
    """
    server, in_flight, prompt_work, cached = candidate[:4]
    base, per_token, per_call = candidate.first_curve
    step, step_per_call = candidate.gap_curve
    gap_target = question.gap_target
    work = max(question.prompt_tokens - cached, 1)
    first = base + per_token * (work + prompt_work) + per_call * in_flight
    queued = in_flight + 1 - server.capacity
    if queued > 0:
        first += candidate.hold_seconds * queued / server.capacity
    confidence = question.confidence
    expected = first / question.first_target
    margin = expected + confidence * candidate.first_deviation / question.first_target
    if gap_target is None:
        step, step_per_call = base, per_call
    else:
        gap = step + step_per_call * in_flight
        expected = max(expected, gap / gap_target)
        upper = gap + confidence * candidate.gap_deviation
        margin = max(margin, upper / gap_target)
    if in_flight >= candidate.allowed:
        margin += 1
    # A batch pays its steps once for all calls in it: a call bears its part.
    seconds = question.answer_tokens * (step_per_call + step / (in_flight + 1))
    again = question.cached_somewhere - cached
    seconds += per_token * (
        work + RECOMPUTE_WEIGHT * again + DELAY_WEIGHT * in_flight * work
    )
    hazard = candidate.hazard
    if hazard:
        lost = per_token * question.prompt_tokens + LOST_SHARE * seconds
        seconds += hazard * candidate.hold_seconds * lost
    cost = seconds * server.price / SECONDS_AN_HOUR
    return Estimate(candidate, first, expected, margin, cost)


def _by_margin(one: Estimate) -> float:
    return one.margin


def _by_cost(one: Estimate) -> float:
    return one.cost
