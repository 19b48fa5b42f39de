"""The properties of a caller's request that decisions depend on."""

from fireflyhitch_model.ids import (
    CustomerId,
    DeploymentId,
    RequestId,
)
from fireflyhitch_model.records import immutable
from fireflyhitch_model.states import Priority


@immutable
class Call:
    """The properties of a request used by routing, limits and failure statistics.

    :param route: the kind of call by which failure statistics are kept, for example
        ``chat`` or ``POST /bookings``.
    :param prompt_tokens: number of tokens, estimated from the body's length.
    :param max_tokens: the maximum number of tokens in the answer.
    :param prefix_blocks: chained hashes of the prompt's blocks, first to last;
        two prompts with equal first *n* hashes share that prefix.
    :param arrived: arrival time, in monotonic seconds.
    :param deadline: time after which an answer is useless, in monotonic seconds.
    :param repeatable: whether running the request twice is harmless.
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
