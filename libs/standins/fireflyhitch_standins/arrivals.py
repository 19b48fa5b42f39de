"""Peak request rate of a backend server, computed from arrival times."""

from collections import deque
from collections.abc import Iterable


def count_peak_arrivals(arrivals: Iterable[float], seconds: float) -> int:
    """Return the maximum number of arrivals in any window.

    :param arrivals: monotonic seconds, in ascending order.
    :param seconds: length of the window.
    """
    span: deque[float] = deque()
    most = 0
    for at in arrivals:
        span.append(at)
        while span[0] <= at - seconds:
            span.popleft()
        most = max(most, len(span))
    return most
