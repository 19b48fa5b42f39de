"""Settings of a stand-in engine, which a test may change while it runs."""

from enum import Enum

from pydantic import BaseModel, ConfigDict, Field

from fireflyhitch_model.ids import VersionId

DEFAULT_ANSWER_TOKENS = 64
# Small to keep tests fast; a real cache needs about 100 kB per token.
KV_BYTES_PER_TOKEN = 64


class PacingKind(Enum):
    """How tokens are timed.

    ``FIXED`` gives each stream fixed times independent of other streams and is the
    cheapest. ``BATCH`` simulates continuous batching with a priority queue, a
    prefix cache in limited memory, and delayed reports.
    """

    FIXED = 'fixed'
    BATCH = 'batch'


class EngineSettings(BaseModel):
    """Settings of a stand-in engine; times in seconds, faults off by default.

    :param first_token_seconds: time to the first token, for fixed pacing only; a
        batch emits it with the step that completes the prompt.
    :param token_seconds_per_call: added to a token's time for each other running
        stream.
    :param prefill_seconds: time per computed prompt token.
    :param answer_tokens: length at which an answer stops by itself.
    :param linger_seconds: how long a stream without listeners continues.
    :param retain_seconds: how long a finished stream can still be read.
    :param load_seconds: time to load a version or an adapter.
    :param fencing: whether orders with an old fencing number are refused.
    :param kv_bytes_per_token: size of an exported KV cache.
    :param max_running: maximum number of calls in a batch; others wait.
    :param max_waiting: maximum number of waiting calls; more are refused.
    :param cache_tokens: capacity of the KV cache, including running calls.
    :param report_lag_seconds: delay of load reports.
    :param event_lag_seconds: delay of cache events.
    :param event_loss: share of cache events that are never published.
    :param slowness: factor on the time of each token.
    :param slow_above: the factor applies only with more running streams than this.
    :param error_share: share of calls that immediately return an error.
    :param fail_share: share of calls that fail after their first token.
    :param fail_above: calls fail only with more running streams than this.
    :param fail_route: calls fail only on this route, ``chat`` or ``completions``.
    :param break_after_tokens: number of tokens after which connections are reset.
    :param refuse: new calls are refused before they run.
    """

    model_config = ConfigDict(extra='forbid')

    version: VersionId = VersionId('v1')
    role: str = 'both'
    pacing: PacingKind = PacingKind.FIXED
    token_seconds: float = 0.05
    token_seconds_per_call: float = 0
    first_token_seconds: float = 0.1
    prefill_seconds: float = 0
    answer_tokens: int = DEFAULT_ANSWER_TOKENS
    linger_seconds: float = 0
    retain_seconds: float = 30
    load_seconds: float = 0
    fencing: bool = True
    kv_bytes_per_token: int = Field(default=KV_BYTES_PER_TOKEN, ge=0)
    max_running: int = 16
    max_waiting: int = 64
    cache_tokens: int = 60000
    report_lag_seconds: float = 1
    event_lag_seconds: float = 0.5
    event_loss: float = 0
    slowness: float = 1
    slow_above: int = 0
    error_share: float = 0
    fail_share: float = 0
    fail_above: int = 0
    fail_route: str | None = None
    break_after_tokens: int | None = None
    refuse: bool = False
