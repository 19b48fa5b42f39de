"""Chooses a server for an attempt; pure functions over what is known.

Model engines read prompts one after the other: the time to a first token is the
prompt tokens waiting there, divided by the speed of reading, and it grows a little
with each running request, since each step of the batch takes longer. Plain services
work on few requests at once, and the rest wait there.
"""

from collections.abc import Container, Iterable, Sequence

from fireflyhitch_model.hashing import hash_text
from fireflyhitch_model.ids import BackendServerId, FailureDomainId
from fireflyhitch_model.records import immutable
from fireflyhitch_serving.messages import PromptPart
from fireflyhitch_serving.servers import ServerRecord

# What each running request adds to another's first token, from the step time that
# grows by 0.09 to 0.12 ms a request over some steps of reading.
SECONDS_PER_RUNNING = 0.002
# What each request beyond an engine's batch waits for: a place is free when one of
# some dozens, each of which takes some seconds, has ended.
SECONDS_PER_SLOT = 0.05
# Bytes between failure domains cost; a server in the own one is preferred by as much
# as a caller would hardly notice.
ELSEWHERE_SECONDS = 0.004
# A part of a prompt is kept about this long without use in a busy cache.
PART_SECONDS = 20.0
# Nobody is known to have these parts; the server that all daemons would pick by hash
# is preferred by this part of what its cache would save.
AGREED_PART = 0.5
# A server that a prompt's parts do not belong to by hash is chosen only where a caller
# would wait this part of the latency target longer at all of those.
STRANGER_PART = 0.4
MOST_STRANGER_SECONDS = 0.5
# Of more servers so many are weighed for a prompt, others for each: the least busy of
# some dozens is hardly busier than that of hundreds, and weighing all takes longer.
MOST_WEIGHED = 64
# A leaving or returning server's own account of waiting requests is believed this long.
LOAD_SECONDS = 0.5
# A request to a failure domain that is cut off waits for a connection's time limit, or
# in vain on a kept one.
SILENT_SECONDS = 0.3
# A cold server is slower than a warm one; as much as an aim is lost by waiting there.
COLD_SECONDS = 0.15


@immutable
class PromptRequest:
    """What an engine has to read for a request.

    :param target: seconds in which its first token is due.
    :param seconds_per_token: that engines of the service take to read.
    """

    tokens: int
    parts: tuple[PromptPart, ...]
    target: float
    seconds_per_token: float


@immutable
class Locality:
    """Where the daemon is among the failure domains.

    :param unreachable_domains: that are probably cut off from here.
    """

    own_domain: FailureDomainId
    unreachable_domains: frozenset[FailureDomainId] = frozenset()


@immutable
class Placement:
    """The server chosen.

    :param wait: seconds expected to the first token, or until it is worked on.
    :param fresh_tokens: prompt tokens that the server has to read.
    :param requests: that it has from all daemons.
    :param queued_tokens: prompt tokens that it has yet to read for them.
    """

    record: ServerRecord
    wait: float
    fresh_tokens: int
    requests: int
    queued_tokens: int


def place_prompt(
    need: PromptRequest,
    records: Sequence[ServerRecord],
    place: Locality,
    now: float,
    agreed: Sequence[BackendServerId] = (),
) -> Placement | None:
    """Choose the engine with the least expected time to a first token.

    :param agreed: the servers that the prompt's parts belong to, the first one first.
    """
    best: Placement | None = None
    least = float('inf')
    for record in thin_out(records, need.parts, agreed):
        cached = count_cached(need.parts, record, now)
        fresh = need.tokens - cached
        weighed = fresh
        if agreed and record.server.server_id == agreed[0]:
            weighed = min(fresh, need.tokens - int(AGREED_PART * _shared(need.parts)))
        work = record.total(now)
        wait = (work.prompt_tokens + weighed) * need.seconds_per_token
        wait += work.requests * SECONDS_PER_RUNNING
        wait *= record.slowness
        wait += _wait_for_slot(record, work.requests)
        cost = wait + _weigh_place(record, place)
        if agreed and not cached and record.server.server_id not in agreed:
            cost += min(need.target * STRANGER_PART, MOST_STRANGER_SECONDS)
        if cost < least:
            least = cost
            best = Placement(record, wait, fresh, *work)
    return best


def place_plain(
    records: Sequence[ServerRecord], place: Locality, now: float
) -> Placement | None:
    """Choose the server with the most free slots, one in the own domain first.

    :returns: nothing if all slots of all servers are taken.
    """
    best: Placement | None = None
    least = float('inf')
    for record in records:
        busy = _count_busy(record, now)
        if busy >= record.server.slots:
            continue
        cost = record.slowness * (busy + 1) / record.server.slots
        cost += 10 * _weigh_place(record, place)
        if cost < least:
            least = cost
            best = Placement(record, 0, 0, busy, 0)
    return best


def count_cached(parts: Iterable[PromptPart], record: ServerRecord, now: float) -> int:
    """Return the tokens of a prompt's first parts that a server has read lately."""
    cached = 0
    for part in parts:
        read_at = record.parts.get(part.part_id)
        if read_at is None or now - read_at > PART_SECONDS:
            break
        cached += part.tokens
    return cached


def _shared(parts: Sequence[PromptPart]) -> int:
    return sum(part.tokens for part in parts[:-1])


def thin_out(
    records: Sequence[ServerRecord],
    parts: Sequence[PromptPart],
    agreed: Container[BackendServerId],
) -> Sequence[ServerRecord]:
    """Return the servers that are weighed for a prompt, those agreed on among them."""
    count = len(records)
    if count <= MOST_WEIGHED:
        return records
    start = hash_text(parts[-1].part_id) % count if parts else 0
    step = count / MOST_WEIGHED
    places = {int(start + number * step) % count for number in range(MOST_WEIGHED)}
    return [
        record
        for place, record in enumerate(records)
        if place in places or record.server.server_id in agreed
    ]


def _wait_for_slot(record: ServerRecord, requests: int) -> float:
    over = requests + 1 - record.server.slots
    return max(over, 0) * SECONDS_PER_SLOT


def _count_busy(record: ServerRecord, now: float) -> int:
    busy = record.total(now).requests
    load = record.load
    if load is not None and now - record.load_received_at < LOAD_SECONDS:
        busy = max(busy, record.requests + load.waiting)
    return busy


def _weigh_place(record: ServerRecord, place: Locality) -> float:
    domain = record.server.failure_domain
    cost = 0.0 if domain == place.own_domain else ELSEWHERE_SECONDS
    if domain in place.unreachable_domains:
        cost += SILENT_SECONDS
    if record.server.cold_seconds > 0:
        cost += COLD_SECONDS
    return cost
