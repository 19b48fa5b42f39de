"""Routing policy: the cheapest backend server that meets the latency target.

Pure functions over immutable values. For each candidate they estimate the time to the
first token and between tokens, upper bounds of both at the target's confidence, and the
cost of the call.
"""

from collections.abc import Sequence
from typing import NamedTuple

from fireflyhitch_model.backends import BackendServer
from fireflyhitch_routing.choices import Reason

SECONDS_PER_HOUR = 3600
# If its server is reclaimed, a call is recomputed from the start: the prompt and the
# answer so far, on average half of the answer.
LOST_SHARE = 0.5
# Costs within this fraction of the lowest count as equal; the fastest server is chosen.
COST_TOLERANCE = 0.02
# If no server is within the target, those within this fraction of the fastest count as
# equal, and the cheapest of them is chosen: it has the prompt cached or a lower price.
MARGIN_TOLERANCE = 0.15
# Computing a prompt delays every call of the batch. Without this weight long prompts go
# to the fullest server, and short answers there miss their target between tokens; see
# docs/design/routing.md for the results of other weights.
DELAY_WEIGHT = 8.0
# Tokens that another server has cached cost this many times their compute time, since
# the number of recomputed tokens is to be kept low as well as the price.
RECOMPUTE_WEIGHT = 10.0


class Candidate(NamedTuple):
    """Immutable snapshot of a backend server; times in seconds.

    :param in_flight: estimated calls at the server.
    :param prompt_work: prompt tokens of earlier calls still to be computed.
    :param first_curve: coefficients of the time to the first token: constant, per
        prompt token to be computed, per call in flight.
    :param gap_curve: coefficients of the time between tokens: constant, per call in
        flight.
    :param residence_seconds: mean time that a call stays at the server.
    :param hazard: probability per second that the server is reclaimed.
    :param max_in_flight: maximum calls in flight during the slow start.
    """

    server: BackendServer
    in_flight: float
    prompt_work: float
    cached_tokens: int
    first_curve: tuple[float, ...]
    first_deviation: float
    gap_curve: tuple[float, ...]
    gap_deviation: float
    residence_seconds: float
    hazard: float
    max_in_flight: float


class PlacementRequest(NamedTuple):
    """A call to be placed and its latency target.

    :param answer_tokens: expected length of the answer.
    :param first_target: remaining seconds to the first token: the target minus the time
        since the call's arrival.
    :param gap_target: seconds between tokens; ``None`` for a plain service.
    :param confidence: standard deviations added to an expected latency.
    :param max_cached_tokens: the largest number of cached prompt tokens among the
        candidates.
    """

    prompt_tokens: int
    answer_tokens: float
    first_target: float
    gap_target: float | None
    confidence: float
    max_cached_tokens: int = 0


class Estimate(NamedTuple):
    """Expected latency and cost of a call at one candidate.

    :param first: expected seconds to the first token.
    :param expected: expected latency as a fraction of its target; the larger of first
        token and gap.
    :param margin: the same for the upper bound at the requested confidence; at most 1
        meets the target.
    """

    candidate: Candidate
    first: float
    expected: float
    margin: float
    cost: float


def decide(
    request: PlacementRequest, candidates: Sequence[Candidate]
) -> tuple[Estimate, Reason]:
    """Choose one of the candidates.

    :param candidates: at least one.
    :returns: the cheapest within the target, or the fastest if none is.
    """
    cached = max([candidate.cached_tokens for candidate in candidates])
    request = request._replace(max_cached_tokens=cached)
    estimates = [estimate(request, candidate) for candidate in candidates]
    within = [one for one in estimates if one.margin <= 1]
    if not within:
        limit = min(one.margin for one in estimates) * (1 + MARGIN_TOLERANCE)
        fastest = [one for one in estimates if one.margin <= limit]
        return min(fastest, key=_by_cost), Reason.FASTEST
    limit = min(one.cost for one in within) * (1 + COST_TOLERANCE)
    cheapest = [one for one in within if one.cost <= limit]
    return min(cheapest, key=_by_margin), Reason.CHEAPEST


def estimate(request: PlacementRequest, candidate: Candidate) -> Estimate:  # noqa: WPS210
    """Estimate latency and cost of a call at one server.

    This is one function with many locals because it runs for every candidate of every
    call: unpacked values and no helper calls save a third of a decision's time.
    """
    server, in_flight, prompt_work, cached = candidate[:4]
    base, per_token, per_call = candidate.first_curve
    step, step_per_call = candidate.gap_curve
    gap_target = request.gap_target
    work = max(request.prompt_tokens - cached, 1)
    first = base + per_token * (work + prompt_work) + per_call * in_flight
    queued = in_flight + 1 - server.capacity
    if queued > 0:
        first += candidate.residence_seconds * queued / server.capacity
    confidence = request.confidence
    expected = first / request.first_target
    margin = expected + confidence * candidate.first_deviation / request.first_target
    if gap_target is None:
        step, step_per_call = base, per_call
    else:
        gap = step + step_per_call * in_flight
        expected = max(expected, gap / gap_target)
        upper = gap + confidence * candidate.gap_deviation
        margin = max(margin, upper / gap_target)
    if in_flight >= candidate.max_in_flight:
        margin += 1
    # All calls of a batch share the cost of its steps.
    seconds = request.answer_tokens * (step_per_call + step / (in_flight + 1))
    recomputed = request.max_cached_tokens - cached
    seconds += per_token * (
        work + RECOMPUTE_WEIGHT * recomputed + DELAY_WEIGHT * in_flight * work
    )
    hazard = candidate.hazard
    if hazard:
        lost = per_token * request.prompt_tokens + LOST_SHARE * seconds
        seconds += hazard * candidate.residence_seconds * lost
    cost = seconds * server.price / SECONDS_PER_HOUR
    return Estimate(candidate, first, expected, margin, cost)


def _by_margin(one: Estimate) -> float:
    return one.margin


def _by_cost(one: Estimate) -> float:
    return one.cost
