"""Data types of a routing decision and its result."""

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
    :param cached_tokens: prompt tokens expected in the server's prefix cache.
    """

    server: BackendServer
    reason: Reason
    first_token_seconds: float
    cached_tokens: int


class ResultStatus(Enum):
    """How an attempt ended.

    ``REFUSED`` is a failure before execution (no connection, or a refusal), ``FAILED``
    one after execution began. ``CANCELLED`` does not count for or against the server.
    """

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    REFUSED = 'refused'
    CANCELLED = 'cancelled'


@dataclass(frozen=True, slots=True)
class CallResult:
    """Result of an attempt at a backend server.

    :param generated_tokens: tokens of the answer; 0 for a plain service.
    :param cached_tokens: prompt tokens found in the prefix cache; ``None`` if not
        reported.
    :param seconds: from dispatch to the end.
    """

    status: ResultStatus
    generated_tokens: int = 0
    cached_tokens: int | None = None
    seconds: float = 0


@dataclass(slots=True)
class Ticket:
    """An attempt in flight; only the router modifies it.

    :param started: monotonic seconds of the dispatch.
    :param in_flight: estimated calls at the server then, this one excluded.
    :param prompt_work: prompt tokens to be computed before the first token, including
        those of earlier calls.
    :param own_prompt_work: this call's part of ``prompt_work``.
    :param first_token_at: monotonic seconds of the first token, if received.
    :param record: the server record that counts this attempt until it ends.
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
