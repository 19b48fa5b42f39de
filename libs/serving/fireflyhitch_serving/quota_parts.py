"""Divides a customer's quota among the priorities of its requests.

A customer that requests more than its quota loses its least urgent requests first. Each
daemon estimates the demand by priority from its own mix of requests, since the daemons
exchange only sums.
"""

from fireflyhitch_model.records import immutable
from fireflyhitch_serving.demand import DemandParts

# More urgent demand for which a part of the bucket is reserved.
RESERVED_SECONDS = 0.5
# Largest part of the bucket's capacity that is reserved. The rest lets less urgent
# requests use the rate that urgent ones leave, also if these are overestimated.
MAX_RESERVED_FRACTION = 0.5


@immutable
class QuotaState:
    """What a daemon knows of a customer's quota when a request arrives.

    :param left: units left in the bucket.
    :param capacity: units of a full bucket.
    :param rate: units per second at which it fills.
    :param demand: units requested of all daemons per second.
    :param propagation_seconds: until all daemons have received a report.
    """

    left: float
    capacity: float
    rate: float
    demand: float
    propagation_seconds: float


def find_floor(state: QuotaState, parts: DemandParts) -> float:
    """Return the units that a request of a priority has to leave in the bucket.

    They are reserved for more urgent requests. It is 0 while the demand is within the
    rate, and for the most urgent priority of a customer. The bucket is not overdrawn
    for urgent requests: with takes that peers have not reported yet, the customer would
    exceed its quota.
    """
    if state.demand <= state.rate or not parts.more_urgent:
        return 0
    urgent = state.demand * parts.more_urgent * RESERVED_SECONDS
    excess = (state.demand - state.rate) * RESERVED_SECONDS
    return min(
        max(urgent, parts.largest), excess, MAX_RESERVED_FRACTION * state.capacity
    )


def find_admission_probability(
    state: QuotaState, parts: DemandParts, floor: float
) -> float:
    """Return the fraction of the requests of a priority to admit now.

    Other daemons' takes arrive some tenths of a second late. With 75 daemons, a
    customer that requests several times its limit would be admitted at each of them
    until all have exchanged reports (``TestManyDaemons``). So until then only as much
    is admitted as the bucket holds, the most urgent requests first.

    The urgent demand counts up to the rate: if it is overestimated, the bucket fills
    above the reserved part and less urgent requests are admitted from that.
    """
    demanded = state.demand * parts.same * state.propagation_seconds
    if not demanded:
        return 1
    urgent = min(state.demand * parts.more_urgent, state.rate)
    free_rate = state.rate - urgent
    available = state.left - floor + free_rate * state.propagation_seconds
    return available / demanded


def find_delay(state: QuotaState, floor: float) -> float:
    """Return the seconds until the bucket holds more than has to be left."""
    return max(floor - state.left, 0) / state.rate
