"""What to do with requests in progress when their machine is taken back."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from fireflyhitch_model.ids import RequestId
from fireflyhitch_model.states import Priority

# Below this, an estimate of the rest is not worth betting an answer on.
SAFETY_FACTOR = 1.5
MARGIN_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class RequestProgress:
    """How far a request is.

    :param remaining_tokens: at the most, from its limit and what it has.
    :param token_time: time between its tokens of late.
    """

    request_id: RequestId
    priority: Priority
    remaining_tokens: int
    token_time: timedelta

    @property
    def remaining(self) -> timedelta:
        """How long its answer may still take."""
        return self.remaining_tokens * self.token_time


@dataclass(frozen=True, slots=True)
class ReclaimPlan:
    """Which requests stay and which are moved, in order."""

    finish: tuple[RequestId, ...]
    move: tuple[RequestId, ...]


def plan_reclaim(
    time_left: timedelta, requests: Iterable[RequestProgress]
) -> ReclaimPlan:
    """Choose what can finish in time, and move the rest.

    Urgent ones are moved first, and among equals the longest: it is the most
    certain not to finish, and has the most to lose.

    :param time_left: until the machine goes.
    """
    margin = timedelta(seconds=MARGIN_SECONDS)
    usable = max(timedelta(), time_left - margin) / SAFETY_FACTOR
    ordered = sorted(requests, key=_rank_move)
    move = tuple(item.request_id for item in ordered if item.remaining > usable)
    finish = tuple(item.request_id for item in ordered if item.remaining <= usable)
    return ReclaimPlan(finish, move)


def _rank_move(progress: RequestProgress) -> tuple[Priority, timedelta]:
    return progress.priority, -progress.remaining
