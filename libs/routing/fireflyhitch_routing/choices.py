"""The messages of a routing decision: what was chosen and how it went."""

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from fireflyhitch_model.backends import BackendServer
from fireflyhitch_model.calls import Call

if TYPE_CHECKING:
    from fireflyhitch_routing.records import ServerRecord


class Reason(Enum):
    """Why a backend server was chosen."""

    CHEAPEST = 'cheapest within the target'
    FASTEST = 'fastest, as none is within the target'


@dataclass(frozen=True, slots=True)
class Choice:
    """A backend server for one attempt of a call.

    :param first_token_seconds: the expected time to the first token, or to the
        whole answer of a plain service.
    :param cached_tokens: prompt tokens expected in its prefix cache.
    """

    server: BackendServer
    reason: Reason
    first_token_seconds: float
    cached_tokens: int


class ResultStatus(Enum):
    """How an attempt ended.

    ``REFUSED`` is a failure before execution (no connection, or a refusal),
    ``FAILED`` one after it began; ``CANCELLED`` says nothing of the server.
    """

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    REFUSED = 'refused'
    CANCELLED = 'cancelled'


@dataclass(frozen=True, slots=True)
class CallResult:
    """What an attempt's end tells of the backend server.

    :param generated_tokens: tokens of the answer; 0 for a plain service.
    :param cached_tokens: prompt tokens found in the prefix cache, if told.
    :param seconds: from dispatch to the end.
    """

    status: ResultStatus
    generated_tokens: int = 0
    cached_tokens: int | None = None
    seconds: float = 0


@dataclass(slots=True)
class Ticket:
    """An attempt under way; only the router writes to it.

    :param started: monotonic seconds of the dispatch.
    :param in_flight: calls thought to be at the server then, this one excluded.
    :param prompt_work: prompt tokens to be computed before the first token,
        those of earlier calls included.
    :param own_prompt_work: this call's part of them.
    :param first_token_at: monotonic seconds, once it came.
    :param record: where it was counted, and where it has to be taken off again.
    """

    call: Call
    choice: Choice
    started: float
    in_flight: float
    prompt_work: float
    own_prompt_work: float
    first_token_at: float | None = None
    finished: bool = False
    record: 'ServerRecord | None' = None
