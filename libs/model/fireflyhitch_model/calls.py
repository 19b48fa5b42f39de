"""A caller's request as the decisions see it."""

from fireflyhitch_model.ids import (
    CustomerId,
    DeploymentId,
    RequestId,
)
from fireflyhitch_model.records import immutable
from fireflyhitch_model.states import Priority


@immutable
class Call:
    """What routing, limits and evidence need to know of a request.

    :param route: the kind of call that evidence is kept for, for example
        ``chat`` or ``POST /bookings``.
    :param prompt_tokens: an estimate from the body's length, in tokens.
    :param max_tokens: how many tokens the answer may have at the most.
    :param prefix_blocks: chained hashes of the prompt's blocks, first to last;
        two prompts with equal first *n* hashes share that prefix.
    :param arrived: monotonic seconds.
    :param deadline: monotonic seconds by which an answer is of use.
    :param repeatable: whether a second run does no harm.
    """

    request_id: RequestId
    customer: CustomerId
    deployment: DeploymentId
    route: str
    priority: Priority
    prompt_tokens: int
    max_tokens: int
    prefix_blocks: tuple[int, ...]
    arrived: float
    deadline: float
    repeatable: bool = True
