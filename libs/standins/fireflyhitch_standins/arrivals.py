"""How much a backend server got at once, by the times at which requests arrived."""

from collections import deque
from collections.abc import Iterable


def count_most(arrivals: Iterable[float], seconds: float) -> int:
    """Return the most arrivals in any span of some seconds.

    :param arrivals: monotonic seconds, in order.
    """
    span: deque[float] = deque()
    most = 0
    for at in arrivals:
        span.append(at)
        while span[0] <= at - seconds:
            span.popleft()
        most = max(most, len(span))
    return most
