"""How an answer goes on after its stream was lost: whatever costs least."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

# Until an engine's own speed is known: a small model on one accelerator.
PREFILL_TOKENS_PER_SECOND = 4000.0
KV_BYTES_PER_TOKEN = 131072
KV_BYTES_PER_SECOND = 1e9
CALL_SECONDS = 0.005


class ResumeKind(Enum):
    """The ways in which an answer can go on."""

    ENGINE_STREAM = 'engine-stream'
    KV_IMPORT = 'kv-import'
    GENERATED_PREFIX = 'generated-prefix'
    IMPOSSIBLE = 'impossible'


@dataclass(frozen=True, slots=True)
class ResumeCosts:
    """What computing and moving tokens costs.

    :param kv_bytes_per_token: of an exported KV cache.
    :param kv_bytes_per_second: between two engines, through this daemon.
    :param call_time: of one call to an engine, answer included.
    """

    prefill_tokens_per_second: float = PREFILL_TOKENS_PER_SECOND
    kv_bytes_per_token: int = KV_BYTES_PER_TOKEN
    kv_bytes_per_second: float = KV_BYTES_PER_SECOND
    call_time: timedelta = timedelta(seconds=CALL_SECONDS)


DEFAULT_COSTS = ResumeCosts()


@dataclass(frozen=True, slots=True)
class ResumeFacts:
    """What is known when a stream is lost.

    :param prompt_tokens: of the request.
    :param generated_tokens: that the answer has so far.
    :param stream_reachable: whether the engine that had the stream still
        answers, and has it. So after a take-over also of an engine that leaves
        or has cancelled it: the caller may hold events that the copy lacks, and
        only the stream still has those. Take it for gone once it has ended.
    :param kv_tokens: how many tokens' KV cache that engine can still export.
    :param cached_tokens: of the prompt, at the engine that would go on.
    :param continuable: whether the request's form allows a generated prefix.
    """

    prompt_tokens: int
    generated_tokens: int
    stream_reachable: bool = False
    kv_tokens: int = 0
    cached_tokens: int = 0
    continuable: bool = True


@dataclass(frozen=True, slots=True)
class ResumePlan:
    """The way chosen.

    :param recomputed_tokens: tokens that are computed a second time.
    :param estimated: time until the next token.
    """

    kind: ResumeKind
    recomputed_tokens: int
    estimated: timedelta


IMPOSSIBLE = ResumePlan(ResumeKind.IMPOSSIBLE, 0, timedelta.max)


def plan_resume(context: ResumeFacts, costs: ResumeCosts = DEFAULT_COSTS) -> ResumePlan:
    """Choose how an answer goes on.

    When the way chosen fails, take the fact away that it rested on and ask
    again: each answer leads to a cheaper or a surer way, and to an end.

    :returns: ``IMPOSSIBLE`` if the answer can only end with an error.
    """
    return min(list_plans(context, costs), key=_rank_plan, default=IMPOSSIBLE)


def list_plans(context: ResumeFacts, costs: ResumeCosts) -> list[ResumePlan]:
    """Return all the ways that the facts allow, with what each costs."""
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


def _plan_import(context: ResumeFacts, costs: ResumeCosts, total: int) -> ResumePlan:
    missing = max(0, total - context.kv_tokens)
    size = context.kv_tokens * costs.kv_bytes_per_token
    moving = timedelta(seconds=size / costs.kv_bytes_per_second)
    # Export, import, and the call that goes on.
    calls = 3 * costs.call_time
    estimated = calls + moving + _estimate_prefill(missing, costs)
    return ResumePlan(ResumeKind.KV_IMPORT, missing, estimated)


def _estimate_prefill(tokens: int, costs: ResumeCosts) -> timedelta:
    return timedelta(seconds=tokens / costs.prefill_tokens_per_second)


def _rank_plan(plan: ResumePlan) -> tuple[timedelta, int]:
    return plan.estimated, plan.recomputed_tokens
