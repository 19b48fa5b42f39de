"""Choice of the cheapest way to resume an answer whose stream was lost."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

# Defaults until an engine's speed is known: a small model on one accelerator.
PREFILL_TOKENS_PER_SECOND = 4000.0
KV_BYTES_PER_TOKEN = 131072
KV_BYTES_PER_SECOND = 1e9
CALL_SECONDS = 0.005


class ResumeKind(Enum):
    """Methods of resuming an answer."""

    ENGINE_STREAM = 'engine-stream'
    KV_IMPORT = 'kv-import'
    GENERATED_PREFIX = 'generated-prefix'
    IMPOSSIBLE = 'impossible'


@dataclass(frozen=True, slots=True)
class ResumeCosts:
    """Costs of computing and moving tokens.

    :param kv_bytes_per_token: size of an exported KV cache per token.
    :param kv_bytes_per_second: transfer rate between two engines through this
        daemon.
    :param call_time: duration of one engine call, including the response.
    """

    prefill_tokens_per_second: float = PREFILL_TOKENS_PER_SECOND
    kv_bytes_per_token: int = KV_BYTES_PER_TOKEN
    kv_bytes_per_second: float = KV_BYTES_PER_SECOND
    call_time: timedelta = timedelta(seconds=CALL_SECONDS)


DEFAULT_COSTS = ResumeCosts()


@dataclass(frozen=True, slots=True)
class ResumeContext:
    """State of a request when its stream is lost.

    :param prompt_tokens: tokens of the prompt.
    :param generated_tokens: tokens of the answer so far.
    :param stream_reachable: whether the engine that had the stream responds and
        still has it. After a take-over this also holds for an engine that is
        leaving or has cancelled the stream: the caller may have events that the
        copy lacks, and only the stream has those. False once it has ended.
    :param kv_tokens: number of tokens whose KV cache that engine can export.
    :param cached_tokens: prompt tokens cached at the engine that would continue.
    :param continuable: whether the request can be continued from its text.
    """

    prompt_tokens: int
    generated_tokens: int
    stream_reachable: bool = False
    kv_tokens: int = 0
    cached_tokens: int = 0
    continuable: bool = True


@dataclass(frozen=True, slots=True)
class ResumePlan:
    """A method of resuming an answer, with its costs.

    :param recomputed_tokens: tokens that are computed a second time.
    :param estimated: estimated time until the next token.
    """

    kind: ResumeKind
    recomputed_tokens: int
    estimated: timedelta


IMPOSSIBLE = ResumePlan(ResumeKind.IMPOSSIBLE, 0, timedelta.max)


def plan_resume(
    context: ResumeContext, costs: ResumeCosts = DEFAULT_COSTS
) -> ResumePlan:
    """Choose how to resume an answer.

    If the chosen method fails, clear the field that allowed it and call this
    again. Each call excludes one more method, so that the retries end.

    :returns: ``IMPOSSIBLE`` if the answer can only end with an error.
    """
    return min(list_plans(context, costs), key=_rank_plan, default=IMPOSSIBLE)


def list_plans(context: ResumeContext, costs: ResumeCosts) -> list[ResumePlan]:
    """Return all possible plans with their costs."""
    plans = []
    if context.stream_reachable:
        plans.append(ResumePlan(ResumeKind.ENGINE_STREAM, 0, costs.call_time))
    if not context.continuable and context.generated_tokens:
        return plans
    total = context.prompt_tokens + context.generated_tokens
    if context.kv_tokens:
        plans.append(_plan_import(context, costs, total))
    missing = max(0, total - context.cached_tokens)
    estimated = costs.call_time + _estimate_prefill(missing, costs)
    plans.append(ResumePlan(ResumeKind.GENERATED_PREFIX, missing, estimated))
    return plans


def _plan_import(context: ResumeContext, costs: ResumeCosts, total: int) -> ResumePlan:
    missing = max(0, total - context.kv_tokens)
    size = context.kv_tokens * costs.kv_bytes_per_token
    moving = timedelta(seconds=size / costs.kv_bytes_per_second)
    # Export, import, and the call that continues the answer.
    calls = 3 * costs.call_time
    estimated = calls + moving + _estimate_prefill(missing, costs)
    return ResumePlan(ResumeKind.KV_IMPORT, missing, estimated)


def _estimate_prefill(tokens: int, costs: ResumeCosts) -> timedelta:
    return timedelta(seconds=tokens / costs.prefill_tokens_per_second)


def _rank_plan(plan: ResumePlan) -> tuple[timedelta, int]:
    return plan.estimated, plan.recomputed_tokens
