"""Plan for in-flight requests when their machine is reclaimed."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from fireflyhitch_model.ids import RequestId
from fireflyhitch_model.states import Priority

# The estimate of the remaining time is uncertain: a request stays only if its
# estimate times this factor fits.
SAFETY_FACTOR = 1.5
MARGIN_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class RequestProgress:
    """Progress of a request.

    :param remaining_tokens: upper bound: its token limit less its tokens so far.
    :param token_time: recent time between its tokens.
    """

    request_id: RequestId
    priority: Priority
    remaining_tokens: int
    token_time: timedelta

    @property
    def remaining(self) -> timedelta:
        """Upper bound of the time that its answer still takes."""
        return self.remaining_tokens * self.token_time


@dataclass(frozen=True, slots=True)
class ReclaimPlan:
    """The requests that finish here and those to move, in order."""

    finish: tuple[RequestId, ...]
    move: tuple[RequestId, ...]


def plan_reclaim(
    time_left: timedelta, requests: Iterable[RequestProgress]
) -> ReclaimPlan:
    """Choose the requests that can finish in time, and move the rest.

    Urgent requests are moved first, and the longest first among equals: it is
    the least likely to finish and has the most to lose.

    :param time_left: time until the machine is reclaimed.
    """
    margin = timedelta(seconds=MARGIN_SECONDS)
    usable = max(timedelta(), time_left - margin) / SAFETY_FACTOR
    ordered = sorted(requests, key=_rank_move)
    move = tuple(item.request_id for item in ordered if item.remaining > usable)
    finish = tuple(item.request_id for item in ordered if item.remaining <= usable)
    return ReclaimPlan(finish, move)


def _rank_move(progress: RequestProgress) -> tuple[Priority, timedelta]:
    return progress.priority, -progress.remaining
