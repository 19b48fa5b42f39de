"""How a stand-in engine behaves; a test may change it while it runs."""

from enum import Enum

from pydantic import BaseModel, ConfigDict, Field

from fireflyhitch_model.ids import VersionId

DEFAULT_ANSWER_TOKENS = 64
# Small, so that tests move quickly; a real cache has some 100 kB a token.
KV_BYTES_PER_TOKEN = 64


class PacingKind(Enum):
    """How tokens are timed.

    ``FIXED`` gives each stream its own fixed times, whatever else runs; it is
    the cheapest. ``BATCH`` is continuous batching with a queue by priority, a
    prefix cache in limited memory, and reports that lag.
    """

    FIXED = 'fixed'
    BATCH = 'batch'


class EngineSettings(BaseModel):
    """Times in seconds; faults are off by default.

    :param token_seconds_per_call: added to the time of a token for each other
        stream that runs.
    :param prefill_seconds: for each prompt token that is computed.
    :param answer_tokens: the length at which an answer stops by itself.
    :param linger_seconds: how long a stream that nobody listens to goes on.
    :param retain_seconds: how long a finished stream can still be read.
    :param load_seconds: how long it takes to load a version or an adapter.
    :param fencing: whether orders with an old fencing number are refused.
    :param kv_bytes_per_token: size of an exported KV cache.
    :param max_running: calls in a batch; the others wait.
    :param max_waiting: calls that may wait; more are refused.
    :param cache_tokens: tokens that the KV cache holds, running calls included.
    :param report_lag_seconds: how late the load is reported.
    :param event_lag_seconds: how late cache events are published.
    :param event_loss: share of cache events that are never published.
    :param slowness: factor on the time of each token.
    :param slow_above: the factor holds only with more running streams than this.
    :param error_share: share of calls answered with an error at once.
    :param fail_share: share of calls that fail after their first token.
    :param fail_above: calls fail only with more running streams than this.
    :param fail_route: calls fail only on this route, ``chat`` or ``completions``.
    :param break_after_tokens: streams lose their connection after so many tokens.
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
