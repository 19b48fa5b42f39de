"""Chooses a server for an attempt; pure functions of the servers' records.

Model engines read prompts one after the other. The time to a first token is the number
of prompt tokens queued there divided by the reading speed, and it grows a little with
each running request, since each step of the batch takes longer. Plain services run a
few requests at once and queue the rest.
"""

import random
from collections.abc import Callable, Container, Iterable, Sequence
from typing import NamedTuple

from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.ids import BackendServerId, FailureDomainId
from fireflyhitch_model.records import immutable
from fireflyhitch_routing.time_factors import AppliedFactor
from fireflyhitch_serving.messages import PromptPart
from fireflyhitch_serving.servers import PEER_WORK_SECONDS, InFlight, ServerRecord

# Added to the time to first token by each running request: it lengthens a step by 0.09
# to 0.12 ms, and reading a prompt takes several steps.
SECONDS_PER_RUNNING_REQUEST = 0.002
# Added by each request beyond an engine's batch: a slot is freed when one of some
# dozens of requests, each of which takes some seconds, completes.
SECONDS_PER_QUEUED_REQUEST = 0.05
# Added for a server in another failure domain, since traffic between failure domains
# costs money. Callers hardly notice a delay of this length.
REMOTE_DOMAIN_SECONDS = 0.004
# A busy engine's cache keeps an unused prompt part for about this long.
CACHED_PART_TTL_SECONDS = 20.0
# The preferred server that ranks first by hash is treated as if it had cached this
# fraction of a prompt's shared parts, so that daemons agree on one server for parts that
# no server is known to have cached.
PREFERRED_CACHE_FRACTION = 0.5
# A server without the prompt's parts that is not preferred by hash is chosen only if
# the wait at the preferred ones is longer by this fraction of the latency target.
NON_PREFERRED_TARGET_FRACTION = 0.4
MAX_NON_PREFERRED_SECONDS = 0.5
# If there are more servers, only a sample of this size is compared, a different one for
# each prompt. The least busy of some dozens is hardly busier than the least busy of
# hundreds, and comparing all takes longer.
MAX_COMPARED = 64
# If servers state their time factors, so many random ones are compared, and so many of
# the failure domain. With more, too many daemons choose the same server until they learn
# of each other's prompts; with fewer, idle servers are missed.
DRAWN_SERVERS = 2
DRAWN_LOCAL_SERVERS = 1
# So many further servers that have cached a prompt's parts are compared with them.
MAX_HOLDERS = 3
# Part of a peer's reported tokens that may have been read since.
MAX_READ_FRACTION = 0.7
# Added for a server in a failure domain that is probably partitioned: a request waits
# for the connect timeout, or for a response that never arrives on a pooled connection.
UNREACHABLE_DOMAIN_SECONDS = 0.3
# Added for a cold server, which is slower than a warm one and may miss the latency
# target.
COLD_SERVER_SECONDS = 0.15

# A server gets more requests than it has slots, up to this multiple: by the time
# they arrive, some of the known ones have ended. Its own queue is a few times as long.
MAX_LOAD_FACTOR = 2.0


# Returns the work in flight at a server and its time factor; the arguments are those of
# ``_estimate_load``.
_FindLoad = Callable[[ServerRecord, float, float], tuple[InFlight, float]]


class _BestEngine(NamedTuple):
    """The engine with the lowest cost so far.

    :param wait: expected seconds to the first token.
    :param fresh_tokens: prompt tokens that it has to read.
    :param work: in flight there, from all daemons.
    """

    record: ServerRecord
    wait: float
    fresh_tokens: int
    work: InFlight


@immutable
class PromptRequest:
    """The prompt that an engine has to read for a request.

    :param tokens: length of the prompt.
    :param target: seconds within which the first token is due.
    :param seconds_per_token: reading time of the service's engines.
    """

    tokens: int
    parts: tuple[PromptPart, ...]
    target: float
    seconds_per_token: float


@immutable
class Locality:
    """The daemon's view of the failure domains.

    :param unreachable_domains: domains that are probably partitioned from this daemon.
    """

    own_domain: FailureDomainId
    unreachable_domains: frozenset[FailureDomainId] = frozenset()


@immutable
class Placement:
    """The chosen server.

    :param wait: expected seconds to the first token; 0 for plain services.
    :param fresh_tokens: prompt tokens of this request that the server has not cached.
    :param requests: requests in flight at the server, from all daemons.
    :param queued_tokens: prompt tokens that the server has yet to read for those.
    :param time_factor: the server's time factor by which it was chosen.
    """

    record: ServerRecord
    wait: float
    fresh_tokens: int
    requests: int
    queued_tokens: int
    time_factor: AppliedFactor = AppliedFactor()


def place_prompt(
    prompt: PromptRequest,
    records: Sequence[ServerRecord],
    locality: Locality,
    now: float,
    rng: random.Random,
    preferred: Sequence[BackendServerId] = (),
) -> Placement | None:
    """Choose the engine with the lowest expected time to first token.

    If servers state time factors and have requests of other daemons, only a few random
    ones and those that have cached the prompt's parts are compared. Load information is
    older than some prompts take, and all daemons would send theirs to the one that
    seemed fastest then.

    :param preferred: servers that the prompt's parts hash to, in order of preference.
    :returns: ``None`` if enough requests wait at all engines.
    """
    candidates = sample_candidates(records, prompt.parts, preferred)
    stated = any(record.time_factor.is_stated for record in records)
    find_load: _FindLoad = _estimate_load if stated else _find_reported_load
    if stated and any(record.peers for record in records):
        candidates = _draw_candidates(
            candidates, prompt.parts, preferred, locality, now, rng
        )
    best = _find_best(prompt, candidates, find_load, locality, now, preferred)
    if best is None:
        return None
    return Placement(
        best.record,
        best.wait,
        best.fresh_tokens,
        *best.work,
        best.record.time_factor.describe(now),
    )


def _find_best(
    prompt: PromptRequest,
    candidates: Sequence[ServerRecord],
    find_load: _FindLoad,
    locality: Locality,
    now: float,
    preferred: Sequence[BackendServerId],
) -> _BestEngine | None:
    best: _BestEngine | None = None
    lowest_cost = float('inf')
    for record in candidates:
        work, factor = find_load(record, prompt.seconds_per_token, now)
        if not has_place(record, work.requests):
            continue
        cached = count_cached_tokens(prompt.parts, record, now)
        fresh = prompt.tokens - cached
        wait = prompt.seconds_per_token * (
            work.prompt_tokens + _expect_tokens(prompt, record, fresh, preferred)
        )
        wait += work.requests * SECONDS_PER_RUNNING_REQUEST
        wait *= record.slowness
        wait += _estimate_slot_wait(record, work.requests)
        wait *= factor
        cost = wait + _find_locality_cost(record, locality, now)
        if preferred and not cached and record.server.server_id not in preferred:
            cost += min(
                prompt.target * NON_PREFERRED_TARGET_FRACTION, MAX_NON_PREFERRED_SECONDS
            )
        if cost < lowest_cost:
            lowest_cost = cost
            best = _BestEngine(record, wait, fresh, work)
    return best


def has_place(record: ServerRecord, requests: int) -> bool:
    """Return whether a server takes another request, given how many it has."""
    return requests < record.server.slots * MAX_LOAD_FACTOR


def count_cached_tokens(
    parts: Iterable[PromptPart], record: ServerRecord, now: float
) -> int:
    """Return the number of leading prompt tokens that a server has read recently."""
    cached = 0
    for part in parts:
        read_at = record.parts.get(part.part_id)
        if read_at is None or now - read_at > CACHED_PART_TTL_SECONDS:
            break
        cached += part.tokens
    return cached


def _expect_tokens(
    prompt: PromptRequest,
    record: ServerRecord,
    fresh: int,
    preferred: Sequence[BackendServerId],
) -> int:
    """Return the tokens that an engine is expected to read for a prompt.

    :param fresh: those that it is not known to have cached.
    """
    if not preferred or record.server.server_id != preferred[0]:
        return fresh
    cached = int(PREFERRED_CACHE_FRACTION * _count_shared_tokens(prompt.parts))
    return min(fresh, prompt.tokens - cached)


def _count_shared_tokens(parts: Sequence[PromptPart]) -> int:
    return sum(part.tokens for part in parts[:-1])


def sample_candidates(
    records: Sequence[ServerRecord],
    parts: Sequence[PromptPart],
    preferred: Container[BackendServerId],
) -> Sequence[ServerRecord]:
    """Return the servers to compare for a prompt, including the preferred ones."""
    count = len(records)
    if count <= MAX_COMPARED:
        return records
    start = hash_text(parts[-1].part_id) % count if parts else 0
    step = count / MAX_COMPARED
    sampled = {int(start + number * step) % count for number in range(MAX_COMPARED)}
    return [
        record
        for index, record in enumerate(records)
        if index in sampled or record.server.server_id in preferred
    ]


def _draw_candidates(
    records: Sequence[ServerRecord],
    parts: Sequence[PromptPart],
    preferred: Container[BackendServerId],
    locality: Locality,
    now: float,
    rng: random.Random,
) -> Sequence[ServerRecord]:
    """Return a few servers at random by speed, and those that have or should have a part.

    That is the last part which prompts share: the parts before it are shared by so many
    prompts that most servers have them. With high demand for a part many servers have
    it, and only some of them are compared.
    """
    cached_since = now - CACHED_PART_TTL_SECONDS
    shared = parts[-2].part_id if len(parts) > 1 else ''
    agreed = [record for record in records if record.server.server_id in preferred]
    holders = [
        record
        for record in records
        if record.parts.get(shared, cached_since) > cached_since
        and record.server.server_id not in preferred
    ]
    if len(holders) > MAX_HOLDERS:
        holders = _draw_by_speed(holders, MAX_HOLDERS, now, rng)
    reachable = [
        record
        for record in records
        if record.server.failure_domain not in locality.unreachable_domains
    ]
    local = [
        record
        for record in records
        if record.server.failure_domain == locality.own_domain
    ]
    return [
        *agreed,
        *holders,
        *_draw_by_speed(reachable or records, DRAWN_SERVERS, now, rng),
        *_draw_by_speed(local, DRAWN_LOCAL_SERVERS, now, rng),
    ]


def _draw_by_speed(
    records: Sequence[ServerRecord], number: int, now: float, rng: random.Random
) -> list[ServerRecord]:
    if not records:
        return []
    weights = [
        1 / (record.time_factor.estimate(now) * record.slowness) for record in records
    ]
    return rng.choices(records, weights, k=number)


def _find_reported_load(
    record: ServerRecord, seconds_per_token: float, now: float
) -> tuple[InFlight, float]:
    """Return the known work in flight; the server states no time factor."""
    return record.total(now), 1


def _estimate_load(
    record: ServerRecord, seconds_per_token: float, now: float
) -> tuple[InFlight, float]:
    """Return the work in flight and the server's time factor.

    What was read since peers told of it is left out. New prompts of theirs have arrived
    since, so a part always remains. The speed is known only of a server that states it.
    """
    work = record.total(now)
    factor = record.time_factor.estimate(now)
    seconds_per_token *= factor * record.slowness
    if not (record.time_factor.is_stated and seconds_per_token):
        return work, factor
    read = 0.0
    for reported in record.peers.values():
        age = now - reported.at
        if age < PEER_WORK_SECONDS:
            read += min(
                reported.work.prompt_tokens * MAX_READ_FRACTION, age / seconds_per_token
            )
    return InFlight(work.requests, work.prompt_tokens - int(read)), factor


def _estimate_slot_wait(record: ServerRecord, requests: int) -> float:
    excess = requests + 1 - record.server.slots
    return max(excess, 0) * SECONDS_PER_QUEUED_REQUEST


def _find_locality_cost(record: ServerRecord, locality: Locality, now: float) -> float:
    domain = record.server.failure_domain
    cost = 0.0 if domain == locality.own_domain else REMOTE_DOMAIN_SECONDS
    if domain in locality.unreachable_domains:
        cost += UNREACHABLE_DOMAIN_SECONDS
    if record.is_cold(now):
        cost += COLD_SERVER_SECONDS
    return cost
