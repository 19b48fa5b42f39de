"""The capacity and the load of a service's usable servers, from their records."""

from collections.abc import Collection, Iterable

from fireflyhitch_model.ids import FailureDomainId
from fireflyhitch_model.records import immutable
from fireflyhitch_routing.service_demand import LevelDemand
from fireflyhitch_serving.servers import ServerRecord
from fireflyhitch_serving.versions import VersionShare
from fireflyhitch_serving.work_times import count_requests


@immutable
class ServerUse:
    """What a service's usable servers have, and how much of it is in use.

    :param capacity: seconds of slots, and of an engine's reading time, per second.
    :param slots: requests that they run at once.
    :param requests: requests in flight there, from all daemons.
    :param prompt_tokens: prompt tokens that they have yet to read.
    """

    capacity: LevelDemand
    slots: int
    requests: int
    prompt_tokens: int

    def find_wait(
        self, waiting: float, work_seconds: float, seconds_per_token: float
    ) -> float:
        """Return the expected seconds until a new request is run.

        :param waiting: requests that wait at all daemons.
        :param work_seconds: for which a request holds a slot.
        """
        excess = max(self.requests - self.slots, 0) + waiting
        slot_wait = excess * work_seconds / self.capacity.slot_seconds
        prompt_seconds = self.prompt_tokens * seconds_per_token
        return max(slot_wait, prompt_seconds / self.capacity.prompt_seconds)


def select_usable(
    records: Iterable[ServerRecord],
    unreachable_domains: Collection[FailureDomainId],
    move: VersionShare | None,
    now: float,
) -> list[ServerRecord]:
    """Return the servers that requests are sent to.

    :param move: of the service's traffic to another version.
    """
    accepting = [
        record
        for record in records
        if record.accepts_requests
        and record.server.slots > 0
        and not record.rests(now)
        and _is_allowed(record.server.version, move)
        and record.server.failure_domain not in unreachable_domains
    ]
    healthy = [
        record
        for record in accepting
        if not (record.failing or record.health.is_ejected(now))
    ]
    # Without other servers, suspected ones are used too.
    return healthy or accepting


def measure_use(records: Iterable[ServerRecord], now: float) -> ServerUse:
    """Return the capacity of servers and what of it is in use."""
    slot_seconds = 0.0
    prompt_seconds = 0.0
    slots = 0
    requests = 0
    prompt_tokens = 0
    for record in records:
        time_factor = record.time_factor.estimate(now)
        slot_seconds += record.server.slots / time_factor
        prompt_seconds += 1 / time_factor
        slots += record.server.slots
        work = record.total(now)
        requests += count_requests(record, now)
        prompt_tokens += work.prompt_tokens
    return ServerUse(
        LevelDemand(slot_seconds, prompt_seconds), slots, requests, prompt_tokens
    )


def _is_allowed(version: str, move: VersionShare | None) -> bool:
    if move is None:
        return True
    return bool(move.share) if version == move.target else move.share < 1
