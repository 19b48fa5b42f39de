"""Inputs, settings and events of the engine model."""

from dataclasses import dataclass
from enum import Enum

from fireflyhitch_model.ids import AttemptId
from fireflyhitch_model.states import Priority


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """An engine's service curve and report delays; times in seconds.

    One batch step takes ``step_seconds``, plus ``step_seconds_per_call``
    for each call in it, plus its prompt tokens over ``prompt_tokens_per_second``.
    The defaults have the magnitude of published figures for an 8-billion-parameter
    model on a 24 GB accelerator.

    :param max_running: maximum number of calls in the batch; others wait.
    :param max_waiting: maximum number of waiting calls; more are refused.
    :param chunk_tokens: maximum number of prompt tokens computed in one step.
    :param cache_tokens: capacity of the KV cache, including running calls.
    :param event_loss: share of cache events that are never published.
    """

    max_running: int = 16
    max_waiting: int = 64
    step_seconds: float = 0.022
    step_seconds_per_call: float = 0.0012
    prompt_tokens_per_second: float = 5000
    chunk_tokens: int = 512
    block_tokens: int = 16
    cache_tokens: int = 60000
    report_every: float = 1
    report_lag: float = 1
    event_lag: float = 0.5
    event_loss: float = 0


@dataclass(frozen=True, slots=True)
class EngineFaults:
    """Current faults of an engine.

    :param slowness: factor on the time of each step.
    :param slow_above: the factor applies only with more running calls than this.
    :param fail_share: share of calls that fail after their first token.
    :param fail_above: calls fail only with more running calls than this.
    :param fail_route: calls fail only on this route.
    :param refuses: every new call is refused.
    """

    slowness: float = 1
    slow_above: int = 0
    fail_share: float = 0
    fail_above: int = 0
    fail_route: str | None = None
    refuses: bool = False


@dataclass(frozen=True, slots=True)
class EngineCall:
    """A call to an engine.

    :param prefix_blocks: chained hashes of the prompt's blocks.
    :param imported_tokens: prompt tokens whose KV cache was imported.
    """

    attempt: AttemptId
    prompt_tokens: int
    max_tokens: int
    prefix_blocks: tuple[int, ...] = ()
    priority: Priority = Priority.NORMAL
    route: str = 'chat'
    imported_tokens: int = 0


class StreamStatus(Enum):
    """Status of a call in an engine."""

    WAITING = 'waiting'
    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


@dataclass(frozen=True, slots=True)
class TokenEvent:
    """One token of an answer; indexes are 0-based."""

    attempt: AttemptId
    at: float
    index: int


@dataclass(frozen=True, slots=True)
class EndEvent:
    """The end of an answer: finished or failed.

    :param cached_tokens: prompt tokens found in the prefix cache.
    :param computed_tokens: prompt tokens that were computed.
    :param first_token_at: ``None`` if no token was generated.
    """

    attempt: AttemptId
    at: float
    status: StreamStatus
    generated: int
    cached_tokens: int
    computed_tokens: int
    first_token_at: float | None


EngineEvent = TokenEvent | EndEvent


@dataclass(frozen=True, slots=True)
class StreamState:
    """State of a running or recently ended call, for resume and export."""

    call: EngineCall
    status: StreamStatus
    generated: int
    cached_tokens: int
